#include "faultproxy.h"

#include <boost/asio/read.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace Medlar::Platform::Soak {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds RepeatDelay{12};
constexpr unsigned DataPerRepeat = 3;

} // namespace

struct FaultProxy::State
{
    ProxyMode mode = ProxyMode::Pass;
    std::chrono::milliseconds delay{0};
};

/*! A client connection and the connection to the server that it is forwarded to. */
class FaultProxy::Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(tcp::socket client, std::shared_ptr<State> state)
        : m_client(std::move(client))
        , m_server(m_client.get_executor())
        , m_timer(m_client.get_executor())
        , m_state(std::move(state))
    {}

    void start(const tcp::endpoint &target)
    {
        m_server.async_connect(target, [self = shared_from_this()](const ErrorCode &error) {
            if (error) {
                self->reset();
                return;
            }
            self->forward(self->m_client, self->m_server, self->m_toServer, true);
            self->forward(self->m_server, self->m_client, self->m_toClient, false);
        });
    }

    void reset()
    {
        for (tcp::socket *socket : {&m_client, &m_server}) {
            ErrorCode ignored;
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

private:
    using Buffer = std::array<char, 16384>;

    bool isSilent(bool isToServer) const
    {
        return m_state->mode == ProxyMode::Silent
               || (m_state->mode == ProxyMode::OneWay && !isToServer);
    }

    void forward(tcp::socket &from, tcp::socket &to, Buffer &buffer, bool isToServer)
    {
        from.async_read_some(boost::asio::buffer(buffer),
                             [this, self = shared_from_this(), &from, &to, &buffer,
                              isToServer](const ErrorCode &error, std::size_t size) {
                                 if (error) {
                                     close();
                                 } else if (isSilent(isToServer)) {
                                     // A stream with discarded bytes must not forward any later
                                     // bytes.
                                     m_hasLostBytes = true;
                                     forward(from, to, buffer, isToServer);
                                 } else if (m_hasLostBytes) {
                                     forward(from, to, buffer, isToServer);
                                 } else if (isToServer && m_state->mode == ProxyMode::Delay) {
                                     m_timer.expires_after(m_state->delay);
                                     m_timer.async_wait([this, self, &from, &to, &buffer,
                                                         isToServer, size](const ErrorCode &) {
                                         write(from, to, buffer, isToServer, size);
                                     });
                                 } else {
                                     write(from, to, buffer, isToServer, size);
                                 }
                             });
    }

    void write(tcp::socket &from, tcp::socket &to, Buffer &buffer, bool isToServer,
               std::size_t size)
    {
        boost::asio::async_write(to, boost::asio::buffer(buffer.data(), size),
                                 [this, self = shared_from_this(), &from, &to, &buffer, isToServer,
                                  size](const ErrorCode &error, std::size_t) {
                                     if (error) {
                                         close();
                                         return;
                                     }
                                     const bool isRepeated = !isToServer
                                                             && m_state->mode == ProxyMode::Repeat
                                                             && ++m_dataCount % DataPerRepeat == 0;
                                     if (isRepeated)
                                         repeat(std::string(buffer.data(), size));
                                     forward(from, to, buffer, isToServer);
                                 });
    }

    void repeat(std::string data)
    {
        auto timer
            = std::make_shared<boost::asio::steady_timer>(m_client.get_executor(), RepeatDelay);
        timer->async_wait(
            [self = shared_from_this(), timer, data = std::move(data)](const ErrorCode &) {
                ErrorCode ignored;
                boost::asio::write(self->m_client, boost::asio::buffer(data), ignored);
            });
    }

    void close()
    {
        ErrorCode ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    tcp::socket m_client;
    tcp::socket m_server;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<State> m_state;
    Buffer m_toServer{};
    Buffer m_toClient{};
    unsigned m_dataCount = 0;
    bool m_hasLostBytes = false;
};

FaultProxy::FaultProxy(boost::asio::io_context &context, const tcp::endpoint &listen,
                       const tcp::endpoint &target)
    : m_state(std::make_shared<State>()), m_acceptor(context, listen), m_target(target)
{
    accept();
}

FaultProxy::~FaultProxy()
{
    resetAll();
}

void FaultProxy::setMode(ProxyMode mode, std::chrono::milliseconds delay)
{
    m_state->mode = mode;
    m_state->delay = delay;
}

void FaultProxy::resetAll()
{
    for (const auto &weak : m_relays) {
        if (const auto relay = weak.lock())
            relay->reset();
    }
    m_relays.clear();
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &error, tcp::socket socket) {
        if (error)
            return;
        const auto relay = std::make_shared<Relay>(std::move(socket), m_state);
        m_relays.erase(std::remove_if(m_relays.begin(), m_relays.end(),
                                      [](const auto &weak) { return weak.expired(); }),
                       m_relays.end());
        m_relays.push_back(relay);
        relay->start(m_target);
        accept();
    });
}

} // namespace Medlar::Platform::Soak
