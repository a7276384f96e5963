#pragma once

#include "figures.h"
#include "runset.h"

#include <map>
#include <string>
#include <vector>

namespace Medlar::Report {

/*! Runs of one experiment whose settings differ in nothing but the seed and the number of nodes. */
struct RunGroup
{
    std::string experiment;
    std::string settings; //!< the other flags, sorted
    std::vector<Run> runs;

    std::string title() const
    {
        return settings.empty() ? experiment : experiment + ' ' + settings;
    }
};

/*! The values of one figure in all runs of a group. */
struct FigureSpread
{
    double lowest = 0;
    double median = 0; //!< of an even number of values the mean of the middle two
    double highest = 0;
    std::size_t count = 0;
};

/*! The groups, sorted by experiment and settings. */
std::vector<RunGroup> groupRuns(const std::vector<Run> &runs);

std::map<FigureKey, FigureSpread> spreadsOf(const RunGroup &group);

/*! The flags of \a run that decide what it measures, sorted; without seed, folders and stated
 * sizes. */
std::string settingsOf(const Run &run);

} // namespace Medlar::Report
