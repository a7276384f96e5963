#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace Medlar::Report {

/*! Name of a measured value, at the number of nodes with which it was measured. */
struct FigureKey
{
    std::string name;
    std::uint64_t nodes = 0; //!< 0: the run does not state it
};

inline bool operator<(const FigureKey &a, const FigureKey &b)
{
    return a.name != b.name ? a.name < b.name : a.nodes < b.nodes;
}

inline bool operator==(const FigureKey &a, const FigureKey &b)
{
    return a.nodes == b.nodes && a.name == b.name;
}

using Figures = std::map<FigureKey, double>;

/*!
    All numbers of one run. Members of nested objects get names with dots, elements of arrays their
   `event` or `name` or their index in brackets. An array of objects with `nodes` gives the same
   figures at several sizes. Other values (text, null, truth values) are not figures.
*/
Figures figuresOf(const nlohmann::json &fields);

/*! Short text of a value: whole numbers in full, others with four significant digits. */
std::string formatFigure(double value);

} // namespace Medlar::Report
