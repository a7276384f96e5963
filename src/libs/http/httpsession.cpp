#include "httpsession.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

namespace Medlar::Http {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// For the caller to read its last response and close.
constexpr std::chrono::milliseconds EndTimeout{1000};
// Memory of a session without its buffers, with those of its socket objects and the allocator.
constexpr std::uint64_t SessionBytes = std::uint64_t(6) * 1024;
constexpr char MemoryRetryAfter[] = "1";

std::uint64_t callerOf(const Socket &socket)
{
    error_code ignored;
    return std::hash<std::string>()(socket.remote_endpoint(ignored).address().to_string());
}

} // namespace

HttpSession::HttpSession(Socket socket, std::shared_ptr<SessionGroup> group)
    : m_socket(std::move(socket))
    , m_group(std::move(group))
    , m_inputMemory(m_group->settings.memory, Memory::Kind::Connection, callerOf(m_socket),
                    [this] { giveUpInput(); })
    , m_outputMemory(m_group->settings.memory, Memory::Kind::OutputWaiting, callerOf(m_socket),
                     [this] { giveUpOutput(); })
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_isFromLoopback = m_socket.remote_endpoint(ignored).address().is_loopback();
    m_group->sessions.insert(this);
}

HttpSession::~HttpSession()
{
    m_group->sessions.erase(this);
}

void HttpSession::start()
{
    m_inputMemory.begin(Clock::now());
    if (m_inputMemory.tryResize(Clock::now(), SessionBytes))
        readRequest();
    else
        close();
}

void HttpSession::checkTime(Clock::time_point now)
{
    // close() may release the handlers' references, which are the last ones if nothing is pending.
    const auto self = shared_from_this();
    if (!m_socket.is_open())
        return;
    if (m_input == Input::Watched && m_hasUnreadInput && !m_exchanges.empty()) {
        closeIfCallerLeft();
        if (!m_socket.is_open())
            return;
    }
    chargeUnreadBytes(now);
    if (!m_socket.is_open())
        return;
    const bool isInputLate = m_input == Input::Idle ? m_exchanges.empty() && now >= m_inputLimit
                             : m_input == Input::Watched ? false
                                                         : now >= m_inputLimit;
    const bool isOutputLate = m_isWriting && now >= m_writeLimit;
    const bool isHandlerLate = !m_exchanges.empty() && now >= m_exchanges.front().limit;
    if (!isInputLate && !isOutputLate && !isHandlerLate)
        return;
    if (m_input != Input::Ending)
        ++m_group->counters.timeouts;
    if (isInputLate && m_input == Input::Reading && m_group->settings.answersRequestTimeout
        && !m_isWriting) {
        error_code ignored;
        m_socket.cancel(ignored);
        refuse(http::status::request_timeout);
        return;
    }
    close();
}

void HttpSession::closeIfIdle()
{
    if (m_exchanges.empty() && (m_input == Input::Idle || m_input == Input::Ending))
        close();
}

std::optional<HttpSession::Clock::time_point> HttpSession::idleSince() const
{
    if (m_input != Input::Idle || !m_exchanges.empty())
        return std::nullopt;
    return m_inputLimit;
}

// On a busy VM, the close waits in the socket for as long as the request did.
void HttpSession::closeIfCallerLeft()
{
    pollfd state{m_socket.native_handle(), POLLRDHUP, 0};
    if (m_socket.is_open() && ::poll(&state, 1, 0) > 0)
        close();
}

void HttpSession::close()
{
    error_code ignored;
    m_socket.shutdown(Socket::shutdown_both, ignored);
    m_socket.close(ignored);
    releaseInput();
    m_outputBytes = 0;
    m_outputMemory.list(0);
    const auto self = weak_from_this().lock(); // the last reference may be held by a handler
    for (Exchange &exchange : std::exchange(m_exchanges, {}))
        exchange.caller->setLeft();
}

void HttpSession::readRequest()
{
    m_request.begin(m_group->settings);
    if (m_request.hasUnparsedBytes()) {
        readBody();
        return;
    }
    m_input = Input::Idle;
    m_inputLimit = Clock::now() + m_group->settings.idleTimeout;
    // The first byte is awaited without the parser, so that idle connections have a limit of their
    // own.
    m_socket.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code &error) {
        if (error || self->m_input != Input::Idle)
            return;
        // A server that closes reads nothing behind the requests that it still answers.
        if (self->m_group->isClosing && !self->m_exchanges.empty()) {
            self->m_input = Input::Watched;
            self->m_hasUnreadInput = true;
        } else {
            self->readBody();
        }
    });
}

void HttpSession::readBody()
{
    m_input = Input::Reading;
    m_requestBegan = Clock::now();
    m_inputLimit = m_requestBegan + m_group->settings.requestTimeout;
    m_inputMemory.begin(m_requestBegan);
    if (!m_request.hasUnparsedBytes()) {
        readSome();
        return;
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->isReading())
            self->onRead({}, 0);
    });
}

