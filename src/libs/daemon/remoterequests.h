#pragma once

#include "localdispatcher.h"
#include "peer/peerlinks.h"

#include <map>

namespace Medlar::Daemon {

/*! Serves requests that other daemons forwarded to this one. They are never forwarded again. */
class RemoteRequests
{
public:
    RemoteRequests(LocalDispatcher &dispatcher, Metrics::MetricRegistry &metrics);

    void setLinks(Peer::PeerLinks &links) { m_links = &links; }
    void setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
    {
        m_snapshot = std::move(snapshot);
    }

    void onForward(const Base::InstanceId &from, Messages::ForwardRequest request);
    void onCancel(const Base::InstanceId &from, const Messages::CancelRequest &cancel);

private:
    using StreamKey = std::pair<Base::InstanceId, std::uint64_t>;

    AttemptResult refusal(const Messages::ForwardRequest &request) const;
    void respond(const StreamKey &stream, const std::string &requestId, AttemptResult result);

    LocalDispatcher &m_dispatcher;
    Peer::PeerLinks *m_links = nullptr;
    std::shared_ptr<const TrafficSnapshot> m_snapshot;
    std::map<StreamKey, LocalDispatcher::RequestId> m_streams;
    Metrics::Counter &m_received;
    Metrics::Counter &m_undelivered;
};

} // namespace Medlar::Daemon
