#include "objectstoreserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_uint64(history, 10000, "changes kept for watches");
DEFINE_uint64(max_value_bytes, 1000000, "largest accepted value");
DEFINE_string(fault, "none", "fault at the start: none, slow, dead or lose_answer");
DEFINE_uint32(fault_delay_ms, 0, "delay of the fault slow");
DEFINE_uint64(fault_count, 0, "calls until the fault ends; 0: never");

int main(int argc, char **argv)
{
    using namespace Medlar::Standins;
    gflags::SetVersionString(MEDLAR_VERSION);
    gflags::SetUsageMessage("Stand-in for the platform's object store. Prints its port, then "
                            "serves until SIGINT or SIGTERM.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    const auto mode = parseFaultMode(FLAGS_fault);
    if (!mode) {
        std::cerr << "objectstore_standin: " << mode.error() << '\n';
        return 2;
    }
    ObjectStoreServerSettings settings;
    settings.http.address = FLAGS_address;
    settings.http.port = static_cast<std::uint16_t>(FLAGS_port);
    settings.limits.historyChanges = FLAGS_history;
    settings.maxValueBytes = FLAGS_max_value_bytes;
    settings.fault = {*mode, std::chrono::milliseconds(FLAGS_fault_delay_ms), FLAGS_fault_count};

    boost::asio::io_context context(1);
    const auto server = ObjectStoreServer::create(context, settings);
    if (!server) {
        std::cerr << "objectstore_standin: " << server.error() << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    std::cout << "event=listening port=" << (*server)->port() << std::endl;
    context.run();
    return 0;
}
