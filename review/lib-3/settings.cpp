// The instance beside a process is replaced by one of another service, and the settings file
// changes without a signal.
#include "cluster.h"

using namespace review;

int main(int argc, char **argv)
{
    return guarded([&] {
        Record record(argc > 1 ? argv[1] : "record.txt");
        asio::io_context context;
        Cluster cluster(context, record);
        Machine &machine
            = cluster.add({"sidecar-felso-a-1", "felso-a", "felso", "engedely", false});
        cluster.add({"sidecar-felso-a-2", "felso-a", "felso", "dijazas", false});
        cluster.add({"sidecar-kozep-a-1", "kozep-a", "kozep", "dijazas", false});
        cluster.add({"sidecar-kozep-a-2", "kozep-a", "kozep", "engedely", false});
        bool isReplaced = false;
        double replacedAt = 0;
        unsigned wrong = 0;
        unsigned runs = 0;
        double lastWrong = 0;
        std::string example;
        const auto onRun = [&](const Instance::Run &run) {
            ++runs;
            record.line("run " + run.requestId + " by " + run.instance->settings().id
                        + " Caller-Service " + run.callerService);
            const std::string &expected = isReplaced ? "dijazas" : "engedely";
            // Time for the change, as long as one of the configuration may take.
            if (isReplaced && record.seconds() - replacedAt < 5.0)
                return;
            if (run.callerService != expected) {
                ++wrong;
                lastWrong = record.seconds() - replacedAt;
                example = run.callerService;
            }
        };
        for (const auto &each : cluster.machines)
            each->instance->onRun = onRun;
        cluster.configure(7, {{"engedely", false}, {"dijazas", false}},
                          {{"survey-map", "/surveys/", "dijazas", "idempotent"}});
        cluster.startAll();
        cluster.after(Ms(8000), [&] {
            cluster.every(Ms(50), [&] { cluster.send(machine, "/surveys/1", -1, Ms(1200), {}); });
        });
        std::unique_ptr<Instance> former;
        if (hasTrouble()) {
            cluster.after(Ms(12000), [&] {
                machine.instance->crash();
                machine.place.service = "dijazas";
                machine.writeSettings();
                record.line("settings file of " + machine.place.node + " changed, service dijazas");
            });
            // addr-reuse-s is 2
            cluster.after(Ms(14500), [&] {
                former = std::move(machine.instance);
                machine.instance = cluster.makeInstance(machine, "dijazas", false);
                machine.instance->onRun = onRun;
                machine.instance->start();
                isReplaced = true;
                replacedAt = record.seconds();
            });
        }
        context.run_for(std::chrono::seconds(30));
        const bool couldRun = runs > 100;
        return verdict(record, "UNASKED", couldRun,
                       !couldRun    ? std::to_string(runs) + " runs"
                       : wrong == 0 ? std::string()
                                    : std::to_string(wrong)
                                          + " requests of the machine ran with Caller-Service "
                                          + example + ", the last " + std::to_string(lastWrong)
                                          + " s after its instance had become one of dijazas");
    });
}
