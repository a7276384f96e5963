#include "statement.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <sstream>

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

Words wordsOf(const std::string &line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    Words words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

std::string join(const Words &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

} // namespace

tl::expected<std::vector<Statement>, ScenarioError>
parseStatements(const std::string &text, const std::function<bool(const Words &)> &parseSetting)
{
    std::vector<Statement> statements;
    std::istringstream stream(text);
    std::size_t number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        Words words = wordsOf(line);
        if (words.empty())
            continue;
        if (words.front() != "at") {
            if (!parseSetting(words))
                return tl::unexpected(ScenarioError{number, "unknown setting: " + join(words)});
            continue;
        }
        const auto at = words.size() < 3 ? std::nullopt : parseTime(words[1]);
        if (!at)
            return tl::unexpected(ScenarioError{number, "expected 'at TIME STATEMENT'"});
        words.erase(words.begin(), words.begin() + 2);
        statements.push_back({number, *at, words, join(words)});
    }
    std::stable_sort(statements.begin(), statements.end(),
                     [](const Statement &a, const Statement &b) { return a.at < b.at; });
    return statements;
}

std::optional<TrueTime> parseTime(const std::string &word)
{
    std::uint64_t value = 0;
    const char *const last = word.data() + word.size();
    const auto [end, error] = std::from_chars(word.data(), last, value);
    if (error != std::errc())
        return {};
    const std::string unit(end, last);
    if (unit == "us")
        return value * 1us;
    if (unit == "ms")
        return value * 1ms;
    if (unit == "s")
        return value * 1s;
    return {};
}

std::optional<double> parsePercent(const std::string &word)
{
    if (word.size() < 2 || word.back() != '%')
        return {};
    double value = 0;
    const char *const last = word.data() + word.size() - 1;
    const auto [end, error] = std::from_chars(word.data(), last, value);
    if (error != std::errc() || end != last)
        return {};
    return value;
}

std::optional<std::uint64_t> parseNumber(const std::string &word)
{
    std::uint64_t value = 0;
    const char *const last = word.data() + word.size();
    const auto [end, error] = std::from_chars(word.data(), last, value);
    if (error != std::errc() || end != last)
        return {};
    return value;
}

std::optional<double> parseRate(const std::string &word)
{
    const std::size_t slash = word.find('/');
    const auto value = parseNumber(word.substr(0, slash));
    if (slash == std::string::npos || word.substr(slash) != "/s" || !value || *value == 0)
        return {};
    return static_cast<double>(*value);
}

std::string timedLine(TrueTime at, const std::string &line)
{
    char time[32];
    const auto micros = at / 1us;
    std::snprintf(time, sizeof(time), "%8lld.%03llds", static_cast<long long>(micros / 1000000),
                  static_cast<long long>(micros / 1000 % 1000));
    return std::string(time) + " " + line;
}

std::string answerLine(const std::string &text, bool met)
{
    return "  " + std::string(met ? "met: " : "NOT MET: ") + text;
}

} // namespace Medlar::Scenario
