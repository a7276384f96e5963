#include "selectorbalancer.h"

#include <algorithm>

namespace Medlar::Daemon {

using Balancing::AttemptResult;
using Balancing::Choice;
using Balancing::Replica;
using Cluster::NodeRecord;

namespace {

std::vector<const NodeRecord *> flatten(const CandidateTiers &tiers)
{
    std::vector<const NodeRecord *> result;
    for (const auto &tier : tiers.nodes)
        result.insert(result.end(), tier.begin(), tier.end());
    return result;
}

AttemptResult translated(NodeResult result)
{
    switch (result) {
    case NodeResult::Answered:
        return AttemptResult::Answered;
    case NodeResult::Overloaded:
        return AttemptResult::Rejected;
    case NodeResult::Failed:
        return AttemptResult::Failed;
    case NodeResult::Cancelled:
        return AttemptResult::LostHedge;
    }
    return AttemptResult::Cancelled;
}

} // namespace

SelectorBalancer::Service &SelectorBalancer::service(const std::string &name,
                                                     const CandidateTiers &tiers)
{
    Service &found = m_services[name];
    if (found.selector)
        return found;
    Balancing::SelectorSettings settings;
    settings.seed = m_seed;
    const auto &near = tiers.nodes[CandidateTiers::SameZone];
    const auto &region = tiers.nodes[CandidateTiers::SameRegion];
    if (!near.empty()) {
        settings.region = near.front()->region;
        settings.availabilityZone = near.front()->availabilityZone;
    } else if (!region.empty()) {
        settings.region = region.front()->region;
    }
    found.selector
        = Balancing::ReplicaSelector::create(Balancing::SelectorKind::LatencyAware, settings);
    return found;
}

// Returns whether the candidates of the route changed. Nodes that no route offers any more must not
// be chosen, but what was learnt of them is kept.
bool SelectorBalancer::refresh(Service &service, const CandidateTiers &tiers)
{
    Nodes nodes = flatten(tiers);
    Candidates &known = service.candidates[&tiers];
    if (known.nodes == nodes)
        return false;
    known.nodes = std::move(nodes);
    known.regions.clear();
    for (const NodeRecord *node : known.nodes) {
        known.regions.insert(node->region);
        service.replicas[node->instance]
            = Replica{node->instance, node->region, node->availabilityZone, true};
    }
    // Routes of a service differ in their regions only, so a node in one of these would be here.
    for (auto &[instance, replica] : service.replicas) {
        if (known.regions.count(replica.region) != 0 && !find(known.nodes, instance))
            replica.acceptsWork = false;
    }
    return true;
}

const NodeRecord *SelectorBalancer::find(const Nodes &nodes, const Base::InstanceId &instance)
{
    const auto found
        = std::find_if(nodes.begin(), nodes.end(),
                       [&instance](const NodeRecord *node) { return node->instance == instance; });
    return found == nodes.end() ? nullptr : *found;
}

void SelectorBalancer::onCandidatesChanged()
{
    for (auto &[name, state] : m_services)
        state.candidates.clear();
}

const NodeRecord *SelectorBalancer::choose(Base::TimePoint now, const std::string &name,
                                           const CandidateTiers &tiers,
                                           const std::vector<Base::InstanceId> &excluded)
{
    Service &state = service(name, tiers);
    if (refresh(state, tiers)) {
        std::vector<Replica> replicas;
        for (const auto &[instance, replica] : state.replicas)
            replicas.push_back(replica);
        state.selector->setReplicas(now, replicas);
    }
    const Candidates &candidates = state.candidates[&tiers];
    if (candidates.nodes.empty())
        return nullptr;
    Balancing::ReplicaRequest request;
    request.homeRegions = &candidates.regions;
    request.tried = &excluded;
    const auto choice = state.selector->choose(now, request);
    writeLog(state);
    if (!choice)
        return nullptr;
    const NodeRecord *node = find(candidates.nodes, choice->instance);
    if (state.latest)
        state.selector->onFinished(now, *state.latest, AttemptResult::Cancelled);
    state.latest.reset();
    if (!node)
        state.selector->onFinished(now, *choice, AttemptResult::Cancelled);
    else
        state.latest = choice;
    return node;
}

void SelectorBalancer::onStarted(Base::TimePoint, const std::string &name,
                                 const Base::InstanceId &node)
{
    Service &state = m_services[name];
    if (!state.latest || state.latest->instance != node)
        return;
    state.running[node].push_back(*state.latest);
    state.latest.reset();
}

void SelectorBalancer::onFinished(Base::TimePoint now, const std::string &name,
                                  const Base::InstanceId &node, NodeResult result,
                                  Base::Duration latency)
{
    Service &state = m_services[name];
    const auto running = state.running.find(node);
    if (running == state.running.end() || !state.selector)
        return;
    // The attempt that began latency ago; attempts at one node end in any order.
    const Base::TimePoint startedAt = now - latency;
    std::list<Choice> &choices = running->second;
    const auto nearest = std::min_element(
        choices.begin(), choices.end(), [startedAt](const Choice &a, const Choice &b) {
            const auto distance = [startedAt](const Choice &choice) {
                return choice.chosenAt < startedAt ? startedAt - choice.chosenAt
                                                   : choice.chosenAt - startedAt;
            };
            return distance(a) < distance(b);
        });
    const Choice choice = *nearest;
    choices.erase(nearest);
    if (choices.empty())
        state.running.erase(running);
    state.selector->onFinished(now, choice, translated(result));
    writeLog(state);
}

void SelectorBalancer::writeLog(Service &service)
{
    for (const Base::LogLine &line : service.selector->takeLogLines())
        m_log.write(line);
}

} // namespace Medlar::Daemon
