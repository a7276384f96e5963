#include "connectionpool.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace Medlar::Store {

namespace {

/*!
    A queued call with less time left is not sent: the server could not answer it in time, and after
   a time-out each such call would open a connection of its own to a server that is already slow.
*/
constexpr std::chrono::milliseconds MinimumAnswerTime{10};

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &context,
                               boost::asio::ip::tcp::endpoint endpoint, std::size_t maxConnections,
                               std::size_t maxQueuedCalls)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_maxConnections(maxConnections)
    , m_maxQueuedCalls(maxQueuedCalls)
{}

void ConnectionPool::submit(HttpCall call)
{
    if (!m_idle.empty()) {
        const auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        start(connection, std::move(call));
    } else if (m_connections.size() < m_maxConnections) {
        m_connections.push_back(std::make_shared<StoreConnection>(m_context, m_endpoint));
        start(m_connections.back(), std::move(call));
    } else if (m_queue.size() < m_maxQueuedCalls) {
        m_queue.push_back(std::move(call));
    } else {
        failLater(std::move(call), "queue of store calls is full");
    }
}

void ConnectionPool::start(const std::shared_ptr<StoreConnection> &connection, HttpCall call)
{
    auto handler = std::move(call.handler);
    call.handler
        = [pool = shared_from_this(), connection, handler = std::move(handler)](CallResult result) {
              if (pool->m_shutDown)
                  return;
              pool->onFinished(connection);
              handler(std::move(result));
          };
    connection->send(std::move(call));
}

void ConnectionPool::onFinished(const std::shared_ptr<StoreConnection> &connection)
{
    while (!m_queue.empty()) {
        HttpCall next = std::move(m_queue.front());
        m_queue.pop_front();
        if (next.deadline > std::chrono::steady_clock::now() + MinimumAnswerTime) {
            start(connection, std::move(next));
            return;
        }
        failLater(std::move(next), "timed out in the queue of store calls");
    }
    m_idle.push_back(connection);
}

void ConnectionPool::failLater(HttpCall call, const char *detail)
{
    boost::asio::post(
        m_context, [pool = shared_from_this(), handler = std::move(call.handler), detail] {
            if (!pool->m_shutDown)
                handler(tl::unexpected(CallFailure{CallFailureKind::NotSent, detail}));
        });
}

void ConnectionPool::shutDown()
{
    m_shutDown = true;
    m_queue.clear();
    m_idle.clear();
    for (const auto &connection : m_connections)
        connection->abandon();
    m_connections.clear();
}

} // namespace Medlar::Store
