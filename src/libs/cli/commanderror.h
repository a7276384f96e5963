#pragma once

#include "report.h"

#include <tl/expected.hpp>

#include <string>

namespace Medlar::Cli {

/*! Exit codes of medlarctl, see docs/design.md, 10. */
enum class ExitCode {
    Success = 0,
    Failed = 1, //!< rejected or failed
    UsageError = 2,
    Conflict = 3,   //!< somebody else changed the object
    NotInForce = 4, //!< not in force before the time-out
    Unreachable = 5 //!< store or daemon
};

/*! Why a command did not succeed, and what it can still show. */
struct CommandError
{
    ExitCode code = ExitCode::Failed;
    std::string message;
    Report detail;
};

template<typename T>
using Result = tl::expected<T, CommandError>;

using CommandResult = Result<Report>;

inline tl::unexpected<CommandError> fail(ExitCode code, std::string message, Report detail = {})
{
    return tl::unexpected(CommandError{code, std::move(message), std::move(detail)});
}

} // namespace Medlar::Cli
