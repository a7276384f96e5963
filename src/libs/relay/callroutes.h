#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace Medlar::Relay {

/*!
    Recognizes the routes whose requests are calls of BackendServers. Requests of clients originate
    on the VMs of all services, calls only on the VMs of the service that makes them.

    A route counts as a call route as soon as it is very unlikely that requests of clients would all
    have originated on VMs of one service. The first request from a VM of another service ends this.
    Only requests that originate on another node than the previous one of their route count, since
    several requests of one client are not independent of each other.
*/
class CallRoutes
{
public:
    /*! Routes beyond this number are treated as routes of clients. */
    static constexpr std::size_t MaxRoutes = 1024;

    // Commands

    /*! Sets the number of linked nodes of each service. */
    void setNodes(std::map<std::string, std::size_t> nodesByService);
    /*! Records a request that originated on \a node, whose VM has \a service. Returns whether
     * isCall() has changed for the route. */
    bool onRequest(Base::TimePoint now, const std::string &route, const std::string &node,
                   const std::string &service);

    // Queries

    bool isCall(const std::string &route) const;
    std::size_t size() const { return m_routes.size(); }

private:
    struct Origin
    {
        std::string service;
        std::string lastNode;
        /*! Logarithm of the probability that requests of clients have the same origins. */
        double logProbability = 0.0;
        Base::TimePoint lastRequest;
    };

    static bool isCall(const Origin &origin);
    void removeOld(Base::TimePoint now);

    std::map<std::string, std::size_t> m_nodesByService;
    std::size_t m_nodes = 0;
    std::unordered_map<std::string, Origin> m_routes;
    Base::TimePoint m_nextCleanup;
};

} // namespace Medlar::Relay
