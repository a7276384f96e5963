#include "../logging/recordinglog.h"
#include "peer/peerlinks.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <gtest/gtest.h>

#include <map>

namespace Medlar::Peer {
namespace {

using Base::InstanceId;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace beast = boost::beast;

struct Daemon
{
    std::unique_ptr<PeerLinks> links;
    std::vector<std::pair<InstanceId, Messages::PeerMessage>> received;
    std::vector<InstanceId> up;
    std::vector<std::pair<InstanceId, bool>> down;
};

class PeerLinksTest : public testing::Test
{
protected:
    std::unique_ptr<Daemon> start(const InstanceId &self, const std::string &credential = "secret",
                                  std::size_t sendBufferBytes = std::size_t(1024) * 1024)
    {
        auto daemon = std::make_unique<Daemon>();
        Daemon *const d = daemon.get();
        PeerLinksSettings settings;
        settings.self = self;
        settings.credential = credential;
        settings.maxFrameBytes = 100000;
        settings.sendBufferBytes = sendBufferBytes;
        settings.backoff = {1ms, 2ms};
        settings.wantsCompression = wantsCompression;
        PeerCallbacks callbacks;
        callbacks.resolve = [this](const InstanceId &id) -> std::optional<PeerAddress> {
            const auto found = ports.find(id);
            if (found == ports.end())
                return std::nullopt;
            return PeerAddress{"127.0.0.1", found->second};
        };
        callbacks.onMessage = [d](const InstanceId &from, Messages::PeerMessage &&message) {
            d->received.emplace_back(from, std::move(message));
        };
        callbacks.onLinkUp = [d](const InstanceId &id) { d->up.push_back(id); };
        callbacks.onLinkDown
            = [d](const InstanceId &id, bool wasOpen) { d->down.emplace_back(id, wasOpen); };
        auto links = PeerLinks::create(context, settings, callbacks, log);
        EXPECT_TRUE(links) << links.error().detail;
        daemon->links = std::move(*links);
        ports[self] = daemon->links->port();
        return daemon;
    }

    // Runs the loop until the condition holds; gives up after a generous real time.
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto giveUp = std::chrono::steady_clock::now() + 20s;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > giveUp)
                return false;
            context.restart();
            context.run_one_for(5ms);
        }
        return true;
    }

    using WebSocket = beast::websocket::stream<asio::ip::tcp::socket>;

    // Opens a handshake as another daemon would; returns the HTTP status, 101 when accepted.
    unsigned handshake(WebSocket &socket, std::uint16_t port, const std::string &credential,
                       const std::string &from, const std::string &to)
    {
        socket.next_layer().connect({asio::ip::make_address("127.0.0.1"), port});
        socket.set_option(
            beast::websocket::stream_base::decorator([&](beast::websocket::request_type &request) {
                if (!credential.empty())
                    request.set("Medlar-Credential", credential);
                request.set("Medlar-Instance", from);
                request.set("Medlar-Peer", to);
            }));
        beast::websocket::response_type response;
        bool done = false;
        socket.async_handshake(response, "127.0.0.1", "/",
                               [&done](const beast::error_code &) { done = true; });
        EXPECT_TRUE(runUntil([&done] { return done; }));
        return response.result_int();
    }

    asio::io_context context{1};
    Logging::RecordingLog log;
    std::map<InstanceId, std::uint16_t> ports;
    bool wantsCompression = false;
};

const InstanceId A{"a", 1};
const InstanceId B{"b", 2};

Messages::PeerMessage renewal(std::uint64_t sequence)
{
    return Messages::RenewLease{A, 1, sequence};
}

} // namespace

