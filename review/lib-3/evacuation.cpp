// After the store has come back from an earlier copy, the operator evacuates a zone.
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
        const std::string target = "tripoli";
        double acknowledgedAt = 0;
        double lastLate = 0;
        unsigned late = 0;
        unsigned runs = 0;
        unsigned served = 0;
        for (const auto &machine : cluster.machines) {
            machine->instance->onRun = [&](const Instance::Run &run) {
                ++runs;
                record.line("run " + run.requestId + " by " + run.instance->settings().id + " in "
                            + run.instance->settings().zone);
                const double evacuated = acknowledgedAt > 0 ? record.seconds() - acknowledgedAt : 0;
                // evac-s, for which the rule allows further requests
                if (run.instance->settings().zone == target && evacuated > 5.0) {
                    ++late;
                    lastLate = evacuated;
                }
            };
        }
        cluster.configure(7, {{"parcel-lookup", true}, {"boundary-filing", false}},
                          {{"parcel-view", "/parcels/", "parcel-lookup", "idempotent"},
                           {"survey-fetch", "/surveys/", "boundary-filing", "idempotent"}});
        cluster.startAll();
        cluster.after(Ms(8000), [&] {
            cluster.every(Ms(25), [&] {
                Machine &machine = *cluster.machines[cluster.random() % cluster.machines.size()];
                const bool isKeyed = cluster.random() % 2 == 0;
                const int key = isKeyed ? static_cast<int>(cluster.random() % Keys) : -1;
                cluster.send(
                    machine, isKeyed ? "/parcels/1" : "/surveys/1", key, Ms(1200),
                    [&](const std::string &, unsigned status) { served += status == 200 ? 1 : 0; });
            });
        });
        cluster.after(Ms(14000), [&] { cluster.store->takeCopy(); });
        cluster.after(Ms(14200), [&] {
            cluster.store->operatorPut("evacuations", "thessaloniki", json::object());
        });
        cluster.after(Ms(17000),
                      [&] { cluster.store->operatorRemove("evacuations", "thessaloniki"); });
        if (hasTrouble()) {
            cluster.after(Ms(18000), [&] { cluster.store->goAway(); });
            cluster.after(Ms(19000), [&] { cluster.store->comeBack(); });
        }
        cluster.after(Ms(27000), [&] {
            cluster.store->operatorPut("evacuations", target, json::object());
            acknowledgedAt = record.seconds();
        });
        context.run_for(std::chrono::seconds(48));
        const bool couldRun = runs > 200 && served > 200;
        return verdict(
            record, "EVAC", couldRun,
            !couldRun   ? std::to_string(runs) + " runs, " + std::to_string(served) + " served"
            : late == 0 ? std::string()
                        : std::to_string(late) + " requests ran in the evacuated zone later than "
                              + "evac-s, the last one " + std::to_string(lastLate)
                              + " s after the acknowledgement");
    });
}
