#pragma once

#include "trafficsimulation.h"

namespace Medlar::Scenario {

/*! Index of "PREFIX-N" among \a count; empty when there is no such one. */
std::optional<std::size_t> parseIndexed(const std::string &word, const std::string &prefix,
                                        std::size_t count);

std::optional<Messages::RequestClass> parseRequestClass(const std::string &word);

/*! The printed lines and their times. */
using SessionLog = std::vector<std::pair<TrueTime, std::string>>;

/*! Measures a simulation for the "expect" statements of a traffic scenario. */
class TrafficExpectations
{
public:
    struct Answer
    {
        std::string text; //!< what was measured
        bool met = false;
    };

    TrafficExpectations(const TrafficSimulation &simulation, const SessionLog &log)
        : m_simulation(simulation), m_log(log)
    {}

    /*! \a words without "expect"; empty when they cannot be understood. */
    std::optional<Answer> check(Words words) const;

private:
    enum class Unit { Count, Ratio, Time };

    /*! A number, and the whole of which it may be a share. */
    struct Measure
    {
        double value = 0;
        Unit unit = Unit::Count;
        double whole = 0;
    };

    /*! Requests or starts between two times, if wanted of one class only. */
    struct Window
    {
        TrueTime from{0};
        TrueTime to = TrueTime::max();
        std::optional<Messages::RequestClass> requestClass;

        bool covers(TrueTime at) const { return at >= from && at < to; }
    };

    static std::optional<Window> takeWindow(Words &words);
    std::optional<Measure> measure(const Words &words, const Window &window) const;
    std::optional<Measure> measureBackend(const Words &words, const Window &window) const;
    std::optional<Measure> measureStarts(const Words &words, const Window &window) const;
    Measure measureLatency(const Window &window) const;
    Measure countLog(const std::string &event, const Window &window) const;
    std::vector<const TrafficRequest *> requests(const Window &window) const;
    Measure count(const Window &window,
                  const std::function<std::size_t(const TrafficRequest &)> &value) const;

    const TrafficSimulation &m_simulation;
    const SessionLog &m_log;
};

} // namespace Medlar::Scenario