TEST_F(PeerLinksTest, linkOpenedByOneSideIsUsedInBothDirections)
{
    auto a = start(A);
    auto b = start(B);
    EXPECT_EQ(a->links->send(B, renewal(1)), SendResult::Queued);
    EXPECT_EQ(a->links->send(B, renewal(2)), SendResult::Queued);
    ASSERT_TRUE(runUntil([&] { return b->received.size() == 2; }));
    EXPECT_EQ(b->received[0].first, A);
    EXPECT_EQ(std::get<Messages::RenewLease>(b->received[0].second).sequence, 1U);
    EXPECT_EQ(std::get<Messages::RenewLease>(b->received[1].second).sequence, 2U);

    EXPECT_EQ(b->links->send(A, renewal(3)), SendResult::Accepted);
    ASSERT_TRUE(runUntil([&] { return a->received.size() == 1; }));
    EXPECT_EQ(a->received[0].first, B);
    EXPECT_EQ(a->links->links().size(), 1U);
    EXPECT_EQ(b->links->links().size(), 1U);
    EXPECT_EQ(a->up, std::vector<InstanceId>{B});
    EXPECT_EQ(b->up, std::vector<InstanceId>{A});

    EXPECT_EQ(a->links->total().framesSent, 2U);
    EXPECT_EQ(a->links->total().bytesSent, b->links->total().bytesReceived);
    EXPECT_EQ(b->links->total().bytesSent, a->links->total().bytesReceived);
    EXPECT_EQ(a->links->links()[0].counters.framesReceived, 1U);
}

// Messages that were queued before the link was open have to be the first of the compressed stream.
TEST_F(PeerLinksTest, compressedLinkCarriesTheSameMessagesInFewerBytes)
{
    wantsCompression = true;
    auto a = start(A);
    auto b = start(B);
    constexpr std::uint64_t Count = 200;
    const Messages::ObjectChanged object{"config/current", 7, std::string(20000, 'r')};
    EXPECT_EQ(a->links->send(B, object), SendResult::Queued);
    ASSERT_TRUE(runUntil([&] { return b->received.size() == 1; }));
    for (std::uint64_t i = 0; i < Count; ++i) {
        EXPECT_EQ(a->links->send(B, renewal(i)), SendResult::Accepted);
        EXPECT_EQ(b->links->send(A, renewal(i)), SendResult::Accepted);
    }
    ASSERT_TRUE(
        runUntil([&] { return b->received.size() == Count + 1 && a->received.size() == Count; }));
    EXPECT_EQ(std::get<Messages::ObjectChanged>(b->received[0].second).value, object.value);
    for (std::uint64_t i = 0; i < Count; ++i) {
        EXPECT_EQ(std::get<Messages::RenewLease>(b->received[i + 1].second).sequence, i);
        EXPECT_EQ(std::get<Messages::RenewLease>(a->received[i].second).sequence, i);
    }
    EXPECT_LT(a->links->total().bytesSent, 20000U);
    EXPECT_EQ(a->links->total().bytesSent, b->links->total().bytesReceived);
    EXPECT_EQ(log.count("compressed=true"), 2U);
}

TEST_F(PeerLinksTest, wrongOrMissingCredentialIsRefusedWith401)
{
    auto a = start(A);
    for (const std::string credential : {"", "secres", "secret2", "SECRET"}) {
        WebSocket socket(context);
        EXPECT_EQ(handshake(socket, a->links->port(), credential, "x#1", "a#1"), 401U);
    }
    EXPECT_EQ(a->links->refusedHandshakes(), 4U);
    WebSocket socket(context);
    EXPECT_EQ(handshake(socket, a->links->port(), "secret", "x#1", "a#1"), 101U);

    auto stranger = start(B, "wrong");
    EXPECT_EQ(stranger->links->send(A, renewal(1)), SendResult::Queued);
    ASSERT_TRUE(runUntil([&] { return stranger->down.size() == 1; }));
    EXPECT_FALSE(stranger->down[0].second) << "nothing may count as sent";
    EXPECT_TRUE(a->received.empty());
}

