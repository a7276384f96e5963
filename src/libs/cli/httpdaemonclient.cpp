#include "httpdaemonclient.h"

#include "store/httpobjectstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace Medlar::Cli {

namespace Beast = boost::beast;
namespace Asio = boost::asio;

namespace {

// One exchange; each step starts the next one, and the first error ends it.
class Exchange
{
public:
    Exchange(Asio::io_context &context, Beast::http::request<Beast::http::empty_body> request)
        : m_stream(context), m_request(std::move(request))
    {
        m_parser.body_limit(HttpDaemonClient::MaxAnswerBytes);
    }

    void start(const Asio::ip::tcp::endpoint &endpoint)
    {
        m_stream.expires_after(HttpDaemonClient::Timeout);
        m_stream.async_connect(endpoint, [this](const auto &error) {
            if (!failed(error))
                send();
        });
    }

    tl::expected<DaemonAnswer, std::string> answer() const
    {
        if (m_error)
            return tl::unexpected(m_error.message());
        return DaemonAnswer{m_parser.get().result_int(), m_parser.get().body()};
    }

private:
    void send()
    {
        Beast::http::async_write(m_stream, m_request, [this](const auto &error, std::size_t) {
            if (!failed(error))
                receive();
        });
    }

    void receive()
    {
        Beast::http::async_read(m_stream, m_buffer, m_parser,
                                [this](const auto &error, std::size_t) { failed(error); });
    }

    bool failed(const boost::system::error_code &error)
    {
        m_error = error;
        return bool(error);
    }

    Beast::tcp_stream m_stream;
    Beast::http::request<Beast::http::empty_body> m_request;
    Beast::flat_buffer m_buffer;
    Beast::http::response_parser<Beast::http::string_body> m_parser;
    boost::system::error_code m_error;
};

} // namespace

tl::expected<std::unique_ptr<DaemonClient>, std::string>
HttpDaemonClient::create(const std::string &hostAndPort, const std::string &credential)
{
    const auto endpoint = Store::HttpObjectStoreSettings::fromHostAndPort(hostAndPort);
    boost::system::error_code error;
    if (endpoint)
        Asio::ip::make_address(endpoint->address, error);
    if (!endpoint || error)
        return tl::unexpected("\"" + hostAndPort + "\" is not accepted; accepted: IP:PORT");
    if (!std::all_of(credential.begin(), credential.end(),
                     [](char c) { return c > ' ' && c <= '~'; }))
        return tl::unexpected(std::string("the credential has characters that are not accepted"));
    return std::unique_ptr<DaemonClient>(
        new HttpDaemonClient(endpoint->address, endpoint->port, credential));
}

HttpDaemonClient::HttpDaemonClient(std::string address, std::uint16_t port, std::string credential)
    : m_address(std::move(address)), m_port(port), m_credential(std::move(credential))
{}

tl::expected<DaemonAnswer, std::string> HttpDaemonClient::get(const std::string &target)
{
    Beast::http::request<Beast::http::empty_body> request(Beast::http::verb::get, target, 11);
    request.set(Beast::http::field::host, m_address + ":" + std::to_string(m_port));
    request.set(Beast::http::field::connection, "close");
    if (!m_credential.empty())
        request.set(Beast::http::field::authorization, "Bearer " + m_credential);

    Asio::io_context context;
    Exchange exchange(context, std::move(request));
    exchange.start({Asio::ip::make_address(m_address), m_port});
    context.run();
    return exchange.answer();
}

} // namespace Medlar::Cli
