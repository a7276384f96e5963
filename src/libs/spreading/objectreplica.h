#pragma once

#include "messages/peermessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Medlar::Spreading {

/*! An object of the store as a daemon holds it. Removed objects stay with their version and no
 * value. */
struct HeldObject
{
    std::uint64_t version = 0;
    std::optional<std::string> value;
};

/*! The daemon's copy of the store's objects. A higher version always wins, so copies converge. */
class ObjectReplica
{
public:
    /*! Takes the object if \a version is higher than the known one; returns whether it was taken.
     */
    bool update(const std::string &key, std::uint64_t version, std::optional<std::string> value);

    /*!
        Applies a delta; returns whether the object changed. A delta whose base version is not the
       one held is not applied: the whole object must be fetched.
    */
    bool apply(const Messages::ObjectDelta &delta);

    const HeldObject *find(const std::string &key) const;
    const std::map<std::string, HeldObject> &objects() const { return m_objects; }
    std::map<std::string, std::uint64_t> versions() const;

    /*! Equal for equal sets of keys and versions, independent of the order of updates. */
    std::uint64_t hash() const { return m_hash; }

private:
    std::map<std::string, HeldObject> m_objects;
    std::uint64_t m_hash = 0;
};

/*!
    The delta from one value of an object to the next, or nothing when the whole object is shorter.
   Assignment chunks are compared entry by entry, JSON objects become a JSON patch.
*/
std::optional<std::string> makeDelta(const std::string &key, const std::string &from,
                                     const std::string &to);

/*! The value after \a delta, or nothing when the delta does not fit. */
std::optional<std::string> applyDelta(const std::string &key, const std::string &from,
                                      const std::string &delta);

/*! Whether \a key names an assignment chunk, which is stored as CBOR. */
bool isAssignmentKey(const std::string &key);

} // namespace Medlar::Spreading
