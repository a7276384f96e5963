#include "objectstoreserver.h"

#include "store/storecodec.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace Medlar::Standins {

namespace {

using Json = nlohmann::json;

constexpr std::string_view ObjectsPath = "/v1/objects";
constexpr std::chrono::milliseconds MaxWatchTimeout{60000};

std::uint64_t numberOf(std::optional<std::string_view> text, std::uint64_t fallback)
{
    std::uint64_t number = fallback;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

std::string_view header(const HttpRequest &request, boost::beast::string_view name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

/*! The version that a change requires, 0 for none; nothing without a valid condition. */
std::optional<Revision> expectedVersion(const HttpRequest &request)
{
    if (header(request, "If-None-Match") == "*")
        return 0;
    return Store::versionFromETag(header(request, "If-Match"));
}

HttpResponse withETag(Http::status status, Revision version)
{
    HttpResponse response(status, 11);
    response.set(Http::field::etag, Store::toETag(version));
    return response;
}

std::string kindOf(const HttpSession &session)
{
    const std::string_view path = session.path();
    if (path == "/v1/watch")
        return "watch";
    if (path == ObjectsPath)
        return "list";
    switch (session.request().method()) {
    case Http::verb::get:
        return "get";
    case Http::verb::put:
        return "put";
    case Http::verb::delete_:
        return "remove";
    default:
        return "other";
    }
}

Json toJson(const ObjectState &state, bool withValue)
{
    Json json{{"key", state.key}, {"version", state.version}, {"writer", state.writer}};
    if (withValue)
        json["value_base64"]
            = state.value ? Json(Store::base64Encoded(*state.value)) : Json(nullptr);
    return json;
}

} // namespace

tl::expected<FaultMode, std::string> parseFaultMode(const std::string &text)
{
    if (text == "none")
        return FaultMode::None;
    if (text == "slow")
        return FaultMode::Slow;
    if (text == "dead")
        return FaultMode::Dead;
    if (text == "lose_answer")
        return FaultMode::LoseAnswer;
    return tl::unexpected("unknown fault mode '" + text + "'");
}

ObjectStoreServer::ObjectStoreServer(boost::asio::io_context &context,
                                     const ObjectStoreServerSettings &settings)
    : m_context(context)
    , m_maxValueBytes(settings.maxValueBytes)
    , m_table(settings.limits)
    , m_fault(settings.fault)
{}

tl::expected<std::unique_ptr<ObjectStoreServer>, std::string>
ObjectStoreServer::create(boost::asio::io_context &context,
                          const ObjectStoreServerSettings &settings)
{
    auto server = std::unique_ptr<ObjectStoreServer>(new ObjectStoreServer(context, settings));
    auto http = HttpServer::create(
        context, settings.http,
        [target = server.get()](const SessionPtr &session) { target->onRequest(session); });
    if (!http)
        return tl::unexpected(http.error());
    server->m_http = std::move(*http);
    return server;
}

void ObjectStoreServer::setFault(const Fault &fault)
{
    m_fault = fault;
    if (fault.mode != FaultMode::Dead)
        return;
    for (const Watch &watch : std::exchange(m_watches, {}))
        watch.session->drop();
}

/*! The fault that applies to this call, which counts against its limit. */
FaultMode ObjectStoreServer::takeFault(bool isChange)
{
    const FaultMode mode = m_fault.mode;
    if (mode == FaultMode::None || (mode == FaultMode::LoseAnswer && !isChange))
        return FaultMode::None;
    if (m_fault.count > 0 && --m_fault.count == 0)
        m_fault.mode = FaultMode::None;
    return mode;
}

void ObjectStoreServer::onRequest(const SessionPtr &session)
{
    if (session->path().substr(0, 7) == "/admin/") {
        try {
            onAdminRequest(session);
        } catch (const Json::exception &) {
            session->respond(Http::status::bad_request, R"({"error":"member of a wrong type"})");
        }
        return;
    }
    const std::string kind = kindOf(*session);
    ++m_calls[kind];
    m_bytesIn += session->request().body().size();
    const auto delay = m_fault.delay;
    const FaultMode fault = takeFault(kind == "put" || kind == "remove");
    if (fault == FaultMode::Dead) {
        session->drop();
    } else if (fault == FaultMode::Slow) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
        timer->async_wait([this, timer, session, kind](boost::system::error_code error) {
            if (!error)
                carryOut(session, kind, false);
        });
    } else {
        carryOut(session, kind, fault == FaultMode::LoseAnswer);
    }
}

void ObjectStoreServer::onAdminRequest(const SessionPtr &session)
{
    if (session->path() == "/admin/stats") {
        session->respond(Http::status::ok, statistics());
        return;
    }
    const Json json = Json::parse(session->request().body(), nullptr, false);
    if (session->path() != "/admin/fault" || !json.is_object()) {
        session->respond(Http::status::bad_request, R"({"error":"not a fault"})");
        return;
    }
    const auto mode = parseFaultMode(json.value("mode", "none"));
    if (!mode) {
        session->respond(Http::status::bad_request, Json{{"error", mode.error()}}.dump());
        return;
    }
    setFault({*mode, std::chrono::milliseconds(json.value("delay_ms", 0)),
              json.value("count", std::uint64_t(0))});
    session->respond(Http::status::ok, "{}");
}

void ObjectStoreServer::carryOut(const SessionPtr &session, const std::string &kind,
                                 bool loseAnswer)
{
    if (kind == "watch") {
        watch(session);
        return;
    }
    if (kind == "list") {
        list(session);
        return;
    }
    const std::string_view path = session->path();
    const bool named = path.size() > ObjectsPath.size() + 1
                       && path.substr(0, ObjectsPath.size()) == ObjectsPath
                       && path[ObjectsPath.size()] == '/';
    const auto key = named ? Store::percentDecoded(path.substr(ObjectsPath.size() + 1))
                           : std::optional<std::string>();
    if (!key || kind == "other")
        session->respond(Http::status::bad_request, R"({"error":"bad path or method"})");
    else if (kind == "get")
        get(session, *key);
    else
        change(session, *key, loseAnswer);
}

void ObjectStoreServer::get(const SessionPtr &session, const std::string &key)
{
    const ObjectState *const object = m_table.find(key);
    const ObjectState *const state = object ? object : m_table.findRemoved(key);
    if (!state) {
        session->respond(Http::status::not_found);
        return;
    }
    HttpResponse response
        = withETag(object ? Http::status::ok : Http::status::not_found, state->version);
    response.set("X-Writer-Token", state->writer);
    if (object)
        response.body() = *object->value;
    session->respond(std::move(response));
}

void ObjectStoreServer::list(const SessionPtr &session)
{
    const auto prefix = Store::percentDecoded(session->queryValue("prefix").value_or(""));
    if (!prefix) {
        session->respond(Http::status::bad_request, R"({"error":"bad prefix"})");
        return;
    }
    const bool withValues = session->queryValue("values") == "1";
    Json objects = Json::array();
    for (const ObjectState *object : m_table.list(*prefix))
        objects.push_back(toJson(*object, withValues));
    session->respond(Http::status::ok,
                     Json{{"revision", m_table.revision()}, {"objects", objects}}.dump());
}

void ObjectStoreServer::change(const SessionPtr &session, const std::string &key, bool loseAnswer)
{
    const HttpRequest &request = session->request();
    const auto expected = expectedVersion(request);
    if (!expected) {
        session->respond(Http::status::precondition_required, R"({"error":"no condition"})");
        return;
    }
    if (request.body().size() > m_maxValueBytes) {
        session->respond(Http::status::payload_too_large, R"({"error":"too large"})");
        return;
    }
    const std::string writer(header(request, "X-Writer-Token"));
    const auto result = request.method() == Http::verb::put
                            ? m_table.put(key, request.body(), writer, *expected)
                            : m_table.remove(key, writer, *expected);
    if (result)
        answerWatches(key);
    else
        ++m_conflicts;
    if (loseAnswer)
        session->drop();
    else if (result)
        session->respond(withETag(Http::status::ok, *result));
    else
        session->respond(withETag(Http::status::precondition_failed, result.error().current));
}

void ObjectStoreServer::watch(const SessionPtr &session)
{
    const auto prefix = Store::percentDecoded(session->queryValue("prefix").value_or(""));
    if (!prefix) {
        session->respond(Http::status::bad_request, R"({"error":"bad prefix"})");
        return;
    }
    const std::chrono::milliseconds timeout(numberOf(session->queryValue("timeout_ms"), 0));
    const Watch pending{
        session, *prefix, numberOf(session->queryValue("after"), 0),
        std::make_shared<boost::asio::steady_timer>(m_context, std::min(timeout, MaxWatchTimeout))};
    if (answerWatch(pending, timeout.count() == 0))
        return;
    const auto it = m_watches.insert(m_watches.end(), pending);
    pending.timer->async_wait([this, it](boost::system::error_code error) {
        if (error)
            return;
        answerWatch(*it, true);
        m_watches.erase(it);
    });
}

/*! Answers when there are changes or the watch timed out; returns whether it answered. */
bool ObjectStoreServer::answerWatch(const Watch &watch, bool timedOut)
{
    const auto changes = m_table.changes(watch.prefix, watch.after);
    if (!changes) {
        watch.session->respond(Http::status::gone, Json{{"revision", m_table.revision()}}.dump());
        return true;
    }
    if (changes->empty() && !timedOut)
        return false;
    Json items = Json::array();
    for (const ObjectState *change : *changes)
        items.push_back(toJson(*change, true));
    watch.session->respond(Http::status::ok,
                           Json{{"revision", m_table.revision()}, {"changes", items}}.dump());
    return true;
}

void ObjectStoreServer::answerWatches(const std::string &changedKey)
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const bool affected = changedKey.compare(0, it->prefix.size(), it->prefix) == 0;
        // A timer that has already expired answers by itself.
        if (affected && it->timer->cancel() > 0) {
            answerWatch(*it, false);
            it = m_watches.erase(it);
        } else {
            ++it;
        }
    }
}

std::string ObjectStoreServer::statistics() const
{
    return Json{{"revision", m_table.revision()},
                {"objects", m_table.size()},
                {"calls", m_calls},
                {"conflicts", m_conflicts},
                {"bytes_in", m_bytesIn},
                {"pending_watches", m_watches.size()},
                {"connections", m_http->connectionCount()}}
        .dump();
}

} // namespace Medlar::Standins
