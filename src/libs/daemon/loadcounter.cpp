#include "loadcounter.h"

#include <algorithm>

namespace Medlar::Daemon {

using Messages::SlotWeight;

namespace {

constexpr std::size_t MaxCountedKeys = 64;
// Keep a summary within 2 KB of the byte budget.
constexpr std::size_t MaxReportedSlots = 128;
constexpr std::size_t MaxReportedKeys = 16;

std::vector<SlotWeight> heaviest(std::vector<SlotWeight> weights, std::size_t limit)
{
    std::sort(weights.begin(), weights.end(), [](const SlotWeight &a, const SlotWeight &b) {
        return a.requests != b.requests ? a.requests > b.requests : a.slot < b.slot;
    });
    weights.resize(std::min(weights.size(), limit));
    return weights;
}

} // namespace

void LoadCounter::add(const std::string &service, Cluster::SlotId slot, std::uint64_t keyHash)
{
    ServiceLoad &load = m_services[service];
    ++load.requests;
    ++load.slots[slot];
    load.addKey(keyHash);
}

void LoadCounter::ServiceLoad::addKey(std::uint64_t keyHash)
{
    const auto known = keyIndexes.find(keyHash);
    if (known != keyIndexes.end()) {
        ++keys[known->second].requests;
        return;
    }
    if (keys.size() < MaxCountedKeys) {
        keyIndexes.emplace(keyHash, keys.size());
        keys.push_back({keyHash, 1});
        return;
    }
    const auto lowest
        = std::min_element(keys.begin(), keys.end(), [](const SlotWeight &a, const SlotWeight &b) {
              return a.requests < b.requests;
          });
    keyIndexes.erase(lowest->slot);
    keyIndexes.emplace(keyHash, static_cast<std::size_t>(lowest - keys.begin()));
    *lowest = {keyHash, lowest->requests + 1};
}

std::vector<Messages::LoadSummary> LoadCounter::take(Base::TimePoint now,
                                                     const Base::InstanceId &self)
{
    std::vector<Messages::LoadSummary> result;
    const auto window = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_start);
    for (auto &[service, load] : m_services) {
        std::vector<SlotWeight> slots;
        slots.reserve(load.slots.size());
        for (const auto &[slot, requests] : load.slots)
            slots.push_back({slot, requests});
        for (SlotWeight &key : load.keys)
            key.slot |= Cluster::HotKeyBit;
        result.push_back({self, service, window, heaviest(std::move(slots), MaxReportedSlots),
                          heaviest(std::move(load.keys), MaxReportedKeys), load.requests});
    }
    m_services.clear();
    m_start = now;
    return result;
}

} // namespace Medlar::Daemon
