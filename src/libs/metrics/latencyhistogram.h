#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace Medlar::Metrics {

/*!
    Counts durations in logarithmic bins between 10 µs and 100 s. add() is lock-free and may be
   called from any thread; queries see a recent state.
*/
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void add(std::chrono::nanoseconds duration);

    struct Bucket
    {
        std::chrono::duration<double> upperBound{};
        std::uint64_t count = 0; //!< durations up to the bound, those of lower buckets included
    };
    /*! All bins but the last, whose bound is infinite. */
    std::vector<Bucket> buckets() const;
    std::uint64_t count() const;
    std::chrono::duration<double> sum() const;
    /*! Upper bound of the bin that holds the quantile \a q of 0..1; 0 when nothing was added. */
    std::chrono::duration<double> quantile(double q) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
};

} // namespace Medlar::Metrics
