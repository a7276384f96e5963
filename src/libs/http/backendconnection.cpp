#include "backendconnection.h"

#include "headers.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace Medlar::Http {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// A connection is given up this long before the server closes it, so that no request crosses the
// close.
constexpr std::chrono::milliseconds IdleMargin{500};
// A request that comes once more from another daemon has the same deadline, less its time in
// transit, which may differ by this much.
constexpr std::chrono::milliseconds MaxTransitDifference{5000};
// Higher values of a Keep-Alive header are ignored.
constexpr std::uint64_t MaxKeepAliveSeconds = 3600;

} // namespace

BackendConnection::BackendConnection(asio::io_context &context,
                                     const BackendClientSettings &settings,
                                     DeadlineQueue &deadlines, BackendCounters &counters, Done done)
    : m_settings(settings)
    , m_deadlines(deadlines)
    , m_counters(counters)
    , m_done(std::move(done))
    , m_socket(context)
    , m_memory(settings.memory, Memory::Kind::Answer, 0,
               [this] {
                   if (m_request)
                       fail(BackendErrorCode::NoMemory);
               })
    , m_maxIdle(settings.maxIdle)
{}

std::chrono::milliseconds BackendConnection::idleTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - m_idleSince);
}

bool BackendConnection::isUsable()
{
    if (idleTime() > m_maxIdle)
        return false;
    char byte = 0;
    const auto result = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return true;
    if (result > 0)
        ++m_counters.unexpectedBytes;
    return false;
}

void BackendConnection::start(BackendRequest request)
{
    ++m_turn;
    m_isSent = false;
    m_request = std::move(request);
    if (m_isConnected)
        write();
    else
        connect();
}

void BackendConnection::waitUntil(Base::TimePoint limit, BackendErrorCode code)
{
    m_deadlines.cancel(m_limit);
    m_limit = m_deadlines.add(limit, [this, code] { fail(code); });
}

void BackendConnection::connect()
{
    error_code error;
    const auto address = asio::ip::make_address(m_settings.address, error);
    const Base::TimePoint limit = std::chrono::steady_clock::now() + m_settings.connectTimeout;
    waitUntil(error ? Base::TimePoint::min() : std::min(limit, m_request->deadline),
              BackendErrorCode::Refused);
    if (error)
        return;
    m_socket.async_connect({address, m_settings.port}, [self = shared_from_this(), turn = m_turn](
                                                           const error_code &connectError) {
        if (self->m_turn != turn || !self->m_request)
            return;
        if (connectError) {
            self->fail(BackendErrorCode::Refused);
            return;
        }
        error_code ignored;
        self->m_isConnected = true;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        ++self->m_counters.connectionsOpened;
        self->write();
    });
}

void BackendConnection::write()
{
    if (std::chrono::steady_clock::now() >= m_request->deadline) {
        fail(BackendErrorCode::DeadlinePassed);
        return;
    }
    if (m_request->prepare && !m_request->prepare(m_request->request)) {
        fail(BackendErrorCode::NotPermitted);
        return;
    }
    m_isSent = true;
    m_sentRequests.add(std::chrono::steady_clock::now(), m_request->requestId,
                       m_request->deadline + MaxTransitDifference);
    m_message = std::make_shared<BeastRequest>(toBeast(m_request->request, m_settings.address));
    waitUntil(m_request->deadline, BackendErrorCode::TimedOut);
    http::async_write(m_socket, *m_message,
                      [self = shared_from_this(), message = m_message,
                       turn = m_turn](const error_code &error, std::size_t) {
                          if (self->m_turn != turn || !self->m_request)
                              return;
                          if (error)
                              self->fail(BackendErrorCode::CutOff);
                          else
                              self->read();
                      });
}

void BackendConnection::read()
{
    m_parser = std::make_shared<Parser>();
    m_parser->header_limit(m_settings.maxHeaderBytes);
    m_parser->body_limit(m_settings.maxBodyBytes);
    m_buffer.max_size(maxBufferedBytes(m_settings.maxHeaderBytes));
    m_parser->eager(true);
    m_parser->skip(m_request->request.method == "HEAD");
    m_memory.begin(std::chrono::steady_clock::now());
    readSome();
}

// The reads end after each part, so that the response is charged while it grows.
void BackendConnection::readSome()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this(), parser = m_parser,
                           turn = m_turn](const error_code &error, std::size_t bytes) {
                              if (self->m_turn == turn && self->m_request)
                                  self->onRead(error, bytes);
                          });
}

