#pragma once

#include "base/instanceid.h"

#include <string>

namespace Medlar::Placement {

/*! A node as the planner sees it. */
struct PlanNode
{
    Base::InstanceId instance;
    std::string region;
    std::string availabilityZone;
    double capacity = 1.0;    //!< relative to other nodes
    bool acceptsSlots = true; //!< false while draining, out of service or outside the home regions
};

} // namespace Medlar::Placement
