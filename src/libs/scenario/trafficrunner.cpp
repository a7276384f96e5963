#include "trafficrunner.h"

namespace Medlar::Scenario {

TrafficRunner::TrafficRunner(const TrafficScenario &scenario)
    : m_scenario(scenario)
    , m_simulation(scenario.options, [this](const std::string &line) { print(line); })
    , m_expectations(m_simulation, m_log)
{}

ScenarioResult TrafficRunner::run()
{
    for (const Statement &statement : m_scenario.statements) {
        m_simulation.runUntil(statement.at);
        print(statement.text);
        if (!execute(statement.words))
            m_result.failures.push_back("line " + std::to_string(statement.line) + ": "
                                        + statement.text);
    }
    return m_result;
}

bool TrafficRunner::execute(const Words &words)
{
    const std::string &verb = words.front();
    if (verb == "expect")
        return expect(words);
    if (verb == "offer")
        return offer(words);
    if (verb == "zone")
        return changeZone(words);
    if (verb == "end")
        return words.size() == 1;
    if (verb == "cancel" && words.size() == 3 && words[2] == "requests") {
        const auto count = parseNumber(words[1]);
        if (count)
            m_simulation.cancelOldest(*count);
        return count.has_value();
    }
    return changeBackend(words);
}

/*! "offer 50/s class normal deadline 300ms idempotent at daemon-1 for 2s" */
bool TrafficRunner::offer(const Words &words)
{
    TrafficLoad load;
    const auto rate = words.size() > 1 ? parseRate(words[1]) : std::nullopt;
    if (!rate)
        return false;
    load.rate = *rate;
    for (std::size_t i = 2; i < words.size(); ++i) {
        if (words[i] == "idempotent") {
            load.isIdempotent = true;
            continue;
        }
        if (i + 1 == words.size())
            return false;
        const std::string &option = words[i];
        const std::string &value = words[++i];
        const auto time = parseTime(value);
        if (option == "for" && time)
            load.duration = *time;
        else if (option == "deadline" && time)
            load.deadline = *time;
        else if (const auto requestClass = parseRequestClass(value);
                 requestClass && option == "class")
            load.requestClass = *requestClass;
        else if (const auto entry = parseIndexed(value, "daemon-", m_simulation.daemons().size());
                 entry && option == "at")
            load.entry = entry;
        else
            return false;
    }
    if (load.duration <= TrueTime(0))
        return false;
    m_simulation.offer(load);
    return true;
}

bool TrafficRunner::changeZone(const Words &words)
{
    if (words.size() != 3 || (words[1] != "out" && words[1] != "in")
        || !m_simulation.hasZone(words[2]))
        return false;
    m_simulation.setZoneOut(words[2], words[1] == "out");
    return true;
}

/*! "stall backend-1 for 1s", "slow backend-1 by 10 for 1s", "cool backend-1 for 1s" and others */
bool TrafficRunner::changeBackend(const Words &words)
{
    const auto &daemons = m_simulation.daemons();
    const auto index
        = words.size() < 2 ? std::nullopt : parseIndexed(words[1], "backend-", daemons.size());
    if (!index)
        return false;
    FakeBackend &backend = daemons[*index]->backend();
    const std::string &verb = words[0];
    if (verb == "restart")
        return restart(backend, words);
    const std::size_t size = words.size();
    const auto time
        = size >= 4 && words[size - 2] == "for" ? parseTime(words[size - 1]) : std::nullopt;
    if (!time)
        return false;
    const TrueTime end = m_simulation.now() + *time;
    if (verb == "slow" && size == 6 && words[2] == "by") {
        const auto factor = parseNumber(words[3]);
        if (factor)
            backend.slowDown(*factor, end);
        return factor.has_value();
    }
    if (size != 4)
        return false;
    if (verb == "stall")
        backend.stallUntil(end);
    else if (verb == "refuse")
        backend.refuseUntil(end);
    else if (verb == "shed")
        backend.shedUntil(end);
    else if (verb == "lose-answers")
        backend.loseAnswersUntil(end);
    else if (verb == "cool")
        backend.becomeCold(*time);
    else
        return false;
    return true;
}

/*! "restart backend-1 down 500ms cold 4s" */
bool TrafficRunner::restart(FakeBackend &backend, const Words &words)
{
    if (words.size() != 6 || words[2] != "down" || words[4] != "cold")
        return false;
    const auto down = parseTime(words[3]);
    const auto cold = parseTime(words[5]);
    if (!down || !cold)
        return false;
    backend.restart(*down);
    backend.becomeCold(*cold);
    return true;
}

bool TrafficRunner::expect(const Words &words)
{
    const auto answer = m_expectations.check(Words(words.begin() + 1, words.end()));
    if (!answer)
        return false;
    print(answerLine(answer->text, answer->met));
    return answer->met;
}

void TrafficRunner::print(const std::string &line)
{
    m_log.emplace_back(m_simulation.now(), line);
    m_result.lines.push_back(timedLine(m_simulation.now(), line));
}

} // namespace Medlar::Scenario
