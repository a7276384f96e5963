#include "childprocess.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>

#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>

namespace Medlar::Bench {

namespace Process = boost::process;

class ChildProcess::Private
{
public:
    Process::child child;
};

namespace {

/*! Added to the number of the signal that ended a process, as shells do. */
constexpr int SignalExitCode = 128;

template<typename Output>
Process::child launch(const std::string &program, const std::vector<std::string> &arguments,
                      const Output &output, std::error_code &error)
{
    const auto prepare = [](auto &) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        // A child that inherits listening sockets keeps their ports in use after its parent closed
        // them.
        ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    };
    return Process::child(
        program, Process::args(arguments),
        Process::std_in<Process::null, (Process::std_out & Process::std_err)> output,
        Process::extend::on_exec_setup = prepare, error);
}

} // namespace

tl::expected<std::unique_ptr<ChildProcess>, std::string>
ChildProcess::start(const std::string &program, const std::vector<std::string> &arguments,
                    const std::string &logFile)
{
    std::error_code error;
    auto d = std::make_unique<Private>();
    d->child = logFile.empty() ? launch(program, arguments, Process::null, error)
                               : launch(program, arguments, logFile, error);
    if (error)
        return tl::unexpected("cannot start " + program + ": " + error.message());
    return std::unique_ptr<ChildProcess>(new ChildProcess(std::move(d)));
}

ChildProcess::ChildProcess(std::unique_ptr<Private> d) : m_d(std::move(d)) {}

ChildProcess::~ChildProcess()
{
    kill();
}

pid_t ChildProcess::pid() const
{
    return m_d->child.id();
}

bool ChildProcess::isRunning()
{
    std::error_code ignored;
    return m_d->child.running(ignored);
}

std::optional<int> ChildProcess::exitCode()
{
    if (isRunning())
        return std::nullopt;
    const int status = m_d->child.native_exit_code();
    return WIFSIGNALED(status) ? SignalExitCode + WTERMSIG(status) : WEXITSTATUS(status);
}

void ChildProcess::signal(int signal)
{
    // The id stays reserved for the process until isRunning() has collected its end.
    if (isRunning())
        ::kill(pid(), signal);
}

void ChildProcess::kill()
{
    if (!isRunning())
        return;
    std::error_code ignored;
    m_d->child.terminate(ignored);
}

} // namespace Medlar::Bench
