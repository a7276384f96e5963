#pragma once

#include "blockingstore.h"
#include "cluster/noderecord.h"
#include "spreading/acknowledgements.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Medlar::Cli {

extern const char *const NodesPrefix;
extern const char *const ZonesPrefix;
extern const char *const ServersPrefix;
extern const char *const StatusPrefix;
extern const char *const SealedPrefix;
extern const char *const AssignmentPrefix;

/*! What operators decided about one server, the object servers/NODE. */
struct ServerDecision
{
    std::string state; //!< drain, active or confirmed-dead
    std::string instance;
};

/*! The nodes, zones and decisions of operators as stored at one time. */
struct FleetView
{
    std::vector<Cluster::NodeRecord> nodes;
    std::set<std::string> zonesOut;
    std::map<std::string, ServerDecision> servers;
    std::map<std::string, Spreading::ZoneStatus> statuses; //!< by zone
    std::set<std::string> ended;         //!< instances that are sealed or confirmed dead
    std::vector<std::string> unreadable; //!< keys of objects that are not valid
    Store::Version statusRevision = 0;   //!< from which to watch for further statuses

    /*! Whether \a node is expected to acknowledge configurations. */
    bool isLive(const Cluster::NodeRecord &node) const;
    /*! Zones with at least one live node. */
    std::set<std::string> liveZones() const;
    /*! All zones that a node, a status or a decision names. */
    std::set<std::string> zones() const;
};

Result<FleetView> readFleet(BlockingStore &store);

/*! The part of \a key behind \a prefix. */
std::string nameIn(const std::string &key, const std::string &prefix);

/*! A string field of a JSON object in text form, empty when there is none. */
std::string stringField(const std::string &jsonText, const char *field);

} // namespace Medlar::Cli
