#include "accountlabels.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Medlar::Accounts {

std::string AccountLabels::count(const std::string &account)
{
    if (account.empty())
        return None;
    ++m_counts[account];
    if (++m_counted >= Window) {
        std::vector<std::pair<std::uint32_t, std::string>> largest;
        for (const auto &[name, requests] : m_counts) {
            if (requests >= MinRequests && m_labels.count(name) == 0)
                largest.emplace_back(requests, name);
        }
        std::sort(largest.rbegin(), largest.rend());
        for (auto &[requests, name] : largest) {
            if (m_labels.size() < MaxLabels)
                m_labels.insert(std::move(name));
        }
        m_counts.clear();
        m_counted = 0;
    }
    return m_labels.count(account) != 0 ? account : Other;
}

} // namespace Medlar::Accounts
