#pragma once

#include "storeconnection.h"

#include <deque>
#include <memory>
#include <vector>

namespace Medlar::Store {

/*!
    Connections to one server. Calls beyond the number of connections wait in a bounded queue. Calls
   and handlers run on the thread of the context.
*/
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    ConnectionPool(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint,
                   std::size_t maxConnections, std::size_t maxQueuedCalls);

    /*!
        A call that finds the queue full, or leaves it with too little time for an answer, fails
       with NotSent.
    */
    void submit(HttpCall call);

    /*! Closes all connections and drops all calls without calling their handlers. */
    void shutDown();

    std::size_t queuedCalls() const { return m_queue.size(); }

private:
    void start(const std::shared_ptr<StoreConnection> &connection, HttpCall call);
    void onFinished(const std::shared_ptr<StoreConnection> &connection);
    void failLater(HttpCall call, const char *detail);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::size_t m_maxConnections;
    std::size_t m_maxQueuedCalls;
    std::vector<std::shared_ptr<StoreConnection>> m_connections;
    std::vector<std::shared_ptr<StoreConnection>> m_idle;
    std::deque<HttpCall> m_queue;
    bool m_shutDown = false;
};

} // namespace Medlar::Store
