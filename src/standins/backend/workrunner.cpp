#include "workrunner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Medlar::Standins {

namespace {

using Json = nlohmann::json;

std::string header(const HttpRequest &request, boost::beast::string_view name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

std::uint64_t numberIn(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpResponse notRun(Http::status status, const char *error)
{
    HttpResponse response(status, 11);
    response.set("Medlar-Not-Run", "1");
    response.set(Http::field::content_type, "application/json");
    response.body() = Json{{"error", error}}.dump();
    return response;
}

} // namespace

WorkRunner::WorkRunner(boost::asio::io_context &context, const WorkSettings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_capacity(settings.capacity, settings.seed, std::chrono::steady_clock::now())
    , m_log(settings.logCapacity)
    , m_thawTimer(context)
{}

WorkRunner::Work WorkRunner::workOf(const SessionPtr &session) const
{
    const HttpRequest &request = session->request();
    Work work;
    work.session = session;
    work.requestId = header(request, "Medlar-Request-Id");
    work.key = header(request, "Medlar-Key");
    work.slot = header(request, "Medlar-Slot");
    // Slot numbers repeat in the tables of different services.
    if (const std::string table = header(request, "Medlar-Slot-Table"); !table.empty())
        work.slot = table + '/' + work.slot;
    // Slots of different tables are numbered independently, so the table is part of what is fenced.
    const std::string table = header(request, "Medlar-Slot-Table");
    if (!table.empty())
        work.slot = table + '/' + work.slot;
    work.token = numberIn(header(request, "Medlar-Fencing-Token"));
    const std::string deadline = header(request, "Medlar-Deadline-Ms");
    work.deadline = deadline.empty() ? SteadyTime::max()
                                     : std::chrono::steady_clock::now()
                                           + std::chrono::milliseconds(numberIn(deadline));
    return work;
}

void WorkRunner::submit(const SessionPtr &session)
{
    ++m_counters.received;
    Work work = workOf(session);
    if (m_draining) {
        ++m_counters.shed;
        session->respond(notRun(Http::status::service_unavailable, "draining"));
    } else if (m_queue.size() >= m_settings.queueLimit && m_running.size() >= m_settings.slots) {
        ++m_counters.shed;
        session->respond(notRun(Http::status::service_unavailable, "queue full"));
    } else {
        m_queue.push_back(std::move(work));
        startQueued();
        m_counters.maxQueued = std::max(m_counters.maxQueued, m_queue.size());
    }
}

void WorkRunner::startQueued()
{
    if (std::chrono::steady_clock::now() < m_frozenUntil)
        return;
    while (!m_queue.empty() && m_running.size() < m_settings.slots) {
        Work work = std::move(m_queue.front());
        m_queue.pop_front();
        // Checked at the start and not at arrival: the grant may expire while the work is queued.
        if (auto response = rejection(work))
            work.session->respond(std::move(*response));
        else
            start(std::move(work));
    }
}

std::optional<HttpResponse> WorkRunner::rejection(const Work &work)
{
    const auto now = std::chrono::steady_clock::now();
    if (now >= work.deadline) {
        ++m_counters.expired;
        return notRun(Http::status::service_unavailable, "deadline passed");
    }
    // Requests without a slot are for services that any instance can serve.
    if (!m_settings.checksFencing || work.slot.empty())
        return std::nullopt;
    const auto verdict = m_fencing.check(now, work.slot, work.token);
    if (verdict == FencingGuard::Verdict::Accepted)
        return std::nullopt;
    ++m_counters.fenced;
    return notRun(Http::status::precondition_failed,
                  verdict == FencingGuard::Verdict::NoGrant ? "no grant" : "lower token");
}

void WorkRunner::start(Work work)
{
    const auto now = std::chrono::steady_clock::now();
    Execution execution;
    execution.requestId = work.requestId;
    execution.key = work.key;
    execution.slot = work.slot;
    execution.token = work.token;
    execution.start = now;
    work.sequence = m_log.begin(std::move(execution));
    work.failsCold = !m_capacity.take(now);
    m_counters.coldFailures += work.failsCold ? 1 : 0;
    work.end
        = now + (work.failsCold ? m_capacity.coldFailureTime() : m_capacity.nextServiceTime(now));
    work.timer = std::make_shared<boost::asio::steady_timer>(m_context);
    waitForEnd(m_running.insert(m_running.end(), std::move(work)));
}

void WorkRunner::waitForEnd(Running::iterator work)
{
    work->timer->expires_at(work->end);
    work->timer->async_wait([this, work, timer = work->timer](boost::system::error_code error) {
        if (error)
            return;
        if (std::chrono::steady_clock::now() < m_frozenUntil) {
            work->end = m_frozenUntil;
            waitForEnd(work);
        } else {
            finish(work);
        }
    });
}

void WorkRunner::finish(Running::iterator work)
{
    const auto status = work->failsCold ? Http::status::internal_server_error : Http::status::ok;
    m_log.finish(work->sequence, std::chrono::steady_clock::now(),
                 static_cast<std::uint32_t>(status));
    ++m_counters.completed;
    respond(*work, status);
    m_running.erase(work);
    startQueued();
}

void WorkRunner::respond(const Work &work, Http::status status) const
{
    Json body{{"server", m_settings.name}, {"request_id", work.requestId},
              {"key", work.key},           {"slot", work.slot},
              {"token", work.token},       {"sequence", work.sequence}};
    if (m_settings.responseBytes > 0)
        body["padding"] = std::string(m_settings.responseBytes, 'x');
    HttpResponse response(status, 11);
    response.set(Http::field::content_type, "application/json");
    response.set("Medlar-Request-Id", work.requestId);
    response.body() = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    work.session->respond(std::move(response));
}

std::string WorkRunner::cancel(const std::string &requestId)
{
    const auto matches = [&requestId](const Work &work) { return work.requestId == requestId; };
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), matches);
    if (queued != m_queue.end()) {
        ++m_counters.cancelledQueued;
        queued->session->respond(notRun(Http::status::service_unavailable, "cancelled"));
        m_queue.erase(queued);
        return "queued";
    }
    const auto running = std::find_if(m_running.begin(), m_running.end(), matches);
    // An expired timer completes the work by itself.
    if (running == m_running.end() || running->timer->cancel() == 0)
        return {};
    ++m_counters.cancelledRunning;
    m_log.finish(running->sequence, std::chrono::steady_clock::now(),
                 static_cast<std::uint32_t>(Http::status::internal_server_error));
    respond(*running, Http::status::internal_server_error);
    m_running.erase(running);
    startQueued();
    return "running";
}

void WorkRunner::freeze(SteadyTime until)
{
    m_frozenUntil = until;
    m_thawTimer.expires_at(until);
    m_thawTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            startQueued();
    });
}

} // namespace Medlar::Standins
