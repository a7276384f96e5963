#pragma once

#include "base/instanceid.h"
#include "base/logline.h"
#include "linkbackoff.h"
#include "messages/messagecodec.h"
#include "messages/peermessages.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// NOLINTNEXTLINE(readability-identifier-naming)
namespace boost::asio {
class io_context;
}

namespace Medlar::Peer {

struct PeerAddress
{
    std::string address; //!< IP number; names are never resolved
    std::uint16_t port = 0;
};

struct PeerLinksSettings
{
    Base::InstanceId self;
    std::string listenAddress = "127.0.0.1";
    std::uint16_t listenPort = 0; //!< 0: any free port
    std::string credential;       //!< must be the same at both ends
    /*! Frames that wait for a link are dropped by the sender above this size, per link. A
     * CancelRequest is never dropped. */
    std::size_t sendBufferBytes = std::size_t(8) * 1024 * 1024;
    std::size_t maxFrameBytes = Messages::MaxFrameBytes;
    std::size_t maxLinks = 2048;
    /*! Unacknowledged bytes older than this end the link, so that a partition is noticed. */
    std::chrono::milliseconds unacknowledgedTimeout{2000};
    /*! Asks for compression of the links that this side opens; a peer that asks gets it. */
    bool wantsCompression = false;
    BackoffSettings backoff;
    std::uint64_t seed = 0; //!< of the jitter
};

/*! What became of a message that was handed to send(). */
enum class SendResult {
    Accepted,     //!< handed to an open link
    Queued,       //!< waits for a link that is being opened; sent directly before onLinkUp
    NotConnected, //!< no link, and none may be opened now: no address, or backoff
    BufferFull,
    TooLarge //!< the message does not fit into a frame
};

struct PeerError
{
    std::string detail;
};

struct LinkCounters
{
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0; //!< as sent, with WebSocket headers, without TCP/IP headers
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

struct LinkState
{
    Base::InstanceId peer;
    bool isOpen = false;
    std::size_t bufferedBytes = 0;
    LinkCounters counters;
};

/*! Run on the executor of the links. They may call send(), but must not destroy the links. */
struct PeerCallbacks
{
    /*! The address of an instance, or nothing when it is unknown. */
    std::function<std::optional<PeerAddress>(const Base::InstanceId &)> resolve;
    std::function<void(const Base::InstanceId &from, Messages::PeerMessage &&)> onMessage;
    std::function<void(const Base::InstanceId &)> onLinkUp;
    /*!
        A link ended. When \a wasOpen, messages in either direction may be lost. Otherwise no link
       could be opened, and none of the messages that were queued for it has been sent.
    */
    std::function<void(const Base::InstanceId &, bool wasOpen)> onLinkDown;
};

/*!
    Authenticated message links to other daemons, opened on demand and used in both directions,
   whichever side opened them. All functions must be called on the thread that runs the io_context.
   Delivery is in order for each link and at most once.
*/
class PeerLinks
{
public:
    virtual ~PeerLinks() = default;

    /*! Listens at once. \a context and \a log must outlive the links. */
    static tl::expected<std::unique_ptr<PeerLinks>, PeerError>
    create(boost::asio::io_context &context, PeerLinksSettings settings, PeerCallbacks callbacks,
           Base::LogSink &log);

    virtual SendResult send(const Base::InstanceId &to, const Messages::PeerMessage &message) = 0;

    /*!
        Opens a link to whichever instance listens at \a address; onLinkUp tells which one it is.
       Used by a daemon that knows no instance yet. Does nothing visible when nobody answers.
    */
    virtual void introduce(const PeerAddress &address) = 0;

    /*! Closes the link to \a peer without waiting for buffered messages. */
    virtual void close(const Base::InstanceId &peer) = 0;

    /*! Continues as another instance: all links are closed, since peers know them by instance. */
    virtual void setSelf(const Base::InstanceId &self) = 0;

    /*! The port listened on, also when the settings left the choice open. */
    virtual std::uint16_t port() const = 0;
    virtual bool isConnected(const Base::InstanceId &peer) const = 0;
    virtual LinkCounters total() const = 0;
    virtual std::vector<LinkState> links() const = 0;
    /*! Bound of LinkState::bufferedBytes. */
    virtual std::size_t sendBufferBytes() const = 0;
    /*! Handshakes refused for a wrong credential or a wrong instance. */
    virtual std::uint64_t refusedHandshakes() const = 0;
};

} // namespace Medlar::Peer
