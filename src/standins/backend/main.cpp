#include "backendserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_string(name, "backend", "server name in responses");
DEFINE_uint32(slots, 6, "requests that run at once");
DEFINE_uint32(connections, 120, "connections; further ones are closed");
DEFINE_uint32(queue, 64, "requests that wait for a slot; further ones are shed");
DEFINE_bool(checks_fencing, true, "reject keyed requests without grant or with a lower token");
DEFINE_uint64(service_us, 2000, "median service time");
DEFINE_double(spread, 0.2, "sigma of the log-normal service time");
DEFINE_double(full_rate, 0, "requests/s when warm; 0: slots / service time");
DEFINE_double(cold_fraction, 0.1, "share of the full rate directly after a cold start");
DEFINE_uint32(cold_ms, 0, "time from the start to the full rate");
DEFINE_uint32(cold_failure_ms, 1000, "time after which requests above the cold capacity fail");
DEFINE_uint32(response_bytes, 0, "padding in response bodies");
DEFINE_uint64(executions, 200000, "executions kept in memory");
DEFINE_uint32(seed, 1, "seed of the service times");
DEFINE_string(health, "honest", "health reports: honest, good or bad");
DEFINE_string(load, "honest", "load reports: honest, good or bad");
DEFINE_uint32(report_lag_ms, 0, "age of the state that reports show");

namespace {

/*! Connections to /admin/ endpoints beyond the limit, so that experiments reach a busy server. */
constexpr std::uint32_t AdminConnections = 4;

Medlar::Standins::WorkSettings workSettings()
{
    Medlar::Standins::WorkSettings work;
    work.name = FLAGS_name;
    work.slots = FLAGS_slots;
    work.queueLimit = FLAGS_queue;
    work.checksFencing = FLAGS_checks_fencing;
    work.responseBytes = FLAGS_response_bytes;
    work.logCapacity = FLAGS_executions;
    work.seed = FLAGS_seed;
    work.capacity.serviceTime = std::chrono::microseconds(FLAGS_service_us);
    work.capacity.spread = FLAGS_spread;
    work.capacity.coldFraction = FLAGS_cold_fraction;
    work.capacity.coldTime = std::chrono::milliseconds(FLAGS_cold_ms);
    work.capacity.coldFailureTime = std::chrono::milliseconds(FLAGS_cold_failure_ms);
    work.capacity.fullRate = FLAGS_full_rate;
    if (FLAGS_full_rate <= 0 && FLAGS_service_us > 0)
        work.capacity.fullRate = FLAGS_slots * 1e6 / static_cast<double>(FLAGS_service_us);
    return work;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace Medlar::Standins;
    gflags::SetVersionString(MEDLAR_VERSION);
    gflags::SetUsageMessage("Stand-in for a BackendServer. Prints its port, then serves until "
                            "SIGINT or SIGTERM.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    const auto health = parseReportMode(FLAGS_health);
    const auto load = parseReportMode(FLAGS_load);
    if (!health || !load || FLAGS_slots == 0) {
        std::cerr << "backend_standin: invalid value of --health, --load or --slots\n";
        return 2;
    }
    BackendServerSettings settings;
    settings.http.address = FLAGS_address;
    settings.http.port = static_cast<std::uint16_t>(FLAGS_port);
    settings.http.maxConnections = FLAGS_connections + AdminConnections;
    settings.work = workSettings();
    settings.reports = {*health, *load, std::chrono::milliseconds(FLAGS_report_lag_ms)};

    boost::asio::io_context context(1);
    const auto server = BackendServer::create(context, settings);
    if (!server) {
        std::cerr << "backend_standin: " << server.error() << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    std::cout << "event=listening port=" << (*server)->port() << std::endl;
    context.run();
    return 0;
}
