#pragma once

#include "rungroups.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Medlar::Report {

enum class Bound { AtMost, AtLeast, Exactly };

/*! The runs for which a target counts. */
enum class TargetScope {
    AllRuns,
    ProtocolIntact, //!< fuzz with all rules
    RuleBroken,     //!< fuzz with --break_rule
};

/*! One bound of the table of experiments in docs/design.md. */
struct Target
{
    std::string_view experiment;
    std::string_view field;
    Bound bound = Bound::AtMost;
    double value = 0;
    /*! Field that \a value is a multiple of; empty: \a value is absolute. */
    std::string_view relativeTo = std::string_view();
    TargetScope scope = TargetScope::AllRuns;

    /*! For example "at most 1.5 × p99_ms_calm". */
    std::string toString() const;
};

/*! The fields that docs/design.md lists for one experiment. */
struct ExperimentFields
{
    std::string_view experiment;
    std::vector<std::string_view> fields;
};

enum class TargetState { Met, NotMet, NoValue };

/*! How the runs of a group stand to one target at one number of nodes. */
struct Assessment
{
    const Target *target = nullptr;
    FigureKey key;
    std::size_t runs = 0; //!< that measured anything at this number of nodes
    std::size_t met = 0;
    std::size_t notMet = 0;

    /*! Not met as soon as one run misses the target, met only if all runs meet it. */
    TargetState state() const;
};

const std::vector<Target> &allTargets();
const std::vector<ExperimentFields> &allExperimentFields();

/*! The fields of \a experiment; null for an unknown one. */
const ExperimentFields *fieldsOf(std::string_view experiment);

/*! What is wrong with the fields that docs/design.md lists. A null is a value that was not
 * measured. */
std::vector<RunNote> checkFields(const Run &run);

/*! Whether \a figures keep \a target at \a nodes nodes. */
TargetState assess(const Target &target, const Figures &figures, std::uint64_t nodes);

/*! All targets of the group's experiment, each at every size at which its field was measured. */
std::vector<Assessment> assess(const RunGroup &group);

} // namespace Medlar::Report
