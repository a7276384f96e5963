#pragma once

#include "bench/experimentoptions.h"

namespace Medlar {

/*! Random faults against the ownership protocol in virtual time; starts no process. */
Bench::ExperimentResult runFuzzExperiment(const Bench::ExperimentOptions &options);

/*! The planner against two hash placements; starts no process. */
Bench::ExperimentResult runPlacementExperiment(const Bench::ExperimentOptions &options);

} // namespace Medlar
