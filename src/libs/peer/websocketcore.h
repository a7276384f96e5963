#pragma once

#include "framecompression.h"
#include "peerlinks.h"
#include "websocketconfig.h"

#include <unordered_map>

namespace Medlar::Peer {

/*! One WebSocket connection to a peer, accepted or opened. */
struct Link
{
    Base::InstanceId peer;
    std::weak_ptr<Connection> connection;
    bool isInbound = false;
    bool isOpen = false;
    bool isDropped = false;
    LinkCounters counters;
    // Both or none.
    std::unique_ptr<FrameDeflater> deflater;
    std::unique_ptr<FrameInflater> inflater;
};
using LinkPtr = std::shared_ptr<Link>;

/*! A message as encoded, and which part of it is not worth compressing. */
struct OutgoingFrame
{
    explicit OutgoingFrame(const Messages::PeerMessage &message)
        : bytes(Messages::encode(message))
        , body(Messages::bodyRange(message, bytes))
        , isBounded(!std::holds_alternative<Messages::CancelRequest>(message))
    {}

    std::string bytes;
    Messages::ByteRange body;
    /*! Whether sendBufferBytes applies. A cancel is always taken: it is smaller than the request
     * that it ends, and the receiver would work on that request to no use. */
    bool isBounded = true;
};

/*! All links to one instance. */
struct PeerState
{
    explicit PeerState(LinkBackoff linkBackoff) : backoff(linkBackoff) {}

    LinkPtr connecting;
    std::vector<LinkPtr> open; //!< messages are sent on the last one
    std::vector<OutgoingFrame> pending;
    std::size_t pendingBytes = 0;
    LinkBackoff backoff;
};

/*!
    Keeps the links of one daemon. It lives until its io_context is destroyed, since handlers of
   websocketpp hold plain pointers to it; stop() ends its work earlier.
*/
class WebSocketCore
{
public:
    WebSocketCore(boost::asio::io_context &context, PeerLinksSettings settings,
                  PeerCallbacks callbacks, Base::LogSink &log)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_callbacks(std::move(callbacks))
        , m_log(log)
    {}

    tl::expected<void, PeerError> listen();
    void stop();
    SendResult send(const Base::InstanceId &to, const Messages::PeerMessage &message);
    void introduce(const PeerAddress &address);
    void close(const Base::InstanceId &peer);
    void closeAll();
    void setSelf(const Base::InstanceId &self) { m_settings.self = self; }

    std::uint16_t port() const { return m_port; }
    bool isConnected(const Base::InstanceId &peer) const;
    const LinkCounters &total() const { return m_total; }
    std::vector<LinkState> links() const;
    std::size_t sendBufferBytes() const { return m_settings.sendBufferBytes; }
    std::uint64_t refusedHandshakes() const { return m_refused; }

private:
    void setSocketOptions(Connection &connection) const;
    bool acceptHandshake(const websocketpp::connection_hdl &handle);
    bool refuse(Connection &connection, websocketpp::http::status_code::value status,
                const char *reason);
    bool connect(const Base::InstanceId &to);
    /*! Starts a handshake; an invalid \a to stands for whichever instance answers. */
    LinkPtr startHandshake(const PeerAddress &address, const Base::InstanceId &to);
    bool isExpectedAnswer(Link &link, const Connection &connection) const;
    void attach(const ConnectionPtr &connection, const LinkPtr &link);
    void onOpen(const LinkPtr &link);
    void onEnd(const LinkPtr &link);
    void onFrame(const LinkPtr &link, const LinkConfig::message_type &frame);
    void drop(const LinkPtr &link, const char *reason);
    bool forget(const LinkPtr &link);
    bool isTooLarge(const OutgoingFrame &frame, const Base::InstanceId &to) const;
    SendResult sendOn(const LinkPtr &link, const OutgoingFrame &frame);
    /*! Returns false, and leaves the link plain, when there is no memory for it. */
    bool startCompression(Link &link);
    PeerState &stateOf(const Base::InstanceId &peer);
    void forgetIdlePeers();
    std::size_t openLinks() const;

    boost::asio::io_context &m_context;
    PeerLinksSettings m_settings;
    PeerCallbacks m_callbacks;
    Base::LogSink &m_log;
    LinkServer m_server;
    LinkClient m_client;
    std::unordered_map<Base::InstanceId, PeerState> m_peers;
    LinkCounters m_total;
    std::uint64_t m_refused = 0;
    std::uint16_t m_port = 0;
    bool m_stopped = false;
};

} // namespace Medlar::Peer
