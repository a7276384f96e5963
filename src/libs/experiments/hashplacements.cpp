#include "hashplacements.h"

#include "base/keyhash.h"

namespace Medlar::Experiments {

namespace {

class ModuloPlacement final : public HashPlacement
{
public:
    void setNodes(const std::vector<std::string> &names) override { m_names = names; }
    const std::string &nodeOf(std::uint64_t keyHash) const override
    {
        return m_names[keyHash % m_names.size()];
    }

private:
    std::vector<std::string> m_names;
};

class RingPlacement final : public HashPlacement
{
public:
    explicit RingPlacement(std::size_t pointsPerNode) : m_pointsPerNode(pointsPerNode) {}

    void setNodes(const std::vector<std::string> &names) override
    {
        m_ring.clear();
        for (const std::string &name : names) {
            for (std::size_t point = 0; point < m_pointsPerNode; ++point)
                m_ring[Base::seededHash(name, point) >> 1U] = name;
        }
    }

    const std::string &nodeOf(std::uint64_t keyHash) const override
    {
        const auto next = m_ring.lower_bound(keyHash);
        return next == m_ring.end() ? m_ring.begin()->second : next->second;
    }

private:
    std::size_t m_pointsPerNode;
    std::map<std::uint64_t, std::string> m_ring;
};

} // namespace

std::unique_ptr<HashPlacement> HashPlacement::createModulo()
{
    return std::make_unique<ModuloPlacement>();
}

std::unique_ptr<HashPlacement> HashPlacement::createRing(std::size_t pointsPerNode)
{
    return std::make_unique<RingPlacement>(pointsPerNode);
}

} // namespace Medlar::Experiments
