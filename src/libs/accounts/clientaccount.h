#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Medlar::Accounts {

/*! What one version of the configuration says of a ClientAccount, without its credentials. */
struct ClientAccount
{
    std::string name;
    std::optional<std::uint32_t> priority; //!< replaces the priority of the route; 0: most urgent
    double ratePerSecond = 0.0;            //!< over all nodes; 0: no limit
    double burst = 0.0;                    //!< requests beyond the rate; 0: none
    std::set<std::string> allowedRegions;  //!< empty: any region

    bool isLimited() const { return ratePerSecond > 0.0; }
};

/*! Returns the regions that both the route and the account allow, where an empty set allows any
    region; nullopt if no region is allowed by both. */
std::optional<std::set<std::string>> commonRegions(const std::set<std::string> &route,
                                                   const std::set<std::string> &account);

} // namespace Medlar::Accounts
