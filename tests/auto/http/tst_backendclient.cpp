#include "eventloop.h"
#include "http/backendclient.h"

#include <gtest/gtest.h>

namespace Medlar::Http {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

/*! A server whose bytes are written by the test. */
class ScriptedBackend
{
public:
    explicit ScriptedBackend(asio::io_context &context)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}
        void write(const std::string &bytes)
        {
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(bytes), ignored);
        }
        // Bytes that arrived so far.
        const std::string &poll()
        {
            boost::system::error_code error;
            char buffer[4096];
            socket.non_blocking(true);
            const std::size_t size = socket.read_some(asio::buffer(buffer), error);
            received.append(buffer, error ? 0 : size);
            isClosed = isClosed || (error && error != asio::error::would_block);
            return received;
        }
        asio::ip::tcp::socket socket;
        std::string received;
        bool isClosed = false;
    };

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void close() { m_acceptor.close(); }

    std::vector<std::unique_ptr<Connection>> connections;

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
                if (error)
                    return;
                connections.push_back(std::make_unique<Connection>(std::move(socket)));
                accept();
            });
    }

    asio::ip::tcp::acceptor m_acceptor;
};

std::string response(const std::string &id, const std::string &body,
                     const std::string &extra = std::string())
{
    return "HTTP/1.1 200 OK\r\nMedlar-Request-Id: " + id + "\r\n" + extra
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class BackendClientTest : public testing::Test
{
protected:
    void SetUp() override
    {
        settings.port = backend.port();
        settings.maxConnections = 2;
        client = BackendClient::create(context, settings);
    }

    BackendRequestId send(const std::string &id, Clock::duration timeout = 1h,
                          std::function<bool(HttpRequest &)> prepare = nullptr)
    {
        const std::size_t index = results.size();
        results.emplace_back();
        return client->send({{"POST", "/" + id, {{"Medlar-Request-Id", id}}, "x"},
                             id,
                             Clock::now() + timeout,
                             std::move(prepare),
                             [this, index](BackendResult result) {
                                 ASSERT_FALSE(results[index]) << "done twice";
                                 results[index] = std::move(result);
                             }});
    }

    bool arrives(std::size_t connection, const std::string &id)
    {
        return until([&] {
            return backend.connections.size() > connection
                   && backend.connections[connection]->poll().find("POST /" + id + " ")
                          != std::string::npos;
        });
    }

    bool ends(std::size_t index)
    {
        return until([&] { return results[index].has_value(); });
    }

    BackendError errorOf(std::size_t index)
    {
        EXPECT_TRUE(ends(index));
        EXPECT_FALSE(*results[index]) << "succeeded";
        return results[index]->error();
    }

    template<typename Condition>
    bool until(Condition condition)
    {
        return runUntil(context, condition);
    }

    asio::io_context context{1};
    ScriptedBackend backend{context};
    BackendClientSettings settings;
    std::unique_ptr<BackendClient> client;
    std::vector<std::optional<BackendResult>> results;
};

} // namespace

TEST_F(BackendClientTest, completeResponseKeepsTheConnection)
{
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("a", "A"));
    ASSERT_TRUE(ends(0));
    ASSERT_TRUE(*results[0]);
    EXPECT_EQ((*results[0])->body, "A");
    send("b");
    ASSERT_TRUE(arrives(0, "b"));
    backend.connections[0]->write(response("b", "B"));
    ASSERT_TRUE(ends(1));
    EXPECT_EQ((*results[1])->body, "B");
    EXPECT_EQ(client->counters().connectionsOpened, 1U);
}

TEST_F(BackendClientTest, lateResponseNeverReachesTheNextRequest)
{
    send("a", 20ms);
    ASSERT_TRUE(arrives(0, "a"));
    const BackendError error = errorOf(0);
    EXPECT_EQ(error.code, BackendErrorCode::TimedOut);
    EXPECT_TRUE(error.sent);
    send("b");
    ASSERT_TRUE(arrives(1, "b"));
    backend.connections[0]->write(response("a", "A"));
    backend.connections[1]->write(response("b", "B"));
    ASSERT_TRUE(ends(1));
    EXPECT_EQ((*results[1])->body, "B");
}

TEST_F(BackendClientTest, responseToAnotherRequestIsNotDelivered)
{
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("z", "Z"));
    const BackendError error = errorOf(0);
    EXPECT_EQ(error.code, BackendErrorCode::Mismatched);
    EXPECT_TRUE(error.sent);
    EXPECT_EQ(client->idleConnections(), 0U);
    EXPECT_EQ(client->counters().mismatchedResponses, 1U);
}

