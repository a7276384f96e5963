#pragma once

// Included by the sources of this library only; Beast is slow to compile.

#include "httptypes.h"
#include "memory/memorybudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Medlar::Http {

/*! Size of the reads of a message body. */
constexpr std::size_t ReadSize = std::size_t(64) * 1024;

/*! Bound of the unparsed bytes of a connection. The limits of a parser for headers and bodies do
   not cover the size lines, extensions and trailers of chunks, which it collects until their end.
 */
constexpr std::size_t maxBufferedBytes(std::uint32_t maxHeaderBytes)
{
    return maxHeaderBytes + ReadSize;
}

/*! A socket bound to the io_context type, which saves the indirection of any_io_executor. */
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                                boost::asio::io_context::executor_type>;

/*! Body of an outgoing message, which is not copied. */
struct SharedBody
{
    using value_type = Base::SharedBytes; // NOLINT(readability-identifier-naming)

    static std::uint64_t size(const value_type &body) { return body.size(); }

    class writer // NOLINT(readability-identifier-naming)
    {
    public:
        // NOLINTNEXTLINE(readability-identifier-naming)
        using const_buffers_type = boost::asio::const_buffer;

        template<bool IsRequest, class Fields>
        explicit writer(const boost::beast::http::header<IsRequest, Fields> & /*header*/,
                        const value_type &body)
            : m_body(body)
        {}
        static void init(boost::system::error_code &error) { error = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code &error)
        {
            error = {};
            return {{const_buffers_type{m_body.data(), m_body.size()}, false}};
        }

    private:
        const value_type &m_body;
    };
};

/*! Messages that were received. */
using ReceivedRequest = boost::beast::http::request<boost::beast::http::string_body>;
using ReceivedResponse = boost::beast::http::response<boost::beast::http::string_body>;
/*! Messages that are sent. */
using BeastRequest = boost::beast::http::request<SharedBody>;
using BeastResponse = boost::beast::http::response<SharedBody>;

/*! Copies the headers that concern both ends; those of the connection are left out. */
Headers endToEndHeaders(const boost::beast::http::fields &fields);

/*! \a charge pays for the memory of the body. */
HttpRequest toHttpRequest(ReceivedRequest &&message, bool isFromLoopback, Memory::Charge charge);
HttpResponse toHttpResponse(ReceivedResponse &&message, Memory::Charge charge);
BeastRequest toBeast(const HttpRequest &request, const std::string &host);
BeastResponse toBeast(HttpResponse &&response, bool keepAlive);

} // namespace Medlar::Http
