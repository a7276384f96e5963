#include "svgplot.h"

#include "figures.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace Medlar::Report {

namespace {

// Sizes in user units of the SVG.
constexpr double Width = 480;
constexpr double TitleHeight = 26;
constexpr double BarHeight = 18;
constexpr double BarGap = 6;
constexpr double LabelWidth = 120;
constexpr double ValueWidth = 70;
constexpr double LineLeft = 70;
constexpr double LineRight = 20;
constexpr double LinePlotHeight = 170;
constexpr double AxisHeight = 38;
constexpr double LegendLineHeight = 14;
constexpr double WantedTicks = 4;

constexpr std::array<const char *, 4> Colours{"#2b6cb0", "#a0aec0", "#2f855a", "#b7791f"};
constexpr const char *ReferenceColour = Colours[1];
constexpr const char *TargetColour = "#c53030";

// Positions with one decimal keep the output short and equal on all machines.
std::string number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

std::string attribute(const char *name, const std::string &value)
{
    return std::string(" ") + name + "=\"" + value + '"';
}

std::string text(double x, double y, const char *anchor, const std::string &content)
{
    return "<text" + attribute("x", number(x)) + attribute("y", number(y))
           + attribute("text-anchor", anchor) + '>' + escapeMarkup(content) + "</text>\n";
}

std::string line(double x1, double y1, double x2, double y2, const std::string &style)
{
    return "<line" + attribute("x1", number(x1)) + attribute("y1", number(y1))
           + attribute("x2", number(x2)) + attribute("y2", number(y2)) + ' ' + style + "/>\n";
}

std::string targetStyle()
{
    return std::string("stroke=\"") + TargetColour + "\" stroke-dasharray=\"4 3\"";
}

std::string begin(double height, const std::string &title)
{
    return "<svg xmlns=\"http://www.w3.org/2000/svg\"" + attribute("width", number(Width))
           + attribute("height", number(height))
           + attribute("viewBox", "0 0 " + number(Width) + ' ' + number(height))
           + " font-family=\"sans-serif\" font-size=\"11\" role=\"img\">\n<title>"
           + escapeMarkup(title) + "</title>\n" + text(4, 15, "start", title);
}

// Maps values onto positions.
class Scale
{
public:
    Scale(double from, double to, double fromPosition, double toPosition)
        : m_from(from)
        , m_to(to > from ? to : from + 1)
        , m_fromPosition(fromPosition)
        , m_toPosition(toPosition)
    {}

    double at(double value) const
    {
        return m_fromPosition
               + (m_toPosition - m_fromPosition) * (value - m_from) / (m_to - m_from);
    }

private:
    double m_from;
    double m_to;
    double m_fromPosition;
    double m_toPosition;
};

struct Range
{
    double lowest = 0;
    double highest = 0;

