#pragma once

#include "blockingstore.h"
#include "configuration/configurationbundle.h"

#include <optional>

namespace Medlar::Cli {

/*! A bundle with the version of its object in the store. */
struct StoredBundle
{
    Configuration::ConfigurationBundle bundle;
    Store::Version objectVersion = 0;
};

/*! What commit() did. */
struct CommitOutcome
{
    std::uint64_t version = 0;
    bool wasInForce = false; //!< the configuration was current before
    bool wasResumed = false; //!< an earlier, interrupted call had written the history object
    std::uint64_t currentVersion = 0; //!< higher than version when it was replaced already
};

/*!
    Reads and changes the configuration in the store. A change writes the object
   config/history/VERSION first and then config/current, each under the condition that nobody else
   has changed it. Whoever finds a history object without the current one finishes that change
   first, so no version number ever names two configurations.
*/
class ConfigurationStore
{
public:
    explicit ConfigurationStore(BlockingStore &store) : m_store(store) {}

    /*! The configuration in force, nothing when none was ever applied. */
    Result<std::optional<StoredBundle>> current();

    /*! A version from the history, nothing when there is none. */
    Result<std::optional<StoredBundle>> version(std::uint64_t version);

    /*!
        Makes \a bundle the next version. \a base is the version that must be current, 0 for any,
       also when the content is in force already.
       With \a force, a current object that is missing or not valid is replaced by the version after
       the latest one of the history. Fails with ExitCode::Conflict, showing both versions, when
       somebody else's change came first.
    */
    Result<CommitOutcome> commit(const Configuration::ConfigurationBundle &bundle,
                                 std::uint64_t base, bool force);

private:
    /*! What a change is based on. */
    struct Basis
    {
        std::optional<Configuration::ConfigurationBundle> bundle;
        Store::Version objectVersion = 0; //!< of the current object
        bool isRecovered = false;         //!< the current object is not the bundle

        std::uint64_t version() const { return bundle ? bundle->version() : 0; }
    };

    Result<Basis> basis(bool force);
    Result<std::optional<StoredBundle>> read(const std::string &key);
    Result<CommitOutcome> overtaken(const Configuration::ConfigurationBundle &mine,
                                    std::uint64_t base, std::uint64_t now, bool wasResumed);
    Result<bool> writeHistory(const Configuration::ConfigurationBundle &next,
                              const Basis &previous);
    CommandError finishOther(const Configuration::ConfigurationBundle &mine,
                             const Configuration::ConfigurationBundle &other,
                             const Basis &previous);
    CommandError conflict(const Configuration::ConfigurationBundle &mine, std::uint64_t base,
                          const std::string &reason);

    BlockingStore &m_store;
};

/*! Errors of a configuration as a failed command: one line each, or a table in JSON. */
CommandError rejected(const std::string &message, const Configuration::ConfigurationErrors &errors);

/*! Adds the table "changes" to \a report. */
void addChanges(Report &report, const Configuration::ConfigurationBundle *before,
                const Configuration::ConfigurationBundle &after);

} // namespace Medlar::Cli
