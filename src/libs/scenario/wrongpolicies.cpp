#include "wrongpolicies.h"

#include <algorithm>

namespace Medlar::Scenario {

namespace {

constexpr unsigned ManyAttempts = 6;
constexpr std::chrono::milliseconds ShortHedgeDelay{10};

using Nodes = std::vector<const Cluster::NodeRecord *>;

Nodes remaining(const Daemon::CandidateTiers &tiers, const std::vector<Base::InstanceId> &excluded)
{
    Nodes nodes;
    for (const auto &tier : tiers.nodes) {
        std::copy_if(tier.begin(), tier.end(), std::back_inserter(nodes), [&](const auto *node) {
            return std::find(excluded.begin(), excluded.end(), node->instance) == excluded.end();
        });
    }
    return nodes;
}

} // namespace

Daemon::AdmissionTicket UnboundedAdmission::offer(Base::TimePoint now,
                                                  const Daemon::AdmissionRequest &, Decide decide)
{
    const Daemon::AdmissionTicket ticket = ++m_lastTicket;
    m_waiting[ticket] = std::move(decide);
    pump(now);
    return ticket;
}

void UnboundedAdmission::onCompleted(Base::TimePoint now, Daemon::AdmissionTicket,
                                     const Daemon::Completion &)
{
    --m_running;
    pump(now);
}

void UnboundedAdmission::pump(Base::TimePoint now)
{
    while (m_running < m_slots && !m_waiting.empty()) {
        ++m_running;
        const auto next = m_waiting.extract(m_waiting.begin());
        next.mapped()(now, {true, {}, {}});
    }
}

const Cluster::NodeRecord *BlindBalancer::choose(Base::TimePoint, const std::string &,
                                                 const Daemon::CandidateTiers &tiers,
                                                 const std::vector<Base::InstanceId> &excluded)
{
    const Nodes nodes = remaining(tiers, excluded);
    return nodes.empty() ? nullptr : nodes[m_next++ % nodes.size()];
}

const Cluster::NodeRecord *LastNodeBalancer::choose(Base::TimePoint, const std::string &,
                                                    const Daemon::CandidateTiers &tiers,
                                                    const std::vector<Base::InstanceId> &excluded)
{
    const Nodes nodes = remaining(tiers, excluded);
    const auto last
        = std::max_element(nodes.begin(), nodes.end(),
                           [](const auto *a, const auto *b) { return a->instance < b->instance; });
    return last == nodes.end() ? nullptr : *last;
}

bool UnlimitedRetry::takeRetry(Base::TimePoint now, const Daemon::FailedAttempt &attempt)
{
    return now < attempt.deadline && attempt.attempts < ManyAttempts;
}

std::optional<Base::Duration> UnlimitedRetry::hedgeDelay(const std::string &) const
{
    return ShortHedgeDelay;
}

} // namespace Medlar::Scenario
