#pragma once

#include "messagefields.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Medlar::Messages::Internal {

/*! Bytes are read into a string, which is moved into its field. nlohmann json does not take
 * std::string itself for bytes. */
struct FrameBytes : std::string
{
    using std::string::string;
};
using FrameJson
    = nlohmann::basic_json<std::map, std::vector, std::string, bool, std::int64_t, std::uint64_t,
                           double, std::allocator, nlohmann::adl_serializer, FrameBytes>;

template<typename Field>
struct IsFlat : std::bool_constant<std::is_unsigned_v<Field> || std::is_enum_v<Field>>
{};
template<>
struct IsFlat<std::string> : std::true_type
{};
template<>
struct IsFlat<Base::SharedBytes> : std::true_type
{};
template<>
struct IsFlat<std::optional<std::string>> : std::true_type
{};
template<>
struct IsFlat<Base::InstanceId> : std::true_type
{};
template<>
struct IsFlat<Headers> : std::true_type
{};
template<typename Period>
struct IsFlat<std::chrono::duration<std::int64_t, Period>> : std::true_type
{};

template<typename Message, typename... Fields>
constexpr bool areFlat(std::tuple<Fields Message::*...> /*members*/)
{
    return (IsFlat<Fields>::value && ...);
}

/*! Whether FlatReader reads \a Message: it has no list or map but headers. */
template<typename Message>
constexpr bool IsFlatMessage = areFlat(FieldList<Message>::Members);

/*!
    Receives the SAX events of a frame and fills in a message without a tree of JSON values. Refuses
   the first event that the message has no place for, so that nesting is bounded as well. Accepts
   exactly what FieldReader accepts.
*/
template<typename Message>
class FlatReader final : public nlohmann::json_sax<FrameJson>
{
public:
    explicit FlatReader(Message &message) : m_message(message) {}

    /*! The frame ended after all fields, and all were valid. */
    bool isComplete() const { return m_isComplete; }
    /*! The frame is not well-formed CBOR. */
    bool isMalformed() const { return m_isMalformed; }

    // The interface of nlohmann::json_sax.

    bool null() override { return readNext(nullptr); }
    bool boolean(bool value) override { return readNext(value); }
    bool number_integer(std::int64_t value) override { return readNext(value); } // negative ones
    bool number_unsigned(std::uint64_t value) override
    {
        if (m_depth == 1 && !m_hasType) {
            m_hasType = true; // checked by the caller
            return true;
        }
        return readNext(value);
    }
    bool string(std::string &value) override { return readNext(value); }
    bool binary(FrameJson::binary_t &value) override
    {
        return m_depth == HeaderDepth ? readHeaderPart(value) : readNext(value);
    }
    bool start_array(std::size_t size) override
    {
        ++m_depth;
        if (m_depth == 1)
            return true;
        if (m_depth == HeaderListDepth)
            return startHeaders(size);
        if (m_depth != HeaderDepth || m_headers->size() == MaxElements)
            return false;
        m_headers->emplace_back();
        m_headerParts = 0;
        return true;
    }
    bool end_array() override
    {
        --m_depth;
        if (m_depth == HeaderListDepth)
            return m_headerParts == 2;
        if (m_depth == 1) {
            ++m_position;
            return true;
        }
        m_isComplete = m_hasType && m_position == FieldCount<Message>;
        return m_isComplete;
    }
    bool number_float(double /*value*/, const std::string & /*text*/) override { return false; }
    bool start_object(std::size_t /*size*/) override { return false; }
    bool key(std::string & /*value*/) override { return false; }
    bool end_object() override { return false; }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        m_isMalformed = true;
        return false;
    }

