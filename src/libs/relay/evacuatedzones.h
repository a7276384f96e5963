#pragma once

#include "base/time.h"
#include "store/version.h"

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace Medlar::Relay {

/*!
    The AvailabilityZones that operators took out of service, as the store has them and as this node
   obeys them.

   A store that comes back from a copy has lost the latest requests of the operators, who write them
   again. An evacuation that was in force before stays in force for RewriteAllowance, or until the
   store has had it again. A zone that the store names in the new era is out of service at once.
*/
class EvacuatedZones
{
public:
    /*! Time for operators to repeat what the store has lost. */
    static constexpr std::chrono::seconds RewriteAllowance{30};

    // Commands

    /*! Applies the zones that the store had at \a revision, unless a later revision is known. */
    void onZones(Base::TimePoint now, Store::Version revision, std::set<std::string> zones);
    /*! The store came back from a copy and is in \a era now. */
    void onStoreRestored(Base::TimePoint now, Store::Era era);
    /*! Ends the evacuations that were not repeated in time. */
    void expire(Base::TimePoint now);

    // Queries

    Store::Version revision() const { return m_revision; }
    /*! The zones that the store had at revision(). */
    const std::set<std::string> &stored() const { return m_stored; }
    /*! The zones to which nothing is sent. */
    std::set<std::string> inForce() const;

private:
    Store::Version m_revision = 0;
    std::set<std::string> m_stored;
    std::map<std::string, Base::TimePoint> m_retainedUntil; //!< zones of a former era
};

} // namespace Medlar::Relay
