#pragma once

#include "replicaselector.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace Medlar::Balancing {

/*!
    Eligible replicas of the comparison selectors: those of the own region, or if there is none
   those of other home regions.
*/
class ReplicaList
{
public:
    explicit ReplicaList(std::string region) : m_region(std::move(region)) {}

    void assign(const std::vector<Replica> &replicas) { m_replicas = replicas; }
    std::size_t size() const { return m_replicas.size(); }
    const Replica &operator[](std::size_t index) const { return m_replicas[index]; }

    /*! Indexes of the replicas that may serve \a request. */
    std::vector<std::size_t> eligible(const ReplicaRequest &request) const;

private:
    std::string m_region;
    std::vector<Replica> m_replicas;
};

/*! Whether \a request may be served in \a region. */
bool allowsRegion(const ReplicaRequest &request, const std::string &region);

/*! Whether \a instance was already tried for \a request. */
bool wasTried(const ReplicaRequest &request, const Base::InstanceId &instance);

} // namespace Medlar::Balancing