private:
    static constexpr int HeaderListDepth = 2;
    static constexpr int HeaderDepth = 3;

    template<typename Value>
    bool readNext(Value &&value)
    {
        const auto assignValue = [&value](auto &field) { return assign(field, value); };
        if (m_depth != 1 || !m_hasType || !withNextField(assignValue))
            return false;
        ++m_position;
        return true;
    }

    bool startHeaders(std::size_t size)
    {
        constexpr auto UnknownSize = static_cast<std::size_t>(-1);
        if (!m_hasType || (size > MaxElements && size != UnknownSize))
            return false;
        return withNextField([this](auto &field) {
            if constexpr (std::is_same_v<std::decay_t<decltype(field)>, Headers>)
                m_headers = &field;
            return std::is_same_v<std::decay_t<decltype(field)>, Headers>;
        });
    }

    bool readHeaderPart(FrameJson::binary_t &value)
    {
        if (m_headerParts == 2)
            return false;
        auto &[name, content] = m_headers->back();
        return assign(m_headerParts++ == 0 ? name : content, value);
    }

    // False when all fields are filled in, or when the function is false for the next one.
    template<typename Function>
    bool withNextField(const Function &function)
    {
        bool isRead = false;
        std::size_t index = 0;
        const auto visit = [&](auto &...fields) {
            static_cast<void>(
                ((index++ == m_position && (isRead = function(fields), true)) || ...));
        };
        visitFields(m_message, visit);
        return isRead;
    }

    static bool assign(std::string &field, FrameJson::binary_t &value)
    {
        field = std::move(static_cast<std::string &>(value));
        return true;
    }
    static bool assign(Base::SharedBytes &field, FrameJson::binary_t &value)
    {
        field = std::move(static_cast<std::string &>(value));
        return true;
    }
    static bool assign(std::optional<std::string> &field, FrameJson::binary_t &value)
    {
        return assign(field.emplace(), value);
    }
    static bool assign(std::optional<std::string> &field, std::nullptr_t /*value*/)
    {
        field.reset();
        return true;
    }
    static bool assign(Base::InstanceId &field, std::string &value)
    {
        auto id = Base::InstanceId::parse(value);
        if (id)
            field = std::move(*id);
        return id.has_value();
    }
    // Text is not bytes.
    static bool assign(std::string & /*field*/, std::string & /*value*/) { return false; }
    static bool assign(Base::SharedBytes & /*field*/, std::string & /*value*/) { return false; }
    static bool assign(std::optional<std::string> & /*field*/, std::string & /*value*/)
    {
        return false;
    }
    static bool assign(bool &field, bool value)
    {
        field = value;
        return true;
    }
    template<typename Number>
    static std::enable_if_t<std::is_integral_v<Number> && !std::is_same_v<Number, bool>, bool>
    assign(Number &field, std::uint64_t value)
    {
        if (value > std::numeric_limits<Number>::max())
            return false;
        field = static_cast<Number>(value);
        return true;
    }
    template<typename Enum>
    static std::enable_if_t<std::is_enum_v<Enum>, bool> assign(Enum &field, std::uint64_t value)
    {
        if (value > static_cast<std::uint64_t>(lastValue(Enum())))
            return false;
        field = static_cast<Enum>(value);
        return true;
    }
    template<typename Period>
    static bool assign(std::chrono::duration<std::int64_t, Period> &field, std::uint64_t value)
    {
        return assign(field, static_cast<std::int64_t>(value));
    }
    template<typename Period>
    static bool assign(std::chrono::duration<std::int64_t, Period> &field, std::int64_t value)
    {
        field = std::chrono::duration<std::int64_t, Period>(value);
        return true;
    }
    // A value of a type that the field can't hold.
    template<typename Field, typename Value>
    static bool assign(Field & /*field*/, Value & /*value*/)
    {
        return false;
    }

    Message &m_message;
    Headers *m_headers = nullptr;
    std::size_t m_position = 0;
    std::size_t m_headerParts = 0;
    int m_depth = 0;
    bool m_hasType = false;
    bool m_isComplete = false;
    bool m_isMalformed = false;
};

} // namespace Medlar::Messages::Internal
