#include "websocketcore.h"

#include "handshake.h"

#include <netinet/tcp.h>

#include <algorithm>

namespace Medlar::Peer {

using Base::InstanceId;
using Base::LogLine;

namespace {

// Peers are remembered for their backoff; above this number idle ones are forgotten.
constexpr std::size_t MaxIdlePeers = 4096;

} // namespace

tl::expected<void, PeerError> WebSocketCore::listen()
{
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(m_settings.listenAddress, addressError);
    if (addressError)
        return tl::unexpected(PeerError{"listen address is not an IP number"});

    std::error_code error;
    m_server.init_asio(&m_context, error);
    if (!error)
        m_client.init_asio(&m_context, error);
    if (error)
        return tl::unexpected(PeerError{"links cannot be initialised: " + error.message()});

    m_server.set_reuse_addr(true);
    m_server.set_listen_backlog(boost::asio::socket_base::max_listen_connections);
    m_server.set_max_message_size(m_settings.maxFrameBytes);
    m_client.set_max_message_size(m_settings.maxFrameBytes);
    m_server.set_tcp_pre_init_handler([this](const websocketpp::connection_hdl &handle) {
        setSocketOptions(*m_server.get_con_from_hdl(handle));
    });
    m_client.set_tcp_pre_init_handler([this](const websocketpp::connection_hdl &handle) {
        setSocketOptions(*m_client.get_con_from_hdl(handle));
    });
    m_server.set_validate_handler(
        [this](const websocketpp::connection_hdl &handle) { return acceptHandshake(handle); });

    m_server.listen({address, m_settings.listenPort}, error);
    if (error)
        return tl::unexpected(PeerError{"cannot listen: " + error.message()});
    boost::system::error_code endpointError;
    m_port = m_server.get_local_endpoint(endpointError).port();
    m_server.start_accept(error);
    if (error || endpointError)
        return tl::unexpected(PeerError{"cannot accept links"});
    return {};
}

void WebSocketCore::setSocketOptions(Connection &connection) const
{
    auto &socket = connection.get_raw_socket();
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(m_settings.unacknowledgedTimeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

bool WebSocketCore::refuse(Connection &connection, websocketpp::http::status_code::value status,
                           const char *reason)
{
    ++m_refused;
    connection.set_status(status);
    m_log.write(LogLine("peer-link-refused")
                    .add("reason", reason)
                    .add("remote", connection.get_remote_endpoint()));
    return false;
}

bool WebSocketCore::acceptHandshake(const websocketpp::connection_hdl &handle)
{
    namespace Status = websocketpp::http::status_code;
    const ConnectionPtr connection = m_server.get_con_from_hdl(handle);
    if (m_stopped)
        return false;
    if (!isSameCredential(connection->get_request_header(CredentialHeader), m_settings.credential))
        return refuse(*connection, Status::unauthorized, "credential");
    auto from = InstanceId::parse(connection->get_request_header(FromHeader));
    if (!from)
        return refuse(*connection, Status::bad_request, "instance");
    const std::string &expected = connection->get_request_header(ToHeader);
    const bool isExpected = expected.empty() || expected == m_settings.self.toString();
    if (!isExpected || *from == m_settings.self)
        return refuse(*connection, Status::conflict, "other-instance-expected");
    if (openLinks() >= m_settings.maxLinks)
        return refuse(*connection, Status::service_unavailable, "too-many-links");

    connection->append_header(FromHeader, m_settings.self.toString());
    auto link = std::make_shared<Link>();
    link->peer = std::move(*from);
    link->isInbound = true;
    const bool wantsCompression
        = connection->get_request_header(CompressionHeader) == CompressionName;
    if (wantsCompression && startCompression(*link))
        connection->append_header(CompressionHeader, CompressionName);
    attach(connection, link);
    return true;
}

bool WebSocketCore::startCompression(Link &link)
{
    auto deflater = FrameDeflater::create();
    auto inflater = FrameInflater::create();
    if (!deflater || !inflater) {
        m_log.write(LogLine("peer-compression-failed")
                        .add("peer", link.peer.toString())
                        .add("detail", deflater ? inflater.error() : deflater.error()));
        return false;
    }
    link.deflater = std::move(*deflater);
    link.inflater = std::move(*inflater);
    return true;
}

void WebSocketCore::attach(const ConnectionPtr &connection, const LinkPtr &link)
{
    using Handle = websocketpp::connection_hdl;
    link->connection = connection;
    connection->set_open_handler([this, link](const Handle &) { onOpen(link); });
    connection->set_fail_handler([this, link](const Handle &) { onEnd(link); });
    connection->set_close_handler([this, link](const Handle &) { onEnd(link); });
    connection->set_message_handler(
        [this, link](const Handle &, const LinkConfig::con_msg_manager_type::message_ptr &frame) {
            onFrame(link, *frame);
        });
}

bool WebSocketCore::connect(const InstanceId &to)
{
    const auto address = m_callbacks.resolve ? m_callbacks.resolve(to) : std::nullopt;
    const LinkPtr link = address ? startHandshake(*address, to) : nullptr;
    if (!link)
        return false;
    stateOf(to).connecting = link;
    return true;
}

void WebSocketCore::introduce(const PeerAddress &address)
{
    if (!m_stopped)
        startHandshake(address, {});
}

LinkPtr WebSocketCore::startHandshake(const PeerAddress &address, const InstanceId &to)
{
    std::error_code error;
    const auto uri = std::make_shared<websocketpp::uri>(false, address.address, address.port, "/");
    const ConnectionPtr connection = m_client.get_connection(uri, error);
    if (error)
        return nullptr;
    connection->append_header(CredentialHeader, m_settings.credential);
    connection->append_header(FromHeader, m_settings.self.toString());
    if (to.isValid())
        connection->append_header(ToHeader, to.toString());
    if (m_settings.wantsCompression)
        connection->append_header(CompressionHeader, CompressionName);

    auto link = std::make_shared<Link>();
    link->peer = to;
    attach(connection, link);
    m_client.connect(connection);
    return link;
}

// Also learns the instance of a link that was opened by introduce().
bool WebSocketCore::isExpectedAnswer(Link &link, const Connection &connection) const
{
    const auto answered = InstanceId::parse(connection.get_response_header(FromHeader));
    if (!answered || *answered == m_settings.self)
        return false;
    if (!link.peer.isValid())
        link.peer = *answered;
    return link.peer == *answered;
}

void WebSocketCore::onOpen(const LinkPtr &link)
{
    if (link->isDropped || m_stopped)
        return;
    const ConnectionPtr connection = link->connection.lock();
    if (!link->isInbound && !isExpectedAnswer(*link, *connection)) {
        drop(link, "other-instance-answered");
        return;
    }
    const bool isCompressed
        = !link->isInbound && connection->get_response_header(CompressionHeader) == CompressionName;
    if (isCompressed && !startCompression(*link)) {
        drop(link, "no-compression");
        return;
    }

    PeerState &peer = stateOf(link->peer);
    if (peer.connecting == link)
        peer.connecting.reset();
    if (link->isInbound) {
        // A peer opens a second link only after it lost the first one.
        const auto stale = std::find_if(peer.open.begin(), peer.open.end(),
                                        [](const LinkPtr &other) { return other->isInbound; });
        if (stale != peer.open.end())
            drop(LinkPtr(*stale), "replaced-by-peer");
    }
    link->isOpen = true;
    peer.open.push_back(link);
    peer.backoff.onSuccess();
    m_log.write(LogLine("peer-link-up")
                    .add("peer", link->peer.toString())
                    .add("inbound", link->isInbound)
                    .add("compressed", link->deflater != nullptr));

    const std::vector<OutgoingFrame> pending = std::move(peer.pending);
    peer.pending.clear();
    peer.pendingBytes = 0;
    for (const OutgoingFrame &frame : pending)
        sendOn(link, frame);
    if (m_callbacks.onLinkUp)
        m_callbacks.onLinkUp(link->peer);
}

// Removes a link from its peer; returns whether messages sent on it may be lost.
bool WebSocketCore::forget(const LinkPtr &link)
{
    PeerState &peer = stateOf(link->peer);
    link->isDropped = true;
    if (peer.connecting == link) {
        peer.connecting.reset();
        peer.pending.clear();
        peer.pendingBytes = 0;
    }
    peer.open.erase(std::remove(peer.open.begin(), peer.open.end(), link), peer.open.end());
    if (!link->isInbound)
        peer.backoff.onFailure(std::chrono::steady_clock::now());
    return link->isOpen;
}

void WebSocketCore::onEnd(const LinkPtr &link)
{
    if (link->isDropped || m_stopped)
        return;
    const ConnectionPtr connection = link->connection.lock();
    const bool wasOpen = forget(link);
    // While another link is open, nothing waits for the one that failed.
    const bool isIntroduction = !link->peer.isValid();
    if (!wasOpen && (link->isInbound || isIntroduction || isConnected(link->peer)))
        return;
    m_log.write(LogLine("peer-link-down")
                    .add("peer", link->peer.toString())
                    .add("was_open", wasOpen)
                    .add("reason", connection ? connection->get_ec().message() : "closed"));
    if (m_callbacks.onLinkDown)
        m_callbacks.onLinkDown(link->peer, wasOpen);
}

// Ends a link from this side; the callback runs later, so that callers see no re-entrance.
void WebSocketCore::drop(const LinkPtr &link, const char *reason)
{
    if (link->isDropped)
        return;
    const bool wasOpen = forget(link);
    if (const ConnectionPtr connection = link->connection.lock())
        connection->terminate(std::error_code());
    if (!wasOpen && isConnected(link->peer))
        return;
    m_log.write(LogLine("peer-link-down")
                    .add("peer", link->peer.toString())
                    .add("was_open", wasOpen)
                    .add("reason", reason));
    boost::asio::post(m_context, [this, peer = link->peer, wasOpen] {
        if (!m_stopped && m_callbacks.onLinkDown)
            m_callbacks.onLinkDown(peer, wasOpen);
    });
}

void WebSocketCore::onFrame(const LinkPtr &link, const LinkConfig::message_type &frame)
{
    if (link->isDropped || m_stopped)
        return;
    const std::string &payload = frame.get_payload();
    const std::uint64_t bytes = frameBytes(payload.size(), link->isInbound);
    for (LinkCounters *counters : {&link->counters, &m_total}) {
        ++counters->framesReceived;
        counters->bytesReceived += bytes;
    }
    if (frame.get_opcode() != websocketpp::frame::opcode::binary) {
        drop(link, "frame-not-binary");
        return;
    }
    const auto reject = [&](const std::string &detail) {
        m_log.write(
            LogLine("peer-frame-invalid").add("peer", link->peer.toString()).add("detail", detail));
        drop(link, "frame-invalid");
    };
    std::string_view plain = payload;
    tl::expected<std::string, std::string> unpacked;
    if (link->inflater) {
        unpacked = link->inflater->unpack(payload, m_settings.maxFrameBytes);
        if (!unpacked) {
            reject(unpacked.error());
            return;
        }
        plain = *unpacked;
    }
    auto message = Messages::decode(plain);
    if (!message) {
        reject(message.error().detail);
        return;
    }
    if (m_callbacks.onMessage)
        m_callbacks.onMessage(link->peer, std::move(*message));
}

// The receiver would end the link.
bool WebSocketCore::isTooLarge(const OutgoingFrame &frame, const InstanceId &to) const
{
    if (frame.bytes.size() <= m_settings.maxFrameBytes)
        return false;
    m_log.write(LogLine("peer-frame-too-large")
                    .add("peer", to.toString())
                    .add("bytes", frame.bytes.size()));
    return true;
}

SendResult WebSocketCore::sendOn(const LinkPtr &link, const OutgoingFrame &frame)
{
    const ConnectionPtr connection = link->connection.lock();
    if (!connection)
        return SendResult::NotConnected;
    if (isTooLarge(frame, link->peer))
        return SendResult::TooLarge;
    if (frame.isBounded
        && connection->get_buffered_amount() + frame.bytes.size() > m_settings.sendBufferBytes)
        return SendResult::BufferFull;
    std::string packed;
    if (link->deflater) {
        auto result = link->deflater->pack(frame.bytes, frame.body);
        if (!result) {
            drop(link, "compression-failed");
            return SendResult::NotConnected;
        }
        packed = std::move(*result);
    }
    const std::string &payload = link->deflater ? packed : frame.bytes;
    if (connection->send(payload.data(), payload.size(), websocketpp::frame::opcode::binary)) {
        // The other end could not read any later frame without this one.
        if (link->deflater)
            drop(link, "frame-not-sent");
        return SendResult::NotConnected;
    }
    const std::uint64_t bytes = frameBytes(payload.size(), !link->isInbound);
    for (LinkCounters *counters : {&link->counters, &m_total}) {
        ++counters->framesSent;
        counters->bytesSent += bytes;
    }
    return SendResult::Accepted;
}

SendResult WebSocketCore::send(const InstanceId &to, const Messages::PeerMessage &message)
{
    if (m_stopped || to == m_settings.self)
        return SendResult::NotConnected;
    PeerState &peer = stateOf(to);
    if (!peer.open.empty()) {
        const LinkPtr link = peer.open.back();
        return sendOn(link, OutgoingFrame(message));
    }
    if (!peer.connecting) {
        if (!peer.backoff.mayConnect(std::chrono::steady_clock::now()) || !connect(to))
            return SendResult::NotConnected;
    }
    OutgoingFrame frame(message);
    if (isTooLarge(frame, to))
        return SendResult::TooLarge;
    if (frame.isBounded && peer.pendingBytes + frame.bytes.size() > m_settings.sendBufferBytes)
        return SendResult::BufferFull;
    peer.pendingBytes += frame.bytes.size();
    peer.pending.push_back(std::move(frame));
    return SendResult::Queued;
}

PeerState &WebSocketCore::stateOf(const InstanceId &peer)
{
    const auto known = m_peers.find(peer);
    if (known != m_peers.end())
        return known->second;
    if (m_peers.size() >= MaxIdlePeers)
        forgetIdlePeers();
    const std::uint64_t seed = m_settings.seed ^ std::hash<InstanceId>()(peer);
    return m_peers.emplace(peer, PeerState(LinkBackoff(m_settings.backoff, seed))).first->second;
}

void WebSocketCore::forgetIdlePeers()
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool isIdle
            = it->first.isValid() && it->second.open.empty() && !it->second.connecting;
        it = isIdle ? m_peers.erase(it) : std::next(it);
    }
}

void WebSocketCore::close(const InstanceId &peer)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    std::vector<LinkPtr> links = found->second.open;
    if (found->second.connecting)
        links.push_back(found->second.connecting);
    for (const LinkPtr &link : links)
        drop(link, "closed");
}

void WebSocketCore::closeAll()
{
    std::vector<InstanceId> peers;
    for (const auto &[peer, state] : m_peers)
        peers.push_back(peer);
    for (const InstanceId &peer : peers)
        close(peer);
}

void WebSocketCore::stop()
{
    std::error_code ignored;
    m_server.stop_listening(ignored);
    closeAll();
    m_stopped = true;
    m_callbacks = {};
    m_peers.clear();
}

std::size_t WebSocketCore::openLinks() const
{
    std::size_t count = 0;
    for (const auto &[peer, state] : m_peers)
        count += state.open.size();
    return count;
}

bool WebSocketCore::isConnected(const InstanceId &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && !found->second.open.empty();
}

std::vector<LinkState> WebSocketCore::links() const
{
    std::vector<LinkState> result;
    for (const auto &[peer, state] : m_peers) {
        for (const LinkPtr &link : state.open) {
            const ConnectionPtr connection = link->connection.lock();
            result.push_back(
                {peer, true, connection ? connection->get_buffered_amount() : 0, link->counters});
        }
        if (state.connecting)
            result.push_back({peer, false, state.pendingBytes, {}});
    }
    return result;
}

} // namespace Medlar::Peer
