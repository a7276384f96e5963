#pragma once

#include "invariantchecker.h"

namespace Medlar::Scenario {

struct FuzzOptions
{
    std::uint64_t seed = 1;
    std::uint64_t runs = 100;
    Ownership::ProtocolRules rules;
    bool stopAtFirst = false; //!< ends with the first run that has a violation
};

struct FuzzResult
{
    std::uint64_t runs = 0;
    std::uint64_t steps = 0;
    std::uint64_t violations = 0;
    /*! Runs in which a slot was without an owner long after all faults had ended. */
    std::uint64_t unrecovered = 0;
    std::optional<std::uint64_t> firstUnrecoveredSeed;
    /*! Longest time that any slot had no owner, several faults at once included. */
    std::chrono::milliseconds worstUnavailable{0};
    /*! Seed that reproduces the first bad run with runs = 1. */
    std::optional<std::uint64_t> firstBadSeed;
    std::vector<Violation> firstViolations;
};

/*!
    Runs small clusters under random faults and checks the invariants after every step. Run number i
   uses the seed options.seed + i, so a single run is repeated by its own seed.
*/
FuzzResult runFuzz(const FuzzOptions &options);

/*! The log of one run: faults, log lines of the engines and violations. */
std::vector<std::string> traceFuzzRun(std::uint64_t seed, const Ownership::ProtocolRules &rules);

} // namespace Medlar::Scenario
