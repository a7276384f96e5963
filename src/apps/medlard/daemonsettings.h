#pragma once

#include "daemon/controlplane.h"
#include "settings/check.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace Medlar {

/*! The checked settings of one daemon. */
struct DaemonSettings
{
    Daemon::ControlSettings control;
    Settings::Endpoint store;
    Settings::Endpoint backend;
    bool isLoopbackOnly = false; //!< no credential was configured
    bool logDecisions = true;
};

/*! Reads the flags of the program. Returns every setting that is not accepted. */
tl::expected<DaemonSettings, std::vector<Settings::SettingError>> readDaemonSettings();

} // namespace Medlar
