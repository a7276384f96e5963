#include "websocketlinks.h"

#include "endpointretainer.h"
#include "websocketcore.h"

namespace Medlar::Peer {

using Base::InstanceId;

namespace {

class WebSocketLinks : public PeerLinks
{
public:
    explicit WebSocketLinks(std::shared_ptr<WebSocketCore> core) : m_core(std::move(core)) {}
    ~WebSocketLinks() override { m_core->stop(); }
    WebSocketLinks(const WebSocketLinks &) = delete;
    WebSocketLinks &operator=(const WebSocketLinks &) = delete;

    SendResult send(const InstanceId &to, const Messages::PeerMessage &message) override
    {
        return m_core->send(to, message);
    }
    void introduce(const PeerAddress &address) override { m_core->introduce(address); }
    void close(const InstanceId &peer) override { m_core->close(peer); }
    void setSelf(const InstanceId &self) override
    {
        m_core->closeAll();
        m_core->setSelf(self);
    }
    std::uint16_t port() const override { return m_core->port(); }
    bool isConnected(const InstanceId &peer) const override { return m_core->isConnected(peer); }
    LinkCounters total() const override { return m_core->total(); }
    std::vector<LinkState> links() const override { return m_core->links(); }
    std::size_t sendBufferBytes() const override { return m_core->sendBufferBytes(); }
    std::uint64_t refusedHandshakes() const override { return m_core->refusedHandshakes(); }

private:
    std::shared_ptr<WebSocketCore> m_core;
};

} // namespace

tl::expected<std::unique_ptr<PeerLinks>, PeerError>
createWebSocketLinks(boost::asio::io_context &context, PeerLinksSettings settings,
                     PeerCallbacks callbacks, Base::LogSink &log)
{
    auto core
        = std::make_shared<WebSocketCore>(context, std::move(settings), std::move(callbacks), log);
    boost::asio::use_service<EndpointRetainer>(context).retain(core);
    if (auto listening = core->listen(); !listening)
        return tl::unexpected(listening.error());
    return std::make_unique<WebSocketLinks>(std::move(core));
}

} // namespace Medlar::Peer
