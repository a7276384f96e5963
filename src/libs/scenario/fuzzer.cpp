#include "fuzzer.h"

#include "fuzzrun.h"

#include <algorithm>

namespace Medlar::Scenario {

FuzzResult runFuzz(const FuzzOptions &options)
{
    FuzzResult result;
    for (std::uint64_t i = 0; i < options.runs; ++i) {
        FuzzRun run(options.seed + i, options.rules);
        run.run();
        ++result.runs;
        result.steps += run.steps();
        result.violations += run.violations().size();
        const auto worst
            = std::chrono::duration_cast<std::chrono::milliseconds>(run.worstUnavailable());
        result.worstUnavailable = std::max(result.worstUnavailable, worst);
        if (!run.hasRecovered()) {
            ++result.unrecovered;
            if (!result.firstUnrecoveredSeed)
                result.firstUnrecoveredSeed = options.seed + i;
        }
        if (run.violations().empty())
            continue;
        if (!result.firstBadSeed) {
            result.firstBadSeed = options.seed + i;
            result.firstViolations = run.violations();
        }
        if (options.stopAtFirst)
            break;
    }
    return result;
}

std::vector<std::string> traceFuzzRun(std::uint64_t seed, const Ownership::ProtocolRules &rules)
{
    std::vector<std::string> lines;
    FuzzRun run(seed, rules);
    run.setLogSink([&lines](const std::string &line) { lines.push_back(line); });
    run.run();
    if (!run.hasRecovered())
        run.describeEntries(lines);
    return lines;
}

} // namespace Medlar::Scenario
