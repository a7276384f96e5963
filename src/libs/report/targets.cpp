#include "targets.h"

#include <algorithm>
#include <set>

namespace Medlar::Report {

namespace {

bool isInScope(const Target &target, const RunGroup &group)
{
    if (target.experiment != group.experiment)
        return false;
    if (target.scope == TargetScope::AllRuns)
        return true;
    const auto rule = group.runs.front().fields.find("broken_rule");
    const bool isBroken = rule != group.runs.front().fields.end() && rule->is_string()
                          && !rule->get_ref<const std::string &>().empty();
    return isBroken == (target.scope == TargetScope::RuleBroken);
}

std::set<std::uint64_t> sizesOf(const Target &target, const RunGroup &group)
{
    std::set<std::uint64_t> sizes;
    for (const Run &run : group.runs) {
        for (const auto &[key, value] : figuresOf(run.fields)) {
            if (key.name == target.field)
                sizes.insert(key.nodes);
        }
    }
    return sizes;
}

} // namespace

const std::vector<Target> &allTargets()
{
    static const std::vector<Target> all{
        {"path", "achieved_rps", Bound::AtLeast, 7000},
        {"path", "hop_added_p99_us", Bound::AtMost, 1000},
        {"path", "daemon_cpu_cores", Bound::AtMost, 1},
        {"path", "errors", Bound::Exactly, 0},
        {"fuzz", "violations", Bound::Exactly, 0, {}, TargetScope::ProtocolIntact},
        {"fuzz", "violations", Bound::AtLeast, 1, {}, TargetScope::RuleBroken},
        {"fuzz", "runs", Bound::AtMost, 1000, {}, TargetScope::RuleBroken},
        {"failover", "unavailable_max_ms", Bound::AtMost, 1000},
        {"failover", "two_owner_events", Bound::Exactly, 0},
        {"failover", "lost_assignments", Bound::Exactly, 0},
        {"failover", "doubled_requests", Bound::Exactly, 0},
        {"failover", "keys_moved_ratio_to_minimum", Bound::AtMost, 1.1},
        {"placement", "imbalance_max_over_mean", Bound::AtMost, 1.1},
        {"placement", "moved_ratio_to_minimum", Bound::AtMost, 1.1},
        {"placement", "plan_ms", Bound::AtMost, 100},
        {"placement", "planner_in_bytes_per_s", Bound::AtMost, 7000},
        {"control", "control_bytes_per_s", Bound::AtMost, 7000},
        {"control", "control_cpu_percent", Bound::AtMost, 1.5},
        {"control", "rss_mb", Bound::AtMost, 64},
        // Section 1.3 bounds every node, so the highest node counts as well as the mean.
        {"control", "control_bytes_per_s_max", Bound::AtMost, 7000},
        {"control", "control_cpu_percent_max", Bound::AtMost, 1.5},
        {"control", "rss_mb_max", Bound::AtMost, 64},
        {"straggler", "p99_ms_straggler", Bound::AtMost, 1.5, "p99_ms_calm"},
        {"straggler", "extra_requests_percent", Bound::AtMost, 5},
        {"hotkeys", "balanced_after_ms", Bound::AtMost, 60000},
        {"hotkeys", "last_move_ms", Bound::AtMost, 60000},
        {"hotkeys", "two_owner_events", Bound::Exactly, 0},
        {"coldstart", "max_share_of_ramp", Bound::AtMost, 1},
        {"coldstart", "overload_failures", Bound::Exactly, 0},
        {"overload", "goodput_ratio", Bound::AtLeast, 0.9},
        {"overload", "retry_amplification", Bound::AtMost, 1.1},
        {"zone", "new_work_after_3s", Bound::Exactly, 0},
        {"zone", "success_ratio", Bound::AtLeast, 0.9999},
        {"zone", "p99_ratio", Bound::AtMost, 1.2},
        {"zone", "churn_ratio_to_minimum", Bound::AtMost, 1.1},
        {"zone", "return_overload_failures", Bound::Exactly, 0},
        {"atmostonce", "doubled", Bound::Exactly, 0},
        {"atmostonce", "false_not_run", Bound::Exactly, 0},
        {"atmostonce", "lost_answers", Bound::Exactly, 0},
        {"atmostonce", "crossed_answers", Bound::Exactly, 0},
        {"config", "in_force_p99_ms", Bound::AtMost, 2000},
        // The bound of section 1.3 holds for every change.
        {"config", "in_force_max_ms", Bound::AtMost, 11000},
        {"config", "reverted", Bound::Exactly, 0},
        {"config", "lost_updates", Bound::Exactly, 0},
    };
    return all;
}

const std::vector<ExperimentFields> &allExperimentFields()
{
    static const std::vector<ExperimentFields> all{
        {"path",
         {"direct_p50_us", "direct_p99_us", "owner_p99_us", "hop_p99_us", "hop_added_p99_us",
          "achieved_rps", "daemon_cpu_cores", "errors"}},
        {"fuzz", {"runs", "steps", "violations", "worst_unavailable_ms", "first_bad_seed"}},
        {"failover",
         {"unavailable_p50_ms", "unavailable_max_ms", "two_owner_events", "lost_assignments",
          "doubled_requests", "keys_moved_ratio_to_minimum", "store_calls_per_s"}},
        {"placement",
         {"imbalance_max_over_mean", "moved_ratio_to_minimum", "plan_ms", "state_bytes",
          "planner_in_bytes_per_s"}},
        {"control", {"control_bytes_per_s", "control_cpu_percent", "rss_mb", "store_calls_per_s"}},
        {"straggler",
         {"p99_ms_calm", "p99_ms_straggler", "p99_ms_roundrobin", "p99_ms_least_loaded",
          "extra_requests_percent"}},
        {"hotkeys",
         {"imbalance_calm", "imbalance_last", "imbalance_static", "balanced_after_ms",
          "last_move_ms", "two_owner_events"}},
        {"coldstart", {"max_share_of_ramp", "overload_failures", "goodput_ratio", "recover_s"}},
        {"overload",
         {"goodput_ratio", "retry_amplification", "max_queue_ratio", "p99_admitted_ms",
          "first_answer_p99_ms", "late_answers"}},
        {"zone",
         {"new_work_after_3s", "success_ratio", "p99_ratio", "churn_ratio_to_minimum",
          "return_overload_failures"}},
        {"atmostonce",
         {"sent", "answered", "not_run", "unknown", "doubled", "false_not_run", "lost_answers",
          "crossed_answers"}},
        {"config",
         {"in_force_p50_ms", "in_force_p99_ms", "reverted", "lost_updates",
          "store_calls_per_change", "bytes_per_node_per_change"}},
    };
    return all;
}

const ExperimentFields *fieldsOf(std::string_view experiment)
{
    const auto &all = allExperimentFields();
    const auto found = std::find_if(all.begin(), all.end(), [&](const ExperimentFields &each) {
        return each.experiment == experiment;
    });
    return found == all.end() ? nullptr : &*found;
}

std::vector<RunNote> checkFields(const Run &run)
{
    const ExperimentFields *expected = fieldsOf(run.experiment);
    if (expected == nullptr)
        return {};
    std::vector<RunNote> notes;
    for (const std::string_view field : expected->fields) {
        const auto value = run.fields.find(std::string(field));
        const std::string name = "field \"" + std::string(field) + '"';
        if (value == run.fields.end())
            notes.push_back({RunProblem::MissingField, run.source, name + " is missing"});
        else if (!value->is_number() && !value->is_null())
            notes.push_back({RunProblem::NotANumber, run.source,
                             name + " is " + value->type_name() + " instead of a number"});
    }
    return notes;
}

std::string Target::toString() const
{
    std::string text = formatFigure(value);
    if (!relativeTo.empty())
        text += " × " + std::string(relativeTo);
    switch (bound) {
    case Bound::AtMost:
        return "at most " + text;
    case Bound::AtLeast:
        return "at least " + text;
    case Bound::Exactly:
        break;
    }
    return text;
}

TargetState Assessment::state() const
{
    if (notMet > 0)
        return TargetState::NotMet;
    return met > 0 && met == runs ? TargetState::Met : TargetState::NoValue;
}

TargetState assess(const Target &target, const Figures &figures, std::uint64_t nodes)
{
    const auto figure = figures.find({std::string(target.field), nodes});
    if (figure == figures.end())
        return TargetState::NoValue;
    double limit = target.value;
    if (!target.relativeTo.empty()) {
        const auto reference = figures.find({std::string(target.relativeTo), nodes});
        if (reference == figures.end())
            return TargetState::NoValue;
        limit *= reference->second;
    }
    bool isMet = figure->second == limit;
    if (target.bound == Bound::AtMost)
        isMet = figure->second <= limit;
    else if (target.bound == Bound::AtLeast)
        isMet = figure->second >= limit;
    return isMet ? TargetState::Met : TargetState::NotMet;
}

std::vector<Assessment> assess(const RunGroup &group)
{
    std::vector<Assessment> result;
    for (const Target &target : allTargets()) {
        if (!isInScope(target, group))
            continue;
        std::set<std::uint64_t> sizes = sizesOf(target, group);
        if (sizes.empty())
            sizes.insert(0);
        for (const std::uint64_t nodes : sizes) {
            Assessment assessment{&target, {std::string(target.field), nodes}};
            for (const Run &run : group.runs) {
                const Figures figures = figuresOf(run.fields);
                const TargetState state = assess(target, figures, nodes);
                const bool hasSize
                    = std::any_of(figures.begin(), figures.end(),
                                  [&](const auto &each) { return each.first.nodes == nodes; });
                assessment.runs += hasSize ? 1 : 0;
                assessment.met += state == TargetState::Met ? 1 : 0;
                assessment.notMet += state == TargetState::NotMet ? 1 : 0;
            }
            result.push_back(assessment);
        }
    }
    return result;
}

} // namespace Medlar::Report