TEST_F(PeerLinksTest, restartedDaemonAtTheSameAddressIsNotTakenForItsEarlierInstance)
{
    auto a = start(A);
    auto restarted = start({"b", 3});
    ports[B] = restarted->links->port();
    EXPECT_EQ(a->links->send(B, renewal(1)), SendResult::Queued);
    ASSERT_TRUE(runUntil([&] { return a->down.size() == 1; }));
    EXPECT_EQ(a->down[0], std::make_pair(B, false));
    EXPECT_TRUE(restarted->received.empty());

    WebSocket socket(context);
    EXPECT_EQ(handshake(socket, a->links->port(), "secret", "no instance id", "a#1"), 400U);
}

TEST_F(PeerLinksTest, malformedFrameClosesThatLinkOnly)
{
    auto a = start(A);
    auto b = start(B);
    b->links->send(A, renewal(1));
    ASSERT_TRUE(runUntil([&] { return a->received.size() == 1; }));

    const std::vector<std::pair<std::string, bool>> frames{
        {std::string("\x83\x01\x02", 3), true}, // a CBOR array that is cut off
        {std::string(100001, 'x'), true},       // above the bound
        {"text", false}};
    for (const auto &[bytes, isBinary] : frames) {
        WebSocket socket(context);
        ASSERT_EQ(handshake(socket, a->links->port(), "secret", "x#1", "a#1"), 101U);
        ASSERT_TRUE(runUntil([&] { return a->links->isConnected({"x", 1}); }));
        socket.binary(isBinary);
        bool sent = false;
        bool closed = false;
        beast::flat_buffer buffer;
        socket.async_write(asio::buffer(bytes),
                           [&sent](const beast::error_code &, std::size_t) { sent = true; });
        socket.async_read(buffer,
                          [&closed](const beast::error_code &, std::size_t) { closed = true; });
        EXPECT_TRUE(runUntil([&] { return sent && closed; }));
        EXPECT_TRUE(runUntil([&] { return !a->links->isConnected({"x", 1}); }));
    }
    EXPECT_EQ(log.count("event=peer-frame-invalid peer=x#1"), 1U);
    EXPECT_EQ(a->received.size(), 1U);
    EXPECT_TRUE(a->links->isConnected(B));
    b->links->send(A, renewal(2));
    EXPECT_TRUE(runUntil([&] { return a->received.size() == 2; }));
}

TEST_F(PeerLinksTest, peerThatDoesNotReadCannotGrowTheSendBuffer)
{
    constexpr std::size_t BufferBytes = 200000;
    auto a = start(A, "secret", BufferBytes);
    WebSocket slow(context);
    ASSERT_EQ(handshake(slow, a->links->port(), "secret", "b#2", "a#1"), 101U);
    ASSERT_TRUE(runUntil([&] { return a->links->isConnected(B); }));

    const Messages::PeerMessage large = Messages::ObjectChanged{"k", 1, std::string(50000, 'v')};
    SendResult result = SendResult::Accepted;
    constexpr int MoreThanKernelBuffers = 2000; // 100 MB
    int accepted = 0;
    for (; accepted < MoreThanKernelBuffers; ++accepted) {
        result = a->links->send(B, large);
        if (result != SendResult::Accepted)
            break;
        context.restart();
        context.poll();
    }
    EXPECT_EQ(result, SendResult::BufferFull);
    EXPECT_LE(a->links->links()[0].bufferedBytes, BufferBytes);

    SCOPED_TRACE("the peer would otherwise work on requests whose callers have left");
    const std::size_t full = a->links->links()[0].bufferedBytes;
    while (a->links->send(B, Messages::ObjectChanged{"k", 1, "v"}) == SendResult::Accepted)
        continue;
    EXPECT_EQ(a->links->send(B, Messages::CancelRequest{1, std::string(100, 'r')}),
              SendResult::Accepted);
    EXPECT_GT(a->links->links()[0].bufferedBytes, full);
}

