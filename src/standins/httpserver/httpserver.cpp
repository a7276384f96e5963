#include "httpserver.h"

#include <boost/asio/ip/address.hpp>

#include <utility>
#include <vector>

namespace Medlar::Standins {

namespace Asio = boost::asio;
using Asio::ip::tcp;

namespace {

void acceptNext(const std::shared_ptr<tcp::acceptor> &acceptor,
                const std::shared_ptr<HttpServerState> &state)
{
    acceptor->async_accept([acceptor, state](boost::system::error_code error, tcp::socket socket) {
        if (!acceptor->is_open())
            return;
        if (!error && state->sessions.size() >= state->maxConnections)
            ++state->refusedConnections;
        else if (!error)
            std::make_shared<HttpSession>(std::move(socket), state)->read();
        acceptNext(acceptor, state);
    });
}

} // namespace

HttpServer::HttpServer(Asio::io_context &context, const HttpServerSettings &settings,
                       HttpHandler handler)
    : m_acceptor(std::make_shared<tcp::acceptor>(context))
    , m_state(std::make_shared<HttpServerState>())
{
    m_state->handler = std::move(handler);
    m_state->maxBodyBytes = settings.maxBodyBytes;
    m_state->maxConnections = settings.maxConnections;
}

tl::expected<std::unique_ptr<HttpServer>, std::string>
HttpServer::create(Asio::io_context &context, const HttpServerSettings &settings,
                   HttpHandler handler)
{
    auto server
        = std::unique_ptr<HttpServer>(new HttpServer(context, settings, std::move(handler)));
    const std::string error = server->listen(settings);
    if (!error.empty())
        return tl::unexpected(error);
    acceptNext(server->m_acceptor, server->m_state);
    return server;
}

HttpServer::~HttpServer()
{
    close();
}

std::string HttpServer::listen(const HttpServerSettings &settings)
{
    boost::system::error_code error;
    const auto address = Asio::ip::make_address(settings.address, error);
    if (error)
        return "invalid address '" + settings.address + "'";
    const tcp::endpoint endpoint(address, settings.port);
    m_acceptor->open(endpoint.protocol(), error);
    if (!error)
        m_acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor->bind(endpoint, error);
    if (!error)
        m_acceptor->listen(Asio::socket_base::max_listen_connections, error);
    return error ? "cannot listen on " + settings.address + ": " + error.message() : std::string();
}

void HttpServer::close()
{
    m_state->handler = nullptr;
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
    // Dropping a connection may remove its session from the set.
    const std::vector<HttpSession *> sessions(m_state->sessions.begin(), m_state->sessions.end());
    for (HttpSession *session : sessions)
        session->drop();
}

std::uint16_t HttpServer::port() const
{
    boost::system::error_code ignored;
    return m_acceptor->local_endpoint(ignored).port();
}

} // namespace Medlar::Standins
