#include "witnesschoice.h"

#include "base/keyhash.h"

#include <algorithm>
#include <set>

namespace Medlar::Ownership {

namespace {

constexpr std::uint64_t WitnessHashSeed = 3;

/*! Ranks \a witness for \a holder and the claim of the holder to the witness. */
std::uint64_t rankOf(const std::string &holder, const std::string &witness)
{
    return Base::seededHash(holder + '/' + witness, WitnessHashSeed);
}

/*! Picks records in ranking order under changing conditions. */
class Picker
{
public:
    Picker(const Cluster::NodeRecord &self, std::vector<const Cluster::NodeRecord *> ranked)
        : m_self(self), m_ranked(std::move(ranked))
    {}

    template<typename Condition>
    void pick(Condition condition)
    {
        if (m_result.size() >= WitnessCount)
            return;
        const auto found = std::find_if(m_ranked.begin(), m_ranked.end(), [&](const auto *record) {
            return !isPicked(*record) && condition(*record);
        });
        if (found == m_ranked.end())
            return;
        m_zones.emplace((*found)->region, (*found)->availabilityZone);
        m_result.push_back((*found)->instance);
    }

    bool isOwnRegion(const Cluster::NodeRecord &record) const
    {
        return record.region == m_self.region;
    }
    bool isNewZone(const Cluster::NodeRecord &record) const
    {
        return m_zones.count({record.region, record.availabilityZone}) == 0;
    }

    std::vector<Base::InstanceId> result() const { return m_result; }

private:
    bool isPicked(const Cluster::NodeRecord &record) const
    {
        return std::find(m_result.begin(), m_result.end(), record.instance) != m_result.end();
    }

    const Cluster::NodeRecord &m_self;
    std::vector<const Cluster::NodeRecord *> m_ranked;
    std::set<std::pair<std::string, std::string>> m_zones;
    std::vector<Base::InstanceId> m_result;
};

} // namespace

WitnessChoice::WitnessChoice(const Cluster::NodeRecord &self, const InstanceDirectory &directory,
                             const std::vector<Base::InstanceId> &current)
    : m_self(self), m_directory(directory)
{
    const std::string &own = self.instance.node;
    for (const auto &[node, record] : directory.records()) {
        if (node == own || directory.isSealed(record.instance))
            continue;
        for (const Base::InstanceId &witness : record.witnesses) {
            // Of a witness with too many holders, those with the lowest claims leave. Nobody joins.
            const bool isMine = std::find(current.begin(), current.end(), witness) != current.end();
            if (!isMine || rankOf(node, witness.node) > rankOf(own, witness.node))
                ++m_claims[witness];
        }
    }
}

bool WitnessChoice::isFull(const Base::InstanceId &witness) const
{
    const auto claims = m_claims.find(witness);
    return claims != m_claims.end() && claims->second >= MaxDuties;
}

std::vector<const Cluster::NodeRecord *>
WitnessChoice::rankedCandidates(const std::unordered_set<Base::InstanceId> &excluded) const
{
    std::vector<std::tuple<bool, std::uint64_t, const Cluster::NodeRecord *>> scored;
    for (const auto &[node, record] : m_directory.records()) {
        if (node == m_self.instance.node || excluded.count(record.instance) != 0
            || !m_directory.isActive(record.instance))
            continue;
        scored.emplace_back(!isFull(record.instance), rankOf(m_self.instance.node, node), &record);
    }
    std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
        return std::tie(std::get<0>(a), std::get<1>(a)) > std::tie(std::get<0>(b), std::get<1>(b));
    });
    std::vector<const Cluster::NodeRecord *> ranked;
    ranked.reserve(scored.size());
    for (const auto &[hasRoom, rank, record] : scored)
        ranked.push_back(record);
    return ranked;
}

std::vector<Base::InstanceId>
WitnessChoice::choose(const std::unordered_set<Base::InstanceId> &excluded) const
{
    Picker picker(m_self, rankedCandidates(excluded));
    const auto inRegionNewZone
        = [&](const auto &r) { return picker.isOwnRegion(r) && picker.isNewZone(r); };
    const auto otherRegionNewZone
        = [&](const auto &r) { return !picker.isOwnRegion(r) && picker.isNewZone(r); };
    picker.pick(inRegionNewZone);
    picker.pick(inRegionNewZone);
    picker.pick(otherRegionNewZone);
    for (std::size_t i = 0; i < WitnessCount; ++i)
        picker.pick([&](const auto &r) { return picker.isNewZone(r); });
    for (std::size_t i = 0; i < WitnessCount; ++i)
        picker.pick([](const auto &) { return true; });
    return picker.result();
}

WitnessQuality WitnessChoice::qualityOf(const std::vector<Base::InstanceId> &witnesses) const
{
    WitnessQuality quality;
    std::set<std::pair<std::string, std::string>> zones;
    for (const Base::InstanceId &witness : witnesses) {
        const auto record = m_directory.records().find(witness.node);
        if (record == m_directory.records().end() || !m_directory.isActive(witness))
            continue;
        ++quality.size;
        zones.emplace(record->second.region, record->second.availabilityZone);
        if (record->second.region == m_self.region)
            ++quality.inOwnRegion;
        else
            quality.hasOtherRegion = true;
        if (!isFull(witness))
            ++quality.notFull;
    }
    quality.zones = zones.size();
    quality.inOwnRegion = std::min<std::size_t>(quality.inOwnRegion, 2);
    return quality;
}

} // namespace Medlar::Ownership
