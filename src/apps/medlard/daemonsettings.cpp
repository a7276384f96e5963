#include "daemonsettings.h"

#include <gflags/gflags.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>

DEFINE_string(node_name, "", "name of this node, unique in the deployment");
DEFINE_string(address, "127.0.0.1", "IP number on which all ports listen and which others use");
DEFINE_int32(http_port, 8080, "port for callers and operators, 0 for any");
DEFINE_int32(control_port, 8081, "port for control messages of other daemons, 0 for any");
DEFINE_int32(traffic_port, 8082, "port for forwarded requests of other daemons, 0 for any");
DEFINE_string(region, "", "region of this VM");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(services, "", "comma-separated services that the local backend server offers");
DEFINE_string(store, "", "IP:PORT of the object store");
DEFINE_string(backend, "", "IP:PORT of the local backend server");
DEFINE_int32(backend_slots, 6, "requests that the backend server runs at once");
DEFINE_bool(backend_checks_fencing, true, "whether the backend server checks fencing tokens");
DEFINE_string(credential, "",
              "shared credential of all daemons and operators; empty: loopback only");
DEFINE_string(peers, "",
              "comma-separated IP:PORT of control ports to learn from when the store is out");
DEFINE_int32(lease_ms, 500, "duration of the node lease in milliseconds");
DEFINE_int32(renew_ms, 200, "interval of lease renewals in milliseconds");
DEFINE_int32(unfenced_guard_ms, 200,
             "wait before takeover from backend servers that check no tokens");
DEFINE_int32(drain_timeout_ms, 10000, "longest hand-over of a graceful stop in milliseconds");
DEFINE_bool(log_decisions, true, "write a log line for each routing decision");
DEFINE_uint64(seed, 0, "seed of jitter and random choices; 0: drawn and logged");

namespace Medlar {

namespace {

constexpr int MaxPort = 65535;
constexpr std::size_t MinCredentialBytes = 16;

bool isLoopback(const std::string &address)
{
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(address, error);
    return !error && parsed.is_loopback();
}

void checkIdentity(Settings::Checker &checker)
{
    checker.requireName("node_name", FLAGS_node_name);
    checker.requireName("region", FLAGS_region);
    checker.requireName("zone", FLAGS_zone);
    checker.requireIpAddress("address", FLAGS_address);
    const std::vector<std::string> services = Settings::splitList(FLAGS_services);
    checker.require(!services.empty()
                        && std::all_of(services.begin(), services.end(), Base::isValidNodeName),
                    "services", FLAGS_services, "one or more names separated by commas");
}

void checkNumbers(Settings::Checker &checker)
{
    checker.requireRange("http_port", FLAGS_http_port, 0, MaxPort);
    checker.requireRange("control_port", FLAGS_control_port, 0, MaxPort);
    checker.requireRange("traffic_port", FLAGS_traffic_port, 0, MaxPort);
    checker.requireRange("backend_slots", FLAGS_backend_slots, 1, 10000);
    checker.requireRange("lease_ms", FLAGS_lease_ms, 100, 60000);
    // At least two renewals must fit into a lease, or one lost message would end it.
    checker.requireRange("renew_ms", FLAGS_renew_ms, 10, FLAGS_lease_ms / 2);
    checker.requireRange("unfenced_guard_ms", FLAGS_unfenced_guard_ms, 0, 60000);
    checker.requireRange("drain_timeout_ms", FLAGS_drain_timeout_ms, 0, 600000);
}

void checkCredential(Settings::Checker &checker)
{
    if (FLAGS_credential.empty()) {
        checker.require(isLoopback(FLAGS_address), "address", FLAGS_address,
                        "a loopback address, because no --credential is set");
        return;
    }
    checker.require(FLAGS_credential.size() >= MinCredentialBytes, "credential",
                    "(" + std::to_string(FLAGS_credential.size()) + " bytes)",
                    "at least " + std::to_string(MinCredentialBytes) + " bytes");
}

} // namespace

tl::expected<DaemonSettings, std::vector<Settings::SettingError>> readDaemonSettings()
{
    Settings::Checker checker;
    checkIdentity(checker);
    checkNumbers(checker);
    checkCredential(checker);

    DaemonSettings result;
    result.store = checker.endpoint("store", FLAGS_store);
    result.backend = checker.endpoint("backend", FLAGS_backend);
    for (const std::string &peer : Settings::splitList(FLAGS_peers)) {
        const Settings::Endpoint endpoint = checker.endpoint("peers", peer);
        result.control.seedPeers.push_back({endpoint.address, endpoint.port});
    }
    if (!checker.errors().empty())
        return tl::unexpected(checker.errors());

    Cluster::NodeRecord &self = result.control.self;
    self.instance.node = FLAGS_node_name;
    self.address = FLAGS_address;
    self.httpPort = static_cast<std::uint16_t>(FLAGS_http_port);
    self.controlPort = static_cast<std::uint16_t>(FLAGS_control_port);
    self.trafficPort = static_cast<std::uint16_t>(FLAGS_traffic_port);
    self.region = FLAGS_region;
    self.availabilityZone = FLAGS_zone;
    self.services = Settings::splitList(FLAGS_services);
    self.backendChecksFencing = FLAGS_backend_checks_fencing;
    self.backendSlots = static_cast<std::uint32_t>(FLAGS_backend_slots);
    result.control.credential = FLAGS_credential;
    result.control.timing.leaseDuration = std::chrono::milliseconds(FLAGS_lease_ms);
    result.control.timing.renewInterval = std::chrono::milliseconds(FLAGS_renew_ms);
    result.control.timing.unfencedGuard = std::chrono::milliseconds(FLAGS_unfenced_guard_ms);
    result.control.drainTimeout = std::chrono::milliseconds(FLAGS_drain_timeout_ms);
    result.control.seed = FLAGS_seed;
    result.isLoopbackOnly = FLAGS_credential.empty();
    result.logDecisions = FLAGS_log_decisions;
    return result;
}

} // namespace Medlar
