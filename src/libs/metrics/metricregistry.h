#pragma once

#include "latencyhistogram.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Medlar::Metrics {

using Labels = std::map<std::string, std::string>;

/*! Only grows. May be used from any thread. */
class Counter
{
public:
    void add(std::uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/*!
    All metrics of a process. Functions may be called from any thread; the returned objects live as
   long as the registry, so callers look them up once and keep the reference.
*/
class MetricRegistry
{
public:
    MetricRegistry();
    ~MetricRegistry();
    MetricRegistry(const MetricRegistry &) = delete;
    MetricRegistry &operator=(const MetricRegistry &) = delete;

    /*! The counter with this name and these labels; it is made at the first call. */
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    /*! Durations in seconds. */
    LatencyHistogram &latency(const std::string &name, const std::string &help,
                              const Labels &labels = {});
    /*! \a value is called by prometheusText() on the thread of its caller. */
    void setGauge(const std::string &name, const std::string &help, const Labels &labels,
                  std::function<double()> value);

    /*! All metrics in the text format of Prometheus. */
    std::string prometheusText() const;

private:
    struct Family;
    Family &family(const std::string &name, const std::string &help);

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
};

} // namespace Medlar::Metrics