bool HttpSession::isReading() const
{
    return m_input == Input::Reading && m_socket.is_open() && m_request.isReading();
}

void HttpSession::readSome()
{
    m_socket.async_read_some(m_request.prepare(), [self = shared_from_this()](
                                                      const error_code &error, std::size_t bytes) {
        if (!self->isReading())
            return;
        self->m_request.commit(bytes);
        self->onRead(error, bytes);
    });
}

void HttpSession::onRead(error_code failure, std::size_t bytes)
{
    const bool isComplete = m_request.parse(failure);
    if (failure) {
        refuse(failure);
        return;
    }
    const Clock::time_point now = Clock::now();
    m_inputMemory.onProgress(now, bytes);
    if (!m_inputMemory.tryResize(now, SessionBytes + m_request.heldBytes())) {
        giveUpInput();
        return;
    }
    if (isComplete)
        handle();
    else
        readSome();
}

void HttpSession::releaseInput()
{
    m_request.reset();
    m_inputMemory.shrink(m_socket.is_open() ? SessionBytes + m_request.heldBytes() : 0);
}

// What the kernel has received counts toward the memory of the VM as well.
void HttpSession::chargeUnreadBytes(Clock::time_point now)
{
    const bool mayHoldBytes
        = m_input == Input::Reading || (m_input == Input::Watched && m_hasUnreadInput);
    if (!m_group->settings.memory || !mayHoldBytes)
        return;
    error_code ignored;
    const std::uint64_t unread = m_socket.available(ignored);
    if (!m_inputMemory.tryResize(now, SessionBytes + m_request.heldBytes() + unread))
        giveUpInput();
}

// The caller is told that the request was not executed, behind the responses to earlier requests.
void HttpSession::giveUpInput()
{
    const auto self = shared_from_this();
    if (m_input == Input::Idle)
        closeIfIdle();
    else if (m_input == Input::Watched && m_hasUnreadInput)
        close(); // only the kernel holds bytes of the next request
    if (!m_socket.is_open() || m_input != Input::Reading)
        return;
    ++m_group->counters.memoryRefusals;
    error_code ignored;
    if (!m_isWriting)
        m_socket.cancel(ignored);
    releaseInput();
    HttpResponse response;
    response.status = static_cast<std::uint16_t>(http::status::service_unavailable);
    response.headers = {{"Content-Type", "application/json"},
                        {"Medlar-Outcome", "not-run"},
                        {"Retry-After", MemoryRetryAfter}};
    response.body = R"({"error":"memory","outcome":"not-run"})";
    pushRefusal(std::move(response));
}

// A response that was cut off is not complete for its caller, since its length or its end is
// missing.
void HttpSession::giveUpOutput()
{
    const auto self = shared_from_this();
    if (m_isWriting)
        close();
}

void HttpSession::refuse(const error_code &error)
{
    http::status status = http::status::bad_request;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        status = http::status::request_header_fields_too_large;
    else if (error == http::error::body_limit)
        status = http::status::payload_too_large;
    else if (error.category() != make_error_code(http::error::bad_method).category()
             || error == http::error::end_of_stream || error == http::error::partial_message) {
        close();
        return;
    }
    refuse(status);
}

void HttpSession::refuse(http::status status)
{
    ++m_group->counters.malformedRequests;
    HttpResponse response;
    response.status = static_cast<std::uint16_t>(status);
    response.headers = {{"Content-Type", "application/json"}, {"Medlar-Outcome", "not-run"}};
    response.body = R"({"error":"bad-request","outcome":"not-run"})";
    releaseInput();
    pushRefusal(std::move(response));
}

void HttpSession::pushRefusal(HttpResponse response)
{
    m_input = Input::Watched;
    m_exchanges.push_back({++m_sequence, false, Clock::now() + m_group->settings.handlerTimeout,
                           std::make_shared<CallerPresence>(),
                           std::make_shared<BeastResponse>(toBeast(std::move(response), false))});
    writeNext();
}

// Two headers of these kinds, or an unknown coding, could make two readers see different requests.
bool HttpSession::isProper() const
{
    const auto &message = m_request.message();
    const auto coding = message.find(http::field::transfer_encoding);
    return message.count(http::field::host) <= 1 && message.count(http::field::content_length) <= 1
           && (coding == message.end()
               || (message.chunked() && message.count(http::field::content_length) == 0));
}

