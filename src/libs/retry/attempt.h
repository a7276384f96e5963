#pragma once

#include "messages/peermessages.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Medlar::Retry {

/*! Progress of one attempt at a request. All states after FirstByteSent are final. */
enum class AttemptState {
    NotSent,       //!< nothing was handed to the connection
    Sending,       //!< handed to the connection; bytes may or may not have left
    FirstByteSent, //!< at least one byte has left
    Answered,      //!< the complete response arrived
    Rejected,      //!< the receiver is certain that the request has not run
    LinkLost,      //!< connection lost, or its response cannot be used
    Cancelled,
    DeadlineExceeded,
};

enum class AttemptEvent {
    SendStarted,
    FirstByteSent,
    SendFailedUnsent, //!< the write failed and reported that no byte was written
    ResponseComplete,
    ResponseInvalid, //!< truncated or malformed
    NotRunReported,  //!< by the receiver or by local admission
    UnknownReported, //!< the receiver cannot tell whether it ran
    LinkLost,
    Cancelled,
    DeadlinePassed,
};

constexpr std::size_t AttemptStateCount = 8;
constexpr std::size_t AttemptEventCount = 10;

std::string_view toString(AttemptState state);

/*!
    State machine of one attempt. It decides what a caller may conclude: "not run" is reported only
   when certain, and a final outcome never changes.
*/
class Attempt
{
public:
    /*! Returns false when the event changes nothing: it came late, repeats an earlier one, or is a
     * response to something that was not sent. */
    bool handle(AttemptEvent event);

    AttemptState state() const { return m_state; }
    bool isFinal() const { return m_outcome.has_value(); }

    /*! Empty until the attempt is final. */
    std::optional<Messages::Outcome> outcome() const { return m_outcome; }

    /*! Whether the request may be running or have run at the receiver. */
    bool mayHaveRun() const;

    /*! Complete responses that arrived after the attempt was final, or before it was sent. They are
     * dropped by the caller of handle(). */
    std::uint32_t droppedResponses() const { return m_droppedResponses; }

private:
    AttemptState m_state = AttemptState::NotSent;
    std::optional<Messages::Outcome> m_outcome;
    std::uint32_t m_droppedResponses = 0;
};

} // namespace Medlar::Retry
