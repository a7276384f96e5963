#pragma once

#include "rangetable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Medlar::KeyRange {

/*! Issued to the BackendServer with each granted range; it rejects ranges with lower tokens. */
using FencingToken = std::uint64_t;

/*! Incarnations of a BackendServer that one daemon process can distinguish within an epoch. */
constexpr FencingToken IncarnationsPerEpoch = 1024;

/*! The epoch of the row under which \a token was issued. */
constexpr Epoch epochOf(FencingToken token)
{
    return token / IncarnationsPerEpoch;
}

/*! A range that the BackendServer reports as held. */
struct HeldRange
{
    Range range;
    FencingToken token = 0;
};

struct FreedRange
{
    Range range;
    HandoverToken handover;
};

/*! Identity and key ranges of a BackendServer, as reported in a heartbeat. */
struct HeldReport
{
    std::string backend;           //!< id of the BackendServer
    std::uint64_t incarnation = 0; //!< differs after each start of the BackendServer
    std::uint64_t sequence = 0;
    std::vector<HeldRange> held;
    std::vector<FreedRange> freed; //!< since the last acknowledged heartbeat
};

/*! Returns the parts of \a range that \a report does not name as held. */
std::vector<Range> notHeld(const Range &range, const HeldReport &report);

} // namespace Medlar::KeyRange
