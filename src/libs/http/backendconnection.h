#pragma once

#include "backendclient.h"
#include "beastconversion.h"
#include "deadlinequeue.h"
#include "sentrequests.h"

#include <memory>
#include <optional>

namespace Medlar::Http {

/*! One connection to the BackendServer with at most one request in progress. */
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
    /*! Takes the result; \a isReusable is false when the connection has been closed. */
    using Done = std::function<void(const std::shared_ptr<BackendConnection> &,
                                    const BackendRequest &, BackendResult, bool isReusable)>;

    /*! \a deadlines and \a counters must outlive the last request, not the connection. */
    BackendConnection(boost::asio::io_context &context, const BackendClientSettings &settings,
                      DeadlineQueue &deadlines, BackendCounters &counters, Done done);

    /*! Starts a request; the connection must be idle. */
    void start(BackendRequest request);
    void cancel();
    /*! Closes the connection without reporting a result. */
    void abandon();
    /*! Whether an idle connection can take a request: still open, and without unread bytes. */
    bool isUsable();
    /*! Whether the request was sent on this connection before; it needs another one then. */
    bool hasSent(const std::string &requestId) const { return m_sentRequests.contains(requestId); }
    std::chrono::milliseconds idleTime() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    bool isForRequest() const;
    void learnIdleLimit();
    void connect();
    void write();
    void read();
    void readSome();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    void onResponse();
    void fail(BackendErrorCode code);
    void finish(BackendResult result, bool isReusable);
    void waitUntil(Base::TimePoint limit, BackendErrorCode code);

    BackendClientSettings m_settings;
    DeadlineQueue &m_deadlines;
    BackendCounters &m_counters;
    Done m_done;
    Socket m_socket;
    DeadlineQueue::Handle m_limit;
    boost::beast::flat_buffer m_buffer;
    std::optional<BackendRequest> m_request;
    /*! Shared with the pending operation, which may still use them after a timeout gave it up: its
     * completion can be queued already when the socket is closed. */
    std::shared_ptr<BeastRequest> m_message;
    std::shared_ptr<Parser> m_parser;
    std::uint64_t m_turn = 0; //!< counts requests; handlers of earlier ones do nothing
    Memory::Holder m_memory;
    Base::TimePoint m_idleSince;
    std::chrono::milliseconds m_maxIdle;
    SentRequests m_sentRequests;
    bool m_isConnected = false;
    bool m_sawOtherResponse = false; //!< its bytes may not have been the last
    bool m_isSent = false;
};

} // namespace Medlar::Http
