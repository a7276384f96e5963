#include "fleetview.h"

#include <algorithm>

namespace Medlar::Relay {

namespace {

// Weight of the latest request in the moving average of failures.
constexpr double FailureAverageWeight = 0.1;
// A node is avoided for this long after a failure. The time grows with the share of failed
// requests.
constexpr std::chrono::milliseconds AvoidDuration{200};
constexpr std::chrono::milliseconds MaxAvoidDuration{2000};
// Load by slot that is assumed of a BackendServer which has just declined a request for lack of
// room: all slots and a queue of half as many requests, whatever counts it reports.
constexpr double DeclinedLoad = 1.5;

} // namespace

double NodeView::capacity(Base::Duration serviceTime) const
{
    constexpr double Thousandth = 0.001;
    const double slots = std::max<std::uint32_t>(1, status.slots);
    if (notice.limitThousandths == 0 || notice.backend != status.backend)
        return slots;
    const double perSecond = static_cast<double>(notice.limitThousandths) * Thousandth;
    return std::min(slots, perSecond * std::chrono::duration<double>(serviceTime).count());
}

double NodeView::slotsFor(double serviceMs) const
{
    constexpr double MinSlots = 0.01;
    const std::chrono::duration<double, std::milli> serviceTime(serviceMs);
    return std::max(MinSlots, capacity(std::chrono::duration_cast<Base::Duration>(serviceTime)));
}

double NodeView::serviceMs(double assumedServiceMs) const
{
    return load.serviceTime.count() > 0
               ? std::chrono::duration<double, std::milli>(load.serviceTime).count()
               : assumedServiceMs;
}

FleetView::FleetView(std::string self, const NodePlace &place) : m_self(std::move(self))
{
    NodeView &view = m_nodes[m_self];
    view.place = place;
    view.isRegistered = true;
    view.isLinked = true;
}

FleetView::FleetView(const FleetView &other) : m_self(other.m_self), m_nodes(other.m_nodes)
{
    for (FleetNode &copy : m_nodes) {
        // The index of the other view refers to its nodes.
        copy.second.index = {};
        updateIndex(copy);
    }
}

FleetNode &FleetView::node(const std::string &name)
{
    return *m_nodes.try_emplace(name).first;
}

void FleetView::setRegistered(const std::string &node, const NodePlace &place)
{
    if (node == m_self)
        return;
    FleetNode &entry = this->node(node);
    entry.second.place = place;
    entry.second.isRegistered = true;
    updateIndex(entry);
}

void FleetView::setUnregistered(const std::string &node)
{
    const auto found = m_nodes.find(node);
    if (node == m_self || found == m_nodes.end())
        return;
    if (found->second.isLinked)
        found->second.isRegistered = false;
    else
        erase(*found);
}

void FleetView::erase(FleetNode &entry)
{
    m_index.remove(entry);
    // The name is a part of what is erased.
    m_nodes.erase(m_nodes.find(entry.first));
}

void FleetView::forgetLoad(NodeView &view)
{
    view.load.running = 0;
    view.load.waiting = 0;
    view.loadAt = {};
    view.reportedLoad = 0.0;
    view.isLoadFromAnswer = false;
}

void FleetView::setLinked(Base::TimePoint now, const std::string &node, bool isLinked)
{
    FleetNode &entry = this->node(node);
    NodeView &view = entry.second;
    if (view.isLinked == isLinked)
        return;
    view.isLinked = isLinked;
    view.linkChanged = now;
    if (!isLinked) {
        view.status.state = Messages::BackendState::Absent;
        view.outstanding = 0;
        // A daemon that restarts learns the limit from the next answer, and does not send that it
        // ended.
        view.notice.limitThousandths = 0;
        forgetLoad(view);
    }
    updateIndex(entry);
    if (!isLinked && !view.isRegistered)
        erase(entry);
}

void FleetView::onStatus(Base::TimePoint now, const std::string &node,
                         const Messages::NodeStatus &status)
{
    FleetNode &entry = this->node(node);
    NodeView &view = entry.second;
    if (status.backend != view.status.backend) {
        view.failureRate = 0.0;
        view.avoidUntil = now;
        // The requests of the former incarnation are gone, and its last service times may have
        // been those of a BackendServer that was about to fail.
        forgetLoad(view);
        view.load.serviceTime = view.load.usualServiceTime;
    }
    view.status = status;
    applyNotice(view);
    updateIndex(entry);
}

void FleetView::onNotice(const std::string &node, const Messages::NodeNotice &notice)
{
    FleetNode &entry = this->node(node);
    NodeView &view = entry.second;
    const bool wasLeaving = view.notice.isLeaving && view.notice.backend == notice.backend;
    view.notice = notice;
    view.notice.isLeaving = notice.isLeaving || wasLeaving;
    applyNotice(view);
    updateIndex(entry);
}

void FleetView::applyNotice(NodeView &view)
{
    const bool isLeaving = view.notice.isLeaving && view.notice.backend == view.status.backend;
    if (isLeaving && view.status.state != Messages::BackendState::Absent)
        view.status.state = Messages::BackendState::Draining;
}

void FleetView::onLoad(Base::TimePoint now, const std::string &node, const Messages::NodeLoad &load)
{
    FleetNode &entry = this->node(node);
    NodeView &view = entry.second;
    const Messages::NodeLoad previousLoad = view.load;
    view.load = load;
    // A daemon that has measured no service time yet reports only the request counts.
    if (load.serviceTime.count() == 0) {
        view.load.serviceTime = previousLoad.serviceTime;
        view.load.usualServiceTime = previousLoad.usualServiceTime;
    }
    view.loadAt = now;
    view.reportedLoad = load.running + load.waiting;
    view.isLoadFromAnswer = false;
    updateIndex(entry);
    NodeIndex::onReport(view);
}

void FleetView::onAnswerLoad(Base::TimePoint now, const std::string &node, std::uint32_t running,
                             std::uint32_t waiting, OfferResult result)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end())
        return;
    NodeView &view = found->second;
    view.load.running = running;
    view.load.waiting = waiting;
    view.loadAt = now;
    view.reportedLoad = running + waiting;
    view.isLoadFromAnswer = true;
    NodeIndex::onReport(view);
    if (result == OfferResult::Declined)
        view.reportedLoad = std::max(view.reportedLoad,
                                     DeclinedLoad * std::max<std::uint32_t>(1, view.status.slots));
    const NodeGroup *const group = view.index.group;
    // A BackendServer that fails its requests at once is idle, which must not attract more.
    if (result == OfferResult::Served && group
        && view.reportedLoad < group->utilization * std::max<std::uint32_t>(1, view.status.slots))
        NodeIndex::addHint(*found, now);
}

