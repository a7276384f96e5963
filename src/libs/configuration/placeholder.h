#pragma once

#include "bundlecontent.h"

#include <optional>
#include <set>
#include <string>

namespace Medlar::Configuration {

/*!
    The names of the placeholders ${NAME} in \a text, or nothing when one is not closed or has an
   invalid name.
*/
std::optional<std::set<std::string>> placeholdersIn(const std::string &text);

/*! The names of the placeholders in all texts of \a value; malformed texts count as having none. */
std::set<std::string> placeholdersIn(const ParameterValue &value);

/*!
    Replaces the placeholders of \a value, all of which are in \a parameters. A placeholder that is
   a whole value or list item may stand for a list. The location becomes that of the last parameter
   used. Returns nothing when a list is used inside a text.
*/
std::optional<ParameterValue> fillPlaceholders(const ParameterValue &value,
                                               const ParameterValues &parameters);

} // namespace Medlar::Configuration