void HttpSession::handle()
{
    if (!isProper()) {
        refuse(http::status::bad_request);
        return;
    }
    const std::uint64_t sequence = ++m_sequence;
    const bool keepAlive = m_request.message().keep_alive();
    m_exchanges.push_back({sequence, keepAlive, Clock::now() + m_group->settings.handlerTimeout,
                           std::make_shared<CallerPresence>(), nullptr});
    m_exchanges.back().caller->setProbe([weak = weak_from_this()] {
        if (const auto session = weak.lock())
            session->closeIfCallerLeft();
    });
    Memory::Charge charge;
    if (m_group->settings.memory)
        charge = m_group->settings.memory->charge(Memory::Kind::Request,
                                                  m_request.message().body().size());
    HttpRequest request = toHttpRequest(m_request.take(), m_isFromLoopback, std::move(charge));
    releaseInput();
    request.received = m_requestBegan;
    request.caller = m_exchanges.back().caller;
    Reply reply = [self = shared_from_this(), sequence](HttpResponse response) {
        asio::dispatch(self->m_socket.get_executor(),
                       [self, sequence, response = std::move(response)]() mutable {
                           self->reply(sequence, std::move(response));
                       });
    };
    m_input = Input::Watched;
    m_hasUnreadInput = false;
    m_group->handler(std::move(request), std::move(reply));
    continueReading();
}

void HttpSession::continueReading()
{
    if (!m_socket.is_open() || m_input != Input::Watched)
        return;
    const bool isLast = !m_exchanges.empty() && !m_exchanges.back().keepAlive;
    if (!m_group->isClosing && !isLast && m_exchanges.size() < m_group->settings.maxPipelined)
        readRequest();
    else if (m_group->settings.maxPipelined > 1)
        watchForLeaving();
}

void HttpSession::watchForLeaving()
{
    m_socket.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code &error) {
        if (error || self->m_input != Input::Watched || self->m_exchanges.empty())
            return;
        // The socket stays readable while there is unread input; checkTime() looks on.
        self->m_hasUnreadInput = true;
        self->closeIfCallerLeft();
    });
}

void HttpSession::reply(std::uint64_t sequence, HttpResponse response)
{
    const auto found = std::find_if(m_exchanges.begin(), m_exchanges.end(),
                                    [sequence](const Exchange &exchange) {
                                        return exchange.sequence == sequence && !exchange.response;
                                    });
    if (found == m_exchanges.end() || !m_socket.is_open())
        return;
    found->caller->release();
    found->responseBytes = response.body.size();
    m_outputBytes += found->responseBytes;
    if (m_isWriting)
        m_outputMemory.list(m_outputBytes);
    found->response
        = std::make_shared<BeastResponse>(toBeast(std::move(response), found->keepAlive));
    writeNext();
}

void HttpSession::writeNext()
{
    if (m_isWriting || m_exchanges.empty() || !m_exchanges.front().response)
        return;
    Exchange &front = m_exchanges.front();
    // Requests that were read behind this one still get their responses.
    if (m_group->isClosing && m_exchanges.size() == 1)
        front.keepAlive = false;
    front.response->keep_alive(front.keepAlive);
    m_isWriting = true;
    m_writeLimit = Clock::now() + m_group->settings.writeTimeout;
    front.limit = Clock::time_point::max();
    m_outputMemory.begin(Clock::now());
    m_outputMemory.list(m_outputBytes);
    writeSome(std::make_shared<Output>(front.response));
}

void HttpSession::writeSome(const std::shared_ptr<Output> &output)
{
    http::async_write_some(
        m_socket, output->serializer,
        [self = shared_from_this(), output](const error_code &error, std::size_t bytes) {
            self->m_outputMemory.onProgress(Clock::now(), bytes);
            if (error || output->serializer.is_done())
                self->onWritten(error);
            else if (self->m_socket.is_open())
                self->writeSome(output);
            else
                self->onWritten(asio::error::operation_aborted);
        });
}

void HttpSession::onWritten(const error_code &error)
{
    m_isWriting = false;
    if (error || m_exchanges.empty()) {
        close();
        return;
    }
    const bool keepAlive = m_exchanges.front().keepAlive;
    m_outputBytes -= m_exchanges.front().responseBytes;
    m_outputMemory.list(0);
    m_exchanges.pop_front();
    if (!keepAlive) {
        end();
        return;
    }
    if (m_exchanges.empty() && m_input == Input::Idle)
        m_inputLimit = Clock::now() + m_group->settings.idleTimeout;
    if (m_group->isClosing && m_exchanges.empty() && m_input == Input::Idle) {
        close();
        return;
    }
    continueReading();
    writeNext();
}

// Closing a socket with unread input resets the connection, and the caller could lose the response.
void HttpSession::end()
{
    error_code ignored;
    m_socket.shutdown(Socket::shutdown_send, ignored);
    if (m_input == Input::Idle || m_input == Input::Reading)
        m_socket.cancel(ignored);
    releaseInput();
    m_outputBytes = 0;
    m_outputMemory.list(0);
    m_input = Input::Ending;
    m_inputLimit = Clock::now() + EndTimeout;
    for (Exchange &exchange : std::exchange(m_exchanges, {}))
        exchange.caller->setLeft();
    discardInput();
}

void HttpSession::discardInput()
{
    m_socket.async_read_some(asio::buffer(m_discarded),
                             [self = shared_from_this()](const error_code &error, std::size_t) {
                                 if (error)
                                     self->close();
                                 else
                                     self->discardInput();
                             });
}

} // namespace Medlar::Http
