#pragma once

#include "errorcodes.h"
#include "http/deadlinequeue.h"
#include "metrics/metricregistry.h"
#include "peer/peerlinks.h"

#include <unordered_map>

namespace Medlar::Daemon {

/*!
    Requests forwarded to other daemons that wait for their response. Each gets exactly one result;
   responses that match none are dropped and counted.
*/
class Forwarder
{
public:
    using StreamId = std::uint64_t;
    using Done = std::function<void(AttemptResult)>;

    Forwarder(boost::asio::io_context &context, Http::DeadlineQueue &deadlines,
              Metrics::MetricRegistry &metrics);

    /*! Must be called before anything else. \a links must outlive the forwarder's use. */
    void setLinks(Peer::PeerLinks &links) { m_links = &links; }

    /*! Sends \a request, whose stream id is chosen here. \a done is never called within this call.
     */
    StreamId send(const Base::InstanceId &to, Messages::ForwardRequest request,
                  Base::TimePoint deadline, Done done);
    /*! Ends a request whose response nobody waits for, without a result. */
    void cancel(StreamId id);
    /*! Gives up all requests in flight with the outcome "unknown". */
    void giveUpAll();

    void onResponse(const Base::InstanceId &from, Messages::ForwardResponse response);
    void onLinkUp(const Base::InstanceId &peer);
    void onLinkDown(const Base::InstanceId &peer, bool wasOpen);

    std::size_t inFlight() const { return m_streams.size(); }

private:
    struct Stream
    {
        Base::InstanceId peer;
        std::string requestId;
        /*! Whether the request may have left; only then its outcome is unknown. */
        bool isSent = false;
        Http::DeadlineQueue::Handle deadline;
        Done done;
    };

    void onDeadline(StreamId id);
    void finish(StreamId id, AttemptResult result);

    boost::asio::io_context &m_context;
    Http::DeadlineQueue &m_deadlines;
    Peer::PeerLinks *m_links = nullptr;
    std::unordered_map<StreamId, Stream> m_streams;
    StreamId m_lastId = 0;
    Metrics::Counter &m_sent;
    Metrics::Counter &m_unknownStreams;
    Metrics::Counter &m_mismatched;
    Metrics::Counter &m_unusable;
};

} // namespace Medlar::Daemon
