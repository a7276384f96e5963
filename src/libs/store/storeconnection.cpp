#include "storeconnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace Medlar::Store {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

/*! Answers carry a few short headers only. */
constexpr std::uint32_t MaxHeaderBytes = 16384;
// Bound of the unparsed bytes. The limits of the parser do not cover the size lines, extensions and
// trailers of chunks.
constexpr std::size_t MaxBufferedBytes = MaxHeaderBytes + std::size_t(64) * 1024;

CallFailureKind kindOf(Beast::error_code error)
{
    if (error == Beast::error::timeout)
        return CallFailureKind::TimedOut;
    if (error == Http::error::body_limit || error == Http::error::header_limit
        || error == Http::error::buffer_overflow)
        return CallFailureKind::Oversized;
    if (error == Http::error::end_of_stream || error == Http::error::partial_message)
        return CallFailureKind::Closed;
    static const auto &httpCategory = Http::make_error_code(Http::error::end_of_stream).category();
    return error.category() == httpCategory ? CallFailureKind::Malformed : CallFailureKind::Closed;
}

// A connection may fall silent for good without a reset. A watch would notice that only at the end
// of its long wait, so the kernel probes idle connections.
void enableLivenessProbes(int socket)
{
    constexpr int On = 1;
    constexpr int IdleSeconds = 1;
    constexpr int IntervalSeconds = 1;
    constexpr int Probes = 2;
    constexpr unsigned UnacknowledgedMs = 2000;
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds, sizeof(IdleSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &IntervalSeconds, sizeof(IntervalSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedMs,
                 sizeof(UnacknowledgedMs));
}

} // namespace

StoreConnection::StoreConnection(boost::asio::io_context &context,
                                 boost::asio::ip::tcp::endpoint endpoint)
    : m_endpoint(std::move(endpoint)), m_stream(context)
{}

void StoreConnection::send(HttpCall call)
{
    m_call = std::move(call);
    m_call.request.prepare_payload();
    m_stream.expires_at(m_call.deadline);
    m_reused = m_connected;
    if (m_connected)
        write();
    else
        connect();
}

void StoreConnection::connect()
{
    m_stream.async_connect(m_endpoint, [self = shared_from_this()](Beast::error_code error) {
        if (error) {
            self->fail(error, false);
            return;
        }
        self->m_connected = true;
        Beast::error_code ignored;
        self->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        enableLivenessProbes(self->m_stream.socket().native_handle());
        self->write();
    });
}

void StoreConnection::write()
{
    Http::async_write(m_stream, m_call.request,
                      [self = shared_from_this()](Beast::error_code error, std::size_t) {
                          if (error)
                              self->fail(error, true);
                          else
                              self->read();
                      });
}

void StoreConnection::read()
{
    m_parser.emplace();
    m_parser->header_limit(MaxHeaderBytes);
    m_parser->body_limit(m_call.maxAnswerBytes);
    m_buffer.max_size(MaxBufferedBytes);
    Http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](Beast::error_code error, std::size_t) {
                         if (error) {
                             self->fail(error, true);
                             return;
                         }
                         if (!self->m_parser->keep_alive())
                             self->close();
                         self->finish(self->m_parser->release());
                     });
}

void StoreConnection::fail(Beast::error_code error, bool sent)
{
    if (!m_call.handler) // abandoned
        return;
    const CallFailureKind kind = sent ? kindOf(error) : CallFailureKind::NotSent;
    const bool answerBegun = m_parser && m_parser->got_some();
    close();
    if (m_reused && kind == CallFailureKind::Closed && !answerBegun && m_call.resendIfClosed
        && m_call.request.method() == Http::verb::get) {
        m_reused = false;
        m_stream.expires_at(m_call.deadline);
        connect();
        return;
    }
    finish(tl::unexpected(CallFailure{kind, error.message()}));
}

void StoreConnection::finish(CallResult result)
{
    if (!m_call.handler) // abandoned
        return;
    m_stream.expires_never();
    // The handler may start the next call on this connection.
    const auto handler = std::exchange(m_call.handler, nullptr);
    m_parser.reset();
    handler(std::move(result));
}

void StoreConnection::abandon()
{
    m_call.handler = nullptr;
    close();
}

void StoreConnection::close()
{
    m_connected = false;
    m_buffer.clear();
    m_stream.close();
}

} // namespace Medlar::Store
