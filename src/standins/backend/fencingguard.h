#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace Medlar::Standins {

/*! The grant of the daemon and the highest fencing token of each slot, see docs/design.md, 3.4. */
class FencingGuard
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    enum class Verdict { Accepted, NoGrant, LowerToken };

    void grant(const std::string &instance, TimePoint validUntil);

    /*! Whether a request for \a slot may run at \a now; an accepted token is remembered. */
    Verdict check(TimePoint now, const std::string &slot, std::uint64_t token);

    const std::string &instance() const { return m_instance; }
    TimePoint validUntil() const { return m_validUntil; }

private:
    std::string m_instance;
    TimePoint m_validUntil{};
    std::unordered_map<std::string, std::uint64_t> m_highestTokens;
};

} // namespace Medlar::Standins
