#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Medlar::Memory {

using HolderId = std::uint64_t;

/*! What bytes are held for. */
enum class Kind : std::uint8_t {
    Connection,    //!< heads, parser buffers and incomplete bodies of callers
    Request,       //!< complete bodies that wait for an answer
    Answer,        //!< answers that are being read from the backend server or were read from it
    OutputWaiting, //!< answers that a caller has not read; listed, and charged as Answer
    Link           //!< messages that wait for the link to another node
};
constexpr std::size_t KindCount = 5;

const char *toString(Kind kind);

/*! A holder of memory that can give it up. */
struct Candidate
{
    HolderId id = 0;
    Kind kind = Kind::Connection;
    std::uint64_t bytes = 0;
    std::uint64_t caller = 0;      //!< holders of the same caller count together
    std::uint64_t transferred = 0; //!< since it began
    Base::TimePoint began;
    Base::TimePoint lastProgress;
};

struct EvictionLimits
{
    /*! A holder without progress for this long has stalled. A caller on the same VM that sends
     * without a pause makes progress within milliseconds, unless the VM gets no processor time. */
    std::chrono::milliseconds stallTime{400};
    /*! Slower transfers count as stalled. 64 MiB take 17 minutes at this rate, far more than a
     * request may take. */
    std::uint64_t minBytesPerSecond = std::uint64_t(64) * 1024;
    /*! Transfers that are younger have no meaningful rate. */
    std::chrono::milliseconds minRateAge{1000};
};

/*!
    Chooses the holder that gives up its memory first. Stalled and slow holders go first, the
   largest of them before the others. Without one, the callers that hold most are asked first, and
   of their holders the one that began last. The oldest holder that makes progress is thus never
   evicted for a younger one of the same caller, so requests are completed under any load. Answers
   that are ready are only evicted when their reader has stalled, and answers that arrive are
   evicted after incomplete requests, since they have cost work already.
*/
class EvictionPolicy
{
public:
    explicit EvictionPolicy(const EvictionLimits &limits) : m_limits(limits) {}

    /*! Empty if no candidate may be evicted. */
    std::optional<HolderId> choose(Base::TimePoint now,
                                   const std::vector<Candidate> &candidates) const;
    bool isStalled(Base::TimePoint now, const Candidate &candidate) const;

private:
    EvictionLimits m_limits;
};

} // namespace Medlar::Memory
