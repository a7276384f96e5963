#include "units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace Medlar::Configuration {

namespace {

// Exceeds every accepted duration and rate, and keeps the arithmetic below exact.
constexpr double LargestNumber = 1e9;

struct Unit
{
    const char *name;
    double factor;
};

// The longest unit of which a duration is a whole multiple is used to print it.
constexpr std::array<Unit, 4> DurationUnits{
    {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 2> RateUnits{{{"/s", 1}, {"/min", 1.0 / 60}}};

bool isDecimal(const std::string &text, std::size_t size)
{
    const std::size_t end = text.find_first_not_of("0123456789.");
    return size > 0 && (end == std::string::npos ? text.size() : end) == size;
}

template<std::size_t Count>
std::optional<double> parseWithUnit(const std::string &text, const std::array<Unit, Count> &units)
{
    double number = 0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number, std::chars_format::fixed);
    const auto digits = static_cast<std::size_t>(end - text.data());
    if (error != std::errc() || !isDecimal(text, digits) || number > LargestNumber)
        return std::nullopt;
    const std::string unitName(end, last);
    for (const Unit &unit : units) {
        if (unitName == unit.name)
            return number * unit.factor;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::uint64_t> parseCount(const std::string &text)
{
    std::uint64_t number = 0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (text.empty() || error != std::errc() || end != last)
        return std::nullopt;
    return number;
}

std::optional<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    const std::optional<double> value = parseWithUnit(text, DurationUnits);
    if (!value)
        return std::nullopt;
    const double rounded = std::round(*value);
    // Accepts 1.005s although its product is not exactly 1005 in binary, and refuses 0.5ms.
    if (std::abs(*value - rounded) > 1e-6 * std::max(1.0, rounded))
        return std::nullopt;
    return std::chrono::milliseconds(static_cast<std::int64_t>(rounded));
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    const std::int64_t count = duration.count();
    for (std::size_t i = DurationUnits.size() - 1; i > 0; --i) {
        const auto factor = static_cast<std::int64_t>(DurationUnits[i].factor);
        if (count != 0 && count % factor == 0)
            return std::to_string(count / factor) + DurationUnits[i].name;
    }
    return std::to_string(count) + "ms";
}

std::optional<double> parseRate(const std::string &text)
{
    return parseWithUnit(text, RateUnits);
}

std::string formatRate(double perSecond)
{
    std::array<char, 64> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), perSecond,
                                   std::chars_format::fixed)
                         .ptr;
    return std::string(digits.data(), end) + "/s";
}

} // namespace Medlar::Configuration
