#pragma once

#include "bundlecontent.h"
#include "routetable.h"

namespace Medlar::Configuration {

/*! The outcome of compileRoutes(): the table is complete only when there are no errors. */
struct CompiledRoutes
{
    RouteTable table;
    ConfigurationErrors errors;
};

/*!
    Fills the placeholders of each route and checks all values, and that the routes of a service
   agree on whether it is keyed and on its slot count. Values that the reader could not read are
   skipped, because they are reported already.
*/
CompiledRoutes compileRoutes(const BundleContent &content);

/*! Whether \a value has a placeholder such as ${regions}. */
bool hasPlaceholder(const ParameterValue &value);

/*! The value in one line, lists in brackets. */
std::string shownValue(const ParameterValue &value);

} // namespace Medlar::Configuration
