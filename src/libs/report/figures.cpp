#include "figures.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace Medlar::Report {

using nlohmann::json;

namespace {

// Below this value all whole numbers have an exact double.
constexpr double LargestExactWhole = 9007199254740992.0;

std::uint64_t nodesOf(const json &object, std::uint64_t otherwise)
{
    const auto nodes = object.find("nodes");
    if (nodes == object.end() || !nodes->is_number())
        return otherwise;
    const auto count = nodes->get<double>();
    const bool isCount = count >= 1 && count < LargestExactWhole && count == std::floor(count);
    return isCount ? static_cast<std::uint64_t>(count) : otherwise;
}

std::string labelOf(const json &element, std::size_t index)
{
    for (const char *name : {"event", "name"}) {
        if (element.is_object() && element.contains(name) && element[name].is_string())
            return element[name].get<std::string>();
    }
    return std::to_string(index);
}

void collect(Figures &figures, const json &value, const std::string &name, std::uint64_t nodes);

void collectMembers(Figures &figures, const json &object, const std::string &prefix,
                    std::uint64_t nodes)
{
    for (const auto &[name, value] : object.items()) {
        if (name != "nodes")
            collect(figures, value, prefix + name, nodes);
    }
}

void collect(Figures &figures, const json &value, const std::string &name, std::uint64_t nodes)
{
    if (value.is_number()) {
        figures[{name, nodes}] = value.get<double>();
    } else if (value.is_object()) {
        collectMembers(figures, value, name + '.', nodesOf(value, nodes));
    } else if (value.is_array()) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            if (const std::uint64_t size = nodesOf(value[i], 0); value[i].is_object() && size != 0)
                collectMembers(figures, value[i], "", size);
            else
                collect(figures, value[i], name + '[' + labelOf(value[i], i) + ']', nodes);
        }
    }
}

} // namespace

Figures figuresOf(const json &fields)
{
    Figures figures;
    const std::uint64_t nodes = nodesOf(fields, 0);
    for (const auto &[name, value] : fields.items()) {
        if (name != "nodes" && name != "seed")
            collect(figures, value, name, nodes);
    }
    return figures;
}

std::string formatFigure(double value)
{
    std::array<char, 64> text{};
    const double magnitude = std::fabs(value);
    const bool isWhole = value == std::floor(value) && magnitude < LargestExactWhole;
    const bool needsNoDecimals = magnitude >= 1000 && magnitude < LargestExactWhole;
    const char *format = isWhole || needsNoDecimals ? "%.0f" : "%.4g";
    std::snprintf(text.data(), text.size(), format, value == 0 ? 0.0 : value);
    return text.data();
}

} // namespace Medlar::Report
