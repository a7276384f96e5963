#include "command.h"

#include "configuration/configurationbundle.h"
#include "fleetview.h"

#include <algorithm>

namespace Medlar::Cli {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds LongestWatch{10'000};
constexpr milliseconds RetryPause{500};

std::string summaryOf(const std::string &key, const std::string &value)
{
    const auto startsWith = [&key](const char *prefix) { return key.rfind(prefix, 0) == 0; };
    const auto object = nlohmann::json::parse(value, nullptr, false);
    if (startsWith("medlar/config/")) {
        const auto version = object.is_object() ? object.find("version") : object.end();
        return version != object.end() ? "version " + version->dump() : "invalid";
    }
    if (startsWith(AssignmentPrefix) || startsWith(SealedPrefix) || object.is_discarded())
        return std::to_string(value.size()) + " bytes";
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Renewals every two seconds would hide the changes that operators look for.
bool isShown(const std::string &key)
{
    return key != "medlar/planner/lease";
}

void show(CommandContext &context, const Store::ObjectChange &change)
{
    if (!isShown(change.key))
        return;
    Report report;
    report.add("revision", change.version).add("key", change.key);
    const std::string summary = change.value ? summaryOf(change.key, *change.value) : "removed";
    report.add("change", summary);
    report.setText(std::to_string(change.version) + " " + change.key + " " + summary);
    report.print(context.environment.out, context.options.output);
    context.environment.out.flush();
}

} // namespace

CommandResult runWatch(CommandContext &context)
{
    Environment &environment = context.environment;
    // The first call tells the current revision: objects changed before are not shown.
    const auto objects = context.store->list("medlar/");
    if (!objects)
        return tl::unexpected(objects.error());
    Store::Version after = 0;
    for (const Store::StoredObject &object : *objects)
        after = std::max(after, object.version);

    const auto start = environment.now();
    bool isFailing = false;
    while (true) {
        milliseconds left = LongestWatch;
        if (context.options.timeout)
            left = std::min(left, std::chrono::duration_cast<milliseconds>(
                                      start + *context.options.timeout - environment.now()));
        if (left.count() <= 0)
            return Report();
        const auto result = context.store->watch("medlar/", after, left);
        if (result) {
            isFailing = false;
            for (const Store::ObjectChange &change : result->changes)
                show(context, change);
            after = std::max(after, result->revision);
            continue;
        }
        if (result.error().code == Store::StoreErrorCode::NotFound) {
            after = std::max(after, result.error().currentVersion);
            environment.err << "changes up to revision " << after << " were missed\n";
        } else if (!isFailing) {
            environment.err << "the store does not answer: " << result.error().detail << '\n';
            isFailing = true;
        }
        environment.sleep(std::min(left, RetryPause));
    }
}

} // namespace Medlar::Cli
