#pragma once

#include "configurationbundle.h"

#include <string>
#include <string_view>
#include <vector>

namespace Medlar::Configuration {

enum class ChangeKind {
    TemplateAdded,
    TemplateRemoved,
    TemplateChanged, //!< one field
    RouteAdded,
    RouteRemoved,
    RouteChanged //!< one field, after parameters are filled in
};

/*! A name such as template-added. */
std::string_view toString(ChangeKind kind);

/*! One difference between two bundles. */
struct ConfigurationChange
{
    ChangeKind kind = ChangeKind::RouteChanged;
    std::string subject; //!< TEMPLATE, or ACCOUNT/ROUTE
    std::string field;   //!< empty unless one field changed
    std::string before;
    std::string after;
};

/*!
    What changes from \a before to \a after: templates as written, then the resulting routes, each
   in the order of their names. Without \a before everything is new.
*/
std::vector<ConfigurationChange> diff(const ConfigurationBundle *before,
                                      const ConfigurationBundle &after);

} // namespace Medlar::Configuration
