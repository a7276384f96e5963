#pragma once

#include <cstdint>

namespace Medlar::Store {

/*! Counts how often the store came back from a copy. Revisions that were given out after the copy
    was taken are given out again in the next era. */
using Era = std::uint64_t;

/*! Version of an object: the era and, in it, the revision of the whole store at the last change of
    the object; 0 means "no object". The era is in the upper bits, so that a version of a later era
    compares as newer whatever its revision is. The era is 0 until a restore has been noticed, see
    StoreEras. */
using Version = std::uint64_t;

/*! A thousand changes a second use up this many bits in 8,900 years. */
constexpr unsigned RevisionBits = 48;
constexpr Era MaxEra = (Era(1) << (64U - RevisionBits)) - 1;

constexpr Version versionOf(Era era, std::uint64_t revision)
{
    return (era << RevisionBits) | revision;
}
constexpr Era eraOf(Version version)
{
    return version >> RevisionBits;
}
constexpr std::uint64_t revisionOf(Version version)
{
    return version & ((Version(1) << RevisionBits) - 1);
}

} // namespace Medlar::Store
