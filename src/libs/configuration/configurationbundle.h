#pragma once

#include "bundlecontent.h"
#include "routetable.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace Medlar::Configuration {

/*! Key of the object with the bundle in force. */
extern const char *const CurrentBundleKey;
/*! Prefix of the objects with all bundles; the version follows. */
extern const char *const BundleHistoryPrefix;

/*! Largest accepted stored form, in bytes; the object store takes values up to 1 MB. */
constexpr std::size_t MaxBundleBytes = 1'000'000;
constexpr std::size_t MaxFiles = 256;

/*! One YAML file. */
struct ConfigurationFile
{
    std::string name;
    std::string text;
};

class ConfigurationBundle;
using BundleResult = tl::expected<ConfigurationBundle, ConfigurationErrors>;

/*! A complete and valid configuration: templates, accounts and version. Immutable. */
class ConfigurationBundle
{
public:
    /*! Merges YAML files into a bundle with version 0. The errors are all that were found. */
    static BundleResult fromFiles(const std::vector<ConfigurationFile> &files);

    /*! Reads the stored form; \a key is named in errors. */
    static BundleResult fromObject(const std::string &key, const std::string &value);

    /*!
        This bundle as the version after \a previous. Fails when a service that is or was in
       \a previous has another slot count, since its keys would be assigned to other slots.
    */
    BundleResult succeeding(const ConfigurationBundle &previous) const;

    /*! This bundle as version 1 of a store without configuration. */
    ConfigurationBundle asFirstVersion() const;

    /*! Canonical JSON; equal for all files with the same meaning except for parameter texts. */
    std::string toObject() const;

    /*! The routes with all parameters filled in. */
    const RouteTable &compile() const { return m_routes; }

    std::uint64_t version() const { return m_content.version; }
    const BundleContent &content() const { return m_content; }

    /*! Whether both have the same templates and accounts, whatever their versions. */
    bool hasSameContent(const ConfigurationBundle &other) const;

private:
    ConfigurationBundle(BundleContent content, RouteTable routes);
    static BundleResult create(BundleContent content, ConfigurationErrors errors);

    BundleContent m_content;
    RouteTable m_routes;
};

/*! Faults of \a next as the successor of \a previous; see ConfigurationBundle::succeeding(). */
ConfigurationErrors checkSlotCounts(const ConfigurationBundle &previous,
                                    const ConfigurationBundle &next);

/*! Validates and compiles the value of the object config/current, for daemons. */
tl::expected<RouteTable, std::vector<ConfigurationError>>
routeTableFromObject(const std::string &objectValue);

} // namespace Medlar::Configuration
