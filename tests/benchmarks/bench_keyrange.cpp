#include "keyrange/rangechanges.h"
#include "keyrange/rangekeeper.h"
#include "keyrange/rangeplanner.h"

#include <benchmark/benchmark.h>

#include <random>

namespace Medlar::KeyRange {
namespace {

/*! Nodes, table and loads of a service that has been balanced for a while. */
struct Service
{
    explicit Service(std::size_t nodeCount, double excess)
    {
        constexpr std::size_t RangesPerNode = 28;
        std::mt19937_64 random(1);
        std::uniform_real_distribution<double> part(0.0, 0.4);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            RangeNode node;
            node.id = "sidecar-zone-" + std::to_string(100 + i) + "/10.0.0." + std::to_string(i);
            node.takesRanges = true;
            node.slots = 6.0;
            node.relativeServiceTime = 0.8 + part(random);
            nodes.push_back(node);
        }
        const std::size_t count = nodeCount * RangesPerNode;
        std::vector<RangeRow> rows;
        for (std::size_t i = 0; i < count; ++i) {
            const auto first = static_cast<Key>((LastKey + 1) * i / count);
            const auto last = static_cast<Key>((LastKey + 1) * (i + 1) / count - 1);
            rows.push_back({{first, last}, nodes[i % nodeCount].id, 1, {}, {}});
            // Every fourth node is busier than the others.
            const bool isBusy = i % nodeCount % 4 == 0;
            loads.push_back({rows.back().range, part(random) * (isBusy ? excess : 0.2)});
        }
        table = *RangeTable::create(std::move(rows), 1);
    }

    std::vector<RangeNode> nodes;
    std::vector<RangeLoad> loads;
    RangeTable table = *RangeTable::create({{{0, LastKey}, "one", 1, {}, {}}}, 1);
};

void plan(benchmark::State &state)
{
    const Service service(static_cast<std::size_t>(state.range(0)),
                          static_cast<double>(state.range(1)));
    std::size_t moves = 0;
    for (auto _ : state) {
        RangePlanner planner;
        const auto next
            = planner.plan(Base::TimePoint(), service.table, service.nodes, service.loads);
        moves = 0;
        for (const RangeRow &row : next ? next->rows() : service.table.rows())
            moves += row.successor.empty() ? 0 : 1;
    }
    state.counters["moves"] = static_cast<double>(moves);
}

void writeAndRead(benchmark::State &state)
{
    const Service service(static_cast<std::size_t>(state.range(0)), 1.0);
    for (auto _ : state)
        benchmark::DoNotOptimize(RangeTable::parse(service.table.toJson()));
}

void wantedTable(benchmark::State &state)
{
    const Service service(static_cast<std::size_t>(state.range(0)), 1.0);
    RangeKeeper keeper(service.nodes.front().id, Base::TimePoint(), {});
    keeper.onTable(Base::TimePoint(), 1, service.table);
    for (auto _ : state)
        benchmark::DoNotOptimize(keeper.wantedTable(Base::TimePoint()));
}

void applyChangesOfAllNodes(benchmark::State &state)
{
    const Service service(static_cast<std::size_t>(state.range(0)), 1.0);
    RangeChanges pending;
    pending.onTable(1, nullptr, service.table);
    for (std::size_t i = 0; i < service.nodes.size(); ++i) {
        RangeRow row = service.table.rows()[i];
        row.owner = service.nodes[(i + 1) % service.nodes.size()].id;
        row.epoch = 2;
        const auto changed = service.table.withRows({row}, 2);
        pending.add({1, changed->deltaFrom(service.table)});
    }
    for (auto _ : state) {
        RangeChanges changes = pending;
        benchmark::DoNotOptimize(changes.applied(service.table, 1));
    }
}

BENCHMARK(plan)->Args({46, 1})->Args({46, 2})->Args({46, 4})->Args({103, 2})->Args({103, 4})->Unit(
    benchmark::kMillisecond);
BENCHMARK(writeAndRead)->Arg(46)->Arg(103)->Unit(benchmark::kMillisecond);
BENCHMARK(wantedTable)->Arg(46)->Arg(103)->Unit(benchmark::kMillisecond);
BENCHMARK(applyChangesOfAllNodes)->Arg(46)->Arg(103)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace Medlar::KeyRange
