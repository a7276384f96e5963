// After the store has come back from an earlier copy, one process of the system is stopped and
// started again, as planned work, three times in series.
#include "cluster.h"

using namespace review;

int main(int argc, char **argv)
{
    return guarded([&] {
        Record record(argc > 1 ? argv[1] : "record.txt");
        asio::io_context context;
        Cluster cluster(context, record);
        for (const auto &[zone, region] :
             std::map<std::string, std::string>{{"larisa", "thessalia"},
                                                {"thessaloniki", "makedonia"},
                                                {"tripoli", "peloponnisos"}}) {
            cluster.add({"sidecar-" + zone + "-1", zone, region, "parcel-lookup", true});
            cluster.add({"sidecar-" + zone + "-2", zone, region, "boundary-filing", false});
        }
        Machine &restarted = *cluster.machines[4]; // beside the keyed instance in tripoli

        // The highest token with which each key was held, and by whom.
        struct Highest
        {
            std::uint64_t token = 0;
            const Instance *by = nullptr;
        };
        std::vector<Highest> highest(Keys);
        unsigned lowTokens = 0;
        unsigned runsOfTwo = 0;
        unsigned runs = 0;
        unsigned served = 0;
        double longest = 0;
        std::string first;
        std::map<std::pair<const Instance *, int>, Clock::time_point> lastRun;
        std::map<unsigned, Clock::time_point> doubleSince;
        const auto holders = [&](unsigned key) {
            std::vector<const Instance *> result;
            for (const auto &machine : cluster.machines) {
                if (machine->place.sharded && machine->instance->holds(key))
                    result.push_back(machine->instance.get());
            }
            return result;
        };
        for (const auto &machine : cluster.machines) {
            machine->instance->onTaken = [&](const Instance &by, unsigned key,
                                             std::uint64_t token) {
                Highest &known = highest[key];
                if (known.by && known.by != &by && token <= known.token) {
                    if (lowTokens++ == 0)
                        first = "key " + std::to_string(key) + " taken by " + by.settings().id
                                + " with token " + std::to_string(token) + ", held by "
                                + known.by->settings().id + " with " + std::to_string(known.token);
                }
                if (token > known.token)
                    known = {token, &by};
            };
            machine->instance->onRun = [&](const Instance::Run &run) {
                ++runs;
                record.line("run " + run.requestId + " by " + run.instance->settings().id
                            + (run.key >= 0 ? " key " + std::to_string(run.key) : ""));
                if (run.key < 0)
                    return;
                // Both hold the key, and both have begun a request on it while they did.
                const auto since = doubleSince.find(static_cast<unsigned>(run.key) / 64);
                for (const Instance *const other : holders(static_cast<unsigned>(run.key))) {
                    const auto found = lastRun.find({other, run.key / 64});
                    if (other != run.instance && since != doubleSince.end()
                        && found != lastRun.end() && found->second > since->second)
                        ++runsOfTwo;
                }
                lastRun[{run.instance, run.key / 64}] = Clock::now();
            };
        }
        cluster.configure(7, {{"parcel-lookup", true}, {"boundary-filing", false}},
                          {{"parcel-view", "/parcels/", "parcel-lookup", "idempotent"},
                           {"survey-fetch", "/surveys/", "boundary-filing", "idempotent"}});
        cluster.startAll();
        cluster.after(Ms(8000), [&] {
            cluster.every(Ms(10), [&] {
                Machine &machine = *cluster.machines[cluster.random() % cluster.machines.size()];
                const bool isKeyed = cluster.random() % 4 != 0;
                const int key = isKeyed ? static_cast<int>(cluster.random() % Keys) : -1;
                cluster.send(
                    machine, isKeyed ? "/parcels/1" : "/surveys/1", key, Ms(1200),
                    [&](const std::string &, unsigned status) { served += status == 200 ? 1 : 0; });
            });
        });
        // Every 64th key is looked at.
        cluster.every(Ms(20), [&] {
            const auto now = Clock::now();
            for (unsigned key = 32; key < Keys; key += 64) {
                const auto both = holders(key);
                if (both.size() < 2) {
                    doubleSince.erase(key / 64);
                    continue;
                }
                const auto [since, isNew] = doubleSince.try_emplace(key / 64, now);
                if (isNew)
                    record.line("key " + std::to_string(key) + " is held by "
                                + both[0]->settings().id + " and " + both[1]->settings().id);
                longest
                    = std::max(longest, std::chrono::duration<double>(now - since->second).count());
            }
        });
        cluster.after(Ms(14000), [&] { cluster.store->takeCopy(); });
        cluster.after(Ms(14200), [&] {
            cluster.store->operatorPut("evacuations", "tripoli", json::object());
        });
        cluster.after(Ms(17000), [&] { cluster.store->operatorRemove("evacuations", "tripoli"); });
        if (hasTrouble()) {
            cluster.after(Ms(18000), [&] { cluster.store->goAway(); });
            cluster.after(Ms(19000), [&] { cluster.store->comeBack(); });
        }
        // The machine is stopped and started three times in series.
        for (const int second : {28, 35, 42})
            cluster.after(Ms(second * 1000), [&] { restarted.signal(SIGTERM); });
        context.run_for(std::chrono::seconds(54));
        const bool couldRun = runs > 200 && served > 200;
        std::string broken;
        if (lowTokens > 0)
            broken += std::to_string(lowTokens)
                      + " keys were taken with a token that is not above all "
                      + "others, first: " + first + ". ";
        if (longest > 0.5)
            broken += "two instances held the same keys for " + std::to_string(longest) + " s. ";
        if (runsOfTwo > 0)
            broken += std::to_string(runsOfTwo)
                      + " requests began while another holder ran such keys.";
        if (!couldRun)
            broken = std::to_string(runs) + " runs, " + std::to_string(served) + " served";
        return verdict(record, "OWNER", couldRun, broken);
    });
}