TEST_F(BackendClientTest, doubledResponseIsNotTakenForTheNextOne)
{
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("a", "A") + response("a", "A"));
    ASSERT_TRUE(ends(0));
    EXPECT_EQ((*results[0])->body, "A");

    send("b");
    ASSERT_TRUE(arrives(1, "b"));
    backend.connections[1]->write(response("b", "B"));
    ASSERT_TRUE(ends(1));
    EXPECT_EQ((*results[1])->body, "B");

    // The second copy arrives while the connection is idle.
    backend.connections[1]->write(response("b", "B"));
    send("c");
    ASSERT_TRUE(arrives(2, "c"));
    EXPECT_EQ(client->counters().unexpectedBytes, 2U);
}

// Guards against a request that runs twice, or that is answered as not run and runs: a late second
// copy of the refusal was taken for the response to the next send of the same request, which went
// out on the same connection.
TEST_F(BackendClientTest, theSecondCopyOfARefusalIsNotTakenForTheResponseToTheNextSend)
{
    settings.waitsBehindOtherResponse = true;
    settings.maxConnections = 3;
    client = BackendClient::create(context, settings);
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("a", "refused"));
    ASSERT_TRUE(ends(0));

    SCOPED_TRACE("the request is sent once more, and the copy arrives before the response");
    send("a");
    ASSERT_TRUE(arrives(1, "a"));
    backend.connections[0]->write(response("a", "refused"));
    backend.connections[1]->write(response("a", "served"));
    ASSERT_TRUE(ends(1));
    ASSERT_TRUE(*results[1]);
    EXPECT_EQ((*results[1])->body, "served");

    SCOPED_TRACE("a third send uses neither connection, a send of another request one of them");
    send("a");
    ASSERT_TRUE(arrives(2, "a"));
    send("b");
    ASSERT_TRUE(arrives(1, "b"));
    EXPECT_EQ(client->counters().connectionsOpened, 3U);
}

// Guards against connections beyond the limit of the BackendServer, which resets them: a request
// that needs another connection found all others idle.
TEST_F(BackendClientTest, idleConnectionsCountWhenARequestNeedsAnotherOne)
{
    settings.maxConnections = 1;
    client = BackendClient::create(context, settings);
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("a", "refused"));
    ASSERT_TRUE(ends(0));
    send("a");
    ASSERT_TRUE(arrives(1, "a"));
    EXPECT_TRUE(until([&] {
        backend.connections[0]->poll();
        return backend.connections[0]->isClosed;
    }));
}

// Guards against a refusal that is taken for the response to a request that runs: it names no
// request, and may be a late copy of an earlier one.
TEST_F(BackendClientTest, aResponseThatNamesNoRequestIsNotTakenWhereAllNameOne)
{
    settings.requiresRequestId = true;
    settings.waitsBehindOtherResponse = true;
    client = BackendClient::create(context, settings);
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    const BackendError error = errorOf(0);
    EXPECT_EQ(error.code, BackendErrorCode::Malformed);
    EXPECT_TRUE(error.sent) << "it may have run";
    EXPECT_EQ(client->idleConnections(), 0U);
}

// Guards against bytes of a body that are read as a response: the second copy of a response to
// another request has a body, and a response to a HEAD request is read without one.
TEST_F(BackendClientTest, nothingIsReadBehindTheResponseToAnotherRequestWhereAHeadIsExpected)
{
    settings.waitsBehindOtherResponse = true;
    client = BackendClient::create(context, settings);
    results.emplace_back();
    client->send(
        {{"HEAD", "/a", {}, {}}, "a", Clock::now() + 1h, nullptr, [this](BackendResult result) {
             results[0] = std::move(result);
         }});
    ASSERT_TRUE(until([&] {
        return !backend.connections.empty()
               && backend.connections[0]->poll().find("HEAD /a ") != std::string::npos;
    }));
    backend.connections[0]->write(response("z", response("a", "part of the body of z")));
    EXPECT_EQ(errorOf(0).code, BackendErrorCode::Mismatched);
    EXPECT_EQ(client->idleConnections(), 0U);
}

