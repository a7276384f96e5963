#include "soakbackend.h"

#include "base/steadyclock.h"
#include "http/headers.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Medlar::Platform::Soak {

using Base::steadyNow;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t Slots = 8;
constexpr milliseconds HeartbeatInterval{400};
constexpr milliseconds ReleaseHeartbeatInterval{90};
constexpr milliseconds HeartbeatTimeout{1000};
constexpr milliseconds ListenRetryDelay{100};
constexpr milliseconds MaxWorkTime{80};
constexpr std::uint16_t Misdirected = 421;
constexpr std::uint16_t Unavailable = 503;
constexpr unsigned RequestsPerRefusal = 12;
constexpr std::size_t MaxSentHeartbeats = 12;

// Increases with every start, so that heartbeats and grants from before a restart are
// distinguishable.
std::uint64_t nextIncarnation()
{
    static std::uint64_t last = 1'700'000'000'000;
    return ++last;
}

} // namespace

SoakBackend::SoakBackend(boost::asio::io_context &context, const SoakBackendSettings &settings,
                         SoakAudit &audit)
    : m_context(context)
    , m_settings(settings)
    , m_audit(audit)
    , m_random(settings.seed)
    , m_heartbeatTimer(context)
{}

SoakBackend::~SoakBackend() = default;

void SoakBackend::start()
{
    m_incarnation = nextIncarnation();
    m_id = "i-" + m_settings.address.substr(m_settings.address.rfind('.') + 1);
    m_sequence = 0;
    Http::HttpServerSettings server;
    server.address = m_settings.address;
    server.port = m_settings.port;
    auto created = Http::HttpServer::create(
        m_context, server, [this](const Http::HttpRequest &request, const Http::Reply &reply) {
            onRequest(request, reply);
        });
    if (!created) {
        // The port is still in use by the previous run.
        m_heartbeatTimer.expires_after(ListenRetryDelay);
        m_heartbeatTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                start();
        });
        return;
    }
    m_server = std::move(*created);
    Http::BackendClientSettings client;
    client.address = m_settings.address;
    client.port = m_settings.heartbeatPort;
    client.connectTimeout = HeartbeatTimeout;
    m_daemon = Http::BackendClient::create(m_context, client);
    scheduleHeartbeat(milliseconds(0));
}

void SoakBackend::crash()
{
    m_server.reset();
    m_daemon.reset();
    m_heartbeatTimer.cancel();
    m_holds.clear();
    m_freed.clear();
}

bool SoakBackend::holds(KeyRange::Key key) const
{
    const Base::TimePoint now = steadyNow();
    return isUp() && std::any_of(m_holds.begin(), m_holds.end(), [&](const Hold &hold) {
               return hold.range.contains(key) && now < hold.until && !hold.freedAt;
           });
}

void SoakBackend::onRequest(const Http::HttpRequest &request, const Http::Reply &reply)
{
    const std::string *const requestId = Http::findHeader(request.headers, "Attempt-Id");
    const std::string *const keyText = Http::findHeader(request.headers, "Shard-Key");
    const std::string *const expected = Http::findHeader(request.headers, "Expect-Instance");
    if (!requestId) {
        reply({400, {{"Not-Executed", "no id"}}, {}});
        return;
    }
    constexpr KeyRange::Key NoKey = KeyRange::LastKey + 1;
    const auto number = keyText ? Http::parseNumber(*keyText) : std::nullopt;
    const auto key = static_cast<KeyRange::Key>(number.value_or(NoKey));
    const bool isOtherInstance = expected && *expected != m_id;
    if (isOtherInstance || (m_settings.isKeyed && !holds(key))) {
        reply({Misdirected,
               {{"Not-Executed", "misdirected"}, {"Attempt-Id", *requestId}, {"Instance-Id", m_id}},
               {}});
        return;
    }
    if (m_random() % RequestsPerRefusal == 0) {
        reply({Unavailable, {{"Not-Executed", "1"}, {"Attempt-Id", *requestId}}, {}});
        return;
    }
    if (m_settings.isKeyed && onKeyedRun)
        onKeyedRun(*this, key);
    m_audit.onRun(*requestId, m_id);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_context, milliseconds(1 + static_cast<std::int64_t>(m_random() % MaxWorkTime.count())));
    timer->async_wait(
        [timer, reply, id = *requestId, seal = m_id](const boost::system::error_code &) {
            reply({200,
                   {{"Server-Seal", seal}, {"Attempt-Id", id}, {"Server-Load", "1,0,8,100"}},
                   SoakAudit::bodyFor(id)});
        });
}

void SoakBackend::scheduleHeartbeat(milliseconds delay)
{
    m_heartbeatTimer.expires_after(delay);
    m_heartbeatTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && isUp())
            sendHeartbeat();
    });
}

void SoakBackend::expireHolds()
{
    const Base::TimePoint now = steadyNow();
    for (auto hold = m_holds.begin(); hold != m_holds.end();) {
        const bool isReleased = hold->freedAt && *hold->freedAt <= now;
        if (isReleased)
            m_freed.push_back({hold->range, "h" + std::to_string(m_random())});
        hold = isReleased || hold->until <= now ? m_holds.erase(hold) : std::next(hold);
    }
}

