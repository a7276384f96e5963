#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Medlar::Store {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpReply = boost::beast::http::response<boost::beast::http::string_body>;

enum class CallFailureKind {
    NotSent,   //!< the server has not received the request
    Closed,    //!< the connection ended before the whole answer
    TimedOut,  //!< the request may still be under way
    Malformed, //!< the answer is not HTTP
    Oversized  //!< the answer exceeds its limit
};

struct CallFailure
{
    CallFailureKind kind = CallFailureKind::NotSent;
    std::string detail;
};

using CallResult = tl::expected<HttpReply, CallFailure>;

struct HttpCall
{
    HttpRequest request;
    std::chrono::steady_clock::time_point deadline;
    std::size_t maxAnswerBytes = 0;
    std::function<void(CallResult)> handler;
    /*! Whether a GET that finds its idle connection closed by the server is sent once more. */
    bool resendIfClosed = true;
};

/*!
    One keep-alive connection that carries one call at a time. Any failure closes it, so an answer
   can never be taken for that of another call.
*/
class StoreConnection : public std::enable_shared_from_this<StoreConnection>
{
public:
    StoreConnection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint);

    /*! Connects when necessary. Must not be called before the previous call ended. */
    void send(HttpCall call);

    /*! Ends the call without calling its handler. */
    void abandon();

private:
    void close();
    void connect();
    void write();
    void read();
    void fail(boost::beast::error_code error, bool sent);
    void finish(CallResult result);

    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    HttpCall m_call;
    bool m_connected = false;
    bool m_reused = false; //!< the current call was sent on a connection that served another one
};

} // namespace Medlar::Store
