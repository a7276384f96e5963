#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace Medlar::Accounts {

/*!
    Selects the accounts that are shown one by one in metrics. There may be thousands of accounts,
    and a label is never removed from the metrics of a process, so only accounts with a large part
    of the requests get one. Memory is bounded by the window.
*/
class AccountLabels
{
public:
    /*! Most labels besides Other and None. */
    static constexpr std::size_t MaxLabels = 32;
    /*! Requests after which the labels are selected again. */
    static constexpr std::uint32_t Window = 1024;
    /*! Requests in a window that give an account its label: 2%. */
    static constexpr std::uint32_t MinRequests = 20;
    static constexpr char Other[] = "other";
    static constexpr char None[] = "none";

    // Commands

    /*! Counts a request of \a account and returns the label under which it is shown. */
    std::string count(const std::string &account);

private:
    std::unordered_map<std::string, std::uint32_t> m_counts; //!< in the present window
    std::set<std::string> m_labels;
    std::uint32_t m_counted = 0;
};

} // namespace Medlar::Accounts
