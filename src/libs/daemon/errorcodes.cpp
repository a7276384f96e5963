#include "errorcodes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace Medlar::Daemon {

using Messages::Outcome;

namespace {

constexpr std::chrono::seconds DefaultRetryAfter{1};

std::uint16_t statusOf(const AttemptResult &result)
{
    if (result.error == ErrorCode::BadRequest)
        return 400;
    if (result.error == ErrorCode::UnknownRoute)
        return 404;
    if (result.error == ErrorCode::WrongRegion)
        return 421;
    return result.outcome == Outcome::NotRun ? 503 : 504;
}

std::string retryAfterSeconds(std::chrono::milliseconds retryAfter)
{
    if (retryAfter.count() <= 0)
        retryAfter = DefaultRetryAfter;
    constexpr auto AlmostOneSecond = std::chrono::milliseconds(999);
    return std::to_string(
        std::chrono::duration_cast<std::chrono::seconds>(retryAfter + AlmostOneSecond).count());
}

} // namespace

bool maySucceedAfterChange(std::string_view error)
{
    using namespace ErrorCode;
    static constexpr std::array<std::string_view, 12> Codes{
        NotOwner, AwaitingRelease, LeaseNotHeld, Unassigned, NoLiveOwner,    OwnerUnknown,
        NoLink,   LinkLost,        Draining,     GivenUp,    BackendRefused, BackendCutOff};
    return std::find(Codes.begin(), Codes.end(), error) != Codes.end();
}

Http::HttpResponse rejectionResponse(const std::string &requestId, const AttemptResult &result,
                                     const std::string &detail)
{
    const bool isNotRun = result.outcome == Outcome::NotRun;
    const char *const outcome = isNotRun ? "not-run" : "unknown";
    Http::HttpResponse response;
    response.status = statusOf(result);
    response.headers = {{"Content-Type", "application/json"}, {"Medlar-Outcome", outcome}};
    if (!requestId.empty())
        response.headers.emplace_back("Medlar-Request-Id", requestId);
    if (response.status == 503)
        response.headers.emplace_back("Retry-After", retryAfterSeconds(result.retryAfter));
    const nlohmann::json body{{"error", result.error},
                              {"outcome", outcome},
                              {"request_id", requestId},
                              {"detail", detail}};
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace Medlar::Daemon
