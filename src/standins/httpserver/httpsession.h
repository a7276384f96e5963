#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace Medlar::Standins {

namespace Http = boost::beast::http;
using HttpRequest = Http::request<Http::string_body>;
using HttpResponse = Http::response<Http::string_body>;

class HttpSession;
using HttpHandler = std::function<void(std::shared_ptr<HttpSession>)>;

/*! State that a server shares with its sessions, which may outlive it. */
struct HttpServerState
{
    HttpHandler handler; //!< empty once the server is closed
    std::unordered_set<HttpSession *> sessions;
    std::size_t maxBodyBytes = 0;
    std::size_t maxConnections = 0;
    std::size_t refusedConnections = 0;
};

/*!
    One connection of a stand-in. The handler receives the session for each request and calls
   respond() or drop() exactly once, at any later time.
*/
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> state);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    /*! Reads the next request. */
    void read();

    /*! Sends \a response and reads the next request. */
    void respond(HttpResponse response);
    void respond(Http::status status, std::string body = {},
                 std::string_view contentType = "application/json");

    /*! Closes the connection without a response. */
    void drop();

    const HttpRequest &request() const { return m_parser->get(); }
    /*! The request target up to the query. */
    std::string_view path() const;
    /*! The value of \a name in the query, without percent-decoding. */
    std::optional<std::string_view> queryValue(std::string_view name) const;

private:
    void onRead(boost::beast::error_code error);

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_state;
    boost::beast::flat_buffer m_buffer;
    std::optional<Http::request_parser<Http::string_body>> m_parser;
    HttpResponse m_response;
};

} // namespace Medlar::Standins
