#pragma once

#include <chrono>
#include <random>

namespace Medlar::Standins {

struct CapacitySettings
{
    std::chrono::microseconds serviceTime{2000}; //!< median
    double spread = 0.2;                         //!< sigma of the log-normal service time
    double fullRate = 0;                         //!< requests/s when warm; 0: no limit when cold
    double coldFraction = 0.1;                   //!< of the full rate, directly after a cold start
    std::chrono::milliseconds coldTime{0};       //!< from the cold start to the full rate
    /*! A request above the cold capacity fails after this time, during which it holds a slot. */
    std::chrono::milliseconds coldFailureTime{1000};
};

/*! Service times and the capacity after a cold start. */
class CapacityModel
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    CapacityModel(const CapacitySettings &settings, std::uint32_t seed, TimePoint start);

    /*! The BackendServer becomes cold; \a coldTime of 0 keeps the one in force. */
    void becomeCold(TimePoint now, std::chrono::milliseconds coldTime);
    /*! Service times are multiplied by \a factor for \a duration. */
    void slowDown(TimePoint now, double factor, std::chrono::milliseconds duration);

    /*! Takes a request from the capacity; false when a cold server cannot complete it. */
    bool take(TimePoint now);
    std::chrono::microseconds nextServiceTime(TimePoint now);
    std::chrono::milliseconds coldFailureTime() const { return m_settings.coldFailureTime; }
    /*! Requests/s that can be completed at \a now; 0 when there is no limit. */
    double rate(TimePoint now) const;

private:
    CapacitySettings m_settings;
    std::mt19937_64 m_random;
    std::lognormal_distribution<double> m_distribution;
    TimePoint m_coldSince;
    double m_tokens = 1;
    TimePoint m_tokensAt;
    double m_factor = 1;
    TimePoint m_slowUntil{};
};

} // namespace Medlar::Standins
