#pragma once

#include "bundlecontent.h"
#include "routetable.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Medlar::Configuration {

/*! How one field of a template is read into a Route and written back. */
struct RouteField
{
    const char *name;
    bool isRequired;
    bool acceptsList;
    std::string accepted; //!< with units and bounds, for messages and documentation

    /*! Called by readField() once the kind of value is known to fit. */
    std::optional<std::string> (*read)(const ParameterValue &value, Route &route);

    /*! The field in its canonical form, which read() accepts. */
    nlohmann::json (*write)(const Route &route);
};

/*! All fields of a template except defaults, in the order in which they are documented. */
const std::vector<RouteField> &routeFields();

/*! The field of that name, or nullptr. */
const RouteField *findRouteField(const std::string &name);

/*! Reads \a value into \a route; returns the problem when it is not accepted. */
std::optional<std::string> readField(const RouteField &field, const ParameterValue &value,
                                     Route &route);

/*! All names, separated by commas. */
std::string routeFieldNames();

} // namespace Medlar::Configuration
