#include "trafficscenario.h"

#include <algorithm>

namespace Medlar::Scenario {

namespace {

constexpr std::uint64_t MaxDaemons = 3;

bool isTrafficRule(const std::string &word)
{
    static const std::set<std::string> Rules{
        "alarms",          "at-most-once", "bounded-admission",    "cancellation",
        "certain-not-run", "even-choice",  "late-answers-dropped", "observed-choice",
        "ramp-ends",       "retries",      "retry-budget",         "unknown-reported",
        "zone-out"};
    return Rules.count(word) != 0;
}

/*! "daemons 3 in z1 z2": daemon-1 to daemon-3, placed in the zones in turn. */
bool parseDaemons(const Words &words, TrafficOptions &options)
{
    const auto count = words.size() < 4 ? std::nullopt : parseNumber(words[1]);
    if (!count || *count == 0 || *count > MaxDaemons || words[2] != "in")
        return false;
    const std::size_t zones = words.size() - 3;
    for (std::uint64_t i = 0; i < *count; ++i)
        options.zones.push_back(words[3 + i % zones]);
    return true;
}

/*! "ramp 20/s for 2s" */
bool parseRamp(const Words &words, TrafficOptions &options)
{
    const auto rate = words.size() == 4 ? parseRate(words[1]) : std::nullopt;
    const auto time = rate && words[2] == "for" ? parseTime(words[3]) : std::nullopt;
    if (!time)
        return false;
    options.newServerRate = *rate;
    options.rampTime = *time;
    return true;
}

bool parseSetting(const Words &words, TrafficScenario &scenario)
{
    TrafficOptions &options = scenario.options;
    const std::string &name = words.front();
    if (name == "daemons")
        return parseDaemons(words, options);
    if (name == "ramp")
        return parseRamp(words, options);
    if (name == "fails-with") {
        scenario.failsWith.emplace_back(words.begin() + 1, words.end());
        return std::all_of(words.begin() + 1, words.end(), isTrafficRule) && words.size() > 1;
    }
    if (words.size() != 2)
        return false;
    if (name == "print") {
        options.printsRequests = true;
        return words[1] == "requests";
    }
    if (name == "service-time") {
        options.serviceTime = parseTime(words[1]).value_or(TrueTime(0));
        return options.serviceTime > TrueTime(0);
    }
    const auto value = parseNumber(words[1]);
    if (!value || (*value == 0 && name != "seed"))
        return false;
    if (name == "slots")
        options.slots = static_cast<std::uint32_t>(*value);
    else if (name == "queue")
        options.maxQueue = static_cast<std::uint32_t>(*value);
    else if (name == "seed")
        options.seed = *value;
    else
        return false;
    return true;
}

} // namespace

tl::expected<TrafficScenario, ScenarioError> parseTrafficScenario(const std::string &text)
{
    TrafficScenario scenario;
    auto statements
        = parseStatements(text, [&](const Words &words) { return parseSetting(words, scenario); });
    if (!statements)
        return tl::unexpected(statements.error());
    if (scenario.options.zones.empty())
        return tl::unexpected(ScenarioError{0, "no daemons"});
    scenario.statements = std::move(*statements);
    return scenario;
}

} // namespace Medlar::Scenario
