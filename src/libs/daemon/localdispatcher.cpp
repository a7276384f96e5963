#include "localdispatcher.h"

#include "http/headers.h"
#include "requestresolver.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cctype>

namespace Medlar::Daemon {

using Base::TimePoint;
using Messages::Outcome;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds CancelTimeout{1};
constexpr std::uint16_t StatusTooManyRequests = 429;
constexpr std::uint16_t StatusUnavailable = 503;

std::string percentEncoded(const std::string &text)
{
    static constexpr char HexDigits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            result += c;
        } else {
            result += '%';
            result += HexDigits[byte >> 4U];
            result += HexDigits[byte & 0xfU];
        }
    }
    return result;
}

std::string millisecondsUntil(TimePoint deadline, TimePoint now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::to_string(std::max<std::chrono::milliseconds::rep>(left.count(), 1));
}

// The BackendServer says that it did not run the request: it shed it, or the fencing token was
// refused.
bool isRefusal(const Http::HttpResponse &response)
{
    const std::string *const header = Http::findHeader(response.headers, "Medlar-Not-Run");
    return header && *header == "1";
}

CompletionResult completionOf(const Http::BackendResult &result)
{
    if (!result)
        return result.error().sent || result.error().code == Http::BackendErrorCode::Refused
                   ? CompletionResult::Failed
                   : CompletionResult::NotSent;
    const bool isRejected
        = result->status == StatusTooManyRequests || result->status == StatusUnavailable;
    return isRejected ? CompletionResult::Rejected : CompletionResult::Answered;
}

} // namespace

LocalDispatcher::LocalDispatcher(const Parts &parts)
    : m_context(parts.context)
    , m_deadlines(parts.deadlines)
    , m_admission(parts.admission)
    , m_backend(parts.backend)
    , m_load(parts.load)
    , m_lease(parts.lease)
    , m_backendLatency(parts.metrics.latency("medlar_backend_latency_seconds",
                                             "From the send to the response of the BackendServer."))
    , m_drains(
          parts.deadlines,
          [this](const DrainScope &scope) {
              return static_cast<std::size_t>(
                  std::count_if(m_requests.begin(), m_requests.end(), [&scope](const auto &item) {
                      return item.second.stage == Stage::Running && scope.covers(item.second.key);
                  }));
          },
          [this](const DrainScope &scope) {
              std::vector<RequestId> covered;
              for (const auto &[id, entry] : m_requests) {
                  if (entry.stage == Stage::Running && scope.covers(entry.key))
                      covered.push_back(id);
              }
              for (const RequestId id : covered)
                  giveUp(id);
          })
{}

void LocalDispatcher::setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    m_admission.onSnapshot(Clock::now(), *m_snapshot);
}

LocalDispatcher::RequestId LocalDispatcher::run(LocalRequest request, Done done)
{
    const RequestId id = ++m_lastId;
    const Configuration::Route &route = *request.route;
    const AdmissionRequest offered{route, request.requestClass, request.deadline,
                                   request.body.size() + request.target.size()};
    Entry &entry = m_requests[id];
    entry.request = std::move(request);
    entry.done = std::move(done);
    // The decision may come within offer(), and a rejection removes the entry.
    const AdmissionTicket ticket = m_admission.offer(
        Clock::now(), offered,
        [this, id](TimePoint, const AdmissionDecision &decision) { decided(id, decision); });
    if (const auto found = m_requests.find(id); found != m_requests.end())
        found->second.ticket = ticket;
    armAdmissionTimer();
    return id;
}

void LocalDispatcher::armAdmissionTimer()
{
    const auto next = m_admission.nextDeadline();
    if (!next || *next >= m_admissionTimer)
        return;
    m_admissionTimer = *next;
    m_deadlines.add(*next, [this] {
        m_admissionTimer = TimePoint::max();
        m_admission.onTime(Clock::now());
        armAdmissionTimer();
    });
}

void LocalDispatcher::decided(RequestId id, const AdmissionDecision &decision)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    if (decision.isAdmitted) {
        dispatch(id);
        return;
    }
    AttemptResult result = AttemptResult::notRun(decision.reason);
    result.retryAfter = decision.retryAfter;
    boost::asio::post(m_context, [done = std::move(found->second.done), result] { done(result); });
    m_requests.erase(found);
}

void LocalDispatcher::dispatch(RequestId id)
{
    Entry &entry = m_requests.at(id);
    entry.stage = Stage::Sending;
    LocalRequest &local = entry.request;
    Http::BackendRequest request;
    request.requestId = local.requestId;
    request.deadline = local.deadline;
    request.request = {std::move(local.method), std::move(local.target), std::move(local.headers),
                       std::move(local.body), false};
    request.request.headers.emplace_back("Medlar-Request-Id", local.requestId);
    if (local.key)
        request.request.headers.emplace_back("Medlar-Key", *local.key);
    request.prepare = [this, id](Http::HttpRequest &http) { return prepare(id, http); };
    request.done
        = [this, id](Http::BackendResult result) { onBackendResult(id, std::move(result)); };
    entry.backendId = m_backend.send(std::move(request));
}

