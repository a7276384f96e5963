#include "remoterequests.h"

#include "base/keyhash.h"
#include "requestresolver.h"

namespace Medlar::Daemon {

using Messages::Outcome;

RemoteRequests::RemoteRequests(LocalDispatcher &dispatcher, Metrics::MetricRegistry &metrics)
    : m_dispatcher(dispatcher)
    , m_received(metrics.counter("medlar_forwards_received_total",
                                 "Requests received from other daemons."))
    , m_undelivered(metrics.counter("medlar_undelivered_responses_total",
                                    "Responses for daemons whose link was gone or full."))
{}

// The result has the outcome Answered when the request may be dispatched.
AttemptResult RemoteRequests::refusal(const Messages::ForwardRequest &request) const
{
    if (!m_snapshot || !m_snapshot->routes)
        return AttemptResult::notRun(ErrorCode::Starting);
    const Configuration::Route *const route
        = m_snapshot->routes->find(request.account, request.route);
    if (!route || route->keyed != request.key.has_value())
        return AttemptResult::notRun(ErrorCode::UnknownRoute);
    if (!route->allowsRegion(m_snapshot->self.region))
        return AttemptResult::notRun(ErrorCode::WrongRegion);
    if (route->keyed) {
        const ServeState state = serveState(*m_snapshot, route->table, Base::keyHash(*request.key));
        if (!state.served) {
            AttemptResult result = AttemptResult::notRun(ErrorCode::NotOwner);
            result.newerEpoch = state.knownEpoch;
            return result;
        }
    } else if (!m_snapshot->acceptsWork(m_snapshot->self)) {
        return AttemptResult::notRun(ErrorCode::OutOfService);
    }
    AttemptResult accepted;
    accepted.outcome = Outcome::Answered;
    return accepted;
}

void RemoteRequests::onForward(const Base::InstanceId &from, Messages::ForwardRequest request)
{
    m_received.add();
    const StreamKey stream{from, request.streamId};
    AttemptResult refused = refusal(request);
    if (refused.outcome != Outcome::Answered) {
        respond(stream, request.requestId, std::move(refused));
        return;
    }
    const std::string requestId = request.requestId;
    LocalRequest local;
    local.routes = m_snapshot->routes;
    local.route = local.routes->find(request.account, request.route);
    local.requestId = std::move(request.requestId);
    local.keyHash = request.key ? Base::keyHash(*request.key) : 0;
    local.key = std::move(request.key);
    local.deadline = std::chrono::steady_clock::now() + request.deadlineLeft;
    local.requestClass = request.requestClass;
    local.method = std::move(request.method);
    local.target = std::move(request.target);
    local.headers = std::move(request.headers);
    local.body = std::move(request.body);
    const auto id
        = m_dispatcher.run(std::move(local), [this, stream, requestId](AttemptResult result) {
              m_streams.erase(stream);
              respond(stream, requestId, std::move(result));
          });
    m_streams[stream] = id;
}

void RemoteRequests::onCancel(const Base::InstanceId &from, const Messages::CancelRequest &cancel)
{
    const auto found = m_streams.find({from, cancel.streamId});
    if (found != m_streams.end())
        m_dispatcher.cancel(found->second);
}

void RemoteRequests::respond(const StreamKey &stream, const std::string &requestId,
                             AttemptResult result)
{
    Messages::ForwardResponse response;
    response.streamId = stream.second;
    response.requestId = requestId;
    response.outcome = result.outcome;
    response.status = result.response.status;
    response.error = std::move(result.error);
    response.newerEpoch = result.newerEpoch;
    response.headers = std::move(result.response.headers);
    response.body = std::move(result.response.body);
    // A link that is gone has ended the request at the other side; no new one is opened for it.
    const bool isDelivered
        = m_links->isConnected(stream.first)
          && m_links->send(stream.first, std::move(response)) == Peer::SendResult::Accepted;
    if (!isDelivered)
        m_undelivered.add();
}

} // namespace Medlar::Daemon
