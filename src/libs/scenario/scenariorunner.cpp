#include "scenariorunner.h"

#include <algorithm>

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

constexpr TrueTime SampleInterval = 1ms;

std::string_view reasonName(Ownership::NotServingReason reason)
{
    switch (reason) {
    case Ownership::NotServingReason::NotOwner:
        return "not-owner";
    case Ownership::NotServingReason::AwaitingRelease:
        return "awaiting-release";
    case Ownership::NotServingReason::LeaseNotHeld:
        return "lease-not-held";
    case Ownership::NotServingReason::UnknownSlot:
        return "unknown-slot";
    case Ownership::NotServingReason::Draining:
        return "draining";
    }
    return "unknown";
}

} // namespace

ScenarioRunner::ScenarioRunner(const Scenario &scenario)
    : m_scenario(scenario)
    , m_simulation(scenario.options)
    , m_checker(m_simulation)
    , m_unavailability(m_simulation, SampleInterval)
{}

ScenarioResult ScenarioRunner::run()
{
    m_simulation.setStepHook([this] { m_checker.check(); });
    m_simulation.warmUp();
    m_start = m_simulation.now();
    m_simulation.setLogSink([this](const std::string &line) { print(line); });
    for (const auto &[name, node] : m_simulation.nodes())
        m_firstInstances[name] = node->instance();
    if (!m_scenario.statements.empty())
        m_unavailability.start(m_start + m_scenario.statements.back().at);

    for (const Statement &statement : m_scenario.statements) {
        m_simulation.runUntil(m_start + statement.at);
        print(statement.text);
        if (!execute(statement.words))
            m_result.failures.push_back("line " + std::to_string(statement.line) + ": "
                                        + statement.text);
        m_checker.check();
    }
    for (const Violation &violation : m_checker.violations())
        m_result.failures.push_back("violation: " + violation.description);
    return m_result;
}

bool ScenarioRunner::execute(const Words &words)
{
    const std::string &verb = words.front();
    if (verb == "expect")
        return expect(words);
    if (verb == "ask")
        return ask(words);
    if (verb == "store")
        return changeStore(words);
    if (verb == "end")
        return words.size() == 1;
    return changeNetwork(words) || changeAssignment(words) || changeNode(words);
}

bool ScenarioRunner::changeNode(const Words &words)
{
    if (words.size() < 2 || !m_simulation.hasNode(words[1]))
        return false;
    const std::string &verb = words[0];
    const std::string &node = words[1];
    if (verb == "drift" && words.size() == 3) {
        const auto percent = parsePercent(words[2]);
        if (percent)
            m_simulation.at(node).setDrift(*percent / 100);
        return percent.has_value();
    }
    static const std::map<std::string, void (Simulation::*)(const std::string &)> Operations{
        {"pause", &Simulation::pause},
        {"resume", &Simulation::resume},
        {"kill", &Simulation::kill},
        {"restart", &Simulation::restart},
        {"drain", &Simulation::drain},
        {"stop", &Simulation::stop},
        {"confirm-dead", &Simulation::confirmDead},
    };
    const auto operation = Operations.find(verb);
    if (operation == Operations.end() || words.size() != 2)
        return false;
    (m_simulation.*operation->second)(node);
    return true;
}

bool ScenarioRunner::changeNetwork(const Words &words)
{
    if (words[0] == "partition")
        return partition(words);
    if (words[0] == "heal" && words.size() == 1) {
        m_simulation.network().heal();
        return true;
    }
    return changeLink(words);
}

bool ScenarioRunner::changeLink(const Words &words)
{
    if (words.size() < 3)
        return false;
    LinkFaults faults;
    const auto percent = parsePercent(words[1]);
    const auto delay = parseTime(words[1]);
    if (words[0] == "drop" && percent)
        faults.dropPercent = *percent;
    else if (words[0] == "duplicate" && percent)
        faults.duplicatePercent = *percent;
    else if (words[0] == "reorder" && percent)
        faults.reorderPercent = *percent;
    else if (words[0] == "delay" && delay)
        faults.extraDelay = *delay;
    else
        return false;
    if (words.size() == 3 && words[2] == "everywhere") {
        m_simulation.network().setFaultsEverywhere(faults);
        return true;
    }
    if (words.size() != 5 || words[3] != "->" || !m_simulation.hasNode(words[2])
        || !m_simulation.hasNode(words[4]))
        return false;
    m_simulation.network().setFaults(words[2], words[4], faults);
    return true;
}

bool ScenarioRunner::partition(const Words &words)
{
    const bool oneWay = words.size() > 1 && words[1] == "one-way";
    const auto first = words.begin() + (oneWay ? 2 : 1);
    const auto bar = std::find(first, words.end(), "|");
    if (first == bar || bar == words.end() || bar + 1 == words.end())
        return false;
    for (auto from = first; from != bar; ++from) {
        for (auto to = bar + 1; to != words.end(); ++to) {
            if (!m_simulation.hasNode(*from) || !m_simulation.hasNode(*to))
                return false;
            m_simulation.network().block(*from, *to);
            if (!oneWay)
                m_simulation.network().block(*to, *from);
        }
    }
    return true;
}

bool ScenarioRunner::changeStore(const Words &words)
{
    if (words.size() != 2 || (words[1] != "down" && words[1] != "up"))
        return false;
    m_simulation.setStoreUp(words[1] == "up");
    return true;
}