void FleetView::onSent(const std::string &node)
{
    FleetNode &entry = this->node(node);
    ++entry.second.outstanding;
    entry.second.reportedLoad += 1.0;
    NodeIndex::useHint(entry);
}

void FleetView::onRequestEnded(Base::TimePoint now, const std::string &node, bool hasFailed)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end())
        return;
    NodeView &view = found->second;
    view.outstanding -= view.outstanding > 0 ? 1 : 0;
    view.failureRate += ((hasFailed ? 1.0 : 0.0) - view.failureRate) * FailureAverageWeight;
    if (hasFailed) {
        const auto avoidDuration = std::chrono::duration_cast<Base::Duration>(
            std::chrono::duration<double, std::milli>(AvoidDuration)
            * (1.0 + 10.0 * view.failureRate));
        view.avoidUntil = now + std::min<Base::Duration>(avoidDuration, MaxAvoidDuration);
    }
}

const NodeView *FleetView::find(const std::string &node) const
{
    const auto found = m_nodes.find(node);
    return found == m_nodes.end() ? nullptr : &found->second;
}

const NodeView *FleetView::findRangeOwner(const std::string &id, std::string *name) const
{
    const std::size_t slash = id.rfind('/');
    if (slash == std::string::npos)
        return nullptr;
    const std::string node = id.substr(0, slash);
    const NodeView *const view = find(node);
    if (!view || rangeOwnerId(node, view->place) != id)
        return nullptr;
    if (name)
        *name = node;
    return view;
}

} // namespace Medlar::Relay
