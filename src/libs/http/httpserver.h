#pragma once

#include "base/logline.h"
#include "httptypes.h"
#include "memory/memorybudget.h"

#include <tl/expected.hpp>

#include <chrono>
#include <memory>

// NOLINTNEXTLINE(readability-identifier-naming)
namespace boost::asio {
class io_context;
}

namespace Medlar::Http {

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; //!< 0: any free port
    std::size_t maxConnections = 4096;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t(1024) * 1024;
    std::chrono::milliseconds idleTimeout{60000};    //!< without any byte of a request
    std::chrono::milliseconds requestTimeout{10000}; //!< from the first byte to the last
    std::chrono::milliseconds handlerTimeout{60000}; //!< until the reply, or the connection ends
    std::chrono::milliseconds writeTimeout{10000};
    /*! Requests of one connection that are handled at the same time. */
    std::size_t maxPipelined = 1;
    /*! Answers 408 to a request that is not complete in time, instead of closing only. */
    bool answersRequestTimeout = false;
    /*! Closes the connection that was idle for longest for a new one above maxConnections. */
    bool replacesIdleConnections = false;
    /*! Pays for all bytes that are held for callers; without it, memory is not bounded. */
    Memory::MemoryBudgetPtr memory = {};
    /*! Bounds what the kernel holds for one connection in each direction, in bytes; 0: its default.
     */
    int socketBufferBytes = 0;
};

struct HttpServerCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0;  //!< above maxConnections
    std::uint64_t replacedConnections = 0; //!< idle ones that were closed for new ones
    std::uint64_t memoryRefusals = 0;      //!< requests that had no room in memory
    std::uint64_t malformedRequests = 0;
    std::uint64_t timeouts = 0;
};

/*!
    HTTP/1.1 listener. Up to maxPipelined requests of one connection are handled at the same time;
   their responses leave in the order of the requests. Create, use and destroy it on the thread of
   the io_context.
*/
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    /*! Listens at once. \a context must outlive the server and all replies. */
    static tl::expected<std::unique_ptr<HttpServer>, HttpError>
    create(boost::asio::io_context &context, const HttpServerSettings &settings,
           RequestHandler handler);

    /*! Accepts no more connections and closes those without a request in progress; the others end
     * after their response. */
    virtual void startClosing() = 0;

    /*! Replaces the limits for requests that are not begun yet. Address and port stay. */
    virtual void setLimits(const HttpServerSettings &limits) = 0;

    virtual std::uint16_t port() const = 0;
    virtual std::size_t connectionCount() const = 0;
    virtual HttpServerCounters counters() const = 0;
};

} // namespace Medlar::Http
