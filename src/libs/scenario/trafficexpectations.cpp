#include "trafficexpectations.h"

#include <algorithm>
#include <cstdio>

namespace Medlar::Scenario {

using namespace std::chrono_literals;
using Messages::Outcome;
using Messages::RequestClass;

namespace {

std::string formatted(const char *format, double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), format, value);
    return text;
}

std::optional<double> parseRatio(const std::string &word)
{
    char *end = nullptr;
    const double value = std::strtod(word.c_str(), &end);
    if (word.empty() || *end != 0)
        return {};
    return value;
}

std::optional<Outcome> parseOutcome(const std::string &word)
{
    for (const Outcome outcome : {Outcome::Answered, Outcome::NotRun, Outcome::Unknown}) {
        if (word == outcomeName(outcome))
            return outcome;
    }
    return {};
}

// The forms that read as a prohibition, as a comparison.
Words asComparison(const Words &words)
{
    if (words == Words{"not-run", "requests", "never", "started"})
        return {"starts", "of", "a", "not-run", "request", "at", "most", "0"};
    if (words.size() >= 5 && words[0] == "no" && words[1] == "request" && words[2] == "started") {
        Words result{"starts", "on", words[4], "at", "most", "0"};
        result.insert(result.end(), words.begin() + 5, words.end());
        return result;
    }
    return words;
}

} // namespace

std::optional<std::size_t> parseIndexed(const std::string &word, const std::string &prefix,
                                        std::size_t count)
{
    if (word.compare(0, prefix.size(), prefix) != 0)
        return {};
    const auto number = parseNumber(word.substr(prefix.size()));
    if (!number || *number == 0 || *number > count)
        return {};
    return static_cast<std::size_t>(*number - 1);
}

std::optional<RequestClass> parseRequestClass(const std::string &word)
{
    if (word == "first-answer")
        return RequestClass::FirstAnswer;
    if (word == "normal")
        return RequestClass::Normal;
    if (word == "bulk")
        return RequestClass::Bulk;
    return {};
}

std::optional<TrafficExpectations::Answer> TrafficExpectations::check(Words words) const
{
    words = asComparison(words);
    const auto window = takeWindow(words);
    // "… at most VALUE", "… at least VALUE", "… below VALUE"
    const std::size_t size = words.size();
    if (!window || size < 3)
        return {};
    const std::string &value = words[size - 1];
    const bool isBelow = words[size - 2] == "below";
    const bool isAtMost = words[size - 2] == "most" && words[size - 3] == "at";
    const bool isAtLeast = words[size - 2] == "least" && words[size - 3] == "at";
    if (!isBelow && !isAtMost && !isAtLeast)
        return {};
    const Words subject(words.begin(), words.end() - (isBelow ? 2 : 3));
    const auto measured = subject.empty() ? std::nullopt : measure(subject, *window);
    if (!measured)
        return {};

    double actual = measured->value;
    std::optional<double> limit;
    std::string text;
    if (measured->unit == Unit::Time) {
        if (const auto time = parseTime(value))
            limit = static_cast<double>(*time / 1us) / 1000;
        text = formatted("%.1fms", actual);
    } else if (const auto percent = parsePercent(value)) {
        limit = percent;
        actual = measured->whole > 0 ? 100 * actual / measured->whole : 0;
        text = formatted("%.1f%%", actual);
    } else {
        limit = parseRatio(value);
        text = formatted(measured->unit == Unit::Count ? "%.0f" : "%.3f", actual);
    }
    if (!limit)
        return {};
    const bool met = isBelow ? actual < *limit : isAtMost ? actual <= *limit : actual >= *limit;
    return Answer{text, met};
}

// Removes "after TIME" and "before TIME" from the end, and a class from the beginning.
std::optional<TrafficExpectations::Window> TrafficExpectations::takeWindow(Words &words)
{
    Window window;
    while (words.size() > 2) {
        const std::string &preposition = words[words.size() - 2];
        if (preposition != "after" && preposition != "before")
            break;
        const auto time = parseTime(words.back());
        if (!time)
            return {};
        (preposition == "after" ? window.from : window.to) = *time;
        words.resize(words.size() - 2);
    }
    if (!words.empty())
        window.requestClass = parseRequestClass(words.front());
    if (window.requestClass)
        words.erase(words.begin());
    return window;
}

