#include "logicexperiments.h"

#include "experiments/placementexperiment.h"
#include "scenario/fuzzer.h"

#include <map>

namespace Medlar {

namespace {

constexpr std::uint64_t DefaultFuzzRuns = 1000;

using Rule = bool Ownership::ProtocolRules::*;

const std::map<std::string, Rule> &rules()
{
    static const std::map<std::string, Rule> all{
        {"new_instance", &Ownership::ProtocolRules::newInstanceOnRestart},
        {"count_from_send", &Ownership::ProtocolRules::leaseCountedFromSend},
        {"drift_margin", &Ownership::ProtocolRules::driftMarginApplied},
        {"promises", &Ownership::ProtocolRules::takeoverNeedsPromises},
        {"releases", &Ownership::ProtocolRules::activationNeedsReleases},
    };
    return all;
}

} // namespace

Bench::ExperimentResult runFuzzExperiment(const Bench::ExperimentOptions &options)
{
    Scenario::FuzzOptions fuzz;
    fuzz.seed = options.seed;
    fuzz.runs = options.runs == 0 ? DefaultFuzzRuns : options.runs;
    if (!options.brokenRule.empty()) {
        const auto rule = rules().find(options.brokenRule);
        if (rule == rules().end())
            return tl::unexpected("--break_rule=" + options.brokenRule + " is not a rule");
        fuzz.rules.*rule->second = false;
    }
    const Scenario::FuzzResult result = Scenario::runFuzz(fuzz);
    nlohmann::json fields{{"runs", result.runs},
                          {"steps", result.steps},
                          {"violations", result.violations},
                          {"unrecovered", result.unrecovered},
                          {"worst_unavailable_ms", result.worstUnavailable.count()},
                          {"broken_rule", options.brokenRule}};
    if (result.firstBadSeed)
        fields["first_bad_seed"] = *result.firstBadSeed;
    else
        fields["first_bad_seed"] = nullptr;
    return fields;
}

Bench::ExperimentResult runPlacementExperiment(const Bench::ExperimentOptions &options)
{
    Experiments::PlacementOptions placement;
    placement.seed = options.seed;
    placement.zipfExponent = options.zipfExponent;
    if (!options.nodes.empty())
        placement.nodes = options.nodes.front();
    if (options.slots != 0)
        placement.slots = options.slots;
    return Experiments::runPlacementExperiment(placement);
}

} // namespace Medlar
