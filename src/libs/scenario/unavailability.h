#pragma once

#include "simulation.h"

namespace Medlar::Scenario {

/*! Samples which slots and hot keys no running node serves, and for how long. */
class Unavailability
{
public:
    Unavailability(Simulation &simulation, TrueTime interval);

    /*! Samples until \a end. */
    void start(TrueTime end);
    /*! The longest time without an owner, up to now. */
    TrueTime worst() const { return m_worst; }
    /*! Slots and hot keys without an owner at the last sample. */
    std::size_t unservedCount() const { return m_unservedSince.size(); }

private:
    void sample();

    Simulation &m_simulation;
    TrueTime m_interval;
    TrueTime m_worst{0};
    std::map<Cluster::SlotId, TrueTime> m_unservedSince;
};

} // namespace Medlar::Scenario
