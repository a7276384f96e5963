#include "latencyquantiles.h"

#include <algorithm>
#include <cmath>

namespace Medlar::Balancing {

namespace {

constexpr double SmallestSeconds = 10e-6;
constexpr double BucketsPerDoubling = 4.0;

/*! Samples after which the weight of all is halved; at 20 requests/s this is under a minute. */
constexpr float Memory = 1000.0F;

double lowerBound(std::size_t bucket)
{
    return SmallestSeconds * std::exp2(static_cast<double>(bucket) / BucketsPerDoubling);
}

} // namespace

void LatencyQuantiles::add(Base::Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const double position
        = BucketsPerDoubling * std::log2(std::max(seconds, SmallestSeconds) / SmallestSeconds);
    const std::size_t bucket = std::min(static_cast<std::size_t>(position), BucketCount - 1);
    m_buckets[bucket] += 1.0F;
    m_total += 1.0F;
    if (m_total < 2.0F * Memory)
        return;
    m_total = 0.0F;
    for (float &weight : m_buckets) {
        weight /= 2.0F;
        m_total += weight;
    }
}

std::optional<Base::Duration> LatencyQuantiles::quantile(double quantile) const
{
    if (m_total < MinSamples)
        return std::nullopt;
    double rest = quantile * m_total;
    std::size_t bucket = 0;
    while (bucket + 1 < BucketCount && rest > m_buckets[bucket])
        rest -= m_buckets[bucket++];
    const double weight = m_buckets[bucket];
    const double share = weight > 0.0 ? std::clamp(rest / weight, 0.0, 1.0) : 0.0;
    const double seconds = lowerBound(bucket) * std::exp2(share / BucketsPerDoubling);
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Medlar::Balancing
