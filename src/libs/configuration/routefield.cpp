#include "routefield.h"

#include "bundlereader.h"
#include "cluster/slottable.h"
#include "units.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Medlar::Configuration {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

using Problem = std::optional<std::string>;

constexpr milliseconds ShortestDeadline{1};
constexpr milliseconds LongestDeadline{600'000};
constexpr milliseconds ShortestRamp{1'000};
constexpr milliseconds LongestRamp{3'600'000};
constexpr double LowestRate = 0.1;
constexpr double HighestRate = 100'000;
constexpr std::uint64_t HighestConcurrency = 10'000;
constexpr std::uint64_t LongestQueue = 100'000;

constexpr std::array<const char *, 7> Methods{"GET",    "HEAD",  "POST",   "PUT",
                                              "DELETE", "PATCH", "OPTIONS"};

struct ClassName
{
    const char *name;
    Messages::RequestClass requestClass;
};
constexpr std::array<ClassName, 3> ClassNames{
    {{"first-answer", Messages::RequestClass::FirstAnswer},
     {"normal", Messages::RequestClass::Normal},
     {"bulk", Messages::RequestClass::Bulk}}};

Problem readCount(const ParameterValue &value, std::uint64_t lowest, std::uint64_t highest,
                  std::uint32_t &out)
{
    const auto count = parseCount(value.texts.front());
    if (!count)
        return "not a whole number";
    if (*count < lowest || *count > highest)
        return "out of bounds";
    out = static_cast<std::uint32_t>(*count);
    return std::nullopt;
}

Problem readDuration(const ParameterValue &value, milliseconds shortest, milliseconds longest,
                     milliseconds &out)
{
    const auto duration = parseDuration(value.texts.front());
    if (!duration)
        return parseCount(value.texts.front()) ? "the unit is missing"
                                               : "not a duration in whole milliseconds";
    if (*duration < shortest || *duration > longest)
        return "out of bounds";
    out = *duration;
    return std::nullopt;
}

// Fills a set; accepts an item by isAccepted and refuses items that are given twice.
template<typename IsAccepted>
Problem readSet(const ParameterValue &value, IsAccepted isAccepted, const char *problem,
                std::set<std::string> &out)
{
    out.clear();
    for (const std::string &item : value.texts) {
        if (!isAccepted(item))
            return "\"" + printable(item) + "\" " + problem;
        if (!out.insert(item).second)
            return "\"" + printable(item) + "\" is given twice";
    }
    return std::nullopt;
}

Problem readService(const ParameterValue &value, Route &route)
{
    route.service = value.texts.front();
    return isValidName(route.service) ? Problem() : Problem("invalid name");
}

Problem readKeyed(const ParameterValue &value, Route &route)
{
    route.keyed = value.texts.front() == "true";
    return route.keyed || value.texts.front() == "false" ? Problem() : Problem("not a boolean");
}

Problem readClass(const ParameterValue &value, Route &route)
{
    for (const ClassName &entry : ClassNames) {
        if (value.texts.front() == entry.name) {
            route.requestClass = entry.requestClass;
            return std::nullopt;
        }
    }
    return "unknown class";
}

Problem readNonIdempotent(const ParameterValue &value, Route &route)
{
    if (!value.isList)
        return "not a list";
    return readSet(
        value,
        [](const std::string &method) {
            return std::find(Methods.begin(), Methods.end(), method) != Methods.end();
        },
        "is not a known method", route.nonIdempotentMethods);
}

Problem readHomeRegions(const ParameterValue &value, Route &route)
{
    route.homeRegions.clear();
    if (!value.isList)
        return value.texts.front() == "any" ? Problem() : Problem("not a list");
    // Route treats an empty set as "any region", which must be asked for in words.
    if (value.texts.empty())
        return "the list is empty";
    return readSet(value, isValidName, "is not a valid name", route.homeRegions);
}

Problem readNewServerRate(const ParameterValue &value, Route &route)
{
    const auto rate = parseRate(value.texts.front());
    if (!rate)
        return parseCount(value.texts.front()) ? "the unit is missing" : "not a rate";
    if (*rate < LowestRate || *rate > HighestRate)
        return "out of bounds";
    route.newServerRate = *rate;
    return std::nullopt;
}

Problem readMaxConcurrency(const ParameterValue &value, Route &route)
{
    route.maxConcurrency = 0;
    if (value.texts.front() == "slots")
        return std::nullopt;
    return readCount(value, 1, HighestConcurrency, route.maxConcurrency);
}

std::string range(const std::string &lowest, const std::string &highest)
{
    return "from " + lowest + " to " + highest;
}

std::string durations(milliseconds shortest, milliseconds longest)
{
    return "a duration " + range(formatDuration(shortest), formatDuration(longest))
           + " with unit ms, s, min or h";
}

std::string counts(std::uint64_t lowest, std::uint64_t highest)
{
    return "a whole number " + range(std::to_string(lowest), std::to_string(highest));
}

std::vector<RouteField> makeRouteFields()
{
    return {
        {"service", true, false, AcceptedName, readService,
         [](const Route &route) { return json(route.service); }},
        {"keyed", false, false, "true, false", readKeyed,
         [](const Route &route) { return json(route.keyed); }},
        {"slot_count", false, false, counts(1, Cluster::MaxSlotsPerService),
         [](const ParameterValue &value, Route &route) {
             return readCount(value, 1, Cluster::MaxSlotsPerService, route.slotCount);
         },
         [](const Route &route) { return json(route.slotCount); }},
        {"deadline", false, false, durations(ShortestDeadline, LongestDeadline),
         [](const ParameterValue &value, Route &route) {
             return readDuration(value, ShortestDeadline, LongestDeadline, route.deadline);
         },
         [](const Route &route) { return json(formatDuration(route.deadline)); }},
        {"class", false, false, "first-answer, normal, bulk", readClass,
         [](const Route &route) {
             for (const ClassName &entry : ClassNames) {
                 if (entry.requestClass == route.requestClass)
                     return json(entry.name);
             }
             return json();
         }},
        {"non_idempotent", false, true,
         "a list of methods out of GET, HEAD, POST, PUT, DELETE, PATCH, OPTIONS", readNonIdempotent,
         [](const Route &route) { return json(route.nonIdempotentMethods); }},
        {"home_regions", false, true, "any, or a list of region names", readHomeRegions,
         [](const Route &route) {
             return route.homeRegions.empty() ? json("any") : json(route.homeRegions);
         }},
        {"new_server_rate", true, false,
         "a rate " + range(formatRate(LowestRate), formatRate(HighestRate))
             + " with unit /s or /min",
         readNewServerRate,
         [](const Route &route) { return json(formatRate(route.newServerRate)); }},
        {"ramp_time", true, false, durations(ShortestRamp, LongestRamp),
         [](const ParameterValue &value, Route &route) {
             return readDuration(value, ShortestRamp, LongestRamp, route.rampTime);
         },
         [](const Route &route) { return json(formatDuration(route.rampTime)); }},
        {"max_concurrency", false, false, "slots, or " + counts(1, HighestConcurrency),
         readMaxConcurrency,
         [](const Route &route) {
             return route.maxConcurrency == 0 ? json("slots") : json(route.maxConcurrency);
         }},
        {"max_queue", false, false, counts(0, LongestQueue),
         [](const ParameterValue &value, Route &route) {
             return readCount(value, 0, LongestQueue, route.maxQueue);
         },
         [](const Route &route) { return json(route.maxQueue); }},
    };
}

} // namespace

const std::vector<RouteField> &routeFields()
{
    static const std::vector<RouteField> fields = makeRouteFields();
    return fields;
}

const RouteField *findRouteField(const std::string &name)
{
    const auto &fields = routeFields();
    const auto found = std::find_if(fields.begin(), fields.end(), [&name](const RouteField &field) {
        return field.name == name;
    });
    return found == fields.end() ? nullptr : &*found;
}

std::optional<std::string> readField(const RouteField &field, const ParameterValue &value,
                                     Route &route)
{
    if (value.isList && !field.acceptsList)
        return "a list is not accepted";
    return field.read(value, route);
}

std::string routeFieldNames()
{
    std::string names;
    for (const RouteField &field : routeFields())
        names += (names.empty() ? "" : ", ") + std::string(field.name);
    return names;
}

} // namespace Medlar::Configuration
