#include "soakcluster.h"

#include "base/steadyclock.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "seed for faults and requests; 0: random seed");
DEFINE_uint32(seconds, 30, "duration of fault injection in seconds");
DEFINE_uint32(nodes, 6, "number of daemons; half of them serve keyed backend servers");
DEFINE_uint32(network, 0, "0 to 255; runs at the same time need different ones");
DEFINE_string(log_dir, "",
              "folder for the settings and logs of all daemons; empty: a temporary folder");

namespace {

using namespace std::chrono_literals;

constexpr auto StartupTime = 4s;
// The platform requires that requests are served again within this time after the last fault.
constexpr auto RecoveryTime = 15s;
constexpr auto MeasurementTime = 3s;
constexpr auto DrainTime = 2s;
// Share of the requests; the platform's documentation requires at least a quarter.
constexpr double MinServedShare = 0.25;

} // namespace

int main(int argc, char **argv)
{
    using namespace Medlar;
    using namespace Medlar::Platform;

    gflags::SetUsageMessage("runs daemons as processes under random faults and checks what callers "
                            "and backend servers see; exits with 1 if a guarantee was violated");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::uint64_t seed = FLAGS_seed != 0 ? FLAGS_seed : std::random_device{}();
    std::filesystem::path folder = FLAGS_log_dir;
    if (folder.empty())
        folder = std::filesystem::temp_directory_path() / ("medlar-soak-" + std::to_string(seed));
    std::filesystem::create_directories(folder);

    boost::asio::io_context context;
    Soak::SoakAudit audit;
    Soak::SoakCluster cluster(context,
                              {seed, FLAGS_nodes, std::string(MEDLAR_BIN) + "/medlard-sidecar",
                               folder.string(), FLAGS_network},
                              audit);
    const auto runFor = [&context](std::chrono::seconds time) {
        context.restart();
        context.run_for(time);
    };
    cluster.startAll();
    runFor(StartupTime);
    cluster.startCallers();
    runFor(1s);
    cluster.startFaults();
    runFor(std::chrono::seconds(FLAGS_seconds));
    cluster.stopFaults();
    // Faults injected before the stop can last up to six more seconds.
    runFor(6s + RecoveryTime);
    const Base::TimePoint measuredFrom = Base::steadyNow();
    runFor(MeasurementTime);
    const double served = audit.servedShareSince(measuredFrom);
    if (served < MinServedShare)
        audit.onViolation("recover", "share of requests served after the last fault: "
                                         + std::to_string(served));
    cluster.stopCallers();
    runFor(DrainTime);

    for (const std::string &violation : audit.violations())
        std::cout << "event=soak-violation " << violation << '\n';
    std::cout << "event=soak-end seed=" << seed << " sent=" << audit.sent()
              << " served=" << audit.served() << " served_after=" << served
              << " violations=" << audit.violations().size() << " logs=" << folder.string() << '\n';
    return audit.violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
