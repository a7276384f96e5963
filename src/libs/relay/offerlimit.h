#pragma once

#include <map>
#include <string>

namespace Medlar::Relay {

/*!
    Limits the number of nodes that a request is offered to. Handles the load pattern "all
    BackendServers of a service are full": each further offer would be declined as well, after a
   round trip, and cost processor time on VMs that are busy anyway. The limit falls to one as the
   share of accepted offers of a route falls, and rises again with the first offers that are
   accepted.
*/
class OfferLimit
{
public:
    /*! While most offers are accepted. Further offers of a request would arrive too late. */
    static constexpr unsigned MaxOffers = 5;

    // Commands

    /*! Records whether a node had room for a request of \a route. */
    void onOffered(const std::string &route, bool isAccepted);

    // Queries

    /*! Maximum number of nodes that a request of \a route is offered to, at least one. */
    unsigned maxOffers(const std::string &route) const;

private:
    std::map<std::string, double> m_acceptedShares; //!< moving averages, by route
};

} // namespace Medlar::Relay
