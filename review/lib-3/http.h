// Small HTTP/1.1 server and client for the stand-ins, on one thread.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Reply = std::function<void(Response)>;
using Handler = std::function<void(Request, Reply)>;

inline Tcp::endpoint endpoint(const std::string &address, unsigned short port)
{
    return {asio::ip::make_address(address), port};
}

inline Response response(unsigned status, std::string body = "{}")
{
    Response result{static_cast<http::status>(status), 11};
    result.set(http::field::content_type, "application/json");
    result.body() = std::move(body);
    return result;
}

inline std::string header(const Request &request, const char *name)
{
    return std::string(request[name]);
}

/*! Serves one request at a time on each connection. */
class Server
{
public:
    Server(asio::io_context &context, Tcp::endpoint at, Handler handler)
        : m_context(context)
        , m_at(std::move(at))
        , m_handler(std::move(handler))
        , m_acceptor(context)
    {}

    /*! Throws if the address is in use. */
    void open()
    {
        m_acceptor.open(m_at.protocol());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(m_at);
        m_acceptor.listen();
        accept();
    }

    /*! Stops listening and resets all connections. */
    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (auto &weak : m_sessions) {
            if (const auto session = weak.lock()) {
                session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
                session->socket.close(ignored);
            }
        }
        m_sessions.clear();
    }

private:
    struct Session : std::enable_shared_from_this<Session>
    {
        Session(Tcp::socket s, Handler &h) : socket(std::move(s)), handler(h) {}

        void read()
        {
            parser = std::make_unique<http::request_parser<http::string_body>>();
            parser->body_limit(16U << 20U);
            http::async_read(
                socket, buffer, *parser,
                [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                    if (!error)
                        self->handle();
                });
        }
        void handle()
        {
            const bool keepAlive = parser->get().keep_alive();
            handler(parser->release(), [self = shared_from_this(), keepAlive](Response answer) {
                if (!self->socket.is_open())
                    return;
                answer.keep_alive(keepAlive);
                answer.prepare_payload();
                auto message = std::make_shared<Response>(std::move(answer));
                http::async_write(
                    self->socket, *message,
                    [self, message, keepAlive](boost::system::error_code error, std::size_t) {
                        if (!error && keepAlive)
                            self->read();
                    });
            });
        }

        Tcp::socket socket;
        Handler &handler;
        boost::beast::flat_buffer buffer;
        std::unique_ptr<http::request_parser<http::string_body>> parser;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
            if (error)
                return;
            boost::system::error_code ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            const auto session = std::make_shared<Session>(std::move(socket), m_handler);
            m_sessions.remove_if([](const auto &weak) { return weak.expired(); });
            m_sessions.push_back(session);
            session->read();
            accept();
        });
    }

    asio::io_context &m_context;
    Tcp::endpoint m_at;
    Handler m_handler;
    Tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Session>> m_sessions;
};

/*! Sends one request on a connection of its own. \a done gets nothing if no whole answer came. */
inline void call(asio::io_context &context, const Tcp::endpoint &to, Request request,
                 std::chrono::milliseconds timeout, std::function<void(const Response *)> done)
{
    struct Call
    {
        explicit Call(asio::io_context &context) : stream(context) {}
        boost::beast::tcp_stream stream;
        Request request;
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        std::function<void(const Response *)> done;
    };
    auto state = std::make_shared<Call>(context);
    state->request = std::move(request);
    state->request.prepare_payload();
    state->parser.body_limit(16U << 20U);
    state->done = std::move(done);
    state->stream.expires_after(timeout);
    state->stream.async_connect(to, [state](boost::system::error_code error) {
        if (error) {
            state->done(nullptr);
            return;
        }
        http::async_write(
            state->stream, state->request, [state](boost::system::error_code error, std::size_t) {
                if (error) {
                    state->done(nullptr);
                    return;
                }
                http::async_read(state->stream, state->buffer, state->parser,
                                 [state](boost::system::error_code error, std::size_t) {
                                     boost::system::error_code ignored;
                                     if (error) {
                                         state->done(nullptr);
                                         return;
                                     }
                                     state->done(&state->parser.get());
                                     state->stream.socket().shutdown(Tcp::socket::shutdown_both,
                                                                     ignored);
                                 });
            });
    });
}

} // namespace review
