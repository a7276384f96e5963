#pragma once

#include "time.h"

namespace Medlar::Base {

/*! Returns \a duration times \a factor. */
inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

} // namespace Medlar::Base
