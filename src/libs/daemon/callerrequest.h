#pragma once

#include "base/time.h"
#include "errorcodes.h"
#include "trafficsnapshot.h"

#include <tl/expected.hpp>

#include <optional>

namespace Medlar::Daemon {

/*! A request of a caller with everything that is needed to route it. */
struct CallerRequest
{
    std::shared_ptr<const Configuration::RouteTable> routes; //!< keeps \a route alive
    const Configuration::Route *route = nullptr;
    std::string requestId;
    std::optional<std::string> key; //!< of a keyed service
    std::uint64_t keyHash = 0;
    Base::TimePoint deadline;
    Messages::RequestClass requestClass = Messages::RequestClass::Normal;
    bool isIdempotent = false;
    std::string method;
    std::string target; //!< as the BackendServer sees it
    Http::Headers headers;
    std::string body;

    std::size_t bytes() const { return body.size() + target.size() + requestId.size(); }
};

/*! A request that cannot be routed, with the response for its caller. */
struct RefusedRequest
{
    Http::HttpResponse response;
    std::string error;
};

/*!
    Reads METHOD /r/ACCOUNT/ROUTE/rest and the Medlar-… headers. \a generatedId is taken when the
   caller gave no request id.
*/
tl::expected<CallerRequest, RefusedRequest> parseCallerRequest(Http::HttpRequest request,
                                                               const TrafficSnapshot &snapshot,
                                                               Base::TimePoint now,
                                                               const std::string &generatedId);

} // namespace Medlar::Daemon
