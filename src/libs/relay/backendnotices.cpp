#include "backendnotices.h"

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

} // namespace Medlar::Relay
