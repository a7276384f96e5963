#pragma once

#include "replicaselector.h"

#include <cstddef>
#include <set>

namespace Medlar::Balancing {

/*! What one daemon observed of one replica. */
class ReplicaStatistics
{
public:
    explicit ReplicaStatistics(const SelectorSettings &settings);

    void onSent(Base::TimePoint now) { m_outstanding.insert(now); }
    void onEnded(Base::TimePoint sentAt);
    /*! \a usual: what an old latency decays to, as for score(). */
    void addLatency(Base::TimePoint now, Base::Duration latency, Base::Duration usual);
    /*! The latency was at least \a latency when the request was cancelled. */
    void addLatencyBound(Base::TimePoint now, Base::Duration latency, Base::Duration usual);
    /*! Forgets latencies from before a recovery. */
    void resetLatency(Base::TimePoint now, Base::Duration latency);
    void onRejected(Base::TimePoint now);
    void setReport(const LoadReport &report) { m_report = report; }

    /*!
        Expected cost of one more request; lower is better. Grows with recent latency, with the age
       of the oldest outstanding request and with the number of outstanding ones. \a usual stands in
       for the latency while it is unknown, and is what an old latency decays to.
    */
    double score(Base::TimePoint now, Base::Duration usual) const;

    /*!
        Latency to expect, in seconds, for comparing replicas at different distances: a moving
       average without emphasis on peaks and without load reports, or the age of the oldest
       outstanding request. The late reports and the peaks of score() made the callers of a region
       move to another one and back together.
    */
    double steadyLatency(Base::TimePoint now, Base::Duration usual) const;
    bool hasLatency() const { return m_hasLatency; }

    /*! Share of requests that the replica did not reject lately, growing back with time. */
    double acceptance(Base::TimePoint now) const;

    /*! Outstanding requests older than \a age. */
    std::size_t overdue(Base::TimePoint now, Base::Duration age) const;

    /*! Age of the oldest outstanding request, 0 if there is none. */
    Base::Duration oldestAge(Base::TimePoint now) const;

    /*! Lowest recent latency: distance to the replica and the shortest work. */
    Base::Duration lowestLatency() const { return m_lowest; }

private:
    double hintFactor(Base::TimePoint now) const;
    double decayed(double average, Base::TimePoint now, Base::Duration usual) const;

    Base::Duration m_reportLifetime;
    std::multiset<Base::TimePoint> m_outstanding; //!< when they were sent
    double m_latency = 0.0;                       //!< seconds, peak-sensitive moving average
    double m_steadyLatency = 0.0;                 //!< seconds, symmetric moving average
    Base::TimePoint m_latencyAt;
    Base::Duration m_lowest{0};
    bool m_hasLatency = false;
    double m_acceptance = 1.0;
    Base::TimePoint m_rejectedAt;
    std::optional<LoadReport> m_report;
};

} // namespace Medlar::Balancing
