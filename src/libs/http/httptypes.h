#pragma once

#include "base/sharedbytes.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Medlar::Http {

/*! In the order of the message; the same type as the headers of forwarded requests. */
using Headers = std::vector<std::pair<std::string, std::string>>;

/*! Tells whoever handles a request that its caller closed the connection. */
class CallerPresence
{
public:
    bool hasLeft() const { return m_hasLeft; }

    /*! Looks for a close that the connection has received but not read yet. Returns whether the
     * caller has left; the action of onLeft() has been called then. */
    bool checkLeft()
    {
        if (!m_hasLeft && m_probe)
            m_probe();
        return m_hasLeft;
    }
    /*! \a probe calls setLeft() if the caller has closed its connection. */
    void setProbe(std::function<void()> probe) { m_probe = std::move(probe); }

    /*! Calls \a action when the caller leaves, or at once when it has left. */
    void onLeft(std::function<void()> action)
    {
        m_action = std::move(action);
        if (m_hasLeft)
            notify();
    }

    /*! The request needs no notice any more, since it has its response. */
    void release() { m_action = nullptr; }

    void setLeft()
    {
        if (m_hasLeft)
            return;
        m_hasLeft = true;
        notify();
    }

private:
    void notify()
    {
        if (const auto action = std::exchange(m_action, nullptr))
            action();
    }

    std::function<void()> m_action;
    std::function<void()> m_probe;
    bool m_hasLeft = false;
};

struct HttpRequest
{
    std::string method;
    std::string target;
    Headers headers;
    Base::SharedBytes body;
    bool isFromLoopback = false;
    std::string host = {};         //!< value of the Host header, which is not among the headers
    Base::TimePoint received = {}; //!< when its first bytes were read
    std::shared_ptr<CallerPresence> caller = {}; //!< empty outside a connection of a caller
};

/*! Whether a response with \a status ends its request. RFC 9110 defines the statuses 100 to 599, of
 * which those below 200 precede the response; no caller can use any other. */
constexpr bool isFinalStatus(unsigned status)
{
    constexpr unsigned Lowest = 200;
    constexpr unsigned Highest = 599;
    return Lowest <= status && status <= Highest;
}

struct HttpResponse
{
    std::uint16_t status = 200;
    Headers headers;
    Base::SharedBytes body;
};

/*! Takes the response to one request. Callable from any thread; only the first call counts. */
using Reply = std::function<void(HttpResponse)>;

using RequestHandler = std::function<void(HttpRequest, Reply)>;

struct HttpError
{
    std::string detail;
};

} // namespace Medlar::Http
