#pragma once

#include <boost/asio/execution_context.hpp>

#include <memory>
#include <vector>

namespace Medlar::Peer {

/*!
    Keeps the endpoints of closed PeerLinks until their io_context is destroyed. Handlers of
   websocketpp that are still queued hold plain pointers to the endpoint.
*/
class EndpointRetainer : public boost::asio::execution_context::service
{
public:
    using key_type = EndpointRetainer;
    static inline boost::asio::execution_context::id id;

    explicit EndpointRetainer(boost::asio::execution_context &context) : service(context) {}

    void retain(std::shared_ptr<void> endpoint) { m_endpoints.push_back(std::move(endpoint)); }

private:
    void shutdown() noexcept override { m_endpoints.clear(); }

    std::vector<std::shared_ptr<void>> m_endpoints;
};

} // namespace Medlar::Peer
