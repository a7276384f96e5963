#include "daemonprocess.h"
#include "settings/commandline.h"

#include <iostream>

namespace {

constexpr char Usage[] = R"(medlard - routes requests to the one owner of their key.

Runs beside each backend server. Exit codes: 0 stopped gracefully, 1 failed to
start or stopped at once by a second signal, 2 a setting is not accepted.)";

} // namespace

int main(int argc, char **argv)
{
    using namespace Medlar;

    const Settings::ProgramInfo program{"medlard", Usage, MEDLAR_VERSION, "daemonsettings.cpp"};
    switch (Settings::readCommandLine(program, argc, argv)) {
    case Settings::CommandLineAction::ExitSuccess:
        return Settings::ExitCodeSuccess;
    case Settings::CommandLineAction::ExitUsage:
        return Settings::ExitCodeUsage;
    case Settings::CommandLineAction::Run:
        break;
    }
    if (argc > 1) {
        std::cerr << "medlard: unexpected argument " << argv[1] << '\n';
        return Settings::ExitCodeUsage;
    }

    const auto settings = readDaemonSettings();
    if (!settings) {
        for (const Settings::SettingError &error : settings.error())
            std::cerr << "medlard: " << error.toString() << '\n';
        return Settings::ExitCodeUsage;
    }
    auto process = DaemonProcess::create(*settings);
    if (!process) {
        std::cerr << "medlard: " << process.error() << '\n';
        return Settings::ExitCodeFailure;
    }
    const auto result = (*process)->run();
    if (!result) {
        std::cerr << "medlard: " << result.error() << '\n';
        return Settings::ExitCodeFailure;
    }
    return Settings::ExitCodeSuccess;
}
