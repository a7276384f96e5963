#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Medlar::Configuration {

/*! Reads a whole number without sign, or nothing. */
std::optional<std::uint64_t> parseCount(const std::string &text);

/*! Reads a duration with unit ms, s, min or h, such as 200ms or 1.5s; whole milliseconds only. */
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

/*! Shortest exact form with one unit; parseDuration() reads it back. */
std::string formatDuration(std::chrono::milliseconds duration);

/*! Reads a rate with unit /s or /min, such as 50/s or 0.5/s. The result is per second. */
std::optional<double> parseRate(const std::string &text);

/*! The rate per second with unit /s; parseRate() reads it back exactly. */
std::string formatRate(double perSecond);

} // namespace Medlar::Configuration
