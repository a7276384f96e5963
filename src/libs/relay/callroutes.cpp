#include "callroutes.h"

#include <cmath>

namespace Medlar::Relay {

namespace {

// A gate that gets 100 requests of clients per second takes a route for a call route by chance once
// in several hours, until the next request from another service arrives.
constexpr double MaxProbability = 1e-6;
// The origins of a route without requests for this long may have changed with the configuration.
constexpr std::chrono::minutes MaxAge{10};
constexpr std::chrono::seconds CleanupInterval{10};

} // namespace

void CallRoutes::setNodes(std::map<std::string, std::size_t> nodesByService)
{
    m_nodesByService = std::move(nodesByService);
    m_nodes = 0;
    for (const auto &[service, nodes] : m_nodesByService)
        m_nodes += nodes;
}

bool CallRoutes::isCall(const Origin &origin)
{
    static const double logMaxProbability = std::log(MaxProbability);
    return origin.logProbability < logMaxProbability;
}

bool CallRoutes::isCall(const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && isCall(found->second);
}

bool CallRoutes::onRequest(Base::TimePoint now, const std::string &route, const std::string &node,
                           const std::string &service)
{
    const auto nodes = m_nodesByService.find(service);
    if (service.empty() || nodes == m_nodesByService.end() || nodes->second == 0)
        return false;
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= MaxRoutes)
            removeOld(now);
        if (m_routes.size() >= MaxRoutes)
            return false;
        found = m_routes.emplace(route, Origin{service, {}, 0.0, now}).first;
    }
    Origin &origin = found->second;
    const bool wasCall = isCall(origin);
    if (origin.service != service || now - origin.lastRequest > MaxAge)
        origin = {service, {}, 0.0, now};
    origin.lastRequest = now;
    if (origin.lastNode == node)
        return wasCall != isCall(origin);
    origin.lastNode = node;
    if (!isCall(origin))
        origin.logProbability
            += std::log(static_cast<double>(nodes->second) / static_cast<double>(m_nodes));
    return wasCall != isCall(origin);
}

void CallRoutes::removeOld(Base::TimePoint now)
{
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + CleanupInterval;
    for (auto route = m_routes.begin(); route != m_routes.end();) {
        if (now - route->second.lastRequest > MaxAge)
            route = m_routes.erase(route);
        else
            ++route;
    }
}

} // namespace Medlar::Relay
