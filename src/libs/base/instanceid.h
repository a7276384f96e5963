#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Medlar::Base {

/*!
    Identifies one start of one daemon. The incarnation is drawn at random at each process start and
   at each rejoin, so two instances of the same node never compare equal.
*/
struct InstanceId
{
    std::string node;
    std::uint64_t incarnation = 0;

    /*! Text form: node name, '#', incarnation in lower-case hexadecimal. */
    std::string toString() const;

    /*! Parses the text form. The error says what is wrong with \a text. */
    static tl::expected<InstanceId, std::string> parse(std::string_view text);

    bool isValid() const { return !node.empty(); }
};

inline bool operator==(const InstanceId &a, const InstanceId &b)
{
    return a.incarnation == b.incarnation && a.node == b.node;
}

inline bool operator!=(const InstanceId &a, const InstanceId &b)
{
    return !(a == b);
}

inline bool operator<(const InstanceId &a, const InstanceId &b)
{
    return a.node != b.node ? a.node < b.node : a.incarnation < b.incarnation;
}

/*! Longest accepted node name, in bytes. */
constexpr std::size_t MaxNodeNameBytes = 64;

/*! Node names consist of letters, digits, '-', '_' and '.', and are not empty. */
bool isValidNodeName(std::string_view name);

} // namespace Medlar::Base

template<>
struct std::hash<Medlar::Base::InstanceId>
{
    std::size_t operator()(const Medlar::Base::InstanceId &id) const noexcept
    {
        return std::hash<std::string>()(id.node) ^ static_cast<std::size_t>(id.incarnation);
    }
};
