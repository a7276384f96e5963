// After a restart of a machine's process, the first heartbeat that arrives is an old one, from before
// its instance got its keys: rule OWNER.
#include "../lib-2/harness.h"

using namespace harness;

namespace {

constexpr double MaxOverlap = 0.5;
constexpr double RestartDelay = 0.3;
constexpr double StartTime = 0.05; // once the new process has listed its configuration and its table
constexpr double BeatDelay = 1.6; // of the heartbeats after the restart
constexpr int Machines = 3;

bool areOverlapping(const KeyRow &a, const KeyRow &b)
{
    return a.first <= b.last && b.first <= a.last;
}

} // namespace

int main(int argc, char **argv)
{
    const CaseArguments arguments = readArguments(argc, argv);
    Deployment deployment(arguments.program, arguments.folder);
    if (!deployment.choosePorts(Machines))
        return CouldNotRun;
    Store store;
    store.onChange = [](const std::string &kind, const std::string &name, const json &object) {
        RECORD("store: %s/%s is now %s", kind.c_str(), name.c_str(), object["spec"].dump().c_str());
    };
    if (!store.start(deployment.storeAddress(), deployment.storePort()))
        return CouldNotRun;
    store.put("config", "main",
              configuration(json::array({cluster("bars", true)}),
                            json::array({route("r-status", "/status/", "bars", "idempotent", 0.3,
                                               1.2)})));
    std::atomic<int> renewals{0};
    std::vector<std::unique_ptr<Instance>> instances;
    const char *const zones[] = {"also-a", "felso-a", "kozep-a"};
    const char *const regions[] = {"also", "felso", "kozep"};
    for (int i = 0; i < Machines; ++i) {
        MachineSettings machine{"sidecar-" + std::string(zones[i]) + "-1",
                                deployment.address(10 + i), zones[i], regions[i], "bars"};
        const std::size_t index = deployment.add(machine);
        InstanceSettings settings;
        settings.id = "i-" + std::to_string(i);
        settings.service = machine.service;
        settings.zone = machine.zone;
        settings.ip = machine.ip;
        settings.port = deployment.port(Deployment::App);
        settings.daemonPort = deployment.port(Deployment::Control);
        settings.isKeyed = true;
        instances.push_back(std::make_unique<Instance>(settings));
        instances.back()->onGrant = [&](const Instance &self, const std::vector<KeyRow> &rows) {
            if (&self == instances.back().get() && !rows.empty())
                ++renewals;
            std::string text;
            for (const KeyRow &row : rows)
                text += ' ' + std::to_string(row.first) + '-' + std::to_string(row.last) + '#'
                        + std::to_string(row.token);
            RECORD("%s is granted%s", self.settings().id.c_str(), text.c_str());
        };
        if (i == Machines - 1)
            instances.back()->holdFirstBeat();
        if (!deployment.start(index))
            return CouldNotRun;
    }
    Instance &late = *instances.back();
    const std::size_t lateMachine = Machines - 1;
    if (!deployment.waitUntilReady(15))
        return CouldNotRun;
    for (auto &instance : instances) {
        if (!instance->start())
            return CouldNotRun;
    }
    const double waitEnd = seconds() + 20;
    while (std::any_of(instances.begin(), instances.end(),
                       [](auto &instance) { return instance->rows().empty(); })) {
        if (seconds() > waitEnd)
            return CouldNotRun;
        sleepFor(0.01);
    }
    // The process is killed just after it has renewed the leases.
    const int formerRenewals = renewals;
    while (renewals < formerRenewals + 1) {
        if (seconds() > waitEnd)
            return CouldNotRun;
        sleepFor(0.002);
    }
    const int key = late.rows().front().first;

    std::atomic<bool> isWatching{true};
    std::atomic<double> longest{0};
    std::thread watch([&] {
        double since = -1;
        while (isWatching) {
            bool isOverlapping = false;
            std::vector<std::vector<KeyRow>> rows;
            for (auto &instance : instances)
                rows.push_back(instance->rows());
            const double now = seconds();
            for (const KeyRow &row : rows[lateMachine]) {
                for (std::size_t other = 0; other < lateMachine; ++other) {
                    for (const KeyRow &otherRow : rows[other]) {
                        if (!areOverlapping(row, otherRow) || row.until <= now
                            || otherRow.until <= now)
                            continue;
                        isOverlapping = true;
                        if (since < 0)
                            RECORD("OVERLAP: keys %d-%d are held by %s (token %llu, for %.2f s "
                                   "more) and by i-%zu (token %llu)",
                                   std::max(row.first, otherRow.first),
                                   std::min(row.last, otherRow.last), late.settings().id.c_str(),
                                   static_cast<unsigned long long>(row.token), row.until - now,
                                   other, static_cast<unsigned long long>(otherRow.token));
                    }
                }
            }
            if (isOverlapping && since < 0)
                since = now;
            if (!isOverlapping && since >= 0)
                RECORD("the overlap ends after %.3f s", now - since);
            if (!isOverlapping)
                since = -1;
            else
                longest = std::max(longest.load(), now - since);
            sleepFor(0.01);
        }
    });

    std::atomic<int> clientNumber{0};
    std::thread client([&] {
        while (isWatching) {
            ClientRequest request;
            request.method = "GET";
            request.host = "office.example";
            request.id = "r" + std::to_string(++clientNumber);
            request.path = "/status/" + request.id;
            request.key = key;
            const Answer answer = harness::request(
                deployment.machine(0).ip, deployment.port(Deployment::Outbound), request);
            RECORD("%s for key %d: status %d, %s", request.id.c_str(), key, answer.status,
                   answer.seal.c_str());
            sleepFor(0.1);
        }
    });

    late.setBeatDelay(BeatDelay);
    if (arguments.hasTrouble) {
        deployment.signal(lateMachine, SIGKILL);
        deployment.waitForEnd(lateMachine, 5);
    }
    RECORD("the operator evacuates %s", zones[lateMachine]);
    store.put("evacuations", zones[lateMachine], json::object());
    if (arguments.hasTrouble) {
        sleepFor(RestartDelay);
        const int tables = store.listCount("medlar-ranges");
        const int configurations = store.listCount("config");
        deployment.start(lateMachine);
        const double end = seconds() + 1.2;
        while (seconds() < end
               && (store.listCount("medlar-ranges") == tables
                   || store.listCount("config") == configurations))
            sleepFor(0.002);
    } else {
        sleepFor(RestartDelay);
    }
    sleepFor(StartTime);
    late.sendHeldBeat();
    sleepFor(3);
    late.setBeatDelay(0);
    sleepFor(5);
    isWatching = false;
    watch.join();
    client.join();
    RECORD("OWNER: two instances that are up held the same keys for up to %.3f s", longest.load());
    for (auto &instance : instances)
        instance->exit();
    deployment.endAll();
    store.stop();
    return longest > MaxOverlap ? Broken : Held;
}
