#include "backendclient.h"

#include "backendconnection.h"

#include <boost/asio/post.hpp>

#include <unordered_map>

namespace Medlar::Http {

namespace asio = boost::asio;

std::string_view toString(BackendErrorCode code)
{
    switch (code) {
    case BackendErrorCode::Refused:
        return "backend-refused";
    case BackendErrorCode::NoConnection:
        return "backend-connections-busy";
    case BackendErrorCode::NotPermitted:
        return "not-permitted";
    case BackendErrorCode::DeadlinePassed:
        return "deadline-passed";
    case BackendErrorCode::CutOff:
        return "backend-cut-off";
    case BackendErrorCode::TimedOut:
        return "backend-timed-out";
    case BackendErrorCode::Malformed:
        return "backend-malformed";
    case BackendErrorCode::NoMemory:
        return "backend-answer-no-memory";
    case BackendErrorCode::Mismatched:
        return "backend-mismatched";
    case BackendErrorCode::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

namespace {

using ConnectionPtr = std::shared_ptr<BackendConnection>;

/*! Held by the client and, weakly, by its connections. */
class Pool : public std::enable_shared_from_this<Pool>
{
public:
    Pool(asio::io_context &context, const BackendClientSettings &settings)
        : m_context(context), m_settings(settings), m_deadlines(context)
    {}

    BackendRequestId send(BackendRequest request);
    void cancel(BackendRequestId id);
    void closeAll();
    void closeIdle();

    std::size_t busy() const { return m_busy.size(); }
    std::size_t idle() const { return m_idle.size(); }
    const BackendCounters &counters() const { return m_counters; }

private:
    ConnectionPtr takeIdle(const BackendRequest &request);
    bool makeRoom();
    ConnectionPtr open();
    void onDone(const ConnectionPtr &connection, const BackendRequest &request,
                BackendResult result, bool isReusable);

    asio::io_context &m_context;
    BackendClientSettings m_settings;
    DeadlineQueue m_deadlines;
    BackendCounters m_counters;
    std::vector<ConnectionPtr> m_idle; //!< the last one was used last
    std::unordered_map<BackendRequestId, ConnectionPtr> m_busy;
    std::unordered_map<const BackendConnection *, BackendRequestId> m_requestOf;
    BackendRequestId m_lastId = 0;
};

// The last one was used last, so all before one that was idle for too long are so as well.
ConnectionPtr Pool::takeIdle(const BackendRequest &request)
{
    for (std::size_t i = m_idle.size(); i-- > 0 && m_idle[i]->idleTime() <= request.maxIdle;) {
        if (m_idle[i]->hasSent(request.requestId))
            continue;
        ConnectionPtr connection = std::move(m_idle[i]);
        m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (connection->isUsable())
            return connection;
        connection->abandon();
    }
    return nullptr;
}

/*! Returns whether another connection may be opened. Idle ones count as well, and the one that was
    idle for longest is closed for it. */
bool Pool::makeRoom()
{
    if (m_busy.size() >= m_settings.maxConnections)
        return false;
    if (m_busy.size() + m_idle.size() >= m_settings.maxConnections) {
        m_idle.front()->abandon();
        m_idle.erase(m_idle.begin());
    }
    return true;
}

ConnectionPtr Pool::open()
{
    return std::make_shared<BackendConnection>(
        m_context, m_settings, m_deadlines, m_counters,
        [weak = weak_from_this()](const ConnectionPtr &connection, const BackendRequest &request,
                                  BackendResult result, bool isReusable) {
            if (const auto pool = weak.lock())
                pool->onDone(connection, request, std::move(result), isReusable);
        });
}

BackendRequestId Pool::send(BackendRequest request)
{
    const BackendRequestId id = ++m_lastId;
    ConnectionPtr connection = takeIdle(request);
    if (!connection && makeRoom())
        connection = open();
    if (!connection) {
        asio::post(m_context, [done = std::move(request.done)] {
            done(tl::unexpected(BackendError{BackendErrorCode::NoConnection, false}));
        });
        return id;
    }
    m_busy.emplace(id, connection);
    m_requestOf.emplace(connection.get(), id);
    asio::post(m_context,
               [self = shared_from_this(), id, connection, request = std::move(request)]() mutable {
                   if (self->m_busy.count(id) != 0)
                       connection->start(std::move(request));
               });
    return id;
}

void Pool::onDone(const ConnectionPtr &connection, const BackendRequest &request,
                  BackendResult result, bool isReusable)
{
    const auto found = m_requestOf.find(connection.get());
    if (found == m_requestOf.end())
        return;
    m_busy.erase(found->second);
    m_requestOf.erase(found);
    if (isReusable)
        m_idle.push_back(connection);
    request.done(std::move(result));
}

void Pool::cancel(BackendRequestId id)
{
    const auto found = m_busy.find(id);
    if (found != m_busy.end())
        asio::post(m_context, [connection = found->second, id, self = shared_from_this()] {
            const auto busy = self->m_busy.find(id);
            if (busy != self->m_busy.end() && busy->second == connection)
                connection->cancel();
        });
}

void Pool::closeIdle()
{
    for (const ConnectionPtr &connection : m_idle)
        connection->abandon();
    m_idle.clear();
}

void Pool::closeAll()
{
    for (const auto &[id, connection] : m_busy)
        connection->abandon();
    m_busy.clear();
    m_requestOf.clear();
    closeIdle();
}

class PooledBackendClient : public BackendClient
{
public:
    PooledBackendClient(asio::io_context &context, const BackendClientSettings &settings)
        : m_pool(std::make_shared<Pool>(context, settings))
    {}
    ~PooledBackendClient() override { m_pool->closeAll(); }
    PooledBackendClient(const PooledBackendClient &) = delete;
    PooledBackendClient &operator=(const PooledBackendClient &) = delete;

    BackendRequestId send(BackendRequest request) override
    {
        return m_pool->send(std::move(request));
    }
    void cancel(BackendRequestId id) override { m_pool->cancel(id); }
    void closeIdle() override { m_pool->closeIdle(); }
    std::size_t busyConnections() const override { return m_pool->busy(); }
    std::size_t idleConnections() const override { return m_pool->idle(); }
    const BackendCounters &counters() const override { return m_pool->counters(); }

private:
    std::shared_ptr<Pool> m_pool;
};

} // namespace

std::unique_ptr<BackendClient> BackendClient::create(asio::io_context &context,
                                                     const BackendClientSettings &settings)
{
    return std::make_unique<PooledBackendClient>(context, settings);
}

} // namespace Medlar::Http
