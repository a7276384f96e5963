#include "evictionpolicy.h"

#include <tuple>
#include <unordered_map>

namespace Medlar::Memory {

const char *toString(Kind kind)
{
    switch (kind) {
    case Kind::Connection:
        return "connection";
    case Kind::Request:
        return "request";
    case Kind::Answer:
        return "answer";
    case Kind::OutputWaiting:
        return "output-waiting";
    case Kind::Link:
        return "link";
    }
    return "unknown";
}

bool EvictionPolicy::isStalled(Base::TimePoint now, const Candidate &candidate) const
{
    if (now - candidate.lastProgress >= m_limits.stallTime)
        return true;
    const auto age = now - candidate.began;
    if (age < m_limits.minRateAge)
        return false;
    const double seconds = std::chrono::duration<double>(age).count();
    return static_cast<double>(candidate.transferred)
           < seconds * static_cast<double>(m_limits.minBytesPerSecond);
}

std::optional<HolderId> EvictionPolicy::choose(Base::TimePoint now,
                                               const std::vector<Candidate> &candidates) const
{
    std::unordered_map<std::uint64_t, std::uint64_t> bytesOfCaller;
    for (const Candidate &candidate : candidates)
        bytesOfCaller[candidate.caller] += candidate.bytes;
    const auto rank = [&](const Candidate &candidate) {
        const bool isStalledNow = isStalled(now, candidate);
        return std::make_tuple(isStalledNow, isStalledNow ? candidate.bytes : 0,
                               candidate.kind == Kind::Connection, bytesOfCaller[candidate.caller],
                               candidate.began, candidate.id);
    };
    const Candidate *first = nullptr;
    for (const Candidate &candidate : candidates) {
        if (candidate.kind == Kind::OutputWaiting && !isStalled(now, candidate))
            continue;
        if (!first || rank(*first) < rank(candidate))
            first = &candidate;
    }
    return first ? std::optional<HolderId>(first->id) : std::nullopt;
}

} // namespace Medlar::Memory
