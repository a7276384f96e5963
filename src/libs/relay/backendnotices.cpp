#include "backendnotices.h"

namespace Medlar::Relay {

bool BackendNotices::onResponse(const BackendNotice &notice)
{
    const std::optional<double> formerLimit = m_maxRequestsPerSecond;
    const bool endsLimit = notice.isComplete && notice.unreadableLimit.empty();
    if (notice.maxRequestsPerSecond || endsLimit)
        m_maxRequestsPerSecond = notice.maxRequestsPerSecond;
    return m_maxRequestsPerSecond != formerLimit;
}

} // namespace Medlar::Relay
