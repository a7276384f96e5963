// What was sent, answered and run, with the time since the start.
#pragma once

#include "net.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace Review {

class Record
{
public:
    explicit Record(const std::string &file) : m_file(file), m_startedAt(Clock::now()) {}

    void write(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f ",
                      std::chrono::duration<double>(Clock::now() - m_startedAt).count());
        m_file << time << text << std::endl;
    }
    /*! Notes a broken rule. */
    void fail(const std::string &text)
    {
        write("BROKEN " + text);
        const std::lock_guard lock(m_mutex);
        ++m_failures;
    }
    int failures() const
    {
        const std::lock_guard lock(m_mutex);
        return m_failures;
    }

private:
    mutable std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_startedAt;
    int m_failures = 0;
};

} // namespace Review
