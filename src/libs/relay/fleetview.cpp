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

FleetView::FleetView(std::string self, const NodePlace &place) : m_self(std::move(self))
{
    NodeView &view = m_nodes[m_self];
    view.place = place;
    view.isRegistered = true;
    view.isLinked = true;
}

void FleetView::setRegistered(const std::string &node, const NodePlace &place)
{
    if (node == m_self)
        return;
    NodeView &view = m_nodes[node];
    view.place = place;
    view.isRegistered = true;
}

void FleetView::setUnregistered(const std::string &node)
{
    const auto found = m_nodes.find(node);
    if (node == m_self || found == m_nodes.end())
        return;
    if (found->second.isLinked)
        found->second.isRegistered = false;
    else
        m_nodes.erase(found);
}

void FleetView::setLinked(Base::TimePoint now, const std::string &node, bool isLinked)
{
    NodeView &view = m_nodes[node];
    if (view.isLinked == isLinked)
        return;
    view.isLinked = isLinked;
    view.linkChanged = now;
    if (isLinked)
        return;
    view.status.state = Messages::BackendState::Absent;
    view.outstanding = 0;
    // A daemon that restarts learns the limit from the next answer, and does not send that it
    // ended.
    view.notice.limitThousandths = 0;
    if (!view.isRegistered)
        m_nodes.erase(node);
}

void FleetView::onStatus(Base::TimePoint now, const std::string &node,
                         const Messages::NodeStatus &status)
{
    NodeView &view = m_nodes[node];
    if (status.backend != view.status.backend) {
        view.failureRate = 0.0;
        view.avoidUntil = now;
    }
    view.status = status;
    applyNotice(view);
}

void FleetView::onNotice(const std::string &node, const Messages::NodeNotice &notice)
{
    NodeView &view = m_nodes[node];
    const bool wasLeaving = view.notice.isLeaving && view.notice.backend == notice.backend;
    view.notice = notice;
    view.notice.isLeaving = notice.isLeaving || wasLeaving;
    applyNotice(view);
}

void FleetView::applyNotice(NodeView &view)
{
    const bool isLeaving = view.notice.isLeaving && view.notice.backend == view.status.backend;
    if (isLeaving && view.status.state != Messages::BackendState::Absent)
        view.status.state = Messages::BackendState::Draining;
}

void FleetView::onLoad(Base::TimePoint now, const std::string &node, const Messages::NodeLoad &load)
{
    NodeView &view = m_nodes[node];
    const Messages::NodeLoad previousLoad = view.load;
    view.load = load;
    // Loads reported with a response contain only the request counts.
    if (load.serviceTime.count() == 0) {
        view.load.serviceTime = previousLoad.serviceTime;
        view.load.usualServiceTime = previousLoad.usualServiceTime;
    }
    view.loadAt = now;
}

void FleetView::onSent(const std::string &node)
{
    ++m_nodes[node].outstanding;
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
