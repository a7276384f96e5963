#include "command.h"

#include "cluster/clustercodec.h"
#include "configuration/bundlediff.h"
#include "configuration/units.h"
#include "configurationstore.h"
#include "fleetview.h"
#include "historypruning.h"
#include "propagationwait.h"

#include <algorithm>

namespace Medlar::Cli {

using Configuration::ConfigurationBundle;
using nlohmann::json;

namespace {

Result<ConfigurationBundle> loadFiles(CommandContext &context)
{
    std::vector<Configuration::ConfigurationFile> files;
    Configuration::ConfigurationErrors unreadable;
    for (const std::string &path : context.arguments) {
        auto text = context.environment.readFile(path);
        if (text)
            files.push_back({path, std::move(*text)});
        else
            unreadable.push_back({{path, 0}, {}, {}, text.error(), "a readable file"});
    }
    if (!unreadable.empty())
        return tl::unexpected(rejected("files cannot be read", unreadable));
    auto bundle = ConfigurationBundle::fromFiles(files);
    if (!bundle)
        return tl::unexpected(
            rejected("the files are not valid; nothing was changed", bundle.error()));
    return std::move(*bundle);
}

void addSummary(Report &report, const ConfigurationBundle &bundle)
{
    report.add("templates", bundle.content().templates.size())
        .add("client_accounts", bundle.content().accounts.size())
        .add("routes", bundle.compile().routes.size());
}

// The change is complete, so a failure is only reported. The next change prunes what is left.
void pruneAfterChange(CommandContext &context, std::uint64_t currentVersion)
{
    const auto removed = pruneHistory(*context.store, currentVersion, context.options.keepVersions);
    if (!removed)
        context.environment.err << "the history was not pruned, the next change repeats it: "
                                << removed.error().message << '\n';
}

// Commits and, with --wait, waits; the report tells the version in both cases.
CommandResult commitAndWait(CommandContext &context, const ConfigurationBundle &bundle)
{
    ConfigurationStore configuration(*context.store);
    const auto outcome = configuration.commit(bundle, context.options.base, context.options.force);
    if (!outcome)
        return tl::unexpected(outcome.error());
    const char *const outcomeName = outcome->wasInForce   ? "unchanged"
                                    : outcome->wasResumed ? "resumed"
                                                          : "applied";
    Report result;
    result.add("version", outcome->version).add("result", outcomeName);
    if (outcome->currentVersion != outcome->version)
        result.add("replaced_by", outcome->currentVersion);
    if (!outcome->wasInForce)
        pruneAfterChange(context, outcome->currentVersion);
    if (!context.options.wait)
        return result;
    context.environment.err << "version " << outcome->version << ": " << outcomeName << '\n';
    auto waited = waitUntilInForce(context, outcome->version);
    Report &report = waited ? *waited : waited.error().detail;
    report.add("result", outcomeName);
    return waited;
}

// CBOR objects of the assignment as JSON; other values as they are.
std::string readable(const std::string &key, const std::string &value)
{
    const auto document = json::parse(value, nullptr, false);
    if (!document.is_discarded())
        return document.dump(2);
    const auto chunk = Cluster::decodeChunk(value);
    if (key.rfind(AssignmentPrefix, 0) != 0 || !chunk)
        return json(value).dump(-1, ' ', false, json::error_handler_t::replace);
    json entries = json::array();
    for (const Cluster::SlotAssignment &assignment : chunk->assignments)
        entries.push_back({{"slot", assignment.slot},
                           {"epoch", assignment.entry.epoch},
                           {"owners", Cluster::toJson(assignment.entry.owners)},
                           {"prior", Cluster::toJson(assignment.entry.prior)},
                           {"hot_keys", assignment.entry.hotKeys}});
    return json{{"service", chunk->service}, {"slot_count", chunk->slotCount}, {"entries", entries}}
        .dump(2);
}

CommandResult getObject(CommandContext &context, const std::string &key)
{
    const auto object = context.store->get(key);
    if (!object)
        return tl::unexpected(object.error());
    if (!*object)
        return fail(ExitCode::Failed, "there is no object " + key);
    const std::string text = readable(key, (*object)->value);
    Report report;
    report.add("key", key).add("object_version", (*object)->version);
    report.add("value", nlohmann::ordered_json::parse(text));
    report.setText(text);
    return report;
}

} // namespace

CommandResult runValidate(CommandContext &context)
{
    const auto bundle = loadFiles(context);
    if (!bundle)
        return tl::unexpected(bundle.error());
    Report report;
    report.add("result", "valid");
    addSummary(report, *bundle);
    return report;
}

CommandResult runDiff(CommandContext &context)
{
    const auto bundle = loadFiles(context);
    if (!bundle)
        return tl::unexpected(bundle.error());
    const auto current = ConfigurationStore(*context.store).current();
    if (!current)
        return tl::unexpected(current.error());
    Report report;
    report.add("current_version", *current ? (*current)->bundle.version() : 0);
    if (*current) {
        const auto errors = Configuration::checkSlotCounts((*current)->bundle, *bundle);
        if (!errors.empty())
            return tl::unexpected(rejected("apply would be rejected", errors));
    }
    addChanges(report, *current ? &(*current)->bundle : nullptr, *bundle);
    return report;
}

CommandResult runApply(CommandContext &context)
{
    const auto bundle = loadFiles(context);
    if (!bundle)
        return tl::unexpected(bundle.error());
    return commitAndWait(context, *bundle);
}

CommandResult runHistory(CommandContext &context)
{
    ConfigurationStore configuration(*context.store);
    const auto current = configuration.current();
    if (!current)
        return tl::unexpected(current.error());
    const std::uint64_t currentVersion = *current ? (*current)->bundle.version() : 0;

    // One read for each version shown: listing the prefix would return every version with its
    // value.
    std::vector<ConfigurationBundle> bundles;
    const std::uint64_t limit = context.options.limit;
    const auto oldest = oldestVersion(*context.store);
    if (!oldest)
        return tl::unexpected(oldest.error());
    const std::uint64_t first
        = std::max(currentVersion > limit ? currentVersion + 1 - limit : 1, *oldest);
    // The version before the first one shown is read for its number of changes.
    for (std::uint64_t version = std::max<std::uint64_t>(first, 2) - 1;
         version <= currentVersion + 1; ++version) {
        const auto stored = configuration.version(version);
        if (!stored && stored.error().code == ExitCode::Unreachable)
            return tl::unexpected(stored.error());
        if (stored && *stored)
            bundles.push_back((*stored)->bundle);
    }
    Report report;
    report.add("current_version", currentVersion);
    if (*oldest > 1 && first == *oldest)
        report.add("pruned", "versions below " + std::to_string(*oldest));
    report.addTable("versions",
                    {"version", "state", "templates", "client_accounts", "routes", "changes"});
    for (std::size_t i = bundles.size(); i-- > 0;) {
        const ConfigurationBundle &bundle = bundles[i];
        if (bundle.version() < first)
            continue;
        const bool hasPrevious = i > 0 && bundles[i - 1].version() + 1 == bundle.version();
        const char *const state = bundle.version() > currentVersion    ? "interrupted"
                                  : bundle.version() == currentVersion ? "current"
                                                                       : "replaced";
        const auto changes
            = hasPrevious
                  ? nlohmann::ordered_json(Configuration::diff(&bundles[i - 1], bundle).size())
                  : nlohmann::ordered_json();
        report.addRow({bundle.version(), state, bundle.content().templates.size(),
                       bundle.content().accounts.size(), bundle.compile().routes.size(), changes});
    }
    return report;
}

CommandResult runRollback(CommandContext &context)
{
    const std::string &text = context.arguments.front();
    const auto version = Configuration::parseCount(text);
    if (!version || *version == 0)
        return fail(ExitCode::UsageError,
                    "\"" + text + "\" is not a version; accepted: a whole number from 1");
    const auto stored = ConfigurationStore(*context.store).version(*version);
    if (!stored)
        return tl::unexpected(stored.error());
    if (!*stored) {
        const auto oldest = oldestVersion(*context.store);
        if (!oldest)
            return tl::unexpected(oldest.error());
        if (*version < *oldest)
            return fail(ExitCode::Failed, "version " + text
                                              + " was pruned from the history; the oldest version "
                                                "that is left is "
                                              + std::to_string(*oldest));
        return fail(ExitCode::Failed, "there is no version " + text + " in the history");
    }
    return commitAndWait(context, (*stored)->bundle);
}

CommandResult runGet(CommandContext &context)
{
    if (!context.arguments.empty())
        return getObject(context, context.arguments.front());
    const auto current = ConfigurationStore(*context.store).current();
    if (!current)
        return tl::unexpected(current.error());
    if (!*current)
        return fail(ExitCode::Failed, "no configuration was applied yet");

    auto object = nlohmann::ordered_json::parse((*current)->bundle.toObject());
    Report report;
    report.add("version", (*current)->bundle.version());
    report.add("templates", object["templates"]).add("client_accounts", object["client_accounts"]);
    // JSON is YAML, so the text can be edited and applied again; files have no version.
    const std::string version = std::to_string((*current)->bundle.version());
    object.erase("version");
    object.erase("slot_counts");
    report.setText("# version " + version + "\n" + object.dump(2));
    return report;
}

} // namespace Medlar::Cli
