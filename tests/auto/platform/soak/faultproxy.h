#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace Medlar::Platform::Soak {

/*! How the proxy handles data that it forwards. */
enum class ProxyMode {
    Pass,
    Delay,  //!< data to the server is delayed
    Silent, //!< connections stay open, all data is discarded
    OneWay, //!< data to the server is forwarded, data to the client is discarded
    Repeat  //!< a part of the data to the client is sent a second time, late
};

/*! TCP proxy that injects connection faults. Use it only on the thread of the io_context. */
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &listen,
               const boost::asio::ip::tcp::endpoint &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /*! Applies to data received from now on. Discarded data is not sent later. */
    void setMode(ProxyMode mode, std::chrono::milliseconds delay = {});
    void resetAll();

private:
    class Relay;
    struct State;

    void accept();

    std::shared_ptr<State> m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::vector<std::weak_ptr<Relay>> m_relays;
};

} // namespace Medlar::Platform::Soak