void BackendConnection::onRead(const error_code &error, std::size_t bytes)
{
    if (error) {
        const bool isProtocolError
            = error.category() == make_error_code(http::error::bad_method).category()
              && error != http::error::end_of_stream && error != http::error::partial_message;
        fail(isProtocolError ? BackendErrorCode::Malformed : BackendErrorCode::CutOff);
        return;
    }
    const Base::TimePoint now = std::chrono::steady_clock::now();
    m_memory.onProgress(now, bytes);
    if (!m_memory.tryResize(now, m_buffer.size() + m_parser->get().body().size()))
        fail(BackendErrorCode::NoMemory);
    else if (m_parser->is_done())
        onResponse();
    else
        readSome();
}

void BackendConnection::onResponse()
{
    const auto &message = m_parser->get();
    const bool isAttributable = !m_settings.requiresRequestId
                                || message.find(m_settings.requestIdHeader) != message.end();
    // A body that ends with the connection cannot be told from one that was cut off.
    if (!isFinalStatus(message.result_int()) || !isAttributable
        || (message.need_eof() && m_request->request.method != "HEAD"
            && !m_settings.acceptsBodyUntilClose)) {
        fail(BackendErrorCode::Malformed);
        return;
    }
    if (!isForRequest()) {
        ++m_counters.mismatchedResponses;
        m_sawOtherResponse = true;
        // The response to a HEAD request is read without a body, which this one may have.
        const bool isEndKnown = message.keep_alive() && m_request->request.method != "HEAD";
        if (m_settings.waitsBehindOtherResponse && isEndKnown)
            read(); // the response to this request may follow
        else
            fail(BackendErrorCode::Mismatched);
        return;
    }
    learnIdleLimit();
    if (m_buffer.size() != 0)
        ++m_counters.unexpectedBytes;
    const bool isReusable = message.keep_alive() && m_buffer.size() == 0 && !m_sawOtherResponse
                            && !message.need_eof() && !m_sentRequests.isFull();
    Memory::Charge charge;
    if (m_settings.memory)
        charge = m_settings.memory->charge(Memory::Kind::Answer, m_parser->get().body().size());
    m_memory.shrink(0);
    finish(toHttpResponse(m_parser->release(), std::move(charge)), isReusable);
}

// A response to an earlier request may come late, where that of the next one is expected.
bool BackendConnection::isForRequest() const
{
    const auto &message = m_parser->get();
    const auto id = message.find(m_settings.requestIdHeader);
    return id == message.end() || id->value() == m_request->requestId;
}

void BackendConnection::learnIdleLimit()
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string keepAlive(m_parser->get()["Keep-Alive"]);
    const std::size_t start = keepAlive.find(Parameter);
    if (start == std::string::npos)
        return;
    const std::size_t digits = start + Parameter.size();
    const auto last = keepAlive.find_first_not_of("0123456789", digits);
    const auto seconds = parseNumber(std::string_view(keepAlive).substr(
        digits, last == std::string::npos ? std::string::npos : last - digits));
    if (!seconds || *seconds > MaxKeepAliveSeconds)
        return;
    const std::chrono::milliseconds limit = std::chrono::seconds(*seconds);
    m_maxIdle = std::min(m_settings.maxIdle, std::max(limit - IdleMargin, limit / 2));
}

void BackendConnection::fail(BackendErrorCode code)
{
    if (m_sawOtherResponse
        && (code == BackendErrorCode::TimedOut || code == BackendErrorCode::CutOff))
        code = BackendErrorCode::Mismatched;
    m_counters.cutOffResponses += code == BackendErrorCode::CutOff ? 1 : 0;
    m_counters.timeouts += code == BackendErrorCode::TimedOut ? 1 : 0;
    // A connection that was not written to holds no answer that could be taken for another one.
    const bool isReusable = m_isConnected && !m_isSent;
    finish(tl::unexpected(BackendError{code, m_isSent}), isReusable);
}

void BackendConnection::finish(BackendResult result, bool isReusable)
{
    const BackendRequest request = std::move(*m_request);
    m_request.reset();
    m_message.reset();
    m_parser.reset();
    m_memory.shrink(0);
    if (m_buffer.size() == 0 && m_settings.memory)
        m_buffer.shrink_to_fit();
    m_deadlines.cancel(m_limit);
    m_idleSince = std::chrono::steady_clock::now();
    if (!isReusable)
        abandon();
    m_done(shared_from_this(), request, std::move(result), isReusable);
}

void BackendConnection::cancel()
{
    if (m_request)
        fail(BackendErrorCode::Cancelled);
}

void BackendConnection::abandon()
{
    error_code ignored;
    if (m_request)
        m_deadlines.cancel(m_limit);
    m_request.reset();
    m_memory.shrink(0);
    m_socket.close(ignored);
    m_isConnected = false;
}

} // namespace Medlar::Http
