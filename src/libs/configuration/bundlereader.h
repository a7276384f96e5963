#pragma once

#include "bundlecontent.h"
#include "sourcenode.h"

#include <functional>

namespace Medlar::Configuration {

/*! Longest accepted name, in bytes. */
constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxTemplates = 1000;
constexpr std::size_t MaxAccounts = 5000;
constexpr std::size_t MaxRoutesPerAccount = 100;
constexpr std::size_t MaxParameters = 32;
constexpr std::size_t MaxListItems = 32;
constexpr std::size_t MaxValueBytes = 200;

/*!
    Names of templates, accounts, routes, services, regions and placeholders: 1 to MaxNameBytes
   letters, digits, '-', '_' and '.', starting with a letter or digit. Account and route names are
   used as path segments, so "." and ".." must not be names.
*/
bool isValidName(const std::string &name);

/*! What isValidName() accepts, for messages. */
extern const char *const AcceptedName;

/*!
    Reads documents into one BundleContent and collects every fault. Checks structure, names, field
   names and bounds; values of route fields are checked by the route compiler.
*/
class BundleReader
{
public:
    /*! Adds one operator's file. Names that another file defined already are errors. */
    void readFile(const SourceNode &root);

    /*! Reads the stored form, which has version and slot_counts in addition. */
    void readStored(const SourceNode &root);

    const BundleContent &content() const { return m_content; }
    const ConfigurationErrors &errors() const { return m_errors; }

    /*! Adds an error found outside, such as a file that cannot be parsed. */
    void addError(ConfigurationError error) { m_errors.push_back(std::move(error)); }

private:
    using EntryReader = std::function<void(const std::string &key, const SourceLocation &location,
                                           const SourceNode &value)>;

    void readSection(const std::string &name, const SourceNode &value);
    void readEntries(const std::string &path, const SourceNode &node, std::size_t maxEntries,
                     const EntryReader &reader);
    void readTemplate(const std::string &name, const SourceLocation &location,
                      const SourceNode &node);
    void readAccount(const std::string &name, const SourceLocation &location,
                     const SourceNode &node);
    AccountRoute readRoute(const std::string &path, const SourceLocation &location,
                           const SourceNode &node);
    ParameterValues readParameters(const std::string &path, const SourceNode &node);
    bool readValue(const std::string &path, const SourceLocation &location, const SourceNode &node,
                   ParameterValue &out);
    void readVersion(const SourceNode &node);
    void readSlotCounts(const SourceNode &node);
    void addError(const SourceLocation &location, const std::string &path, const std::string &value,
                  const std::string &problem, const std::string &accepted);

    BundleContent m_content;
    ConfigurationErrors m_errors;
};

} // namespace Medlar::Configuration
