#pragma once

// The only place that adapts websocketpp. Included by this library alone.

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <random>

namespace Medlar::Peer {

/*!
    websocketpp resolves even IP numbers in a thread of its own. The platform has no name
   resolution, so this transport connects to the number directly.
*/
template<typename Config>
class NumericAddressTransport : public websocketpp::transport::asio::endpoint<Config>
{
    using Base = websocketpp::transport::asio::endpoint<Config>;

public:
    using typename Base::transport_con_ptr;

protected:
    // The name is the one that websocketpp calls.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void async_connect(transport_con_ptr connection, const websocketpp::uri_ptr &uri,
                       const websocketpp::transport::connect_handler &done)
    {
        namespace asio = boost::asio;
        boost::system::error_code error;
        const auto address = asio::ip::make_address(uri->get_host(), error);
        if (error) {
            asio::post(this->get_io_service(), [done] {
                done(websocketpp::error::make_error_code(websocketpp::error::invalid_uri));
            });
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(this->get_io_service());
        timer->expires_after(std::chrono::milliseconds(Config::timeout_connect));
        timer->async_wait([connection](const boost::system::error_code &timerError) {
            boost::system::error_code ignored;
            if (!timerError)
                connection->get_raw_socket().close(ignored);
        });
        connection->get_raw_socket().async_connect(
            {address, uri->get_port()},
            [done, timer](const boost::system::error_code &connectError) {
                timer->cancel();
                done(connectError ? websocketpp::transport::error::make_error_code(
                         websocketpp::transport::error::pass_through)
                                  : std::error_code());
            });
    }
};

/*! Mask keys only guard intermediaries of web pages; peers are daemons, so any generator will do.
 */
class MaskKeySource
{
public:
    std::uint32_t operator()() { return static_cast<std::uint32_t>(m_random()); }

private:
    std::minstd_rand m_random;
};

// The names are those that websocketpp looks for.
// NOLINTBEGIN(readability-identifier-naming)
/*! One configuration for both roles, so that accepted and opened links have the same type. */
struct LinkConfig : public websocketpp::config::core
{
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = MaskKeySource;

    static constexpr bool enable_multithreading = false;
    static constexpr std::size_t connection_read_buffer_size = 65536;
    static constexpr bool drop_on_protocol_error = true;
    static constexpr std::size_t max_http_body_size = 4096;
    static constexpr long timeout_open_handshake = 2000;
    static constexpr long timeout_close_handshake = 500;

    struct transport_config : public websocketpp::config::core::transport_config
    {
        using concurrency_type = LinkConfig::concurrency_type;
        using elog_type = LinkConfig::elog_type;
        using alog_type = LinkConfig::alog_type;
        using request_type = websocketpp::config::core::request_type;
        using response_type = websocketpp::config::core::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static constexpr bool enable_multithreading = false;
        static constexpr long timeout_connect = 1000;
        static constexpr long timeout_socket_shutdown = 500;
    };
    using transport_type = NumericAddressTransport<transport_config>;
};
// NOLINTEND(readability-identifier-naming)

using LinkServer = websocketpp::server<LinkConfig>;
using LinkClient = websocketpp::client<LinkConfig>;
using Connection = websocketpp::connection<LinkConfig>;
using ConnectionPtr = Connection::ptr;

/*! Bytes of a frame with its WebSocket header. */
inline std::uint64_t frameBytes(std::size_t payload, bool isMasked)
{
    constexpr std::size_t ShortLength = 125;
    constexpr std::size_t MediumLength = 65535;
    const std::size_t length = payload <= ShortLength ? 0 : payload <= MediumLength ? 2 : 8;
    return payload + 2 + length + (isMasked ? 4 : 0);
}

} // namespace Medlar::Peer
