#include "placeholder.h"

#include "bundlereader.h"

namespace Medlar::Configuration {

namespace {

constexpr char Opening[] = "${";
constexpr std::size_t OpeningSize = 2;

// Calls onText and onName for the parts of the text in turn; returns false when it is malformed.
template<typename OnText, typename OnName>
bool splitText(const std::string &text, OnText onText, OnName onName)
{
    std::size_t position = 0;
    while (true) {
        const std::size_t start = text.find(Opening, position);
        onText(text.substr(position, start - position));
        if (start == std::string::npos)
            return true;
        const std::size_t end = text.find('}', start);
        if (end == std::string::npos)
            return false;
        const std::string name = text.substr(start + OpeningSize, end - start - OpeningSize);
        if (!isValidName(name))
            return false;
        onName(name);
        position = end + 1;
    }
}

// The name of the placeholder that is the whole text, or an empty string.
std::string wholePlaceholder(const std::string &text)
{
    if (text.rfind(Opening, 0) != 0 || text.find('}') != text.size() - 1)
        return {};
    return text.substr(OpeningSize, text.size() - OpeningSize - 1);
}

} // namespace

std::optional<std::set<std::string>> placeholdersIn(const std::string &text)
{
    std::set<std::string> names;
    const bool isWellFormed = splitText(
        text, [](const std::string &) {}, [&](const std::string &name) { names.insert(name); });
    if (!isWellFormed)
        return std::nullopt;
    return names;
}

std::set<std::string> placeholdersIn(const ParameterValue &value)
{
    std::set<std::string> names;
    for (const std::string &text : value.texts) {
        if (const auto found = placeholdersIn(text))
            names.insert(found->begin(), found->end());
    }
    return names;
}

std::optional<ParameterValue> fillPlaceholders(const ParameterValue &value,
                                               const ParameterValues &parameters)
{
    ParameterValue result{value.isList, {}, value.location};
    for (const std::string &text : value.texts) {
        if (const std::string name = wholePlaceholder(text); !name.empty()) {
            const ParameterValue &parameter = parameters.at(name);
            result.isList = result.isList || parameter.isList;
            result.texts.insert(result.texts.end(), parameter.texts.begin(), parameter.texts.end());
            result.location = parameter.location;
            continue;
        }
        bool usesList = false;
        std::string filled;
        splitText(
            text, [&](const std::string &part) { filled += part; },
            [&](const std::string &name) {
                const ParameterValue &parameter = parameters.at(name);
                usesList = usesList || parameter.isList;
                filled += parameter.isList ? std::string() : parameter.texts.front();
                result.location = parameter.location;
            });
        if (usesList)
            return std::nullopt;
        result.texts.push_back(filled);
    }
    return result;
}

} // namespace Medlar::Configuration
