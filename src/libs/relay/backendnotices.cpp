#include "backendnotices.h"

#include <algorithm>
#include <cmath>

namespace Medlar::Relay {

bool BackendNotices::onResponse(const BackendNotice &notice)
{
    const bool wasLeaving = m_isLeaving;
    const std::optional<double> formerLimit = m_maxRequestsPerSecond;
    m_isLeaving = m_isLeaving || notice.isLeaving;
    const bool endsLimit = notice.isComplete && notice.unreadableLimit.empty();
    if (notice.maxRequestsPerSecond || endsLimit)
        m_maxRequestsPerSecond = notice.maxRequestsPerSecond;
    return m_isLeaving != wasLeaving || m_maxRequestsPerSecond != formerLimit;
}

std::uint64_t toThousandths(std::optional<double> perSecond)
{
    constexpr double Thousandths = 1000.0;
    constexpr double MaxPerSecond = 1e6;
    if (!perSecond || *perSecond > MaxPerSecond)
        return 0;
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(*perSecond * Thousandths));
}

bool mustSendAtOnce(const Messages::NodeNotice &sent, const Messages::NodeNotice &current)
{
    constexpr double MinUrgentChange = 0.2;
    const auto former = static_cast<double>(sent.limitThousandths);
    const auto limit = static_cast<double>(current.limitThousandths);
    return sent.isLeaving != current.isLeaving
           || std::abs(limit - former) > MinUrgentChange * std::min(limit, former);
}

} // namespace Medlar::Relay
