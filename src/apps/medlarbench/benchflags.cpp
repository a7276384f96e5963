#include "benchflags.h"

#include "settings/check.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <filesystem>

DEFINE_uint64(seed, 1, "seed of load and service times");
DEFINE_double(rate, 0, "requests/s; 0: the experiment's own");
DEFINE_uint32(seconds, 10, "duration of the measured load");
DEFINE_uint32(max_seconds, 300, "the experiment ends with an error after this time");
DEFINE_string(nodes, "", "number of nodes, or several numbers separated by commas");
DEFINE_string(mode, "", "comma-separated: kill, pause, drain");
DEFINE_double(factor, 3, "offered load as a multiple of the capacity");
DEFINE_bool(store_outage, false, "the object store is unavailable while nodes are lost");
DEFINE_bool(direct_only, false, "path: measure the BackendServer alone");
DEFINE_string(bin_dir, "", "folder of the programs; empty: that of medlarbench");
DEFINE_string(log_dir, "", "folder for the output of the processes; empty: discarded");
DEFINE_uint64(runs, 0, "fuzz: number of random clusters; 0: the experiment's own");
DEFINE_uint64(changes, 0, "config: number of changes; 0: the experiment's own");
DEFINE_string(
    break_rule, "",
    "fuzz: rule to switch off: new_instance, count_from_send, drift_margin, promises, releases");
DEFINE_uint32(slots, 0, "placement: slots of the service; 0: the experiment's own");
DEFINE_double(zipf, 0.7, "placement: exponent of the distribution of keys");
DEFINE_string(compare, "", "report: file or folder with the JSON lines of an earlier report");
DEFINE_string(out, "", "report: file that the page is written to; empty: standard output");
DEFINE_string(daemon_flags, "", "comma-separated flags for every daemon");

namespace Medlar {

Bench::ExperimentOptions readExperimentOptions(const std::string &command)
{
    Bench::ExperimentOptions options;
    options.command = command;
    options.seed = FLAGS_seed;
    options.rate = FLAGS_rate;
    options.duration = std::chrono::seconds(FLAGS_seconds);
    options.limit = std::chrono::seconds(FLAGS_max_seconds);
    for (const std::string &text : Settings::splitList(FLAGS_nodes))
        options.nodes.push_back(std::strtoul(text.c_str(), nullptr, 10));
    options.modes = Settings::splitList(FLAGS_mode);
    options.factor = FLAGS_factor;
    options.storeOutage = FLAGS_store_outage;
    options.directOnly = FLAGS_direct_only;
    options.daemonFlags = Settings::splitList(FLAGS_daemon_flags);
    options.runs = FLAGS_runs;
    options.changes = FLAGS_changes;
    options.brokenRule = FLAGS_break_rule;
    options.slots = FLAGS_slots;
    options.zipfExponent = FLAGS_zipf;
    options.logFolder = FLAGS_log_dir;
    options.binaryFolder = FLAGS_bin_dir;
    if (options.binaryFolder.empty()) {
        std::error_code ignored;
        options.binaryFolder
            = std::filesystem::read_symlink("/proc/self/exe", ignored).parent_path().string();
    }
    return options;
}

} // namespace Medlar
