#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Medlar::Experiments {

/*! A placement of keys that needs no stored assignment; the baselines of the placement experiment.
 */
class HashPlacement
{
public:
    virtual ~HashPlacement() = default;

    /*! Keys go to the node with the index hash mod node count. */
    static std::unique_ptr<HashPlacement> createModulo();
    /*! A ring with \a pointsPerNode points for each node. */
    static std::unique_ptr<HashPlacement> createRing(std::size_t pointsPerNode);

    virtual void setNodes(const std::vector<std::string> &names) = 0;
    virtual const std::string &nodeOf(std::uint64_t keyHash) const = 0;
};

} // namespace Medlar::Experiments
