#pragma once

// Included by the sources of this library only; Beast is slow to compile.

#include "httptypes.h"

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
using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/*! Copies the headers that concern both ends; those of the connection are left out. */
Headers endToEndHeaders(const boost::beast::http::fields &fields);

HttpRequest toHttpRequest(BeastRequest &&message, bool isFromLoopback);
HttpResponse toHttpResponse(BeastResponse &&message);
BeastRequest toBeast(const HttpRequest &request, const std::string &host);
BeastResponse toBeast(HttpResponse &&response, bool keepAlive);

} // namespace Medlar::Http
