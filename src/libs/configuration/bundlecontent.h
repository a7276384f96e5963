#pragma once

#include "configurationerror.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Medlar::Configuration {

/*! A scalar or a list of scalars as written, possibly with placeholders such as ${regions}. */
struct ParameterValue
{
    bool isList = false;
    std::vector<std::string> texts; //!< exactly one for a scalar
    SourceLocation location;
};

inline bool operator==(const ParameterValue &a, const ParameterValue &b)
{
    return a.isList == b.isList && a.texts == b.texts;
}

using ParameterValues = std::map<std::string, ParameterValue>;

/*! The fields of a route; placeholders are filled in by the accounts that use the template. */
struct RouteTemplate
{
    ParameterValues fields;
    ParameterValues defaults; //!< of placeholders
    SourceLocation location;
};

/*! One use of a template. Its parameters take precedence over those of the account. */
struct AccountRoute
{
    std::string templateName;
    ParameterValues parameters;
    SourceLocation location;
};

struct ClientAccount
{
    ParameterValues parameters; //!< for all routes of the account
    std::map<std::string, AccountRoute> routes;
    SourceLocation location;
};

/*! What the files of a configuration say, merged but not checked as a whole. */
struct BundleContent
{
    std::uint64_t version = 0; //!< 0: never applied
    std::map<std::string, RouteTemplate> templates;
    std::map<std::string, ClientAccount> accounts;
    /*!
        Slot counts of all keyed services of this and earlier versions. A service that is removed
       keeps its count, because its assignment stays in the store.
    */
    std::map<std::string, std::uint32_t> slotCounts;
};

} // namespace Medlar::Configuration
