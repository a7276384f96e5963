#pragma once

#include "rungroups.h"

#include <string>
#include <vector>

namespace Medlar::Report {

/*!
    Plots of the fields that docs/design.md lists or bounds: the medians against the number of nodes
   where there are several sizes, otherwise one bar for each run. \a earlier may be null. Fields
   that are 0 everywhere are left out.
*/
std::vector<std::string> figurePlots(const RunGroup &group, const RunGroup *earlier);

} // namespace Medlar::Report
