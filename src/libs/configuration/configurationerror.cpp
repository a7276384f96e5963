#include "configurationerror.h"

#include <tuple>

namespace Medlar::Configuration {

namespace {

constexpr std::size_t MaxShownBytes = 80;

auto tied(const ConfigurationError &e)
{
    return std::tie(e.location.file, e.location.line, e.field, e.value, e.problem, e.accepted);
}

} // namespace

std::string ConfigurationError::toString() const
{
    std::string text = location.file;
    if (location.line > 0)
        text += ":" + std::to_string(location.line);
    text += ": ";
    if (!field.empty())
        text += field + ": ";
    if (!value.empty())
        text += "\"" + value + "\": ";
    text += problem;
    if (!accepted.empty())
        text += "; accepted: " + accepted;
    return text;
}

bool operator==(const ConfigurationError &a, const ConfigurationError &b)
{
    return tied(a) == tied(b);
}

std::string printable(const std::string &text)
{
    std::string result = text.substr(0, MaxShownBytes);
    for (char &c : result) {
        if (c < ' ' || c > '~')
            c = '?';
    }
    return text.size() > MaxShownBytes ? result + "..." : result;
}

} // namespace Medlar::Configuration
