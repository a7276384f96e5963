#include "reporttraffic.h"

#include "daemon/plannerreporter.h"
#include "messages/messagecodec.h"

#include <chrono>
#include <random>
#include <vector>

namespace Medlar::Experiments {

namespace {

constexpr std::chrono::seconds ReportInterval{10};
constexpr int Reports = 36; //!< six minutes, in which all rates are sent twice
/*! TCP, IP and WebSocket headers of a frame, and the packet that acknowledges it. */
constexpr double HeaderBytes = 66.0 + 52.0;
/*! Shares of a node's requests that its most frequent keys have. */
constexpr double KeyShares[] = {0.2, 0.1, 0.05, 0.02, 0.012, 0.01};

struct NodeLoad
{
    std::vector<double> slotRates;
    double rate = 0.0;
};

std::uint64_t countOf(double rate, std::mt19937_64 &random)
{
    const double mean = rate * double(ReportInterval.count());
    return std::poisson_distribution<std::uint64_t>(mean)(random);
}

Messages::LoadSummary countRequests(const NodeLoad &load, const Base::InstanceId &self,
                                    std::mt19937_64 &random)
{
    Messages::LoadSummary summary{self, "experiment", ReportInterval, {}, {}, 0};
    for (std::size_t slot = 0; slot < load.slotRates.size(); ++slot) {
        const std::uint64_t count = countOf(load.slotRates[slot], random);
        summary.requests += count;
        summary.slots.push_back({self.incarnation * load.slotRates.size() + slot, count});
    }
    std::uint64_t key = Cluster::HotKeyBit | (self.incarnation << 40U);
    for (const double share : KeyShares)
        summary.hotKeys.push_back({++key, countOf(load.rate * share, random)});
    return summary;
}

double bytesOf(const std::vector<Messages::PeerMessage> &messages)
{
    double bytes = 0.0;
    for (const Messages::PeerMessage &message : messages)
        bytes += double(Messages::encode(message).size()) + HeaderBytes;
    return bytes;
}

} // namespace

ReportTraffic measureReportTraffic(const ReportTrafficOptions &options)
{
    std::mt19937_64 random(options.seed);
    const double mean = options.requestsPerSecond / double(options.nodes * options.slotsPerNode);
    std::exponential_distribution<double> slotRate(1.0 / mean);
    const Base::InstanceId planner{"planner", 1};
    ReportTraffic result;
    for (std::size_t node = 1; node <= options.nodes; ++node) {
        const Base::InstanceId self{"node-" + std::to_string(node), node};
        NodeLoad load;
        for (std::size_t i = 0; i < options.slotsPerNode; ++i) {
            load.slotRates.push_back(slotRate(random));
            load.rate += load.slotRates.back();
        }
        Daemon::PlannerReporter reporter;
        Base::TimePoint now{std::chrono::hours(1)};
        reporter.addLoad(now, {{self, "experiment", ReportInterval, {}, {}, 0}});
        for (int i = 0; i < Reports; ++i) {
            const Messages::LoadSummary counted = countRequests(load, self, random);
            now += ReportInterval;
            reporter.addLoad(now, {counted});
            result.changedBytesPerSecond += bytesOf(reporter.takeDue(now, self, planner, {}));
            result.wholeBytesPerSecond += bytesOf({counted});
        }
    }
    const std::chrono::duration<double> time = Reports * ReportInterval;
    result.changedBytesPerSecond /= time.count();
    result.wholeBytesPerSecond /= time.count();
    return result;
}

} // namespace Medlar::Experiments
