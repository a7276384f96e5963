#pragma once

#include <cstdint>
#include <string_view>

namespace Medlar::Base {

/*!
    Hash of a request key: the upper 63 bits of XXH64 with seed 0. The top bit of the result is 0;
   slot ids use it to mark hot keys. All daemons must agree on this function, so it never changes.
*/
std::uint64_t keyHash(std::string_view key);

/*! Hash of \a text under \a seed, for choices that need several independent hashes. */
std::uint64_t seededHash(std::string_view text, std::uint64_t seed);

} // namespace Medlar::Base
