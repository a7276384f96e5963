#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Medlar::Gate {

/*!
    Estimates how long the requests of each route occupy a slot of a BackendServer. An estimate is
    the long-term mean of the route times the present slowdown of the BackendServer, which is
    measured over all routes.

    Handled load patterns:
    - Short and long requests share a BackendServer: a common mean would decline short requests with
      close deadlines and accept long ones that cannot finish in time.
    - A BackendServer turns slow: the estimates of routes with few requests follow those of the
      others.
    - A route that was not seen before: its target latency bounds the estimate.
*/
class ServiceTimes
{
public:
    // Commands

    /*! Prepares the estimate of a route whose first request has \a targetLeft until its target. */
    void prepare(const std::string &route, Base::Duration targetLeft);
    /*! Records a request that was answered after \a elapsed. */
    void add(const std::string &route, Base::Duration elapsed);

    // Queries

    /*! Expected time of a request at present. */
    Base::Duration expected(const std::string &route) const;
    /*! Long-term mean of a route, without the present slowdown. */
    Base::Duration usual(const std::string &route) const;
    /*! Exponential moving average over the recent requests of all routes. */
    Base::Duration recentMean() const { return m_recentMean; }
    /*! Long-term mean over all routes. */
    Base::Duration usualMean() const { return m_usualMean; }
    /*! Whether enough requests were answered for the means over all routes to be meaningful. */
    bool isKnown() const { return m_samples >= MinSamples; }

private:
    struct Statistics
    {
        Base::Duration usual{0};
        std::uint32_t samples = 0; //!< capped
    };

    static constexpr std::uint32_t MinSamples = 20;

    std::map<std::string, Statistics> m_routes;
    double m_slowdown = 1.0; //!< recent service times divided by the long-term means
    Base::Duration m_recentMean = std::chrono::milliseconds(50);
    Base::Duration m_usualMean = std::chrono::milliseconds(50);
    std::uint32_t m_samples = 0; //!< of all routes, capped
};

} // namespace Medlar::Gate
