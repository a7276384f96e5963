#include "exchange.h"

#include "http/headers.h"

#include <algorithm>

namespace Medlar::Daemon {

Messages::ForwardRequest makeForwardRequest(const Exchange &exchange, Base::TimePoint now)
{
    const CallerRequest &request = exchange.request;
    Messages::ForwardRequest message;
    message.requestId = request.requestId;
    message.account = request.route->account;
    message.route = request.route->name;
    message.service = request.route->service;
    message.key = request.key;
    message.slot = exchange.resolution.slot;
    message.epoch = exchange.resolution.epoch;
    message.configurationVersion = request.routes->version;
    message.deadlineLeft
        = std::chrono::duration_cast<std::chrono::microseconds>(request.deadline - now);
    message.requestClass = request.requestClass;
    message.idempotent = request.isIdempotent;
    message.method = request.method;
    message.target = request.target;
    message.headers = request.headers;
    message.body = request.body;
    return message;
}

LocalRequest makeLocalRequest(const CallerRequest &request)
{
    LocalRequest local;
    local.routes = request.routes;
    local.route = request.route;
    local.requestId = request.requestId;
    local.keyHash = request.keyHash;
    local.key = request.key;
    local.deadline = request.deadline;
    local.requestClass = request.requestClass;
    local.method = request.method;
    local.target = request.target;
    local.headers = request.headers;
    local.body = request.body;
    return local;
}

Logging::Decision makeDecision(const Exchange &exchange)
{
    const CallerRequest &request = exchange.request;
    Logging::Decision decision;
    decision.requestId = request.requestId;
    decision.account = request.route->account;
    decision.route = request.route->name;
    decision.service = request.route->service;
    if (request.route->keyed) {
        decision.service = request.route->table;
        decision.slot = exchange.resolution.slot;
    }
    if (exchange.resolution.node)
        decision.chosen = exchange.resolution.node->instance.node;
    decision.reason = exchange.resolution.reason;
    decision.epoch = exchange.resolution.epoch;
    decision.configurationVersion = request.routes->version;
    return decision;
}

Http::HttpResponse makeResponse(const Exchange &exchange, AttemptResult result)
{
    const std::string &requestId = exchange.request.requestId;
    if (result.outcome != Messages::Outcome::Answered)
        return rejectionResponse(requestId, result);
    Http::HttpResponse response = std::move(result.response);
    Http::Headers &headers = response.headers;
    headers.erase(std::remove_if(headers.begin(), headers.end(),
                                 [](const auto &header) {
                                     return Http::isSameToken(header.first, "Medlar-Request-Id")
                                            || Http::isSameToken(header.first, "Medlar-Outcome");
                                 }),
                  headers.end());
    headers.emplace_back("Medlar-Request-Id", requestId);
    return response;
}

} // namespace Medlar::Daemon
