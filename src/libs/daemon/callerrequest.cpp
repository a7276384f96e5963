#include "callerrequest.h"

#include "base/keyhash.h"
#include "http/headers.h"

#include <algorithm>

namespace Medlar::Daemon {

using Messages::RequestClass;

namespace {

constexpr std::string_view RoutePrefix = "/r/";
constexpr std::string_view OwnHeaderPrefix = "medlar-";
constexpr std::size_t MaxRequestIdBytes = 128;
constexpr std::size_t MaxKeyBytes = 1024;

struct Target
{
    std::string account;
    std::string route;
    std::string rest;
};

std::optional<Target> splitTarget(std::string_view target)
{
    if (target.substr(0, RoutePrefix.size()) != RoutePrefix)
        return std::nullopt;
    target.remove_prefix(RoutePrefix.size());
    const std::size_t accountEnd = target.find('/');
    if (accountEnd == std::string_view::npos || accountEnd == 0)
        return std::nullopt;
    Target result;
    result.account = target.substr(0, accountEnd);
    target.remove_prefix(accountEnd + 1);
    const std::size_t routeEnd = std::min(target.find_first_of("/?"), target.size());
    if (routeEnd == 0)
        return std::nullopt;
    result.route = target.substr(0, routeEnd);
    target.remove_prefix(routeEnd);
    if (target.empty() || target.front() != '/')
        result.rest = '/';
    result.rest += target;
    return result;
}

bool isValidRequestId(std::string_view id)
{
    return !id.empty() && id.size() <= MaxRequestIdBytes
           && std::all_of(id.begin(), id.end(),
                          [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

std::optional<RequestClass> parseClass(std::string_view text)
{
    if (text == "first-answer")
        return RequestClass::FirstAnswer;
    if (text == "normal")
        return RequestClass::Normal;
    if (text == "bulk")
        return RequestClass::Bulk;
    return std::nullopt;
}

bool isOwnHeader(std::string_view name)
{
    return Http::isSameToken(name.substr(0, OwnHeaderPrefix.size()), OwnHeaderPrefix);
}

tl::unexpected<RefusedRequest> refuse(const std::string &requestId, const char *error,
                                      const std::string &detail)
{
    return tl::unexpected(
        RefusedRequest{rejectionResponse(requestId, AttemptResult::notRun(error), detail), error});
}

// Reads the Medlar-… headers; returns what is wrong with them, or nothing.
std::optional<std::string> readOwnHeaders(const Http::Headers &headers, Base::TimePoint now,
                                          CallerRequest &request)
{
    const Configuration::Route &route = *request.route;
    if (const std::string *const key = Http::findHeader(headers, "Medlar-Key"); route.keyed) {
        if (!key || key->empty() || key->size() > MaxKeyBytes)
            return "Medlar-Key is missing, empty or too long";
        request.key = *key;
        request.keyHash = Base::keyHash(*key);
    }
    std::chrono::milliseconds timeout = route.deadline;
    if (const std::string *const text = Http::findHeader(headers, "Medlar-Deadline-Ms")) {
        const auto number = Http::parseNumber(*text);
        if (!number || *number == 0)
            return "Medlar-Deadline-Ms is not a positive number";
        if (*number < static_cast<std::uint64_t>(timeout.count()))
            timeout = std::chrono::milliseconds(*number);
    }
    request.deadline = now + timeout;
    request.requestClass = route.requestClass;
    if (const std::string *const text = Http::findHeader(headers, "Medlar-Class")) {
        const auto requestClass = parseClass(*text);
        if (!requestClass)
            return "Medlar-Class is unknown";
        request.requestClass = *requestClass;
    }
    return std::nullopt;
}

} // namespace

tl::expected<CallerRequest, RefusedRequest> parseCallerRequest(Http::HttpRequest request,
                                                               const TrafficSnapshot &snapshot,
                                                               Base::TimePoint now,
                                                               const std::string &generatedId)
{
    CallerRequest result;
    result.requestId = generatedId;
    if (const std::string *const id = Http::findHeader(request.headers, "Medlar-Request-Id")) {
        if (!isValidRequestId(*id))
            return refuse({}, ErrorCode::BadRequest, "Medlar-Request-Id is invalid");
        result.requestId = *id;
    }

    const auto target = splitTarget(request.target);
    result.routes = snapshot.routes;
    if (target && result.routes)
        result.route = result.routes->find(target->account, target->route);
    if (!result.route)
        return refuse(result.requestId, ErrorCode::UnknownRoute, "no such account and route");
    if (!result.route->allowsRegion(snapshot.self.region))
        return refuse(result.requestId, ErrorCode::WrongRegion,
                      "region " + snapshot.self.region + " is not a home region");
    if (const auto problem = readOwnHeaders(request.headers, now, result))
        return refuse(result.requestId, ErrorCode::BadRequest, *problem);

    result.isIdempotent = result.route->isIdempotent(request.method);
    result.method = std::move(request.method);
    result.target = target->rest;
    result.headers = std::move(request.headers);
    result.headers.erase(
        std::remove_if(result.headers.begin(), result.headers.end(),
                       [](const auto &header) { return isOwnHeader(header.first); }),
        result.headers.end());
    result.body = std::move(request.body);
    return result;
}

} // namespace Medlar::Daemon
