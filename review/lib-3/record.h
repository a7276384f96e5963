// What was sent, answered and run, with the seconds since the start.
#pragma once

#include <chrono>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

class Record
{
public:
    explicit Record(const std::string &file) : m_file(file) {}

    double seconds(Clock::time_point at = Clock::now()) const
    {
        return std::chrono::duration<double>(at - m_start).count();
    }
    void line(const std::string &text)
    {
        m_file << std::fixed << std::setprecision(3) << seconds() << ' ' << text << std::endl;
    }

private:
    Clock::time_point m_start = Clock::now();
    std::ofstream m_file;
};

} // namespace review
