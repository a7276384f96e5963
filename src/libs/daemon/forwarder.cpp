#include "forwarder.h"

#include <boost/asio/post.hpp>

namespace Medlar::Daemon {

using Base::InstanceId;
using Peer::SendResult;

namespace {

constexpr char DroppedName[] = "medlar_dropped_responses_total";
constexpr char DroppedHelp[] = "Responses of other daemons that matched no request in flight.";

} // namespace

Forwarder::Forwarder(boost::asio::io_context &context, Http::DeadlineQueue &deadlines,
                     Metrics::MetricRegistry &metrics)
    : m_context(context)
    , m_deadlines(deadlines)
    , m_sent(metrics.counter("medlar_forwarded_total", "Requests sent to other daemons."))
    , m_unknownStreams(metrics.counter(DroppedName, DroppedHelp, {{"reason", "late"}}))
    , m_mismatched(metrics.counter(DroppedName, DroppedHelp, {{"reason", "mismatched"}}))
    , m_unusable(metrics.counter(DroppedName, DroppedHelp, {{"reason", "unusable"}}))
{}

Forwarder::StreamId Forwarder::send(const InstanceId &to, Messages::ForwardRequest request,
                                    Base::TimePoint deadline, Done done)
{
    const StreamId id = ++m_lastId;
    request.streamId = id;
    Stream stream{to, request.requestId, false, {}, std::move(done)};
    const SendResult result = m_links->send(to, std::move(request));
    if (result != SendResult::Accepted && result != SendResult::Queued) {
        const char *const error
            = result == SendResult::NotConnected ? ErrorCode::NoLink : ErrorCode::LinkBusy;
        boost::asio::post(m_context, [done = std::move(stream.done), error] {
            done(AttemptResult::notRun(error));
        });
        return id;
    }
    m_sent.add();
    stream.isSent = result == SendResult::Accepted;
    stream.deadline = m_deadlines.add(deadline, [this, id] { onDeadline(id); });
    m_streams.emplace(id, std::move(stream));
    return id;
}

void Forwarder::onDeadline(StreamId id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    // A request that still waits for its link may be sent after this, so it is not "not run".
    m_links->send(found->second.peer, Messages::CancelRequest{id, found->second.requestId});
    finish(id, AttemptResult::unknown(ErrorCode::DeadlinePassed));
}

void Forwarder::cancel(StreamId id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    m_links->send(found->second.peer, Messages::CancelRequest{id, found->second.requestId});
    m_deadlines.cancel(found->second.deadline);
    m_streams.erase(found);
}

void Forwarder::finish(StreamId id, AttemptResult result)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    const Done done = std::move(found->second.done);
    m_deadlines.cancel(found->second.deadline);
    m_streams.erase(found);
    done(std::move(result));
}

void Forwarder::onResponse(const InstanceId &from, Messages::ForwardResponse response)
{
    const auto found = m_streams.find(response.streamId);
    if (found == m_streams.end()) {
        m_unknownStreams.add();
        return;
    }
    if (found->second.requestId != response.requestId || found->second.peer != from) {
        m_mismatched.add();
        return;
    }
    // A daemon of another version may pass on a status that callers cannot use.
    const bool isAnswered = response.outcome == Messages::Outcome::Answered;
    if (isAnswered && !Http::isFinalStatus(response.status)) {
        m_unusable.add();
        finish(response.streamId, AttemptResult::unknown(ErrorCode::PeerAnswerUnusable));
        return;
    }
    AttemptResult result;
    result.outcome = response.outcome;
    result.error = std::move(response.error);
    result.newerEpoch = response.newerEpoch;
    result.response = {response.status, std::move(response.headers), std::move(response.body)};
    finish(response.streamId, std::move(result));
}

void Forwarder::onLinkUp(const InstanceId &peer)
{
    for (auto &[id, stream] : m_streams) {
        if (stream.peer == peer)
            stream.isSent = true;
    }
}

void Forwarder::onLinkDown(const InstanceId &peer, bool wasOpen)
{
    std::vector<StreamId> lost;
    for (const auto &[id, stream] : m_streams) {
        if (stream.peer == peer && stream.isSent == wasOpen)
            lost.push_back(id);
    }
    for (const StreamId id : lost) {
        finish(id, wasOpen ? AttemptResult::unknown(ErrorCode::LinkLost)
                           : AttemptResult::notRun(ErrorCode::NoLink));
    }
}

void Forwarder::giveUpAll()
{
    std::vector<StreamId> ids;
    for (const auto &[id, stream] : m_streams)
        ids.push_back(id);
    for (const StreamId id : ids)
        finish(id, AttemptResult::unknown(ErrorCode::GivenUp));
}

} // namespace Medlar::Daemon