std::optional<TrafficExpectations::Measure> TrafficExpectations::measure(const Words &words,
                                                                         const Window &window) const
{
    if (const auto outcome = parseOutcome(words[0]); outcome && words.size() == 1)
        return count(window, [&](const TrafficRequest &request) {
            return request.isFinished && !request.isCancelled && request.outcome == *outcome ? 1U
                                                                                             : 0U;
        });
    if (words == Words{"latency"})
        return measureLatency(window);
    if (words == Words{"hedges"})
        return count(window, [](const TrafficRequest &request) { return request.hedges; });
    if (words == Words{"attempts", "per", "request"}) {
        Measure all
            = count(window, [](const TrafficRequest &request) { return request.parts.size(); });
        return Measure{all.whole > 0 ? all.value / all.whole : 0, Unit::Ratio, 0};
    }
    if (words == Words{"late", "answers", "dropped"})
        return count(window,
                     [](const TrafficRequest &request) { return request.lateAnswersDropped; });
    if (words == Words{"late", "answers", "taken"})
        return count(window,
                     [](const TrafficRequest &request) { return request.lateAnswersTaken; });
    if (words.size() == 2 && words[0] == "rejected")
        return count(window, [&](const TrafficRequest &request) {
            return request.isFinished && request.error == words[1] ? 1U : 0U;
        });
    if (words.size() == 2 && words[0] == "log")
        return countLog(words[1], window);
    if (words[0] == "starts" && words.size() > 2 && words[1] == "of")
        return measureStarts(words, window);
    return measureBackend(words, window);
}

std::optional<TrafficExpectations::Measure>
TrafficExpectations::measureBackend(const Words &words, const Window &window) const
{
    const auto &daemons = m_simulation.daemons();
    const auto index
        = words.size() == 3 ? parseIndexed(words[2], "backend-", daemons.size()) : std::nullopt;
    if (!index)
        return {};
    TrafficDaemon &daemon = *daemons[*index];
    if (words[0] == "queue" && words[1] == "of")
        return Measure{static_cast<double>(daemon.longestQueue()), Unit::Count, 0};
    if (words[1] != "on")
        return {};
    if (words[0] == "waiting")
        return Measure{static_cast<double>(daemon.waiting()), Unit::Count, 0};
    if (words[0] == "running")
        return Measure{static_cast<double>(daemon.backend().running()), Unit::Count, 0};
    if (words[0] == "shed")
        return Measure{static_cast<double>(daemon.backend().shed()), Unit::Count, 0};
    if (words[0] != "starts")
        return {};
    Measure starts;
    for (const TrafficRequest &request : m_simulation.requests()) {
        for (const auto &[at, target] : request.starts) {
            starts.whole += window.covers(at) ? 1 : 0;
            starts.value += window.covers(at) && target == *index ? 1 : 0;
        }
    }
    return starts;
}

// "starts of a KIND request" is the highest number of starts of a single one.
std::optional<TrafficExpectations::Measure>
TrafficExpectations::measureStarts(const Words &words, const Window &window) const
{
    if (words.size() != 5 || (words[2] != "a" && words[2] != "an") || words[4] != "request")
        return {};
    const std::string &kind = words[3];
    const auto isMeant = [&](const TrafficRequest &request) {
        if (kind == "non-idempotent")
            return !request.isIdempotent;
        if (kind == "cancelled")
            return request.isCancelled;
        return kind == "not-run" && request.isFinished && !request.isCancelled
               && request.outcome == Outcome::NotRun;
    };
    if (kind == "overdue") {
        return count(window, [](const TrafficRequest &request) {
            return std::count_if(request.starts.begin(), request.starts.end(),
                                 [&](const auto &s) { return s.first >= request.deadline; });
        });
    }
    if (kind != "non-idempotent" && kind != "cancelled" && kind != "not-run")
        return {};
    Measure most;
    for (const TrafficRequest *request : requests(window)) {
        if (isMeant(*request))
            most.value = std::max(most.value, static_cast<double>(request->starts.size()));
    }
    return most;
}

TrafficExpectations::Measure TrafficExpectations::measureLatency(const Window &window) const
{
    TrueTime worst{0};
    for (const TrafficRequest *request : requests(window)) {
        if (request->isFinished && request->outcome == Outcome::Answered)
            worst = std::max(worst, request->finishedAt - request->arrivedAt);
    }
    return {static_cast<double>(worst / 1us) / 1000, Unit::Time, 0};
}

TrafficExpectations::Measure TrafficExpectations::countLog(const std::string &event,
                                                           const Window &window) const
{
    Measure lines;
    for (const auto &[at, line] : m_log)
        lines.value += window.covers(at) && line.rfind("event=" + event + " ", 0) == 0 ? 1 : 0;
    return lines;
}

std::vector<const TrafficRequest *> TrafficExpectations::requests(const Window &window) const
{
    std::vector<const TrafficRequest *> result;
    for (const TrafficRequest &request : m_simulation.requests()) {
        const bool isOfClass = !window.requestClass || *window.requestClass == request.requestClass;
        if (isOfClass && window.covers(request.arrivedAt))
            result.push_back(&request);
    }
    return result;
}

TrafficExpectations::Measure
TrafficExpectations::count(const Window &window,
                           const std::function<std::size_t(const TrafficRequest &)> &value) const
{
    Measure sum;
    for (const TrafficRequest *request : requests(window)) {
        sum.value += static_cast<double>(value(*request));
        sum.whole += 1;
    }
    return sum;
}

} // namespace Medlar::Scenario
