#include "requesttracker.h"

#include <algorithm>

namespace Medlar::Scenario {

std::optional<Cluster::FencingToken> permittedToken(const SimulatedNode &node, Cluster::SlotId unit)
{
    if (!node.isAlive())
        return {};
    const Base::TimePoint now = node.localTime();
    if (const auto permit = node.engine().permit(now, ServiceName, unit))
        return permit->token;
    const Cluster::SlotTable *table = node.engine().table(ServiceName);
    if (!Cluster::isHotKey(unit) || table == nullptr)
        return {};
    // A daemon looks the key up in its table, and may find that its base slot still covers it.
    const Cluster::SlotId slot = table->slotFor(unit & ~Cluster::HotKeyBit);
    const auto permit = node.engine().permit(now, ServiceName, slot);
    return permit ? std::optional(permit->token) : std::nullopt;
}

RequestTracker::RequestTracker(const FakeStore &store, RandomSource &random,
                               TrueTime longestRequest)
    : m_store(store), m_random(random), m_longestRequest(longestRequest)
{}

void RequestTracker::observe(TrueTime now, SimulatedNode &node)
{
    for (const auto &[unit, entry] : m_store.entries()) {
        if (permittedToken(node, unit)) {
            node.permitted.insert(unit);
            node.requestsEnd.erase(unit);
        } else if (node.permitted.erase(unit) != 0) {
            node.requestsEnd[unit] = now + m_random.between(TrueTime(0), m_longestRequest);
        }
    }
}

TrueTime RequestTracker::drainEnd(TrueTime now, const SimulatedNode &node,
                                  const std::vector<Messages::SlotEpoch> &slots) const
{
    TrueTime end = now;
    for (const Messages::SlotEpoch &slot : slots) {
        for (const auto &[unit, requestsEnd] : node.requestsEnd) {
            // Requests for a hot key may have begun as requests of its base slot.
            if (unit == slot.slot || m_store.baseSlotOf(unit) == slot.slot)
                end = std::max(end, requestsEnd);
        }
    }
    return end;
}

} // namespace Medlar::Scenario
