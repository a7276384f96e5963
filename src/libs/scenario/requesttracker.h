#pragma once

#include "fakestore.h"
#include "simulatednode.h"

namespace Medlar::Scenario {

/*! The token under which \a node may serve requests for \a unit, a slot or a hot key, now. */
std::optional<Cluster::FencingToken> permittedToken(const SimulatedNode &node,
                                                    Cluster::SlotId unit);

/*!
    Models requests in flight: when the permission for a slot or hot key ends before the lease, its
   last request ends some time later. This does not depend on whether the engine asks for a drain.
*/
class RequestTracker
{
public:
    RequestTracker(const FakeStore &store, RandomSource &random, TrueTime longestRequest);

    /*! Notes which permissions of \a node began or ended. */
    void observe(TrueTime now, SimulatedNode &node);
    /*! When the last request of \a slots ends. */
    TrueTime drainEnd(TrueTime now, const SimulatedNode &node,
                      const std::vector<Messages::SlotEpoch> &slots) const;

private:
    const FakeStore &m_store;
    RandomSource &m_random;
    TrueTime m_longestRequest;
};

} // namespace Medlar::Scenario