std::string SoakBackend::heartbeatBody()
{
    json held = json::array();
    for (const Hold &hold : m_holds)
        held.push_back({hold.range.first, hold.range.last, hold.token});
    json freed = json::array();
    for (const KeyRange::FreedRange &range : m_freed)
        freed.push_back({range.range.first, range.range.last, range.handover});
    return json{{"service", m_settings.service},
                {"address", m_settings.advertisedAddress},
                {"zone", m_settings.zone},
                {"version", "v1"},
                {"slots", Slots},
                {"state", "ready"},
                {"cold-left-s", 0},
                {"seq-num", ++m_sequence},
                {"born", m_incarnation},
                {"holds", held},
                {"freed", freed}}
        .dump();
}

void SoakBackend::sendHeartbeat()
{
    expireHolds();
    const Base::TimePoint sentAt = steadyNow();
    const std::size_t reportedCount = m_freed.size();
    const std::string body = heartbeatBody();
    m_sentHeartbeats.push_back(body);
    if (m_sentHeartbeats.size() > MaxSentHeartbeats)
        m_sentHeartbeats.pop_front();
    if (m_heartbeatDelay.count() > 0) {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_heartbeatDelay);
        timer->async_wait([this, timer, body](const boost::system::error_code &error) {
            if (!error && isUp())
                post(body, [](const Http::BackendResult &) {});
        });
        scheduleHeartbeat(HeartbeatTimeout);
        return;
    }
    post(body, [this, sentAt, reportedCount,
                incarnation = m_incarnation](const Http::BackendResult &result) {
        if (!isUp() || incarnation != m_incarnation)
            return;
        if (result && result->status == 200) {
            m_freed.erase(m_freed.begin(), m_freed.begin()
                                               + static_cast<std::ptrdiff_t>(
                                                   std::min(reportedCount, m_freed.size())));
            onHeartbeatResponse(sentAt, result->body);
        }
        const bool isReleasing = std::any_of(m_holds.begin(), m_holds.end(),
                                             [](const Hold &hold) { return hold.freedAt; });
        scheduleHeartbeat(isReleasing ? ReleaseHeartbeatInterval : HeartbeatInterval);
    });
}

void SoakBackend::post(const std::string &body,
                       std::function<void(const Http::BackendResult &)> done)
{
    Http::BackendRequest call;
    call.request.method = "POST";
    call.request.target = "/api/Instances.Heartbeat/" + m_id;
    call.request.body = body;
    call.request.headers = {{"Content-Type", "application/json"}};
    call.deadline = steadyNow() + HeartbeatTimeout;
    call.done = std::move(done);
    m_daemon->send(std::move(call));
}

void SoakBackend::sendOldHeartbeat()
{
    if (isUp() && !m_sentHeartbeats.empty())
        post(m_sentHeartbeats[m_random() % m_sentHeartbeats.size()],
             [](const Http::BackendResult &) {});
}

void SoakBackend::sendForeignHeartbeat()
{
    if (!isUp())
        return;
    json body = json::parse(heartbeatBody());
    --m_sequence;
    body["seq-num"] = m_sequence + m_random() % 1000;
    body["born"] = m_incarnation + m_random() % 2 * 1000;
    body["slots"] = 1000;
    body["holds"] = json::array();
    switch (m_random() % 5) {
    case 0:
        body["state"] = "asleep";
        break;
    case 1:
        body.erase("born");
        break;
    case 2:
        body["cold-left-s"] = "long";
        break;
    case 3:
        body["slots"] = nullptr;
        break;
    default:
        body["service"] = "no-such-service";
    }
    post(body.dump(), [](const Http::BackendResult &) {});
}

void SoakBackend::onHeartbeatResponse(Base::TimePoint sentAt, const std::string &body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("holds"))
        return;
    const Base::TimePoint now = steadyNow();
    const Base::TimePoint until
        = sentAt + milliseconds(static_cast<std::int64_t>(answer["hold-s"].get<double>() * 1000));
    std::vector<Hold> next;
    for (const json &row : answer["holds"]) {
        const KeyRange::Range range{row[0].get<KeyRange::Key>(), row[1].get<KeyRange::Key>()};
        const auto token = row[2].get<KeyRange::FencingToken>();
        m_audit.onGrant(m_id + '#' + std::to_string(m_incarnation), range, token);
        if (until > now)
            next.push_back({range, token, until, {}});
    }
    std::vector<KeyRange::Range> kept;
    kept.reserve(next.size());
    for (const Hold &hold : next)
        kept.push_back(hold.range);
    for (const Hold &hold : m_holds) {
        for (const KeyRange::Range &part : KeyRange::subtracted(hold.range, kept)) {
            Hold remainder = hold;
            remainder.range = part;
            if (!remainder.freedAt)
                remainder.freedAt = now + MaxWorkTime;
            next.push_back(remainder);
        }
    }
    m_holds = std::move(next);
}

} // namespace Medlar::Platform::Soak
