#pragma once

#include "accounts/accountdirectory.h"
#include "messages/peermessages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Medlar::Configuration {

/*! One route of one ClientAccount with all parameters filled in. */
struct Route
{
    std::string account;
    std::string name;
    std::string service;
    std::string table; //!< tableName() of this route, which each keyed request needs
    bool keyed = false;
    std::uint32_t slotCount = 0;       //!< of a keyed service; the same in all its routes
    std::set<std::string> homeRegions; //!< empty: any region
    std::set<std::string> nonIdempotentMethods;
    std::chrono::milliseconds deadline{1000}; //!< default and upper bound of a request's deadline
    Messages::RequestClass requestClass = Messages::RequestClass::Normal;
    double newServerRate = 0.0; //!< requests/s that a freshly started BackendServer may receive
    std::chrono::milliseconds rampTime{0}; //!< from newServerRate to no limit
    std::uint32_t maxConcurrency = 0; //!< requests in flight for each BackendServer, 0: its slots
    std::uint32_t maxQueue = 256;     //!< waiting requests for each BackendServer

    bool isIdempotent(const std::string &method) const
    {
        return nonIdempotentMethods.count(method) == 0;
    }
    bool allowsRegion(const std::string &region) const
    {
        return homeRegions.empty() || homeRegions.count(region) != 0;
    }
};

/*!
    Name of the slot table of a keyed route. Routes of one service with different home regions have
   different tables, because a slot has one owner and that owner must be allowed for every key in
   it.
*/
inline std::string tableName(const Route &route)
{
    std::string name = route.service;
    char separator = '@';
    for (const std::string &region : route.homeRegions) {
        name += separator;
        name += region;
        separator = '+';
    }
    return name;
}

/*! A service that gets a share of a route's requests. */
struct ServicePart
{
    std::string service;
    double weight = 1.0;
};

/*! A route that callers select by the Host header and the longest path prefix. */
struct PathRoute
{
    Route route;            //!< its service is the first part's
    std::string pathPrefix; //!< begins and ends with '/'
    std::vector<ServicePart> parts;
    bool idempotent = false;
    unsigned priority = 0;                      //!< 0 is the most urgent
    std::chrono::milliseconds targetLatency{0}; //!< a later answer is worth less
    unsigned maxAttempts = 1;                   //!< BackendServers that may run one request
    bool isAuthExempt = false;                  //!< callers need no key of a ClientAccount
};

/*! What the configuration says of the BackendServers of a service. */
struct ServiceDefinition
{
    std::string name;
    bool keyed = false;
    std::string healthPath;
    std::uint32_t maxConnections = 120;    //!< of one BackendServer, from all callers
    std::chrono::milliseconds coldTime{0}; //!< after a start
    double coldRequestsPerSecond = 0.0;    //!< that a cold BackendServer bears
    std::set<std::string> homeRegions;     //!< of all its routes that have any
};

/*! What callers may send, and how long they may take. */
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t(1024) * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/*! All routes of one configuration version. Immutable once published to traffic threads. */
struct RouteTable
{
    std::uint64_t version = 0;
    std::map<std::pair<std::string, std::string>, Route> routes; //!< by account and route name
    std::map<std::string, std::vector<PathRoute>> hosts; //!< by host in lower case; longest first
    std::map<std::string, ServiceDefinition> services;   //!< of the routes of hosts
    CallerLimits callerLimits;
    /*! Empty if the configuration has no accounts; requests then need no key. */
    std::shared_ptr<const Accounts::AccountDirectory> accounts;

    /*! The route of \a host (in lower case) with the longest prefix of \a path. */
    const PathRoute *findByPath(const std::string &host, std::string_view path) const
    {
        const auto found = hosts.find(host);
        if (found == hosts.end())
            return nullptr;
        for (const PathRoute &candidate : found->second) {
            if (path.substr(0, candidate.pathPrefix.size()) == candidate.pathPrefix)
                return &candidate;
        }
        return nullptr;
    }

    const Route *find(const std::string &account, const std::string &route) const
    {
        const auto found = routes.find({account, route});
        return found == routes.end() ? nullptr : &found->second;
    }

    /*! The slot counts of all keyed services that have a route. */
    std::map<std::string, std::uint32_t> slotCounts() const
    {
        std::map<std::string, std::uint32_t> result;
        for (const auto &[path, route] : routes) {
            if (route.keyed)
                result.emplace(route.service, route.slotCount);
        }
        return result;
    }
};

} // namespace Medlar::Configuration