bool ScenarioRunner::changeAssignment(const Words &words)
{
    const auto unit = unitAt(words, 1);
    const bool hasTarget = words.size() == 5 && words[3] == "to" && m_simulation.hasNode(words[4]);
    if (!unit || (!hasTarget && words.size() != 3))
        return false;
    const std::string &verb = words[0];
    const std::string planner = firstRunningNode();
    if (hasTarget && (verb == "move" || verb == "split")) {
        const Base::InstanceId owner = m_simulation.at(words[4]).instance();
        m_simulation.plan(planner, [&](FakePlanner &p) {
            verb == "move" ? p.move(*unit, owner) : p.split(*unit, owner);
        });
        return true;
    }
    if (hasTarget || (verb != "rewrite" && verb != "merge"))
        return false;
    m_simulation.plan(planner, [&](FakePlanner &p) {
        verb == "rewrite" ? p.rewrite(*unit) : p.mergeBack(*unit);
    });
    return true;
}

bool ScenarioRunner::ask(const Words &words)
{
    const auto unit = unitAt(words, 2);
    if (words.size() != 4 || !unit || !m_simulation.hasNode(words[1]))
        return false;
    const SimulatedNode &node = m_simulation.at(words[1]);
    std::string line = "answer node=" + words[1];
    if (const auto owner = node.engine().ownerOf(ServiceName, *unit))
        line += " owner=" + owner->owner.node + " epoch=" + std::to_string(owner->epoch)
                + " owner_index=" + std::to_string(owner->ownerIndex);
    const auto permit = node.engine().permit(node.localTime(), ServiceName, *unit);
    if (permit)
        line += " permit=token-" + std::to_string(permit->token);
    else
        line += " refused=" + std::string(reasonName(permit.error().reason));
    print(line);
    return true;
}

bool ScenarioRunner::expect(const Words &words)
{
    if (words.size() < 3)
        return false;
    if (words[1] == "owner")
        return expectOwner(words);
    if (words[1] == "witness")
        return expectWitness(words);
    if (words[1] == "sealed" && words.size() == 3)
        return expectSealed(words[2], true);
    if (words[1] == "not" && words[2] == "sealed" && words.size() == 4)
        return expectSealed(words[3], false);
    if (words[1] == "unavailable" && words[2] == "below" && words.size() == 4)
        return expectUnavailable(words[3]);
    return false;
}

bool ScenarioRunner::expectOwner(const Words &words)
{
    if (words.size() < 6 || words[4] != "is")
        return false;
    std::vector<Cluster::SlotId> units;
    if (words[2] == "every" && words[3] == "slot")
        units = ownershipUnits(m_simulation.store());
    else if (const auto unit = unitAt(words, 2))
        units = {*unit};
    else
        return false;
    const bool hasChoice = words.size() > 7 && words[5] == "one" && words[6] == "of";
    const std::vector<std::string> wanted(words.begin() + (hasChoice ? 7 : 5), words.end());
    bool met = !units.empty();
    std::string owners;
    for (const Cluster::SlotId unit : units) {
        const std::string owner = ownerOf(unit);
        owners += (owners.empty() ? "" : " ") + owner;
        met = met && std::find(wanted.begin(), wanted.end(), owner) != wanted.end();
    }
    return answer(owners, met);
}

bool ScenarioRunner::expectSealed(const std::string &node, bool wanted)
{
    const auto first = m_firstInstances.find(node);
    if (first == m_firstInstances.end())
        return false;
    const bool sealed = m_simulation.seals().count(first->second) != 0;
    return answer(sealed ? "sealed" : "not sealed", sealed == wanted);
}

bool ScenarioRunner::expectWitness(const Words &words)
{
    // "expect witness of node-1 is [not] node-2"
    const bool negated = words.size() == 7 && words[5] == "not";
    if ((words.size() != 6 && !negated) || words[2] != "of" || words[4] != "is"
        || !m_simulation.hasNode(words[3]))
        return false;
    const auto &witnesses = m_simulation.at(words[3]).engine().self().witnesses;
    std::string names;
    for (const Base::InstanceId &witness : witnesses)
        names += (names.empty() ? "" : " ") + witness.node;
    const bool isWitness = std::any_of(witnesses.begin(), witnesses.end(),
                                       [&](const auto &w) { return w.node == words.back(); });
    return answer(names, isWitness != negated);
}

bool ScenarioRunner::expectUnavailable(const std::string &limit)
{
    const auto time = parseTime(limit);
    if (!time)
        return false;
    const TrueTime worst = m_unavailability.worst();
    return answer(std::to_string(worst / 1ms) + "ms", worst < *time);
}

std::optional<Cluster::SlotId> ScenarioRunner::unitAt(const Words &words,
                                                      std::size_t position) const
{
    if (words.size() < position + 2)
        return {};
    const auto number = parseNumber(words[position + 1]);
    if (!number || *number >= Cluster::HotKeyBit)
        return {};
    if (words[position] == "hot-key")
        return *number | Cluster::HotKeyBit;
    if (words[position] == "slot" && *number < m_scenario.options.slotCount)
        return *number;
    return {};
}

std::string ScenarioRunner::ownerOf(Cluster::SlotId unit) const
{
    for (const auto &[name, node] : m_simulation.nodes()) {
        if (node->isRunning() && permittedToken(*node, unit))
            return name;
    }
    return "none";
}

std::string ScenarioRunner::firstRunningNode() const
{
    for (const auto &[name, node] : m_simulation.nodes()) {
        if (node->isRunning())
            return name;
    }
    return {};
}

void ScenarioRunner::print(const std::string &line)
{
    m_result.lines.push_back(timedLine(m_simulation.now() - m_start, line));
}

bool ScenarioRunner::answer(const std::string &text, bool met)
{
    print(answerLine(text, met));
    return met;
}

} // namespace Medlar::Scenario
