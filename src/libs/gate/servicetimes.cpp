#include "servicetimes.h"

#include "base/scaledduration.h"

#include <algorithm>

namespace Medlar::Gate {

using Base::scaled;

namespace {

// Weight of the latest request in the moving averages.
constexpr double SmoothingFactor = 0.05;
// Number of requests in the long-term means.
constexpr std::uint32_t UsualSamples = 250;
// A route without answers is expected to use this share of its target latency.
constexpr double PriorTargetShare = 0.3;
// Number of answers that weigh as much as the prior of a route.
constexpr std::uint32_t PriorSamples = 3;
// Bounds of the slowdown, against extreme answers of a route with few samples.
constexpr double MinSlowdown = 0.3;
constexpr double MaxSlowdown = 10.0;
// Above this number, the route with the fewest answers is dropped. Routes come and go with the
// configuration.
constexpr std::size_t MaxRoutes = 256;

} // namespace

void ServiceTimes::prepare(const std::string &route, Base::Duration targetLeft)
{
    if (m_routes.count(route) != 0)
        return;
    if (m_routes.size() >= MaxRoutes)
        m_routes.erase(
            std::min_element(m_routes.begin(), m_routes.end(), [](const auto &a, const auto &b) {
                return a.second.samples < b.second.samples;
            }));
    const Base::Duration prior = scaled(targetLeft, PriorTargetShare);
    m_routes[route] = {prior > Base::Duration::zero() ? std::min(prior, m_usualMean) : m_usualMean,
                       PriorSamples};
}

void ServiceTimes::add(const std::string &route, Base::Duration elapsed)
{
    m_recentMean += scaled(elapsed - m_recentMean, SmoothingFactor);
    m_samples = std::min(m_samples + 1, UsualSamples);
    m_usualMean += scaled(elapsed - m_usualMean, 1.0 / m_samples);
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return;
    Statistics &statistics = found->second;
    const double slowdown
        = static_cast<double>(elapsed.count())
          / static_cast<double>(std::max<Base::Duration::rep>(1, statistics.usual.count()));
    m_slowdown += (std::clamp(slowdown, MinSlowdown, MaxSlowdown) - m_slowdown) * SmoothingFactor;
    statistics.samples = std::min(statistics.samples + 1, UsualSamples);
    statistics.usual += scaled(elapsed - statistics.usual, 1.0 / statistics.samples);
}

Base::Duration ServiceTimes::expected(const std::string &route) const
{
    return scaled(usual(route), m_slowdown);
}

Base::Duration ServiceTimes::usual(const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? m_usualMean : found->second.usual;
}

} // namespace Medlar::Gate
