#pragma once

#include "runset.h"

#include <optional>
#include <string>

namespace Medlar::Report {

/*!
    A self-contained HTML page: what was read, the figures of every group of runs against their
   targets, plots, and notes on lines that were left out or are incomplete. With \a earlier each
   figure also shows its earlier value and the change. The page depends on nothing but the
   arguments.
*/
std::string reportPage(const RunSet &now, const std::optional<RunSet> &earlier);

} // namespace Medlar::Report
