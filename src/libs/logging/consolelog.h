#pragma once

#include "base/logline.h"

#include <memory>
#include <string>

namespace Medlar::Logging {

/*! What every line says about the process that wrote it. */
struct LogIdentity
{
    std::string node;
    std::string availabilityZone;
    std::string service;
};

/*! "event=… node=… zone=… service=…" and then the other pairs of \a line. */
std::string formatLine(const LogIdentity &identity, const Base::LogLine &line);

/*! Writes lines to the standard output stream through log4cxx; the platform allows no files. */
class ConsoleLog : public Base::LogSink
{
public:
    /*! Sets log4cxx up for the whole process; the last call decides. */
    static std::unique_ptr<ConsoleLog> create(LogIdentity identity);
};

} // namespace Medlar::Logging
