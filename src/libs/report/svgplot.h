#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Medlar::Report {

struct PlotBar
{
    std::string label;
    double value = 0;
    bool isReference = false; //!< drawn in a paler colour
};

struct PlotSeries
{
    std::string name;
    std::vector<std::pair<double, double>> points; //!< sorted by x
};

/*! Horizontal bars of single values. */
struct BarPlot
{
    std::string title;
    std::vector<PlotBar> bars;
    std::optional<double> target; //!< drawn as a dashed line
};

/*! Lines over a common axis; the first series has the strongest colour. */
struct LinePlot
{
    std::string title;
    std::string xLabel;
    std::vector<PlotSeries> series;
    std::optional<double> target; //!< drawn as a dashed line
};

/*!
    One self-contained <svg> element. The value axis begins at zero, or below it for negative
   values; values that are not finite are left out. Texts are escaped.
*/
std::string toSvg(const BarPlot &plot);
std::string toSvg(const LinePlot &plot);

/*! \a text with the characters that HTML and SVG reserve replaced. */
std::string escapeMarkup(const std::string &text);

} // namespace Medlar::Report
