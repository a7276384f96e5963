#include "reportpage.h"

#include "comparison.h"
#include "figureplots.h"
#include "rungroups.h"
#include "svgplot.h"
#include "targets.h"

#include <algorithm>

namespace Medlar::Report {

namespace {

// A wholly broken file must not bury the figures under its notes.
constexpr std::size_t MaxNotes = 50;

constexpr char Head[] = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>medlarbench report</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #1a202c; }
table { border-collapse: collapse; margin: 0.5em 0 1em; }
th, td { border: 1px solid #cbd5e0; padding: 0.2em 0.6em; text-align: left; }
td.number { text-align: right; }
.met { color: #276749; }
.notmet { color: #c53030; font-weight: bold; }
code { background: #edf2f7; }
</style>
</head>
<body>
<h1>medlarbench report</h1>
)";

std::string cell(const std::string &content, const char *className = nullptr)
{
    const std::string attribute
        = className == nullptr ? "" : std::string(" class=\"") + className + '"';
    return "<td" + attribute + '>' + content + "</td>";
}

std::string headRow(const std::vector<std::string> &titles)
{
    std::string row = "<tr>";
    for (const std::string &title : titles)
        row += "<th>" + title + "</th>";
    return row + "</tr>\n";
}

std::string plural(std::size_t count, const std::string &noun)
{
    return std::to_string(count) + ' ' + noun + (count == 1 ? "" : "s");
}

std::string spreadText(const std::optional<FigureSpread> &spread)
{
    if (!spread)
        return "-";
    std::string text = formatFigure(spread->median);
    if (spread->lowest != spread->highest)
        text += " (" + formatFigure(spread->lowest) + " to " + formatFigure(spread->highest) + ')';
    return text;
}

std::string changeText(const FigureChange &change)
{
    const auto difference = change.difference();
    if (!difference && !change.now)
        return change.earlier ? "only earlier" : "-";
    if (!difference)
        return "only now";
    if (*difference == 0)
        return "0";
    std::string text = (*difference > 0 ? "+" : "") + formatFigure(*difference);
    if (const auto percent = change.percent())
        text += std::string(" (") + (*percent > 0 ? "+" : "") + formatFigure(*percent) + "%)";
    return text;
}

std::string stateCell(const Assessment &assessment)
{
    const auto ofRuns = [&](std::size_t count) {
        return assessment.runs > 1
                   ? " in " + std::to_string(count) + " of " + plural(assessment.runs, "run")
                   : std::string();
    };
    switch (assessment.state()) {
    case TargetState::Met:
        break;
    case TargetState::NotMet:
        return cell("not met" + ofRuns(assessment.notMet), "notmet");
    case TargetState::NoValue:
        return cell("no value" + ofRuns(assessment.runs - assessment.met), "notmet");
    }
    return cell("met", "met");
}

const Assessment *findAssessment(const std::vector<Assessment> &assessments,
                                 const Assessment &wanted)
{
    const auto found = std::find_if(assessments.begin(), assessments.end(), [&](const auto &each) {
        return each.target == wanted.target && each.key == wanted.key;
    });
    return found == assessments.end() ? nullptr : &*found;
}

// The section of one group of runs.
class GroupSection
{
public:
    GroupSection(const RunGroup &group, const RunGroup *earlier, bool compares)
        : m_group(group)
        , m_earlier(earlier)
        , m_compares(compares)
        , m_changes(compare(group, earlier))
        , m_assessments(assess(group))
    {
        if (earlier != nullptr)
            m_earlierAssessments = assess(*earlier);
        for (const FigureChange &change : m_changes)
            m_hasSizes = m_hasSizes || change.key.nodes != 0;
    }

    std::string toHtml() const
    {
        std::string html = "<h2>" + escapeMarkup(m_group.title()) + "</h2>\n" + runList();
        if (m_compares && m_earlier == nullptr)
            html += "<p>The earlier report has no run with these settings.</p>\n";
        html += targetTable() + figureTable();
        for (const std::string &plot : figurePlots(m_group, m_earlier))
            html += plot;
        return html;
    }

private:
    std::string runList() const
    {
        std::string html = "<ul>\n";
        for (const Run &run : m_group.runs) {
            html += "<li>seed " + (run.seed ? std::to_string(*run.seed) : std::string("unknown"))
                    + ", " + escapeMarkup(run.source) + ": <code>" + escapeMarkup(run.command)
                    + "</code></li>\n";
        }
        return html + "</ul>\n";
    }

    std::vector<std::string> titles(const std::vector<std::string> &last) const
    {
        std::vector<std::string> result{"field"};
        if (m_hasSizes)
            result.emplace_back("nodes");
        result.insert(result.end(), last.begin(), last.end());
        if (m_compares)
            result.insert(result.end(), {"earlier", "change"});
        return result;
    }

    std::string keyCells(const FigureKey &key) const
    {
        std::string html = cell("<code>" + escapeMarkup(key.name) + "</code>");
        if (m_hasSizes)
            html += cell(key.nodes == 0 ? "-" : std::to_string(key.nodes), "number");
        return html;
    }

    std::string changeCells(const FigureChange &change) const
    {
        if (!m_compares)
            return {};
        return cell(spreadText(change.earlier), "number") + cell(changeText(change), "number");
    }

    FigureChange changeOf(const FigureKey &key) const
    {
        const auto found = std::find_if(m_changes.begin(), m_changes.end(),
                                        [&](const auto &each) { return each.key == key; });
        return found == m_changes.end() ? FigureChange{key, {}, {}} : *found;
    }

    std::string targetTable() const
    {
        if (m_assessments.empty())
            return "<p>There is no target for this experiment.</p>\n";
        std::vector<std::string> heads = titles({"target", "value", "state"});
        if (m_compares)
            heads.emplace_back("earlier state");
        std::string html = "<table>\n" + headRow(heads);
        for (const Assessment &each : m_assessments) {
            const FigureChange change = changeOf(each.key);
            html += "<tr>" + keyCells(each.key) + cell(escapeMarkup(each.target->toString()))
                    + cell(spreadText(change.now), "number") + stateCell(each)
                    + changeCells(change);
            if (m_compares)
                html += earlierStateCell(each);
            html += "</tr>\n";
        }
        return html + "</table>\n";
    }

    std::string earlierStateCell(const Assessment &assessment) const
    {
        const Assessment *earlier = findAssessment(m_earlierAssessments, assessment);
        return earlier == nullptr ? cell("-") : stateCell(*earlier);
    }

    std::string figureTable() const
    {
        std::string rows;
        for (const FigureChange &change : m_changes) {
            const bool hasTarget
                = std::any_of(m_assessments.begin(), m_assessments.end(),
                              [&](const auto &each) { return each.key == change.key; });
            if (!hasTarget)
                rows += "<tr>" + keyCells(change.key) + cell(spreadText(change.now), "number")
                        + changeCells(change) + "</tr>\n";
        }
        if (rows.empty())
            return "<p>There are no figures without a target.</p>\n";
        return "<details><summary>Figures without a target</summary>\n<table>\n"
               + headRow(titles({"value"})) + rows + "</table>\n</details>\n";
    }

    const RunGroup &m_group;
    const RunGroup *m_earlier;
    bool m_compares;
    bool m_hasSizes = false;
    std::vector<FigureChange> m_changes;
    std::vector<Assessment> m_assessments;
    std::vector<Assessment> m_earlierAssessments;
};

std::string notesHtml(const std::string &title, const RunSet &set)
{
    std::vector<RunNote> notes = set.notes;
    for (const Run &run : set.runs) {
        const std::vector<RunNote> ofRun = checkFields(run);
        notes.insert(notes.end(), ofRun.begin(), ofRun.end());
    }
    if (notes.empty())
        return {};
    std::string html = "<h2>" + title + "</h2>\n<ul>\n";
    for (std::size_t i = 0; i < std::min(notes.size(), MaxNotes); ++i)
        html += "<li>" + escapeMarkup(notes[i].source + ": " + notes[i].detail) + "</li>\n";
    if (notes.size() > MaxNotes)
        html += "<li>and " + plural(notes.size() - MaxNotes, "further note") + "</li>\n";
    return html + "</ul>\n";
}

std::string onlyEarlierHtml(const std::vector<RunGroup> &now, const std::vector<RunGroup> &earlier)
{
    std::string html;
    for (const RunGroup &group : earlier) {
        if (findGroup(now, group) != nullptr)
            continue;
        html += "<details><summary>" + escapeMarkup(group.title()) + "</summary>\n<table>\n"
                + headRow({"field", "nodes", "earlier"});
        for (const auto &[key, spread] : spreadsOf(group)) {
            html += "<tr>" + cell("<code>" + escapeMarkup(key.name) + "</code>")
                    + cell(key.nodes == 0 ? "-" : std::to_string(key.nodes), "number")
                    + cell(spreadText(spread), "number") + "</tr>\n";
        }
        html += "</table>\n</details>\n";
    }
    return html.empty() ? html : "<h2>Only in the earlier report</h2>\n" + html;
}

std::string summaryHtml(const std::vector<RunGroup> &groups)
{
    std::string html = "<table>\n" + headRow({"experiment", "runs", "met", "not met", "no value"});
    for (const RunGroup &group : groups) {
        std::size_t met = 0;
        std::size_t notMet = 0;
        std::size_t noValue = 0;
        for (const Assessment &each : assess(group)) {
            met += each.state() == TargetState::Met ? 1 : 0;
            notMet += each.state() == TargetState::NotMet ? 1 : 0;
            noValue += each.state() == TargetState::NoValue ? 1 : 0;
        }
        html += "<tr>" + cell(escapeMarkup(group.title()))
                + cell(std::to_string(group.runs.size()), "number")
                + cell(std::to_string(met), "number") + cell(std::to_string(notMet), "number")
                + cell(std::to_string(noValue), "number") + "</tr>\n";
    }
    return html + "</table>\n";
}

} // namespace

std::string reportPage(const RunSet &now, const std::optional<RunSet> &earlier)
{
    const std::vector<RunGroup> groups = groupRuns(now.runs);
    const std::vector<RunGroup> earlierGroups
        = earlier ? groupRuns(earlier->runs) : std::vector<RunGroup>();
    std::string html = Head;
    html += "<p>" + plural(now.runs.size(), "run");
    if (earlier)
        html += ", compared with " + plural(earlier->runs.size(), "earlier run");
    html += ". Several runs show their median (lowest to highest); a target is met when every run "
            "meets it.</p>\n"
            + summaryHtml(groups);
    for (const RunGroup &group : groups)
        html += GroupSection(group, findGroup(earlierGroups, group), earlier.has_value()).toHtml();
    html += onlyEarlierHtml(groups, earlierGroups) + notesHtml("Notes", now);
    if (earlier)
        html += notesHtml("Notes on the earlier report", *earlier);
    return html + "</body>\n</html>\n";
}

} // namespace Medlar::Report
