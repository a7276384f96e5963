#pragma once

#include "bench/experimentoptions.h"

namespace Medlar {

/*! The flags of the program; \a command is what was typed, for the report. */
Bench::ExperimentOptions readExperimentOptions(const std::string &command);

} // namespace Medlar
