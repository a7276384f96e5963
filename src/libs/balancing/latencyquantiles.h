#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Medlar::Balancing {

/*!
    Quantiles of recent latencies, from logarithmic buckets 19% apart. Old samples lose half of
   their weight each time Memory new ones have been added.
*/
class LatencyQuantiles
{
public:
    void add(Base::Duration latency);

    /*! The value that the share \a quantile (0 to 1) of samples does not exceed, interpolated
     * within its bucket. Empty before MinSamples samples. */
    std::optional<Base::Duration> quantile(double quantile) const;

    static constexpr double MinSamples = 20.0;

private:
    static constexpr std::size_t BucketCount = 96; //!< 10 µs to 168 s
    std::array<float, BucketCount> m_buckets{};
    float m_total = 0.0F;
};

} // namespace Medlar::Balancing
