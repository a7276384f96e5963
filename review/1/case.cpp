// A late second copy of a refusal is taken for the answer to the next send of the same request.
#include "../lib/deployment.h"

#include <random>

using namespace Review;

namespace {

constexpr int Clients = 4;
constexpr int RequestsPerClient = 150;
// Doses of the site file: srv_grey "shed all" x = 0.55 for 8.5 s, garble "extra late" share = 0.6,
// x = 0.03 for 5 s.
constexpr double DeclinedShare = 0.15;
constexpr double CopiedShare = 0.03;
constexpr Milliseconds FaultTime{5000};
constexpr Milliseconds CopyDelay{12};
constexpr Milliseconds Work{40};

/*! Treatment by the faulty instance. Its second copies stay within the share of all its answers. */
class Fault
{
public:
    Treatment treat(bool isActive)
    {
        const std::lock_guard lock(m_mutex);
        Treatment treatment;
        treatment.work = Work;
        if (!isActive)
            return treatment;
        ++m_answers;
        treatment.isDeclined
            = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < DeclinedShare;
        if (treatment.isDeclined && (m_copies + 1) <= CopiedShare * m_answers) {
            ++m_copies;
            treatment.secondCopyAfter = CopyDelay;
        }
        return treatment;
    }

private:
    std::mutex m_mutex;
    std::mt19937 m_random{std::random_device{}()};
    int m_answers = 0;
    int m_copies = 0;
};

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    Deployment deployment;
    if (!deployment.isUsable())
        return NotRun;
    deployment.store().put("config", "main",
                           configuration(1, {{"charge", "ledger", false}}, "ledger"));
    std::vector<Machine *> machines
        = {&deployment.addMachine("north", "north-a", "ledger"),
           &deployment.addMachine("north", "north-b", "ledger")};
    for (Machine *machine : machines) {
        if (!Deployment::start(*machine))
            return NotRun;
    }
    Fault fault;
    std::atomic<bool> isFaulty{false};
    std::vector<std::unique_ptr<Instance>> instances;
    for (Machine *machine : machines) {
        auto instance = std::make_unique<Instance>(
            deployment.instanceOf(*machine, "i-" + machine->zone, true), record);
        const bool isFirst = instances.empty();
        instance->treat
            = [&, isFirst](const Message &) { return fault.treat(isFirst && isFaulty); };
        if (!instance->start())
            return NotRun;
        instances.push_back(std::move(instance));
    }
    const bool isServing = waitUntil(Milliseconds(20000), [&] {
        return std::all_of(machines.begin(), machines.end(),
                           [](Machine *machine) { return Deployment::isReady(*machine); })
               && std::all_of(instances.begin(), instances.end(),
                              [](const auto &instance) { return instance->holdsAnything(); });
    });
    if (!isServing)
        return NotRun;
    isFaulty = hasTrouble();
    std::thread faultEnd([&] {
        std::this_thread::sleep_for(FaultTime);
        isFaulty = false;
    });

    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            const Machine &machine = *machines[static_cast<std::size_t>(client) % 2];
            ConnectionPtr connection;
            std::mt19937 random(static_cast<unsigned>(client));
            for (int i = 0; i < RequestsPerClient; ++i) {
                if (!connection)
                    connection = Connection::open(machine.outbound(), Milliseconds(1000));
                if (!connection)
                    continue;
                ClientRequest request;
                request.id = "c" + std::to_string(client) + '-' + std::to_string(i);
                request.method = "POST";
                request.path = "/charge/" + request.id;
                request.body = "one royalty";
                request.key = static_cast<int>(random() % 65536);
                const auto answer = exchange(*connection, request, record);
                {
                    const std::lock_guard lock(mutex);
                    statuses[request.id] = answer ? answer->status() : 0;
                }
                if (!answer || answer->header("connection") == "close")
                    connection.reset();
            }
        });
    }
    for (std::thread &client : clients)
        client.join();
    faultEnd.join();
    std::this_thread::sleep_for(Milliseconds(1500));

    int served = 0;
    for (const auto &[id, status] : statuses) {
        int runs = 0;
        for (const auto &instance : instances)
            runs += instance->runsOf(id);
        served += status == 200 ? 1 : 0;
        if (runs > 1)
            record.fail("TWICE: " + id + " is not idempotent and ran " + std::to_string(runs)
                        + " times, its client got " + std::to_string(status));
        if (runs > 0 && (status == 503 || status == 429 || status == 408 || status == 421))
            record.fail("REFUSED: " + id + " was answered " + std::to_string(status) + " and ran");
    }
    record.write("served " + std::to_string(served) + " of " + std::to_string(statuses.size()));
    if (served * 2 < static_cast<int>(statuses.size()))
        return NotRun;
    return record.failures() > 0 ? Broken : Held;
}
