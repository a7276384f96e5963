#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace Medlar::Peer {

/*! Delays between attempts to open a link. */
struct BackoffSettings
{
    std::chrono::milliseconds initial{10};
    std::chrono::milliseconds maximum{1000};
};

/*!
    Exponential backoff with jitter for one peer. Each delay is drawn between half and all of its
   nominal value, so that daemons that lost the same peer do not reconnect at the same time.
*/
class LinkBackoff
{
public:
    LinkBackoff(const BackoffSettings &settings, std::uint64_t seed);

    /*! Records that an attempt or an open link failed at \a now. */
    void onFailure(Base::TimePoint now);
    /*! Records a successful attempt; the next failure starts at the initial delay. */
    void onSuccess();

    bool mayConnect(Base::TimePoint now) const { return now >= m_nextAttempt; }
    Base::TimePoint nextAttempt() const { return m_nextAttempt; }

private:
    BackoffSettings m_settings;
    std::minstd_rand m_random;
    std::chrono::milliseconds m_nominal;
    Base::TimePoint m_nextAttempt{};
};

} // namespace Medlar::Peer
