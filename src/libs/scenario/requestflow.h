#pragma once

#include "retry/attempthistory.h"
#include "trafficdaemon.h"

#include <deque>

namespace Medlar::Scenario {

/*! Everything about one request that an expectation may ask for. */
struct TrafficRequest
{
    struct Part
    {
        std::size_t target = 0; //!< index of the daemon
        TrueTime begunAt{0};
    };

    std::uint64_t id = 0;
    std::size_t entry = 0; //!< index of the daemon that received it
    Messages::RequestClass requestClass = Messages::RequestClass::Normal;
    TrueTime arrivedAt{0};
    TrueTime deadline{0};
    bool isIdempotent = false;

    Retry::AttemptHistory history{true};
    std::vector<Part> parts; //!< one for each attempt of the history
    std::vector<Base::InstanceId> excluded;

    bool isFinished = false;
    bool isCancelled = false; //!< by the caller
    Messages::Outcome outcome = Messages::Outcome::Unknown;
    std::string error;
    TrueTime finishedAt{0};
    unsigned hedges = 0;
    unsigned lateAnswersDropped = 0;
    unsigned lateAnswersTaken = 0; //!< a fault
    /*! When which BackendServer received it, by index of the daemon. */
    std::vector<std::pair<TrueTime, std::size_t>> starts;
};

std::string_view outcomeName(Messages::Outcome outcome);

/*!
    The way of requests from their arrival to the answer, as RequestPath has it for services that
   any instance may serve: choice, forwarding, retries, hedges and the outcome.
*/
class RequestFlow
{
public:
    using Daemons = std::vector<std::unique_ptr<TrafficDaemon>>;

    RequestFlow(EventQueue &events, Daemons &daemons, DaemonLog::Print print)
        : m_events(events), m_daemons(daemons), m_print(std::move(print))
    {}

    /*! Begins \a request; its id is given here. */
    void arrive(TrafficRequest request);
    /*! The callers of the first \a count unfinished requests go away. */
    void cancelOldest(std::size_t count);

    const std::deque<TrafficRequest> &requests() const { return m_requests; }

private:
    /*! Ends with \a lastResult when no node is left. */
    void attempt(TrafficRequest &request, const Daemon::AttemptResult &lastResult);
    void startAttempt(TrafficRequest &request, const Cluster::NodeRecord &node);
    void scheduleHedge(TrafficRequest &request);
    void onHedgeTimer(TrafficRequest &request);
    void onResult(TrafficRequest &request, std::size_t number, const Daemon::AttemptResult &result);
    void reportAttempt(const TrafficRequest &request, std::size_t number,
                       const Daemon::AttemptResult &result);
    void onFailure(TrafficRequest &request, std::size_t number,
                   const Daemon::AttemptResult &result);
    void cancelActive(TrafficRequest &request, std::string_view reason);
    void finish(TrafficRequest &request, const Daemon::AttemptResult &result);
    const Cluster::NodeRecord *choose(const TrafficRequest &request,
                                      const std::vector<Base::InstanceId> &excluded);
    std::size_t indexOf(const Base::InstanceId &instance) const;
    TrueTime delay(const TrafficRequest &request, std::size_t target) const;
    void print(const TrafficRequest &request, const std::string &text);

    EventQueue &m_events;
    Daemons &m_daemons;
    DaemonLog::Print m_print; //!< of single requests; may be empty
    std::deque<TrafficRequest> m_requests;
};

} // namespace Medlar::Scenario
