#include "figureplots.h"

#include "svgplot.h"
#include "targets.h"

#include <algorithm>
#include <set>

namespace Medlar::Report {

namespace {

std::vector<std::string> plottedFields(const std::string &experiment)
{
    std::vector<std::string> fields;
    const auto add = [&](std::string_view field) {
        if (std::find(fields.begin(), fields.end(), field) == fields.end())
            fields.emplace_back(field);
    };
    for (const Target &target : allTargets()) {
        if (target.experiment == experiment)
            add(target.field);
    }
    if (const ExperimentFields *listed = fieldsOf(experiment)) {
        for (const std::string_view field : listed->fields)
            add(field);
    }
    return fields;
}

// Only bounds with a fixed value can be drawn as a line.
std::optional<double> targetLine(const RunGroup &group, const std::string &field)
{
    for (const Assessment &each : assess(group)) {
        if (each.key.name == field && each.target->relativeTo.empty())
            return each.target->value;
    }
    return {};
}

PlotSeries seriesOf(const std::string &name, const RunGroup &group, const std::string &field)
{
    PlotSeries series{name, {}};
    for (const auto &[key, spread] : spreadsOf(group)) {
        if (key.name == field && key.nodes != 0)
            series.points.emplace_back(static_cast<double>(key.nodes), spread.median);
    }
    return series;
}

void addBars(std::vector<PlotBar> &bars, const RunGroup &group, const std::string &field,
             bool isEarlier)
{
    for (const Run &run : group.runs) {
        const std::string seed = "seed " + (run.seed ? std::to_string(*run.seed) : "unknown");
        for (const auto &[key, value] : figuresOf(run.fields)) {
            if (key.name == field)
                bars.push_back({(isEarlier ? "earlier, " : "") + seed, value, isEarlier});
        }
    }
}

// The sizes at which the field was measured; empty without a value of the new runs.
std::set<std::uint64_t> sizesOf(const RunGroup &group, const RunGroup *earlier,
                                const std::string &field)
{
    std::set<std::uint64_t> sizes;
    for (const RunGroup *each : {&group, earlier}) {
        if (each == nullptr || (each == earlier && sizes.empty()))
            continue;
        for (const auto &[key, spread] : spreadsOf(*each)) {
            if (key.name == field)
                sizes.insert(key.nodes);
        }
    }
    return sizes;
}

std::string linePlot(const RunGroup &group, const RunGroup *earlier, const std::string &field)
{
    LinePlot plot{field, "nodes", {}, targetLine(group, field)};
    plot.series.push_back(seriesOf("now", group, field));
    if (earlier != nullptr)
        plot.series.push_back(seriesOf("earlier", *earlier, field));
    const bool isZero = std::all_of(plot.series.begin(), plot.series.end(), [](const auto &each) {
        return std::all_of(each.points.begin(), each.points.end(),
                           [](const auto &point) { return point.second == 0; });
    });
    return isZero ? std::string() : toSvg(plot);
}

std::string barPlot(const RunGroup &group, const RunGroup *earlier, const std::string &field)
{
    BarPlot plot{field, {}, targetLine(group, field)};
    if (earlier != nullptr)
        addBars(plot.bars, *earlier, field, true);
    addBars(plot.bars, group, field, false);
    const bool isZero = std::all_of(plot.bars.begin(), plot.bars.end(),
                                    [](const PlotBar &bar) { return bar.value == 0; });
    return isZero ? std::string() : toSvg(plot);
}

} // namespace

std::vector<std::string> figurePlots(const RunGroup &group, const RunGroup *earlier)
{
    std::vector<std::string> plots;
    for (const std::string &field : plottedFields(group.experiment)) {
        const std::size_t sizes = sizesOf(group, earlier, field).size();
        std::string plot;
        if (sizes == 1)
            plot = barPlot(group, earlier, field);
        else if (sizes > 1)
            plot = linePlot(group, earlier, field);
        if (!plot.empty())
            plots.push_back(std::move(plot));
    }
    return plots;
}

} // namespace Medlar::Report
