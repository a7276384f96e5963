#include "attempt.h"

namespace Medlar::Retry {

using Messages::Outcome;

namespace {

struct Transition
{
    AttemptState state;
    std::optional<Outcome> outcome;
};

constexpr Transition notRun(AttemptState state)
{
    return {state, Outcome::NotRun};
}

constexpr Transition unknown(AttemptState state)
{
    return {state, Outcome::Unknown};
}

std::optional<Transition> fromNotSent(AttemptEvent event)
{
    switch (event) {
    case AttemptEvent::SendStarted:
        return Transition{AttemptState::Sending, std::nullopt};
    case AttemptEvent::FirstByteSent:
        return Transition{AttemptState::FirstByteSent, std::nullopt};
    case AttemptEvent::SendFailedUnsent:
    case AttemptEvent::LinkLost:
        return notRun(AttemptState::LinkLost);
    case AttemptEvent::NotRunReported:
        return notRun(AttemptState::Rejected);
    case AttemptEvent::Cancelled:
        return notRun(AttemptState::Cancelled);
    case AttemptEvent::DeadlinePassed:
        return notRun(AttemptState::DeadlineExceeded);
    case AttemptEvent::ResponseComplete:
    case AttemptEvent::ResponseInvalid:
    case AttemptEvent::UnknownReported:
        // Belongs to another attempt; this one is known not to have been sent.
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<Transition> fromSent(AttemptState state, AttemptEvent event)
{
    switch (event) {
    case AttemptEvent::SendStarted:
        return std::nullopt;
    case AttemptEvent::FirstByteSent:
        if (state == AttemptState::FirstByteSent)
            return std::nullopt;
        return Transition{AttemptState::FirstByteSent, std::nullopt};
    case AttemptEvent::SendFailedUnsent:
        // Contradicts a first byte that was seen to leave; the cautious reading wins.
        return state == AttemptState::Sending ? notRun(AttemptState::LinkLost)
                                              : unknown(AttemptState::LinkLost);
    case AttemptEvent::ResponseComplete:
        return Transition{AttemptState::Answered, Outcome::Answered};
    case AttemptEvent::NotRunReported:
        return notRun(AttemptState::Rejected);
    case AttemptEvent::ResponseInvalid:
    case AttemptEvent::UnknownReported:
    case AttemptEvent::LinkLost:
        return unknown(AttemptState::LinkLost);
    case AttemptEvent::Cancelled:
        return unknown(AttemptState::Cancelled);
    case AttemptEvent::DeadlinePassed:
        return unknown(AttemptState::DeadlineExceeded);
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(AttemptState state)
{
    switch (state) {
    case AttemptState::NotSent:
        return "not-sent";
    case AttemptState::Sending:
        return "sending";
    case AttemptState::FirstByteSent:
        return "first-byte-sent";
    case AttemptState::Answered:
        return "answered";
    case AttemptState::Rejected:
        return "rejected";
    case AttemptState::LinkLost:
        return "link-lost";
    case AttemptState::Cancelled:
        return "cancelled";
    case AttemptState::DeadlineExceeded:
        return "deadline-exceeded";
    }
    return "unknown";
}

bool Attempt::handle(AttemptEvent event)
{
    std::optional<Transition> transition;
    if (m_state == AttemptState::NotSent)
        transition = fromNotSent(event);
    else if (!isFinal())
        transition = fromSent(m_state, event);
    if (!transition) {
        if (event == AttemptEvent::ResponseComplete)
            ++m_droppedResponses;
        return false;
    }
    m_state = transition->state;
    m_outcome = transition->outcome;
    return true;
}

bool Attempt::mayHaveRun() const
{
    return m_state != AttemptState::NotSent && m_outcome != Outcome::NotRun;
}

} // namespace Medlar::Retry
