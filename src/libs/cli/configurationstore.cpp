#include "configurationstore.h"

#include "configuration/bundlediff.h"
#include "historypruning.h"

namespace Medlar::Cli {

using Configuration::ConfigurationBundle;

namespace {

std::uint64_t versionOf(const std::optional<StoredBundle> &stored)
{
    return stored ? stored->bundle.version() : 0;
}

} // namespace

CommandError rejected(const std::string &message, const Configuration::ConfigurationErrors &errors)
{
    Report detail;
    detail.addTable("errors", {"file", "line", "field", "value", "problem", "accepted"});
    std::string text;
    for (const Configuration::ConfigurationError &error : errors) {
        detail.addRow({error.location.file, error.location.line, error.field, error.value,
                       error.problem, error.accepted});
        text += error.toString() + "\n";
    }
    detail.setText(text);
    return {ExitCode::Failed, message, std::move(detail)};
}

void addChanges(Report &report, const ConfigurationBundle *before, const ConfigurationBundle &after)
{
    report.addTable("changes", {"change", "subject", "field", "before", "after"});
    for (const auto &change : Configuration::diff(before, after))
        report.addRow({std::string(toString(change.kind)), change.subject, change.field,
                       change.before, change.after});
}

Result<std::optional<StoredBundle>> ConfigurationStore::current()
{
    return read(Configuration::CurrentBundleKey);
}

Result<std::optional<StoredBundle>> ConfigurationStore::version(std::uint64_t version)
{
    return read(historyKey(version));
}

Result<std::optional<StoredBundle>> ConfigurationStore::read(const std::string &key)
{
    const auto object = m_store.get(key);
    if (!object)
        return tl::unexpected(object.error());
    if (!*object)
        return std::optional<StoredBundle>();
    auto bundle = ConfigurationBundle::fromObject(key, (*object)->value);
    if (!bundle)
        return tl::unexpected(
            rejected("the object " + key + " is not a valid configuration", bundle.error()));
    return std::optional<StoredBundle>({std::move(*bundle), (*object)->version});
}

// What a change is based on. With force, the latest version of the history stands in for a current
// object that is missing or not valid, so that a damaged store can be repaired.
Result<ConfigurationStore::Basis> ConfigurationStore::basis(bool force)
{
    auto stored = current();
    if (stored && *stored)
        return Basis{std::move((*stored)->bundle), (*stored)->objectVersion, false};
    if (!stored && (!force || stored.error().code != ExitCode::Failed))
        return tl::unexpected(stored.error());
    if (!force)
        return Basis{};

    const auto object = m_store.get(Configuration::CurrentBundleKey);
    if (!object)
        return tl::unexpected(object.error());
    const auto history = m_store.list(Configuration::BundleHistoryPrefix);
    if (!history)
        return tl::unexpected(history.error());
    Basis result{std::nullopt, *object ? (*object)->version : 0, true};
    for (const Store::StoredObject &entry : *history) {
        auto bundle = ConfigurationBundle::fromObject(entry.key, entry.value);
        if (bundle && bundle->version() > result.version())
            result.bundle = std::move(*bundle);
    }
    return result;
}

Result<CommitOutcome> ConfigurationStore::commit(const ConfigurationBundle &bundle,
                                                 std::uint64_t base, bool force)
{
    const auto previous = basis(force);
    if (!previous)
        return tl::unexpected(previous.error());
    const bool isInForce
        = !previous->isRecovered && previous->bundle && previous->bundle->hasSameContent(bundle);
    if (base != 0 && base != previous->version())
        return tl::unexpected(conflict(bundle, base,
                                       isInForce ? "the configuration was changed to the same "
                                                   "content"
                                                 : "the configuration was changed"));
    if (isInForce)
        return CommitOutcome{previous->version(), true, false, previous->version()};

    const auto next = previous->bundle ? bundle.succeeding(*previous->bundle)
                                       : Configuration::BundleResult(bundle.asFirstVersion());
    if (!next)
        return tl::unexpected(rejected("the configuration is rejected", next.error()));
    const auto wasResumed = writeHistory(*next, *previous);
    if (!wasResumed)
        return tl::unexpected(wasResumed.error());

    const auto outcome
        = m_store.put(Configuration::CurrentBundleKey, next->toObject(), previous->objectVersion);
    if (!outcome) {
        CommandError error = outcome.error();
        error.message += "; version " + std::to_string(next->version())
                         + " is recorded, and the same command resumes it";
        return tl::unexpected(std::move(error));
    }
    if (*outcome != BlockingStore::PutOutcome::Conflict)
        return CommitOutcome{next->version(), false, *wasResumed, next->version()};

    const auto now = current();
    if (now && versionOf(*now) > next->version())
        return overtaken(*next, previous->version(), versionOf(*now), *wasResumed);
    return tl::unexpected(
        conflict(bundle, previous->version(), "somebody else changed the configuration"));
}

// The history holds this change as its version. A later version can only follow it, so somebody
// else made it current and then replaced it. The exception is a call that was delayed for so long
// that its version had been taken and pruned before it wrote the history object again. Such an
// object is younger than that of the following version, or there is no following version.
Result<CommitOutcome> ConfigurationStore::overtaken(const ConfigurationBundle &mine,
                                                    std::uint64_t base, std::uint64_t now,
                                                    bool wasResumed)
{
    const CommitOutcome replaced{mine.version(), false, wasResumed, now};
    if (now - mine.version() < MinKeptVersions)
        return replaced;
    const std::string key = historyKey(mine.version());
    const auto recorded = m_store.get(key);
    if (!recorded)
        return tl::unexpected(recorded.error());
    const auto following = m_store.get(historyKey(mine.version() + 1));
    if (!following)
        return tl::unexpected(following.error());
    if (!*recorded || (*recorded)->value != mine.toObject())
        return fail(ExitCode::Failed,
                    "version " + std::to_string(mine.version())
                        + " is no longer in the history; whether your change was in force before "
                          "version "
                        + std::to_string(now) + " replaced it is unknown; use diff to find out");
    if (*following && (*following)->version > (*recorded)->version)
        return replaced;
    // A failed removal is repeated by the next change, which prunes versions of this age.
    m_store.remove(key, (*recorded)->version);
    return tl::unexpected(conflict(mine, base, "somebody else changed the configuration"));
}

// Returns whether an earlier call had written the same object.
Result<bool> ConfigurationStore::writeHistory(const ConfigurationBundle &next,
                                              const Basis &previous)
{
    const std::string key = historyKey(next.version());
    const auto outcome = m_store.put(key, next.toObject(), 0);
    if (!outcome)
        return tl::unexpected(outcome.error());
    if (*outcome != BlockingStore::PutOutcome::Conflict)
        return *outcome == BlockingStore::PutOutcome::AlreadyWritten;

    const auto object = m_store.get(key);
    if (!object)
        return tl::unexpected(object.error());
    if (!*object)
        return fail(ExitCode::Failed, "the object " + key + " was removed during the change");
    const auto other = ConfigurationBundle::fromObject(key, (*object)->value);
    if (other && other->version() == next.version())
        return tl::unexpected(finishOther(next, *other, previous));

    // No call can make an invalid object current, so it may be replaced.
    const auto replaced = m_store.put(key, next.toObject(), (*object)->version);
    if (!replaced)
        return tl::unexpected(replaced.error());
    if (*replaced == BlockingStore::PutOutcome::Conflict)
        return tl::unexpected(
            conflict(next, previous.version(), "somebody else changed the configuration"));
    return false;
}

// Makes the recorded change of somebody else current, who may have been interrupted or may be
// about to do the same. Both writes carry the same value and condition, so one of them takes
// effect.
CommandError ConfigurationStore::finishOther(const ConfigurationBundle &mine,
                                             const ConfigurationBundle &other,
                                             const Basis &previous)
{
    const auto outcome
        = m_store.put(Configuration::CurrentBundleKey, other.toObject(), previous.objectVersion);
    if (!outcome)
        return outcome.error();
    const bool isCurrent = *outcome != BlockingStore::PutOutcome::Conflict;
    return conflict(mine, previous.version(),
                    "version " + std::to_string(other.version())
                        + " with other content was recorded first"
                        + (isCurrent ? " and is now current" : ""));
}

CommandError ConfigurationStore::conflict(const ConfigurationBundle &mine, std::uint64_t base,
                                          const std::string &reason)
{
    CommandError error{ExitCode::Conflict, reason + "; nothing of your change was applied", {}};
    error.detail.add("base_version", base);
    const auto now = current();
    if (!now)
        return error;
    error.detail.add("current_version", versionOf(*now));
    // Shows what applying the rejected files now would undo or change.
    addChanges(error.detail, *now ? &(*now)->bundle : nullptr, mine);
    return error;
}

} // namespace Medlar::Cli
