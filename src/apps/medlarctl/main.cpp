#include "cli/cli.h"
#include "cli/httpdaemonclient.h"
#include "configuration/sourcenode.h"
#include "store/httpobjectstore.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <thread>

namespace {

using namespace Medlar;

tl::expected<Cli::StoreSession, std::string> openStore(boost::asio::io_context &context,
                                                       const std::string &hostAndPort)
{
    auto settings = Store::HttpObjectStoreSettings::fromHostAndPort(hostAndPort);
    if (!settings)
        return tl::unexpected("\"" + hostAndPort + "\" is not accepted; accepted: IP:PORT");
    settings->keyPrefix.clear(); // The commands name objects by their full keys.
    auto store = Store::HttpObjectStore::create(context, *settings);
    if (!store)
        return tl::unexpected(store.error());
    return Cli::StoreSession{std::move(*store), [&context] { context.run_one(); }};
}

tl::expected<std::string, std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return tl::unexpected(std::string(std::strerror(errno)));
    // One byte more than is accepted, so that larger files are reported without reading them.
    std::string text(Configuration::MaxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad())
        return tl::unexpected(std::string("reading failed"));
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    boost::asio::io_context context;
    // Keeps run_one() waiting between calls instead of returning at once.
    const auto work = boost::asio::make_work_guard(context);
    Cli::Environment environment{
        [&context](const std::string &hostAndPort) { return openStore(context, hostAndPort); },
        Cli::HttpDaemonClient::create,
        readFile,
        [] { return std::chrono::steady_clock::now(); },
        [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); },
        std::cout,
        std::cerr};
    return Cli::run({argv + 1, argv + argc}, environment);
}
