#include "httpgrants.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Medlar {

HttpGrants::HttpGrants(boost::asio::io_context &context,
                       const Http::BackendClientSettings &settings)
    : m_client(Http::BackendClient::create(context, settings))
{}

void HttpGrants::grant(const Base::InstanceId &instance, Base::TimePoint deadline)
{
    Http::BackendRequest request;
    request.requestId = "grant-" + std::to_string(++m_sequence);
    request.deadline = deadline;
    request.request.method = "POST";
    request.request.target = "/grant";
    // A point on the monotonic clock of the VM, because a duration would grow by a pause before the
    // send.
    const auto validUntil
        = std::chrono::duration_cast<std::chrono::microseconds>(deadline.time_since_epoch());
    request.request.body = nlohmann::json{
        {"instance", instance.toString()},
        {"valid_until_us",
         validUntil.count()}}.dump();
    // A lost grant is followed by the next renewal's; the BackendServer then refuses until it
    // arrives.
    request.done = [](const Http::BackendResult &) {};
    m_client->send(std::move(request));
}

} // namespace Medlar
