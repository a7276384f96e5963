#include "fakenetwork.h"

#include "messages/messagecodec.h"

#include <algorithm>

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

// One-way delays of docs/design.md, 1.3, and a guess within a zone.
constexpr TrueTime DelayInZone = 200us;
constexpr TrueTime DelayBetweenZones = 500us;
constexpr TrueTime DelayBetweenRegions = 20ms;
/*! Jitter as a fraction of the delay. */
constexpr int JitterDivisor = 5;
constexpr TrueTime LongestReorderDelay = 60ms;

} // namespace

FakeNetwork::FakeNetwork(EventQueue &queue, RandomSource &random, Deliver deliver)
    : m_queue(queue), m_random(random), m_deliver(std::move(deliver))
{}

void FakeNetwork::setLocation(const std::string &node, Location location)
{
    m_locations[node] = std::move(location);
}

void FakeNetwork::send(const std::string &fromNode, const std::string &toNode,
                       const Base::InstanceId &from, const Base::InstanceId &to,
                       const Messages::PeerMessage &message)
{
    if (m_counting) {
        ++m_sent.messages;
        m_sent.payloadBytes += Messages::encode(message).size();
    }
    const Link link(fromNode, toNode);
    const LinkFaults &faults = faultsOf(link);
    if (isBlocked(fromNode, toNode) || m_random.chance(faults.dropPercent))
        return;
    scheduleDelivery(link, from, to, message, faults);
    if (m_random.chance(faults.duplicatePercent))
        scheduleDelivery(link, from, to, message, faults);
}

void FakeNetwork::scheduleDelivery(const Link &link, const Base::InstanceId &from,
                                   const Base::InstanceId &to, const Messages::PeerMessage &message,
                                   const LinkFaults &faults)
{
    TrueTime at = m_queue.now() + delayOf(link) + faults.extraDelay;
    if (m_random.chance(faults.reorderPercent)) {
        at += m_random.between(0ms, LongestReorderDelay);
    } else {
        TrueTime &last = m_lastDelivery[link];
        at = std::max(at, last);
        last = at;
    }
    m_queue.schedule(at, [this, link, from, to, message] {
        m_deliver(link.first, link.second, from, to, message);
    });
}

TrueTime FakeNetwork::delayOf(const Link &link)
{
    const Location &from = m_locations[link.first];
    const Location &to = m_locations[link.second];
    TrueTime delay = DelayBetweenRegions;
    if (from.region == to.region)
        delay = from.zone == to.zone ? DelayInZone : DelayBetweenZones;
    return delay + m_random.between(0ns, delay / JitterDivisor);
}

void FakeNetwork::block(const std::string &from, const std::string &to)
{
    m_blocked.emplace(from, to);
}

void FakeNetwork::heal()
{
    m_blocked.clear();
    m_faults.clear();
    m_faultsEverywhere = {};
}

void FakeNetwork::setFaults(const std::string &from, const std::string &to,
                            const LinkFaults &faults)
{
    m_faults[{from, to}] = faults;
}

void FakeNetwork::setFaultsEverywhere(const LinkFaults &faults)
{
    m_faultsEverywhere = faults;
}

bool FakeNetwork::isBlocked(const std::string &from, const std::string &to) const
{
    return m_blocked.count({from, to}) != 0;
}

const LinkFaults &FakeNetwork::faultsOf(const Link &link) const
{
    const auto found = m_faults.find(link);
    return found == m_faults.end() ? m_faultsEverywhere : found->second;
}

void FakeNetwork::startCounting()
{
    m_counting = true;
    m_sent = {};
}

} // namespace Medlar::Scenario
