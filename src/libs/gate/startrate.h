#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

namespace Medlar::Gate {

/*!
    Limits the requests started per second. Unused starts are saved for a short time, so that
    requests which arrive unevenly can use the whole rate.
*/
class StartRate
{
public:
    /*! A lower rate counts as this one: a BackendServer that gets no request at all could not say
     * that its limit has ended. */
    static constexpr double MinPerSecond = 0.5;

    // Commands

    /*! Sets the rate, or removes the limit. Saved starts are kept if there was a limit before. */
    void setLimit(Base::TimePoint now, std::optional<double> perSecond);
    void onStarted(Base::TimePoint now);

    // Queries

    /*! Time until a request behind \a ahead others may be started; zero if it may be started now.
     */
    Base::Duration wait(Base::TimePoint now, std::size_t ahead) const;

private:
    double savedStarts(Base::TimePoint now) const;
    double maxSavedStarts() const;

    std::optional<double> m_perSecond;
    double m_saved = 0.0; //!< at m_savedAt
    Base::TimePoint m_savedAt;
};

} // namespace Medlar::Gate
