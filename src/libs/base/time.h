#pragma once

#include <chrono>

namespace Medlar::Base {

/*! A point on the steady clock. Decision modules receive it as an argument and never read a clock.
 */
using TimePoint = std::chrono::steady_clock::time_point;

/*! A span of steady time. */
using Duration = std::chrono::steady_clock::duration;

} // namespace Medlar::Base
