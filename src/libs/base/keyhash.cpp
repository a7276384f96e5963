#include "keyhash.h"

#include <xxhash.h>

namespace Medlar::Base {

std::uint64_t keyHash(std::string_view key)
{
    return seededHash(key, 0) >> 1U;
}

std::uint64_t seededHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace Medlar::Base
