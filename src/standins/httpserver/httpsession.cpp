#include "httpsession.h"

#include <utility>

namespace Medlar::Standins {

namespace {

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket,
                         std::shared_ptr<HttpServerState> state)
    : m_stream(std::move(socket)), m_state(std::move(state))
{
    boost::beast::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_state->sessions.insert(this);
}

HttpSession::~HttpSession()
{
    m_state->sessions.erase(this);
}

void HttpSession::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_state->maxBodyBytes);
    Http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](boost::beast::error_code error, std::size_t) {
                         self->onRead(error);
                     });
}

void HttpSession::onRead(boost::beast::error_code error)
{
    if (error == Http::error::body_limit) {
        respond(Http::status::payload_too_large, R"({"error":"too large"})");
        return;
    }
    if (error || !m_state->handler) {
        drop();
        return;
    }
    m_state->handler(shared_from_this());
}

void HttpSession::respond(HttpResponse response)
{
    m_response = std::move(response);
    // The rest of an oversized body is unread, so the connection cannot be used again.
    m_response.keep_alive(m_parser->is_done() && request().keep_alive());
    m_response.prepare_payload();
    Http::async_write(m_stream, m_response,
                      [self = shared_from_this()](boost::beast::error_code error, std::size_t) {
                          if (error || !self->m_response.keep_alive())
                              self->drop();
                          else
                              self->read();
                      });
}

void HttpSession::respond(Http::status status, std::string body, std::string_view contentType)
{
    HttpResponse response(status, 11);
    if (!body.empty())
        response.set(Http::field::content_type,
                     boost::beast::string_view(contentType.data(), contentType.size()));
    response.body() = std::move(body);
    respond(std::move(response));
}

void HttpSession::drop()
{
    boost::beast::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

std::string_view HttpSession::path() const
{
    const std::string_view target = toStringView(request().target());
    return target.substr(0, target.find('?'));
}

std::optional<std::string_view> HttpSession::queryValue(std::string_view name) const
{
    std::string_view rest = toStringView(request().target());
    rest.remove_prefix(std::min(rest.size(), path().size() + 1));
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    return std::nullopt;
}

} // namespace Medlar::Standins
