#include "decisionring.h"

#include <algorithm>

namespace Medlar::Logging {

void DecisionRing::add(Decision decision)
{
    m_decisions[m_end % m_decisions.size()] = std::move(decision);
    ++m_end;
}

std::vector<Decision> DecisionRing::findRequest(const std::string &requestId) const
{
    std::vector<Decision> found;
    for (std::uint64_t number = begin(); number < m_end; ++number) {
        if (at(number).requestId == requestId)
            found.push_back(at(number));
    }
    return found;
}

std::vector<Decision> DecisionRing::findSlot(const std::string &service, std::uint64_t slot,
                                             std::size_t limit) const
{
    std::vector<Decision> found;
    for (std::uint64_t number = m_end; number > begin() && found.size() < limit; --number) {
        const Decision &decision = at(number - 1);
        if (decision.slot == slot && decision.service == service)
            found.push_back(decision);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

} // namespace Medlar::Logging
