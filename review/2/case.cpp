// A heartbeat from another writer, with a service that is not configured, makes the daemon forget what
// its backend server still holds.
#include "../lib/deployment.h"

using namespace Review;

namespace {

constexpr int Machines = 5;
constexpr int Key = 1234;
constexpr Milliseconds LongWork{3400};
constexpr Milliseconds MoveTime{680};
// The daemons have to be in touch, and leases of a former process have to have run out.
constexpr Milliseconds CalmTime{6000};

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    Deployment deployment;
    if (!deployment.isUsable())
        return NotRun;
    deployment.store().put("config", "main",
                           configuration(1, {{"grant", "permits", true, 5.0}}, "permits"));
    std::vector<Machine *> machines;
    for (int i = 0; i < Machines; ++i) {
        machines.push_back(
            &deployment.addMachine("north", i % 2 == 0 ? "north-a" : "north-b", "permits"));
    }
    for (Machine *machine : machines) {
        if (!Deployment::start(*machine))
            return NotRun;
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (Machine *machine : machines) {
        auto instance = std::make_unique<Instance>(
            deployment.instanceOf(*machine, "i-" + std::to_string(instances.size() + 1), true), record);
        instance->treat = [](const Message &request) {
            Treatment treatment;
            treatment.work = request.header("shard-key") == std::to_string(Key) ? LongWork
                                                                                : Milliseconds(20);
            return treatment;
        };
        instances.push_back(std::move(instance));
    }
    for (const auto &instance : instances) {
        instance->onGrant = [&](Instance &self, const std::vector<Hold> &rows) {
            for (const auto &other : instances) {
                for (const Hold &row : rows) {
                    int key = 0;
                    if (other.get() != &self && other->isWorkingOn(row.first, row.last, &key))
                        record.fail("OWNER: " + self.settings().id + " is given key "
                                    + std::to_string(key) + " with token "
                                    + std::to_string(row.token) + " while "
                                    + other->settings().id + " holds it and works on it");
                }
            }
        };
        if (!instance->start())
            return NotRun;
    }
    const bool isServing = waitUntil(Milliseconds(20000), [&] {
        return std::all_of(machines.begin(), machines.end(),
                           [](Machine *machine) { return Deployment::isReady(*machine); })
               && std::all_of(instances.begin(), instances.end(),
                              [](const auto &instance) { return instance->holdsAnything(); });
    });
    if (!isServing)
        return NotRun;
    std::this_thread::sleep_for(CalmTime);

    std::optional<Message> answer;
    std::thread client([&] {
        const auto connection = Connection::open(machines[0]->outbound(), Milliseconds(1000));
        ClientRequest request;
        request.id = "long-1";
        request.path = "/grant/long";
        request.key = Key;
        request.deadlineMs = 5000;
        if (connection)
            answer = exchange(*connection, request, record);
    });
    Instance *holder = nullptr;
    waitUntil(Milliseconds(1000), [&] {
        for (const auto &instance : instances) {
            if (instance->runsOf("long-1") > 0)
                holder = instance.get();
        }
        return holder != nullptr;
    });
    if (!holder) {
        client.join();
        return NotRun;
    }
    Instance &leaving = *holder;
    record.write(leaving.settings().id + " is to leave and reports draining");
    leaving.setDraining();
    // Its keys are being moved by then, and its next heartbeat follows.
    std::this_thread::sleep_for(MoveTime);
    if (hasTrouble()) {
        // The fields of a heartbeat, with a service that the configuration does not name.
        const json foreign = {{"service", "no-such-service"},
                              {"address", leaving.settings().address.toString()},
                              {"zone", leaving.settings().zone},
                              {"version", "v1"},
                              {"slots", 6},
                              {"state", "ready"},
                              {"cold-left-s", 0},
                              {"seq-num", leaving.sequence()},
                              {"born", leaving.born()}};
        const auto reply
            = leaving.call("/api/Instances.Heartbeat/" + leaving.settings().id, foreign.dump());
        record.write("another writer sends a heartbeat with service no-such-service, answer "
                     + std::to_string(reply ? reply->status() : 0));
    }
    client.join();
    std::this_thread::sleep_for(Milliseconds(1500));
    if (!answer || answer->status() != 200)
        return NotRun;
    return record.failures() > 0 ? Broken : Held;
}
