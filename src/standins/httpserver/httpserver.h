#pragma once

#include "httpsession.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace Medlar::Standins {

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; //!< 0 lets the kernel choose
    std::size_t maxBodyBytes = std::size_t(2) << 20U;
    std::size_t maxConnections = 4096; //!< further connections are closed when accepted
};

/*! Single-threaded HTTP/1.1 server of the stand-ins. Runs on the executor of its context. */
class HttpServer
{
public:
    /*! Listens at once; the error says why the address cannot be used. */
    static tl::expected<std::unique_ptr<HttpServer>, std::string>
    create(boost::asio::io_context &context, const HttpServerSettings &settings,
           HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /*! Closes the listener and all connections. */
    void close();

    std::uint16_t port() const;
    std::size_t connectionCount() const { return m_state->sessions.size(); }
    std::size_t refusedConnections() const { return m_state->refusedConnections; }

private:
    HttpServer(boost::asio::io_context &context, const HttpServerSettings &settings,
               HttpHandler handler);
    std::string listen(const HttpServerSettings &settings);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::shared_ptr<HttpServerState> m_state;
};

} // namespace Medlar::Standins
