#include "benchflags.h"
#include "logicexperiments.h"
#include "reportcommand.h"

#include "bench/atmostonceexperiment.h"
#include "bench/coldstartexperiment.h"
#include "bench/configexperiment.h"
#include "bench/controlexperiment.h"
#include "bench/failoverexperiment.h"
#include "bench/hotkeysexperiment.h"
#include "bench/overloadexperiment.h"
#include "bench/pathexperiment.h"
#include "bench/stragglerexperiment.h"
#include "bench/zoneexperiment.h"
#include "settings/commandline.h"

#include <unistd.h>

#include <iostream>
#include <map>

namespace {

using namespace Medlar;

constexpr char Usage[]
    = R"(medlarbench EXPERIMENT [flags] - runs one experiment and prints one JSON line.

Starts the stand-ins and daemons it needs on 127.0.0.1 and ends them again.
Experiments:
  path        the same load direct to a backend server and through daemons
  failover    one daemon at a time is killed, paused or stopped under load
  control     cost of the control plane of idle fleets
  straggler   one backend server is much slower than the others
  coldstart   a backend server restarts cold under load
  overload    more load than the backend servers can complete
  zone        an availability zone is taken out of service and returns
  hotkeys     keys of one server become hot
  atmostonce  non-idempotent requests during faults of all kinds
  config      configuration changes until they are in force everywhere
  fuzz        random faults against the ownership protocol in virtual time
  placement   balance and moves of the planner and of two hash placements
medlarbench report DIR [--compare FILE-OR-DIR] [--out FILE] writes one HTML page of the JSON lines
in DIR, with targets, plots and changes.
Exit codes: 0 the experiment ran, 1 it failed, 2 usage error.)";

/*! Time beyond --max_seconds after which the kernel ends a hanging experiment. */
constexpr unsigned AlarmGraceSeconds = 30;

using Experiment = Bench::ExperimentResult (*)(const Bench::ExperimentOptions &);

const std::map<std::string, Experiment> &experiments()
{
    static const std::map<std::string, Experiment> all{
        {"atmostonce", Bench::runAtMostOnceExperiment},
        {"coldstart", Bench::runColdStartExperiment},
        {"config", Bench::runConfigExperiment},
        {"control", Bench::runControlExperiment},
        {"failover", Bench::runFailoverExperiment},
        {"fuzz", runFuzzExperiment},
        {"hotkeys", Bench::runHotKeysExperiment},
        {"overload", Bench::runOverloadExperiment},
        {"path", Bench::runPathExperiment},
        {"placement", runPlacementExperiment},
        {"straggler", Bench::runStragglerExperiment},
        {"zone", Bench::runZoneExperiment},
    };
    return all;
}

std::string commandOf(int argc, char **argv)
{
    std::string command = "medlarbench";
    for (int i = 1; i < argc; ++i)
        command += std::string(" ") + argv[i];
    return command;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string command = commandOf(argc, argv);
    const Settings::ProgramInfo program{"medlarbench", Usage, MEDLAR_VERSION, "benchflags.cpp"};
    switch (Settings::readCommandLine(program, argc, argv)) {
    case Settings::CommandLineAction::ExitSuccess:
        return Settings::ExitCodeSuccess;
    case Settings::CommandLineAction::ExitUsage:
        return Settings::ExitCodeUsage;
    case Settings::CommandLineAction::Run:
        break;
    }
    if (argc > 1 && std::string(argv[1]) == "report") {
        if (argc == 3)
            return runReportCommand(argv[2]);
        std::cerr << "medlarbench: report expects one folder, see --help\n";
        return Settings::ExitCodeUsage;
    }
    const auto experiment = experiments().find(argc == 2 ? argv[1] : "");
    if (experiment == experiments().end()) {
        std::cerr << "medlarbench: expected one experiment, see --help\n";
        return Settings::ExitCodeUsage;
    }
    const Bench::ExperimentOptions options = readExperimentOptions(command);
    // Children are killed with this process, see ChildProcess.
    ::alarm(static_cast<unsigned>(options.limit.count()) + AlarmGraceSeconds);
    const auto fields = experiment->second(options);
    if (!fields) {
        std::cerr << "medlarbench: " << fields.error() << '\n';
        return Settings::ExitCodeFailure;
    }
    std::cout << Bench::reportLine(experiment->first, options, *fields) << std::endl;
    return Settings::ExitCodeSuccess;
}
