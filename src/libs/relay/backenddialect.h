#pragma once

#include "http/httptypes.h"
#include "messages/peermessages.h"

#include <chrono>
#include <optional>
#include <string>

namespace Medlar::Relay {

/*! What a BackendServer says of its load with an answer. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t workPercent = 100; //!< how long work takes at this moment, 100 as usual
};

/*! What an answer of the BackendServer means. */
enum class AnswerKind {
    Answered,
    NotRun,  //!< it says that it did not run the request
    Unusable //!< not an answer that it made, so nothing is known
};

struct AnswerReading
{
    AnswerKind kind = AnswerKind::Unusable;
    std::optional<ReportedLoad> load;
    bool isOtherBackend = false; //!< another BackendServer has the address now
    bool isKeyRefused = false;   //!< it does not hold the key
};

/*! The headers by which a daemon and its BackendServer understand each other. */
class BackendDialect
{
public:
    virtual ~BackendDialect() = default;

    /*! The request as the BackendServer expects it. \a backend is the id of the one meant. */
    virtual Http::HttpRequest toBackend(const Messages::ForwardRequest &request,
                                        const std::string &backend) const = 0;
    /*! Sets the time that is left, directly before the request is sent. */
    virtual void setTimeLeft(Http::HttpRequest &request, std::chrono::milliseconds left) const = 0;
    /*! \a backend is the id of the BackendServer that was meant. */
    virtual AnswerReading read(const Http::HttpResponse &response,
                               const std::string &backend) const = 0;
};

} // namespace Medlar::Relay
