#include "reportcommand.h"

#include "report/reportpage.h"
#include "settings/commandline.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DECLARE_string(compare);
DECLARE_string(out);

namespace Medlar {

namespace {

int fail(const std::string &detail)
{
    std::cerr << "medlarbench: " << detail << '\n';
    return Settings::ExitCodeFailure;
}

} // namespace

int runReportCommand(const std::string &path)
{
    const auto now = Report::readRuns(path);
    if (!now)
        return fail(now.error().toString());
    std::optional<Report::RunSet> earlier;
    if (!FLAGS_compare.empty()) {
        auto read = Report::readRuns(FLAGS_compare);
        if (!read)
            return fail("--compare: " + read.error().toString());
        earlier = std::move(*read);
    }
    const std::string page = Report::reportPage(*now, earlier);
    if (FLAGS_out.empty()) {
        std::cout << page << std::flush;
        return std::cout ? Settings::ExitCodeSuccess : fail("the page cannot be printed");
    }
    std::ofstream file(FLAGS_out, std::ios::binary | std::ios::trunc);
    file << page;
    file.close();
    return file ? Settings::ExitCodeSuccess : fail("--out=" + FLAGS_out + " cannot be written");
}

} // namespace Medlar
