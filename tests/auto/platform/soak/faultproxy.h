#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace Medlar::Platform::Soak {

/*! How a proxy treats what passes through it. */
enum class ProxyMode {
    Pass,
    Delay,  //!< bytes to the server arrive late
    Silent, //!< connections stay open, and nothing passes
    OneWay  //!< requests arrive, answers do not
};

/*! A TCP proxy on loopback that harms connections. Use it on the thread of the io_context. */
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &listen,
               const boost::asio::ip::tcp::endpoint &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /*! Holds for bytes that arrive from now on. What is silenced is lost. */
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
