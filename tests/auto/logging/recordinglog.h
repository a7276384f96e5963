#pragma once

#include "base/logline.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Medlar::Logging {

/*! Keeps all lines. */
class RecordingLog : public Base::LogSink
{
public:
    void write(const Base::LogLine &line) override { lines.push_back(line.toString()); }

    /*! Number of lines that contain \a part. */
    std::size_t count(const std::string &part) const
    {
        return static_cast<std::size_t>(
            std::count_if(lines.begin(), lines.end(), [&part](const std::string &line) {
                return line.find(part) != std::string::npos;
            }));
    }

    std::vector<std::string> lines;
};

} // namespace Medlar::Logging
