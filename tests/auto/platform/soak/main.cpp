#include "soakcluster.h"

#include "base/steadyclock.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "of faults and requests; 0: a fresh one");
DEFINE_uint32(seconds, 30, "of faults");
DEFINE_uint32(nodes, 6, "daemons, half of them beside backend servers with keys");
DEFINE_string(log_dir, "",
              "keeps settings and logs of all daemons there; empty: a temporary folder");

namespace {

using namespace std::chrono_literals;

constexpr auto StartTime = 4s;
// Of the platform's bounds: requests are served again this long after the last fault.
constexpr auto RecoveryTime = 15s;
constexpr auto MeasuredTime = 3s;
constexpr auto LastAnswers = 2s;
// Share of the requests; a quarter is the least that the platform's pages ask for.
constexpr double LeastServed = 0.25;

} // namespace

int main(int argc, char **argv)
{
    using namespace Medlar;
    using namespace Medlar::Platform;

    gflags::SetUsageMessage("runs daemons as processes under random faults and checks what callers "
                            "and backend servers see; exits with 1 if a promise was broken");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::uint64_t seed = FLAGS_seed != 0 ? FLAGS_seed : std::random_device{}();
    std::filesystem::path folder = FLAGS_log_dir;
    if (folder.empty())
        folder = std::filesystem::temp_directory_path() / ("medlar-soak-" + std::to_string(seed));
    std::filesystem::create_directories(folder);

    boost::asio::io_context context;
    Soak::SoakAudit audit;
    Soak::SoakCluster cluster(
        context, {seed, FLAGS_nodes, std::string(MEDLAR_BIN) + "/medlard-sidecar", folder.string()},
        audit);
    const auto runFor = [&context](std::chrono::seconds time) {
        context.restart();
        context.run_for(time);
    };
    cluster.startAll();
    runFor(StartTime);
    cluster.startCallers();
    runFor(1s);
    cluster.startFaults();
    runFor(std::chrono::seconds(FLAGS_seconds));
    cluster.stopFaults();
    // Faults that were begun last up to five seconds longer.
    runFor(5s + RecoveryTime);
    const Base::TimePoint measuredFrom = Base::steadyNow();
    runFor(MeasuredTime);
    const double served = audit.servedSince(measuredFrom);
    if (served < LeastServed)
        audit.onViolation("recover", "served after all faults: " + std::to_string(served));
    cluster.stopCallers();
    runFor(LastAnswers);

    for (const std::string &violation : audit.violations())
        std::cout << "event=soak-violation " << violation << '\n';
    std::cout << "event=soak-end seed=" << seed << " sent=" << audit.sent()
              << " served=" << audit.served() << " served_after=" << served
              << " violations=" << audit.violations().size() << " logs=" << folder.string() << '\n';
    return audit.violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
