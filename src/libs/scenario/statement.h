#pragma once

#include "eventqueue.h"

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Medlar::Scenario {

using Words = std::vector<std::string>;

/*! Something that happens at a time of a scenario. */
struct Statement
{
    std::size_t line = 0;
    TrueTime at{0};
    Words words;      //!< without "at" and the time
    std::string text; //!< the words, joined by single blanks
};

/*! Says which line of a scenario is wrong. */
struct ScenarioError
{
    std::size_t line = 0;
    std::string detail;
};

/*! The session of a scenario: statements, log lines and answers, and what went wrong. */
struct ScenarioResult
{
    std::vector<std::string> lines;
    /*! Unknown statements, expectations that were not met and broken invariants. */
    std::vector<std::string> failures;
};

/*! Parses the lines of a scenario. Settings are passed to \a parseSetting, which returns false for
 * a wrong one; the statements are returned in the order of time. */
tl::expected<std::vector<Statement>, ScenarioError>
parseStatements(const std::string &text, const std::function<bool(const Words &)> &parseSetting);

/*! Parses "300ms", "2s" or "500us". */
std::optional<TrueTime> parseTime(const std::string &word);

/*! Parses "1%" or "-0.5%" to a number of percent. */
std::optional<double> parsePercent(const std::string &word);

/*! Parses a decimal number without sign. */
std::optional<std::uint64_t> parseNumber(const std::string &word);

/*! Parses "50/s". */
std::optional<double> parseRate(const std::string &word);

/*! A line of a session with its time. */
std::string timedLine(TrueTime at, const std::string &line);

/*! The line that follows an expectation. */
std::string answerLine(const std::string &text, bool met);

} // namespace Medlar::Scenario
