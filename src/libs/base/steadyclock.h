#pragma once

#include "time.h"

namespace Medlar::Base {

/*! The present time, for adapters; decision modules receive it as an argument. */
inline TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace Medlar::Base
