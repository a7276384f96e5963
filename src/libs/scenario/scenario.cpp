#include "scenario.h"

namespace Medlar::Scenario {

namespace {

constexpr std::size_t MaxNodes = 1000;

std::optional<Location> parseLocation(const std::string &word)
{
    const std::size_t slash = word.find('/');
    if (slash == 0 || slash == std::string::npos || slash + 1 == word.size())
        return {};
    return Location{word.substr(0, slash), word.substr(slash + 1)};
}

/*! "nodes 5 in r1/a r1/b": node-1 to node-5, placed in the zones in turn. */
bool parseNodes(const Words &words, SimulationOptions &options)
{
    const auto count = words.size() < 4 ? std::nullopt : parseNumber(words[1]);
    if (!count || *count == 0 || *count > MaxNodes || words[2] != "in")
        return false;
    std::vector<Location> zones;
    for (std::size_t i = 3; i < words.size(); ++i) {
        const auto zone = parseLocation(words[i]);
        if (!zone)
            return false;
        zones.push_back(*zone);
    }
    for (std::uint64_t i = 0; i < *count; ++i)
        options.nodes.push_back({"node-" + std::to_string(i + 1), zones[i % zones.size()]});
    return true;
}

bool parseSetting(const Words &words, SimulationOptions &options)
{
    const std::string &name = words.front();
    if (name == "nodes")
        return parseNodes(words, options);
    if (name == "unfenced" && words.size() == 1) {
        for (NodeOptions &node : options.nodes)
            node.backendChecksFencing = false;
        return !options.nodes.empty();
    }
    if (words.size() != 2)
        return false;
    if (name == "repairs") {
        options.repairs = words[1] == "on";
        return words[1] == "on" || words[1] == "off";
    }
    const auto value = parseNumber(words[1]);
    if (!value)
        return false;
    if (name == "slots" && *value > 0 && *value <= Cluster::SlotsPerChunk) {
        options.slotCount = static_cast<std::uint32_t>(*value);
        return true;
    }
    options.seed = *value;
    return name == "seed";
}

} // namespace

tl::expected<Scenario, ScenarioError> parseScenario(const std::string &text)
{
    Scenario scenario;
    auto statements = parseStatements(
        text, [&](const Words &words) { return parseSetting(words, scenario.options); });
    if (!statements)
        return tl::unexpected(statements.error());
    if (scenario.options.nodes.empty())
        return tl::unexpected(ScenarioError{0, "no nodes"});
    scenario.statements = std::move(*statements);
    return scenario;
}

} // namespace Medlar::Scenario
