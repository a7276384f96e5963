#pragma once

#include "rungroups.h"

#include <optional>
#include <vector>

namespace Medlar::Report {

/*! One figure now and in an earlier report. */
struct FigureChange
{
    FigureKey key;
    std::optional<FigureSpread> now;
    std::optional<FigureSpread> earlier;

    /*! Median now minus median then; empty when one of them is missing. */
    std::optional<double> difference() const;

    /*! The difference in percent of the earlier median; empty when that is 0 or missing. */
    std::optional<double> percent() const;
};

/*! Every figure of either group, sorted. \a earlier may be null. */
std::vector<FigureChange> compare(const RunGroup &now, const RunGroup *earlier);

/*! The group with the experiment and settings of \a group; null if there is none. */
const RunGroup *findGroup(const std::vector<RunGroup> &groups, const RunGroup &group);

} // namespace Medlar::Report