TEST_F(BackendClientTest, cutOffResponseIsAnError)
{
    const std::string whole = response("a", "0123456789");
    const std::string chunked
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n";
    std::size_t index = 0;
    for (const std::string &part :
         {std::string(), whole.substr(0, 10), whole.substr(0, whole.size() - 1), chunked}) {
        send("a");
        ASSERT_TRUE(arrives(index, "a"));
        backend.connections[index]->write(part);
        backend.connections[index]->socket.close();
        const BackendError error = errorOf(index);
        EXPECT_EQ(error.code, BackendErrorCode::CutOff) << part;
        EXPECT_TRUE(error.sent);
        ++index;
    }
    EXPECT_EQ(client->counters().cutOffResponses, 4U);
}

TEST_F(BackendClientTest, responseWithoutVerifiableEndIsRefused)
{
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write("HTTP/1.1 200 OK\r\n\r\npart of a body");
    backend.connections[0]->socket.close();
    EXPECT_EQ(errorOf(0).code, BackendErrorCode::Malformed);

    send("b");
    ASSERT_TRUE(arrives(1, "b"));
    backend.connections[1]->write("nonsense\r\n\r\n");
    EXPECT_EQ(errorOf(1).code, BackendErrorCode::Malformed);
}

// Guards against bytes that are passed on as an answer although no caller can use them, such as one
// with status 000, which servers in trouble have sent.
TEST_F(BackendClientTest, aResponseWithAMalformedStatusLineIsNoAnswer)
{
    const std::string rest = "\r\nMedlar-Request-Id: a\r\nContent-Length: 2\r\n\r\nok";
    std::size_t index = 0;
    for (const char *line :
         {"HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 199 OK",
          "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK",
          "HTTP/1.1 2000 OK", "HTTP/1.1 -01 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK",
          "HTTP/1.1 OK", "HTTP/1.1", "HTTP/3.0 200 OK", "ICY 200 OK"}) {
        send("a");
        ASSERT_TRUE(arrives(index, "a"));
        backend.connections[index]->write(line + rest);
        const BackendError error = errorOf(index);
        EXPECT_EQ(error.code, BackendErrorCode::Malformed) << line;
        EXPECT_TRUE(error.sent) << "it may have run";
        EXPECT_EQ(client->idleConnections(), 0U);
        ++index;
    }
}

TEST_F(BackendClientTest, refusedConnectionMeansNotSent)
{
    backend.close();
    send("a");
    const BackendError error = errorOf(0);
    EXPECT_EQ(error.code, BackendErrorCode::Refused);
    EXPECT_FALSE(error.sent);
    EXPECT_EQ(client->busyConnections(), 0U);
}

TEST_F(BackendClientTest, requestIsNotSentAfterItsDeadlineOrWithoutPermission)
{
    send("a", -1s);
    EXPECT_FALSE(errorOf(0).sent);
    bool asked = false;
    send("b", 1h, [&asked](HttpRequest &) {
        asked = true;
        return false;
    });
    const BackendError error = errorOf(1);
    EXPECT_TRUE(asked);
    EXPECT_EQ(error.code, BackendErrorCode::NotPermitted);
    EXPECT_FALSE(error.sent);
    send("c", 1h, [](HttpRequest &request) {
        request.target = "/d";
        return true;
    });
    const std::size_t last = backend.connections.size() - 1;
    ASSERT_TRUE(arrives(last, "d"));
    EXPECT_EQ(backend.connections[last]->received.find("POST /b"), std::string::npos);
}

TEST_F(BackendClientTest, connectionsAreBounded)
{
    send("a");
    send("b");
    send("c");
    const BackendError error = errorOf(2);
    EXPECT_EQ(error.code, BackendErrorCode::NoConnection);
    EXPECT_FALSE(error.sent);
    ASSERT_TRUE(arrives(0, "a"));
    EXPECT_EQ(client->busyConnections(), 2U);
}

TEST_F(BackendClientTest, connectionClosedWhileIdleIsNotUsed)
{
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("a", "A"));
    ASSERT_TRUE(ends(0));
    backend.connections[0]->socket.close();
    send("b");
    ASSERT_TRUE(arrives(1, "b"));
    backend.connections[1]->write(response("b", "B"));
    ASSERT_TRUE(ends(1));
    EXPECT_TRUE(*results[1]);
}

TEST_F(BackendClientTest, cancelledRequestEndsAndItsConnectionIsClosed)
{
    const BackendRequestId id = send("a");
    ASSERT_TRUE(arrives(0, "a"));
    client->cancel(id);
    const BackendError error = errorOf(0);
    EXPECT_EQ(error.code, BackendErrorCode::Cancelled);
    EXPECT_TRUE(error.sent);
    EXPECT_TRUE(until([&] {
        backend.connections[0]->poll();
        return backend.connections[0]->isClosed;
    }));
    client->cancel(id);
    const BackendRequestId early = send("b");
    client->cancel(early);
    EXPECT_FALSE(errorOf(1).sent);
}

