#pragma once

#include "base/logline.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Medlar::Logging {

/*! One routing decision and the versions it was based on. Formatted only when it is written. */
struct Decision
{
    std::string requestId;
    std::string account;
    std::string route;
    std::string service;
    std::optional<std::uint64_t> slot; //!< of a keyed service
    std::string chosen;                //!< node of the chosen BackendServer, empty when rejected
    std::string reason;
    std::uint64_t epoch = 0;
    std::uint64_t configurationVersion = 0;

    Base::LogLine toLine() const;
};

} // namespace Medlar::Logging