    void add(double value)
    {
        if (!std::isfinite(value))
            return;
        lowest = std::min(lowest, value);
        highest = std::max(highest, value);
    }
};

std::string bar(const PlotBar &each, const Scale &scale, double y)
{
    const double from = scale.at(std::min(0.0, each.value));
    const double to = scale.at(std::max(0.0, each.value));
    return "<rect" + attribute("x", number(from)) + attribute("y", number(y))
           + attribute("width", number(to - from)) + attribute("height", number(BarHeight))
           + attribute("fill", each.isReference ? ReferenceColour : Colours.front()) + "/>\n"
           + text(to + 4, y + 13, "start", formatFigure(each.value));
}

std::string polyline(const PlotSeries &series, const Scale &x, const Scale &y, const char *colour)
{
    std::string points;
    std::string marks;
    for (const auto &[nodes, value] : series.points) {
        if (!std::isfinite(value) || !std::isfinite(nodes))
            continue;
        const std::string px = number(x.at(nodes));
        const std::string py = number(y.at(value));
        if (!points.empty())
            points += ' ';
        points.append(px).append(",").append(py);
        marks += "<circle" + attribute("cx", px) + attribute("cy", py) + attribute("r", "3")
                 + attribute("fill", colour) + "><title>" + formatFigure(nodes) + ": "
                 + formatFigure(value) + "</title></circle>\n";
    }
    return "<polyline fill=\"none\"" + attribute("stroke", colour) + attribute("points", points)
           + "/>\n" + marks;
}

// The round number of which about WantedTicks fit into the range.
double tickStep(const Range &range)
{
    const double wanted = (range.highest - range.lowest) / WantedTicks;
    if (!(wanted > 0))
        return 1;
    const double power = std::pow(10, std::floor(std::log10(wanted)));
    for (const double factor : {1.0, 2.0, 5.0}) {
        if (factor * power >= wanted)
            return factor * power;
    }
    return 10 * power;
}

std::string axes(const Range &range, double step, const Scale &y, double bottom)
{
    std::string result;
    const int ticks = static_cast<int>(std::lround((range.highest - range.lowest) / step));
    for (int i = 0; i <= ticks; ++i) {
        const double value = range.lowest + step * i;
        result += line(LineLeft, y.at(value), Width - LineRight, y.at(value), "stroke=\"#e2e8f0\"")
                  + text(LineLeft - 6, y.at(value) + 4, "end", formatFigure(value));
    }
    return result + line(LineLeft, bottom, Width - LineRight, bottom, "stroke=\"#4a5568\"");
}

std::string sizeLabels(const LinePlot &plot, const Scale &x, double bottom)
{
    std::vector<double> sizes;
    for (const PlotSeries &series : plot.series) {
        for (const auto &point : series.points)
            sizes.push_back(point.first);
    }
    std::sort(sizes.begin(), sizes.end());
    sizes.erase(std::unique(sizes.begin(), sizes.end()), sizes.end());
    std::string result;
    for (const double size : sizes)
        result += text(x.at(size), bottom + 15, "middle", formatFigure(size));
    return result + text(Width - LineRight, bottom + 30, "end", plot.xLabel);
}

} // namespace

std::string escapeMarkup(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string toSvg(const BarPlot &plot)
{
    Range range;
    for (const PlotBar &each : plot.bars)
        range.add(each.value);
    if (plot.target)
        range.add(*plot.target);
    const Scale scale(range.lowest, range.highest, LabelWidth, Width - ValueWidth);
    std::string content;
    double y = TitleHeight;
    for (const PlotBar &each : plot.bars) {
        if (!std::isfinite(each.value))
            continue;
        content += text(LabelWidth - 6, y + 13, "end", each.label) + bar(each, scale, y);
        y += BarHeight + BarGap;
    }
    if (plot.target)
        content += line(scale.at(*plot.target), TitleHeight - 4, scale.at(*plot.target), y,
                        targetStyle());
    return begin(y + BarGap, plot.title) + content + "</svg>\n";
}

std::string toSvg(const LinePlot &plot)
{
    Range range;
    double first = HUGE_VAL;
    double last = -HUGE_VAL;
    for (const PlotSeries &series : plot.series) {
        for (const auto &[nodes, value] : series.points) {
            range.add(value);
            first = std::min(first, nodes);
            last = std::max(last, nodes);
        }
    }
    if (plot.target)
        range.add(*plot.target);
    const double bottom = TitleHeight + LinePlotHeight;
    const Scale x(first, last, LineLeft + 10, Width - LineRight - 10);
    const double step = tickStep(range);
    range.lowest = step * std::floor(range.lowest / step);
    range.highest = std::max(step * std::ceil(range.highest / step), range.lowest + step);
    const Scale y(range.lowest, range.highest, bottom, TitleHeight);
    std::string content = axes(range, step, y, bottom) + sizeLabels(plot, x, bottom);
    double legend = bottom + AxisHeight;
    for (std::size_t i = 0; i < plot.series.size(); ++i) {
        const char *colour = Colours[i % Colours.size()];
        content += polyline(plot.series[i], x, y, colour);
        content += line(LineLeft, legend - 4, LineLeft + 16, legend - 4,
                        std::string("stroke=\"") + colour + '"')
                   + text(LineLeft + 22, legend, "start", plot.series[i].name);
        legend += LegendLineHeight;
    }
    if (plot.target) {
        const double height = y.at(*plot.target);
        content += line(LineLeft, height, Width - LineRight, height, targetStyle());
    }
    return begin(legend, plot.title) + content + "</svg>\n";
}

} // namespace Medlar::Report