TEST_F(BackendClientTest, theOwnResponseIsTakenBehindALateOneOfAnEarlierRequest)
{
    settings.waitsBehindOtherResponse = true;
    client = BackendClient::create(context, settings);
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("z", "Z") + response("a", "A"));
    ASSERT_TRUE(ends(0));
    ASSERT_TRUE(*results[0]);
    EXPECT_EQ((*results[0])->body, "A");
    EXPECT_EQ(client->idleConnections(), 0U) << "nobody knows what else the connection brings";
    EXPECT_EQ(client->counters().mismatchedResponses, 1U);
}

TEST_F(BackendClientTest, aBodyThatEndsWithItsConnectionIsWholeOnlyAfterAnOrderlyClose)
{
    settings.acceptsBodyUntilClose = true;
    client = BackendClient::create(context, settings);
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write("HTTP/1.1 200 OK\r\nMedlar-Request-Id: a\r\n\r\nwhole");
    backend.connections[0]->socket.close();
    ASSERT_TRUE(ends(0));
    ASSERT_TRUE(*results[0]);
    EXPECT_EQ((*results[0])->body, "whole");
}

TEST_F(BackendClientTest, aConnectionThatWasIdleForTooLongIsNotUsed)
{
    send("a");
    ASSERT_TRUE(arrives(0, "a"));
    backend.connections[0]->write(response("a", "A", "Keep-Alive: timeout=0\r\n"));
    ASSERT_TRUE(ends(0));
    context.run_for(std::chrono::milliseconds(20));
    send("b");
    EXPECT_TRUE(arrives(1, "b"));
}

// Guards against a faulty BackendServer whose bytes do not end before the caller closes: they must
// neither fill the memory nor keep the request waiting until its deadline.
TEST_F(BackendClientTest, bytesWithoutEndCloseTheConnection)
{
    settings.acceptsBodyUntilClose = true;
    settings.waitsBehindOtherResponse = true;
    settings.maxConnections = 20;
    client = BackendClient::create(context, settings);
    const std::string head = "HTTP/1.1 200 OK\r\nMedlar-Request-Id: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        const char *name;
        std::string start;
        std::string repeated;
    };
    const std::vector<Case> cases{
        {"no line end", "", "nonsense"},
        {"one long field", head + "X: ", "0123456789abcdef"},
        {"many fields", head, "X: 1\r\n"},
        {"body without length", head + "\r\n", "0123456789abcdef"},
        {"body beyond any limit", head + "Content-Length: 99999999999\r\n\r\n", "0123456789abcdef"},
        {"chunks", chunked, "10\r\n0123456789abcdef\r\n"},
        {"chunk size", chunked, "0"},
        {"chunk extension", chunked + "1;x=", "0123456789abcdef"},
        {"trailer", chunked + "0\r\n", "X: 1\r\n"},
        {"one long trailer", chunked + "0\r\nX: ", "0123456789abcdef"},
        {"responses to other requests", "", response("z", "0123456789")},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        SCOPED_TRACE(cases[i].name);
        send("a");
        ASSERT_TRUE(arrives(i, "a"));
        auto &connection = *backend.connections[i];
        connection.write(cases[i].start);
        std::string block;
        while (block.size() < std::size_t(64) * 1024)
            block += cases[i].repeated;
        constexpr std::size_t MaxBytes = std::size_t(32) * 1024 * 1024;
        std::size_t written = 0;
        connection.socket.non_blocking(true);
        ASSERT_TRUE(until([&] {
            boost::system::error_code error;
            while (!error && written < MaxBytes && !results[i])
                written += connection.socket.write_some(asio::buffer(block), error);
            return results[i].has_value() || written >= MaxBytes;
        }));
        EXPECT_LT(written, MaxBytes) << "read without limit";
        if (!results[i]) {
            client = BackendClient::create(context, settings);
            continue;
        }
        ASSERT_FALSE(*results[i]);
        EXPECT_TRUE(results[i]->error().sent);
        EXPECT_EQ(client->idleConnections(), 0U);
        connection.socket.close();
    }
    {
        SCOPED_TRACE("other requests are served meanwhile");
        send("b");
        ASSERT_TRUE(arrives(cases.size(), "b"));
        backend.connections[cases.size()]->write(response("b", "B"));
        ASSERT_TRUE(ends(cases.size()));
        EXPECT_TRUE(*results[cases.size()]);
    }
}

} // namespace Medlar::Http
