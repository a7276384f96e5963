#pragma once

#include "version.h"

#include <functional>
#include <optional>
#include <vector>

namespace Medlar::Store {

/*!
    The eras of the store as this process knows them: from the answers of the store, and from
   versions that peers name.

   Versions name an era only after a restore was noticed. Until then they have era 0, which stands
   for the era in which the process began, so that daemons of a build that does not know eras
   understand them. After a restore, versions without an era are older than all others.
*/
class StoreEras
{
public:
    // Commands

    /*! Records the era that an answer of the store names, if it names one. Returns false if the
     * answer must be ignored, since it is of a former era. */
    bool accept(std::optional<Era> named);
    /*! Records that a peer knows a version of \a era. */
    void learnFromPeer(Era era);
    /*! Records that the store was restored before this process began. */
    void noteEarlierRestore();
    /*! \a listener is called whenever current() has changed. */
    void addListener(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

    // Queries

    /*! The latest era that the store or a peer has named, or 0 if none was named. */
    Era latest() const { return m_latest; }
    /*! The era of versions that are read now: 0 until a restore was noticed. */
    Era current() const { return m_current; }
    /*! The version of an object that the store returned with \a revision. */
    Version version(std::uint64_t revision) const { return versionOf(m_current, revision); }
    bool isCurrent(Version version) const { return eraOf(version) == m_current; }

private:
    void setCurrent(Era era);

    Era m_latest = 0;
    Era m_current = 0;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace Medlar::Store
