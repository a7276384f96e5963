#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Medlar::Experiments {

/*!
    A population of keys whose request rates follow Zipf's law. The most frequent keys are held one
   by one, the rest as one sum that counts as evenly distributed over the key space.
*/
class KeyPopulation
{
public:
    struct Key
    {
        std::uint64_t hash = 0; //!< 63 bits, as Base::keyHash
        double rate = 0.0;      //!< requests/s
    };

    KeyPopulation(std::uint64_t keyCount, double exponent, double totalRate, std::uint64_t seed);

    /*! Gives the \a count most frequent ranks to keys that were not among them. */
    void replaceHottest(std::size_t count, std::uint64_t seed);

    const std::vector<Key> &frequentKeys() const { return m_keys; }
    double restRate() const { return m_restRate; }
    double totalRate() const { return m_totalRate; }

private:
    std::vector<Key> m_keys;
    double m_restRate = 0.0;
    double m_totalRate = 0.0;
};

} // namespace Medlar::Experiments
