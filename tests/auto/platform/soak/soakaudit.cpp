#include "soakaudit.h"

#include <algorithm>

namespace Medlar::Platform::Soak {

namespace {

constexpr unsigned Ok = 200;
// Statuses that guarantee that the request was not executed and never will be.
constexpr unsigned NotRunStatuses[] = {503, 429, 421, 408};
constexpr KeyRange::Key KeySampleInterval = 512;

} // namespace

void SoakAudit::onSent(const std::string &requestId, bool isIdempotent)
{
    m_requests[requestId].isIdempotent = isIdempotent;
}

void SoakAudit::onRun(const std::string &requestId, const std::string &backend)
{
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end()) {
        onViolation("unasked", requestId + " is executed at " + backend);
        return;
    }
    Request &request = found->second;
    if (++request.runs > 1 && !request.isIdempotent)
        onViolation("twice", requestId + " is executed again at " + backend);
    if (request.wasRefused && !request.isIdempotent)
        onViolation("refused", requestId + " is executed at " + backend + " after its refusal");
}

void SoakAudit::onAnswer(Base::TimePoint now, const std::string &requestId, unsigned status,
                         const std::string &body)
{
    Request &request = m_requests.at(requestId);
    const bool isNotRun = std::find(std::begin(NotRunStatuses), std::end(NotRunStatuses), status)
                          != std::end(NotRunStatuses);
    m_answers.push_back({now, status == Ok});
    if (status == Ok) {
        ++m_served;
        if (body != bodyFor(requestId) || request.runs == 0)
            onViolation("mixed", requestId + " got a wrong response body or was never executed");
    } else if (isNotRun) {
        request.wasRefused = true;
        if (request.runs > 0 && !request.isIdempotent)
            onViolation("refused", requestId + " was refused after it was executed");
    }
}

void SoakAudit::onGrant(const std::string &holder, const KeyRange::Range &range,
                        KeyRange::FencingToken token)
{
    const KeyRange::Key first
        = (range.first + KeySampleInterval - 1) / KeySampleInterval * KeySampleInterval;
    for (KeyRange::Key key = first; key <= range.last; key += KeySampleInterval) {
        KeyHistory &known = m_keys[key];
        if (known.holder != holder && token <= known.token)
            onViolation("owner", "key " + std::to_string(key) + " is granted to " + holder
                                     + " with token " + std::to_string(token) + ", but "
                                     + known.holder + " already had token "
                                     + std::to_string(known.token));
        if (token >= known.token)
            known = {holder, token};
    }
}

void SoakAudit::onViolation(const std::string &rule, const std::string &detail)
{
    m_violations.push_back(rule + ": " + detail);
}

double SoakAudit::servedShareSince(Base::TimePoint since) const
{
    double answers = 0.0;
    double served = 0.0;
    for (auto answer = m_answers.rbegin(); answer != m_answers.rend() && answer->at >= since;
         ++answer) {
        answers += 1.0;
        served += answer->isServed ? 1.0 : 0.0;
    }
    return answers > 0.0 ? served / answers : 0.0;
}

} // namespace Medlar::Platform::Soak
