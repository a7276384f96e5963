#pragma once

#include "command.h"

#include <chrono>
#include <cstdint>

namespace Medlar::Cli {

/*! Within this time an applied configuration is in force everywhere, see docs/design.md, 1.3. */
constexpr std::chrono::milliseconds DefaultWaitTimeout{11'000};

/*!
    Waits until every zone that has live nodes reports \a version or a later one. Shows progress on
   standard error. Fails with ExitCode::NotInForce at the time-out, naming the zones and instances
   that lag, or with ExitCode::Unreachable when the store cannot be read then.
*/
CommandResult waitUntilInForce(CommandContext &context, std::uint64_t version);

} // namespace Medlar::Cli
