#include "httpserver.h"

#include "httpsession.h"

#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace Medlar::Http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Time limits of connections are checked this often instead of by a timer for each operation.
constexpr std::chrono::milliseconds CheckInterval{100};
// After accept fails, for example without free descriptors.
constexpr std::chrono::milliseconds AcceptPause{50};

/*! Kept alive by its pending operations, so that the server may be destroyed at any time. */
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(asio::io_context &context, const HttpServerSettings &settings, RequestHandler handler)
        : m_acceptor(context)
        , m_checkTimer(context)
        , m_acceptTimer(context)
        , m_group(std::make_shared<SessionGroup>())
    {
        m_group->settings = settings;
        m_group->handler = std::move(handler);
    }

    tl::expected<void, HttpError> listen();
    void startClosing();
    void closeAll();

    void setLimits(const HttpServerSettings &limits);

    std::uint16_t port() const { return m_port; }
    const SessionGroup &group() const { return *m_group; }

private:
    void accept();
    void onAccept(const error_code &error, Socket socket);
    void checkTimes();
    bool replaceIdleSession();
    std::vector<HttpSession *> allSessions() const;

    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> m_acceptor;
    asio::steady_timer m_checkTimer;
    asio::steady_timer m_acceptTimer;
    std::shared_ptr<SessionGroup> m_group;
    std::uint16_t m_port = 0;
};

tl::expected<void, HttpError> Listener::listen()
{
    error_code error;
    const auto address = asio::ip::make_address(m_group->settings.address, error);
    if (error)
        return tl::unexpected(HttpError{"listen address is not an IP number"});
    const asio::ip::tcp::endpoint endpoint(address, m_group->settings.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        m_port = m_acceptor.local_endpoint(error).port();
    if (error)
        return tl::unexpected(HttpError{"cannot listen: " + error.message()});
    accept();
    checkTimes();
    return {};
}

void Listener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const error_code &error, Socket socket) {
        self->onAccept(error, std::move(socket));
    });
}

void Listener::onAccept(const error_code &error, Socket socket)
{
    if (!m_acceptor.is_open())
        return;
    if (error) {
        m_acceptTimer.expires_after(AcceptPause);
        m_acceptTimer.async_wait([self = shared_from_this()](const error_code &timerError) {
            if (!timerError && self->m_acceptor.is_open())
                self->accept();
        });
        return;
    }
    if (m_group->sessions.size() >= m_group->settings.maxConnections && !replaceIdleSession()) {
        ++m_group->counters.refusedConnections;
    } else {
        ++m_group->counters.accepted;
        if (const int bytes = m_group->settings.socketBufferBytes; bytes > 0) {
            error_code ignored;
            socket.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
            socket.set_option(asio::socket_base::send_buffer_size(bytes), ignored);
        }
        std::make_shared<HttpSession>(std::move(socket), m_group)->start();
    }
    accept();
}

/*! Closes the connection that has been idle for longest. Returns whether there was one. */
bool Listener::replaceIdleSession()
{
    if (!m_group->settings.replacesIdleConnections)
        return false;
    HttpSession *oldest = nullptr;
    for (HttpSession *session : m_group->sessions) {
        const auto since = session->idleSince();
        if (since && (!oldest || *since < *oldest->idleSince()))
            oldest = session;
    }
    if (!oldest)
        return false;
    ++m_group->counters.replacedConnections;
    oldest->close();
    return true;
}

void Listener::checkTimes()
{
    m_checkTimer.expires_after(CheckInterval);
    m_checkTimer.async_wait([self = shared_from_this()](const error_code &error) {
        if (error)
            return;
        const auto now = HttpSession::Clock::now();
        for (HttpSession *session : self->allSessions()) {
            if (self->m_group->sessions.count(session) != 0)
                session->checkTime(now);
        }
        self->checkTimes();
    });
}

void Listener::setLimits(const HttpServerSettings &limits)
{
    HttpServerSettings merged = limits;
    merged.address = m_group->settings.address;
    merged.port = m_group->settings.port;
    m_group->settings = merged;
}

void Listener::startClosing()
{
    error_code ignored;
    m_group->isClosing = true;
    m_acceptor.close(ignored);
    for (HttpSession *session : allSessions())
        session->closeIfIdle();
}

// A copy, because callers that are told about a closed connection may end other sessions.
std::vector<HttpSession *> Listener::allSessions() const
{
    return {m_group->sessions.begin(), m_group->sessions.end()};
}

void Listener::closeAll()
{
    startClosing();
    m_checkTimer.cancel();
    m_acceptTimer.cancel();
    m_group->handler = [](const HttpRequest &, const Reply &) {};
    for (HttpSession *session : allSessions())
        session->close();
}

class BeastHttpServer : public HttpServer
{
public:
    explicit BeastHttpServer(std::shared_ptr<Listener> listener) : m_listener(std::move(listener))
    {}
    ~BeastHttpServer() override { m_listener->closeAll(); }
    BeastHttpServer(const BeastHttpServer &) = delete;
    BeastHttpServer &operator=(const BeastHttpServer &) = delete;

    void startClosing() override { m_listener->startClosing(); }
    void setLimits(const HttpServerSettings &limits) override { m_listener->setLimits(limits); }
    std::uint16_t port() const override { return m_listener->port(); }
    std::size_t connectionCount() const override { return m_listener->group().sessions.size(); }
    HttpServerCounters counters() const override { return m_listener->group().counters; }

private:
    std::shared_ptr<Listener> m_listener;
};

} // namespace

tl::expected<std::unique_ptr<HttpServer>, HttpError>
HttpServer::create(asio::io_context &context, const HttpServerSettings &settings,
                   RequestHandler handler)
{
    auto listener = std::make_shared<Listener>(context, settings, std::move(handler));
    if (auto listening = listener->listen(); !listening)
        return tl::unexpected(listening.error());
    return std::make_unique<BeastHttpServer>(std::move(listener));
}

} // namespace Medlar::Http
