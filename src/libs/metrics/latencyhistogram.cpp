#include "latencyhistogram.h"

#include <boost/histogram.hpp>

#include <atomic>

namespace Medlar::Metrics {

namespace {

namespace bh = boost::histogram;

// Eight bins for each factor of ten bound the error of a quantile to 33%.
constexpr unsigned BinsPerDecade = 8;
constexpr unsigned Decades = 7;
constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 1e2;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using Histogram = decltype(bh::make_histogram_with(Storage(), std::declval<Axis>()));

} // namespace

struct LatencyHistogram::Bins
{
    Histogram histogram = bh::make_histogram_with(
        Storage(), Axis(BinsPerDecade *Decades, LowestSeconds, HighestSeconds));
    std::atomic<std::uint64_t> nanoseconds{0};
};

LatencyHistogram::LatencyHistogram() : m_bins(std::make_unique<Bins>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(std::chrono::nanoseconds duration)
{
    const auto positive = std::max(duration, std::chrono::nanoseconds(1));
    m_bins->histogram(std::chrono::duration<double>(positive).count());
    m_bins->nanoseconds.fetch_add(static_cast<std::uint64_t>(positive.count()),
                                  std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> result;
    std::uint64_t total = 0;
    const auto &axis = m_bins->histogram.axis(0);
    for (int bin = -1; bin < axis.size(); ++bin) {
        total += m_bins->histogram.at(bin).value();
        result.push_back({std::chrono::duration<double>(axis.value(bin + 1)), total});
    }
    return result;
}

std::uint64_t LatencyHistogram::count() const
{
    const auto &axis = m_bins->histogram.axis(0);
    return buckets().back().count + m_bins->histogram.at(axis.size()).value();
}

std::chrono::duration<double> LatencyHistogram::sum() const
{
    return std::chrono::nanoseconds(m_bins->nanoseconds.load(std::memory_order_relaxed));
}

std::chrono::duration<double> LatencyHistogram::quantile(double q) const
{
    const std::uint64_t all = count();
    if (all == 0)
        return {};
    const double wanted = q * static_cast<double>(all);
    for (const Bucket &bucket : buckets()) {
        if (static_cast<double>(bucket.count) >= wanted)
            return bucket.upperBound;
    }
    return std::chrono::duration<double>(HighestSeconds);
}

} // namespace Medlar::Metrics
