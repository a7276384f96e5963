#pragma once

#include "base/logline.h"
#include "cluster/clustercodec.h"
#include "cluster/noderecord.h"
#include "configuration/routetable.h"
#include "messages/peermessages.h"
#include "spreading/objectreplica.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Medlar::Daemon {

struct NodeAnnounced
{
    Cluster::NodeRecord record;
};

struct NodeWithdrawn
{
    std::string node;
};

struct EntriesLearnt
{
    Cluster::AssignmentChunk chunk;
};

struct InstanceSealed
{
    Messages::Sealed seal;
};

/*! The route table, zones or servers out of service, or the planner changed. */
struct PolicyChanged
{};

/*! The object is invalid; what was in force before stays in force. */
struct ObjectRejected
{
    std::string key;
    std::string detail;
};

using ViewChange = std::variant<NodeAnnounced, NodeWithdrawn, EntriesLearnt, InstanceSealed,
                                PolicyChanged, ObjectRejected>;

/*! Translates the text of the stored configuration; an error text says why it is refused. */
using ConfigurationParser
    = std::function<tl::expected<Configuration::RouteTable, std::string>(const std::string &)>;

/*! The control state that a daemon derives from the objects of the store. */
class ControlView
{
public:
    explicit ControlView(ConfigurationParser parser);

    /*! Takes over an object; an object that is invalid changes nothing. */
    std::vector<ViewChange> apply(const std::string &key, const Spreading::HeldObject &object);

    const std::shared_ptr<const Configuration::RouteTable> &routes() const { return m_routes; }
    const std::map<std::string, Cluster::NodeRecord> &nodes() const { return m_nodes; }
    const std::set<std::string> &zonesOut() const { return m_zonesOut; }
    const std::set<std::string> &nodesOut() const { return m_nodesOut; }
    const std::optional<Base::InstanceId> &planner() const { return m_planner; }

private:
    std::vector<ViewChange> applyNode(const std::string &name, const std::string &key,
                                      const Spreading::HeldObject &object);
    std::vector<ViewChange> applyZone(const std::string &zone, const std::string &key,
                                      const Spreading::HeldObject &object);
    std::vector<ViewChange> applyServer(const std::string &node, const std::string &key,
                                        const Spreading::HeldObject &object);
    std::vector<ViewChange> applyConfiguration(const std::string &key, const std::string &value);
    std::vector<ViewChange> applyPlanner(const Spreading::HeldObject &object);

    ConfigurationParser m_parser;
    std::shared_ptr<const Configuration::RouteTable> m_routes;
    std::map<std::string, Cluster::NodeRecord> m_nodes; //!< by node name
    std::set<std::string> m_zonesOut;
    std::set<std::string> m_nodesOut;
    std::optional<Base::InstanceId> m_planner;
};

} // namespace Medlar::Daemon
