#include "metricregistry.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>

namespace Medlar::Metrics {

struct MetricRegistry::Family
{
    std::string help;
    std::map<Labels, std::unique_ptr<Counter>> counters;
    std::map<Labels, std::unique_ptr<LatencyHistogram>> latencies;
    std::map<Labels, std::function<double()>> gauges;
};

namespace {

prometheus::ClientMetric labelled(const Labels &labels)
{
    prometheus::ClientMetric metric;
    for (const auto &[name, value] : labels)
        metric.label.push_back({name, value});
    return metric;
}

prometheus::ClientMetric::Histogram toPrometheus(const LatencyHistogram &latency)
{
    prometheus::ClientMetric::Histogram result;
    for (const LatencyHistogram::Bucket &bucket : latency.buckets())
        result.bucket.push_back({bucket.count, bucket.upperBound.count()});
    // Read after the buckets, so that concurrent updates cannot leave it below one of them.
    result.sample_count = latency.count();
    result.sample_sum = latency.sum().count();
    result.bucket.push_back({result.sample_count, std::numeric_limits<double>::infinity()});
    return result;
}

} // namespace

MetricRegistry::MetricRegistry() = default;
MetricRegistry::~MetricRegistry() = default;

MetricRegistry::Family &MetricRegistry::family(const std::string &name, const std::string &help)
{
    Family &result = m_families[name];
    if (result.help.empty())
        result.help = help;
    return result;
}

Counter &MetricRegistry::counter(const std::string &name, const std::string &help,
                                 const Labels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &counter = family(name, help).counters[labels];
    if (!counter)
        counter = std::make_unique<Counter>();
    return *counter;
}

LatencyHistogram &MetricRegistry::latency(const std::string &name, const std::string &help,
                                          const Labels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &latency = family(name, help).latencies[labels];
    if (!latency)
        latency = std::make_unique<LatencyHistogram>();
    return *latency;
}

void MetricRegistry::setGauge(const std::string &name, const std::string &help,
                              const Labels &labels, std::function<double()> value)
{
    const std::lock_guard lock(m_mutex);
    family(name, help).gauges[labels] = std::move(value);
}

std::string MetricRegistry::prometheusText() const
{
    std::vector<prometheus::MetricFamily> families;
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, family] : m_families) {
        prometheus::MetricFamily out;
        out.name = name;
        out.help = family.help;
        for (const auto &[labels, counter] : family.counters) {
            out.type = prometheus::MetricType::Counter;
            out.metric.push_back(labelled(labels));
            out.metric.back().counter.value = static_cast<double>(counter->value());
        }
        for (const auto &[labels, latency] : family.latencies) {
            out.type = prometheus::MetricType::Histogram;
            out.metric.push_back(labelled(labels));
            out.metric.back().histogram = toPrometheus(*latency);
        }
        for (const auto &[labels, value] : family.gauges) {
            out.type = prometheus::MetricType::Gauge;
            out.metric.push_back(labelled(labels));
            out.metric.back().gauge.value = value();
        }
        families.push_back(std::move(out));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace Medlar::Metrics
