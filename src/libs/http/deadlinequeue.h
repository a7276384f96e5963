#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Medlar::Http {

/*!
    Many deadlines on one timer. Setting a kernel timer for every request costs a system call; here
   the timer moves only when a deadline comes before all others. Use it on the thread of the
   io_context. Destruction cancels all actions.
*/
class DeadlineQueue
{
public:
    using Handle = std::pair<Base::TimePoint, std::uint64_t>;

    explicit DeadlineQueue(boost::asio::io_context &context);
    ~DeadlineQueue();
    DeadlineQueue(const DeadlineQueue &) = delete;
    DeadlineQueue &operator=(const DeadlineQueue &) = delete;

    /*! Calls \a action at \a time or soon after, unless cancelled. */
    Handle add(Base::TimePoint time, std::function<void()> action);
    /*! Does nothing when the action was called or cancelled before. */
    void cancel(const Handle &handle);

    std::size_t size() const;

private:
    struct State;
    std::shared_ptr<State> m_state; //!< outlives the queue while its timer's handler is pending
};

} // namespace Medlar::Http
