#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Medlar::Standins {

using Revision = std::uint64_t;

/*! The last change of a key. */
struct ObjectState
{
    std::string key;
    std::shared_ptr<const std::string> value; //!< null when the object was removed
    Revision version = 0;
    std::string writer;
};

/*! The condition of a change failed; the object has this version, 0 when there is none. */
struct VersionConflict
{
    Revision current = 0;
};

/*! Objects and the bounded history of their changes. */
class ObjectTable
{
public:
    struct Limits
    {
        std::size_t historyChanges = 10000;
        std::size_t historyBytes = std::size_t(64) << 20U;
    };

    explicit ObjectTable(const Limits &limits) : m_limits(limits) {}

    /*! Stores \a value if the object has version \a expected (0: does not exist). */
    tl::expected<Revision, VersionConflict> put(const std::string &key, std::string value,
                                                const std::string &writer, Revision expected);
    tl::expected<Revision, VersionConflict> remove(const std::string &key,
                                                   const std::string &writer, Revision expected);

    Revision revision() const { return m_revision; }
    std::size_t size() const { return m_objects.size(); }
    const ObjectState *find(const std::string &key) const;
    /*! The removal of \a key, as long as the history has it. */
    const ObjectState *findRemoved(const std::string &key) const;
    std::vector<const ObjectState *> list(std::string_view prefix) const;
    /*! Changes below \a prefix after revision \a after; nothing when the history does not reach
     * back that far, or \a after lies in the future. */
    std::optional<std::vector<const ObjectState *>> changes(std::string_view prefix,
                                                            Revision after) const;

private:
    void record(const ObjectState &change);

    Limits m_limits;
    Revision m_revision = 0;
    Revision m_oldestAfter = 0; //!< lowest revision from which the history is complete
    std::map<std::string, ObjectState, std::less<>> m_objects;
    std::unordered_map<std::string, ObjectState> m_removed;
    std::deque<ObjectState> m_history;
    std::size_t m_historyBytes = 0;
};

} // namespace Medlar::Standins
