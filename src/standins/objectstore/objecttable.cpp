#include "objecttable.h"

#include <algorithm>
#include <utility>

namespace Medlar::Standins {

namespace {

bool hasPrefix(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::size_t bytesOf(const ObjectState &change)
{
    return change.key.size() + change.writer.size() + (change.value ? change.value->size() : 0);
}

} // namespace

tl::expected<Revision, VersionConflict> ObjectTable::put(const std::string &key, std::string value,
                                                         const std::string &writer,
                                                         Revision expected)
{
    const ObjectState *const present = find(key);
    const Revision current = present ? present->version : 0;
    if (current != expected)
        return tl::unexpected(VersionConflict{current});
    const ObjectState state{key, std::make_shared<const std::string>(std::move(value)),
                            ++m_revision, writer};
    m_objects[key] = state;
    m_removed.erase(key);
    record(state);
    return m_revision;
}

tl::expected<Revision, VersionConflict>
ObjectTable::remove(const std::string &key, const std::string &writer, Revision expected)
{
    const ObjectState *const present = find(key);
    const Revision current = present ? present->version : 0;
    if (!present || current != expected)
        return tl::unexpected(VersionConflict{current});
    const ObjectState state{key, nullptr, ++m_revision, writer};
    m_objects.erase(key);
    m_removed[key] = state;
    record(state);
    return m_revision;
}

const ObjectState *ObjectTable::find(const std::string &key) const
{
    const auto it = m_objects.find(key);
    return it == m_objects.end() ? nullptr : &it->second;
}

const ObjectState *ObjectTable::findRemoved(const std::string &key) const
{
    const auto it = m_removed.find(key);
    return it == m_removed.end() ? nullptr : &it->second;
}

std::vector<const ObjectState *> ObjectTable::list(std::string_view prefix) const
{
    std::vector<const ObjectState *> found;
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && hasPrefix(it->first, prefix); ++it)
        found.push_back(&it->second);
    return found;
}

std::optional<std::vector<const ObjectState *>> ObjectTable::changes(std::string_view prefix,
                                                                     Revision after) const
{
    if (after < m_oldestAfter || after > m_revision)
        return std::nullopt;
    auto it = std::upper_bound(
        m_history.begin(), m_history.end(), after,
        [](Revision revision, const ObjectState &change) { return revision < change.version; });
    std::vector<const ObjectState *> found;
    for (; it != m_history.end(); ++it) {
        if (hasPrefix(it->key, prefix))
            found.push_back(&*it);
    }
    return found;
}

void ObjectTable::record(const ObjectState &change)
{
    m_history.push_back(change);
    m_historyBytes += bytesOf(change);
    while (m_history.size() > m_limits.historyChanges || m_historyBytes > m_limits.historyBytes) {
        const ObjectState &oldest = m_history.front();
        m_oldestAfter = oldest.version;
        m_historyBytes -= bytesOf(oldest);
        const auto removed = m_removed.find(oldest.key);
        if (removed != m_removed.end() && removed->second.version == oldest.version)
            m_removed.erase(removed);
        m_history.pop_front();
    }
}

} // namespace Medlar::Standins
