#pragma once

#include "base/time.h"
#include "keyrange/rangekeeper.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Medlar::Platform::Soak {

/*! Checks the product's guarantees from the observations of callers and backend servers. */
class SoakAudit
{
public:
    void onSent(const std::string &requestId, bool isIdempotent);
    /*! Called when a backend server starts to execute a request. */
    void onRun(const std::string &requestId, const std::string &backend);
    /*! \a status 0: the connection ended without a response. */
    void onAnswer(Base::TimePoint now, const std::string &requestId, unsigned status,
                  const std::string &body);
    void onGrant(const std::string &holder, const KeyRange::Range &range,
                 KeyRange::FencingToken token);
    void onViolation(const std::string &rule, const std::string &detail);

    static std::string bodyFor(const std::string &requestId) { return "answer to " + requestId; }

    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t sent() const { return m_requests.size(); }
    std::size_t served() const { return m_served; }
    /*! Share of the requests answered since \a since that were served. */
    double servedShareSince(Base::TimePoint since) const;

private:
    struct Request
    {
        bool isIdempotent = false;
        unsigned runs = 0;
        bool wasRefused = false;
    };
    struct KeyHistory
    {
        std::string holder;
        KeyRange::FencingToken token = 0;
    };
    struct Answer
    {
        Base::TimePoint at;
        bool isServed = false;
    };

    std::unordered_map<std::string, Request> m_requests;
    std::map<KeyRange::Key, KeyHistory> m_keys; //!< sampled keys only
    std::vector<Answer> m_answers;
    std::vector<std::string> m_violations;
    std::size_t m_served = 0;
};

} // namespace Medlar::Platform::Soak