bool LocalDispatcher::prepare(RequestId id, Http::HttpRequest &request)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return false;
    Entry &entry = found->second;
    const TimePoint now = Clock::now();
    if (entry.request.route->keyed) {
        if (!prepareKeyed(entry, now, request))
            return false;
    } else {
        m_load.addUnkeyed(entry.request.route->service);
        request.headers.emplace_back("Medlar-Deadline-Ms",
                                     millisecondsUntil(entry.request.deadline, now));
    }
    entry.stage = Stage::Running;
    entry.sendTime = now;
    return true;
}

bool LocalDispatcher::prepareKeyed(Entry &entry, TimePoint now, Http::HttpRequest &request)
{
    const std::string &service = entry.request.route->table;
    const std::uint64_t keyHash = entry.request.keyHash;
    const ServeState state = serveState(*m_snapshot, service, keyHash);
    if (!state.served) {
        entry.refusal = AttemptResult::notRun(ErrorCode::NotOwner);
        entry.refusal.newerEpoch = state.knownEpoch;
        return false;
    }
    const TimePoint leaseEnd = m_lease.get();
    if (now >= leaseEnd) {
        entry.refusal = AttemptResult::notRun(ErrorCode::LeaseNotHeld);
        return false;
    }
    // A BackendServer that checks fencing tokens ends older requests itself after a takeover.
    const bool isCutToLease = !m_snapshot->self.backendChecksFencing;
    const TimePoint deadline
        = isCutToLease ? std::min(entry.request.deadline, leaseEnd) : entry.request.deadline;
    const auto &table = m_snapshot->services.at(service)->table;
    entry.key = {service, keyHash, table.baseSlot(keyHash), state.served->epoch};
    request.headers.emplace_back("Medlar-Deadline-Ms", millisecondsUntil(deadline, now));
    request.headers.emplace_back("Medlar-Slot-Table", service);
    request.headers.emplace_back("Medlar-Slot", std::to_string(state.slot));
    request.headers.emplace_back("Medlar-Fencing-Token", std::to_string(state.served->token));
    m_load.add(service, state.slot, keyHash);
    return true;
}

void LocalDispatcher::onBackendResult(RequestId id, Http::BackendResult result)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return; // given up before
    const CompletionResult completion = completionOf(result);
    AttemptResult attempt;
    if (result && isRefusal(*result)) {
        attempt = AttemptResult::notRun(ErrorCode::BackendNotRun);
    } else if (result) {
        attempt.outcome = Outcome::Answered;
        attempt.response = std::move(*result);
    } else if (result.error().sent) {
        attempt = AttemptResult::unknown(Http::toString(result.error().code));
    } else if (result.error().code == Http::BackendErrorCode::NotPermitted) {
        attempt = found->second.refusal;
    } else {
        attempt = AttemptResult::notRun(Http::toString(result.error().code));
    }
    finish(id, std::move(attempt), completion);
}

void LocalDispatcher::finish(RequestId id, AttemptResult result, CompletionResult completion)
{
    auto node = m_requests.extract(id);
    const Entry &entry = node.mapped();
    const TimePoint now = Clock::now();
    const bool wasRunning = entry.stage == Stage::Running;
    const Base::Duration latency = wasRunning ? now - entry.sendTime : Base::Duration(0);
    if (result.outcome == Outcome::Answered)
        m_backendLatency.add(latency);
    if (wasRunning && entry.request.route->keyed)
        m_drains.onEnded(entry.key);
    if (entry.stage != Stage::Waiting)
        m_admission.onCompleted(now, entry.ticket, {latency, completion});
    armAdmissionTimer();
    entry.done(std::move(result));
    if (m_requests.empty() && m_whenIdle)
        std::exchange(m_whenIdle, nullptr)();
}

void LocalDispatcher::whenIdle(std::function<void()> done)
{
    if (m_requests.empty())
        done();
    else
        m_whenIdle = std::move(done);
}

void LocalDispatcher::cancel(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    switch (found->second.stage) {
    case Stage::Waiting:
        m_admission.cancel(Clock::now(), found->second.ticket);
        finish(id, AttemptResult::notRun(ErrorCode::Cancelled), CompletionResult::NotSent);
        break;
    case Stage::Sending:
        m_backend.cancel(found->second.backendId); // ends through onBackendResult()
        break;
    case Stage::Running:
        giveUp(id);
        break;
    }
}

void LocalDispatcher::giveUp(RequestId id)
{
    const Entry &entry = m_requests.at(id);
    const std::string requestId = entry.request.requestId;
    m_backend.cancel(entry.backendId);
    finish(id, AttemptResult::unknown(ErrorCode::GivenUp), CompletionResult::Failed);
    cancelAtBackend(requestId);
}

void LocalDispatcher::cancelAtBackend(const std::string &requestId)
{
    Http::BackendRequest request;
    request.request = {"POST", "/cancel/" + percentEncoded(requestId), {}, {}, false};
    request.deadline = Clock::now() + CancelTimeout;
    request.done = [](const Http::BackendResult &) {};
    m_backend.send(std::move(request));
}

void LocalDispatcher::drain(DrainScope scope, TimePoint deadline, std::function<void()> done)
{
    m_drains.add(std::move(scope), deadline, std::move(done));
}

void LocalDispatcher::giveUpAll()
{
    std::vector<RequestId> ids;
    for (const auto &[id, entry] : m_requests)
        ids.push_back(id);
    for (const RequestId id : ids)
        cancel(id);
}

std::size_t LocalDispatcher::running() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(),
                      [](const auto &item) { return item.second.stage == Stage::Running; }));
}

} // namespace Medlar::Daemon