TEST_F(PeerLinksTest, pendingMessagesOfALinkThatIsBeingOpenedAreBounded)
{
    auto a = start(A, "secret", 1000);
    auto b = start(B);
    const Messages::PeerMessage half = Messages::ObjectChanged{"k", 1, std::string(600, 'v')};
    EXPECT_EQ(a->links->send(B, half), SendResult::Queued);
    EXPECT_EQ(a->links->send(B, half), SendResult::BufferFull);
    ASSERT_TRUE(runUntil([&] { return b->received.size() == 1; }));
    EXPECT_EQ(a->links->send(B, half), SendResult::Accepted);
}

TEST_F(PeerLinksTest, unreachablePeerIsReportedAndRetriedOnDemand)
{
    auto a = start(A);
    EXPECT_EQ(a->links->send(B, renewal(1)), SendResult::NotConnected) << "address is unknown";

    std::uint16_t closedPort = 0;
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        closedPort = acceptor.local_endpoint().port();
    }
    ports[B] = closedPort;
    EXPECT_EQ(a->links->send(B, renewal(1)), SendResult::Queued);
    ASSERT_TRUE(runUntil([&] { return a->down.size() == 1; }));
    EXPECT_EQ(a->down[0], std::make_pair(B, false));

    auto b = start(B);
    ASSERT_TRUE(runUntil([&] {
        a->links->send(B, renewal(2));
        return !b->received.empty();
    }));
    EXPECT_EQ(std::get<Messages::RenewLease>(b->received[0].second).sequence, 2U);
}

TEST_F(PeerLinksTest, lossOfALinkIsReportedAtBothEndsAndItOpensAgain)
{
    auto a = start(A);
    auto b = start(B);
    a->links->send(B, renewal(1));
    ASSERT_TRUE(runUntil([&] { return b->received.size() == 1; }));

    b->links->close(A);
    ASSERT_TRUE(runUntil([&] { return a->down.size() == 1 && b->down.size() == 1; }));
    EXPECT_TRUE(a->down[0].second);
    EXPECT_TRUE(b->down[0].second);
    ASSERT_TRUE(runUntil([&] {
        a->links->send(B, renewal(2));
        return b->received.size() >= 2;
    }));

    // A daemon that goes on as another instance leaves no link under its earlier one.
    b->links->setSelf({"b", 9});
    EXPECT_FALSE(b->links->isConnected(A));
    ASSERT_TRUE(runUntil([&] { return !a->links->isConnected(B); }));
}

TEST_F(PeerLinksTest, seedAddressLeadsToWhicheverInstanceAnswers)
{
    auto a = start(A);
    auto b = start(B);
    a->links->introduce({"127.0.0.1", b->links->port()});
    ASSERT_TRUE(runUntil([&] { return a->up.size() == 1 && b->up.size() == 1; }));
    EXPECT_EQ(a->up[0], B);
    EXPECT_EQ(b->up[0], A);
    EXPECT_EQ(a->links->send(B, renewal(1)), SendResult::Accepted);
    EXPECT_TRUE(runUntil([&] { return b->received.size() == 1; }));

    // The own address among the seeds must not become a link to itself.
    a->links->introduce({"127.0.0.1", a->links->port()});
    ASSERT_TRUE(runUntil([&] { return a->links->refusedHandshakes() == 1; }));
    EXPECT_FALSE(a->links->isConnected(A));
    EXPECT_TRUE(a->links->isConnected(B));
    EXPECT_EQ(a->up.size(), 1U);
}

TEST_F(PeerLinksTest, bothSidesMayOpenALinkAtTheSameTime)
{
    auto a = start(A);
    auto b = start(B);
    for (std::uint64_t i = 0; i < 3; ++i) {
        EXPECT_EQ(a->links->send(B, renewal(i)), SendResult::Queued);
        EXPECT_EQ(b->links->send(A, renewal(i)), SendResult::Queued);
    }
    ASSERT_TRUE(runUntil([&] { return a->received.size() == 3 && b->received.size() == 3; }));
    a.reset();
    ASSERT_TRUE(runUntil([&] { return !b->links->isConnected(A); }));
}

} // namespace Medlar::Peer
