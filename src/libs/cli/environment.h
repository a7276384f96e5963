#pragma once

#include "base/time.h"
#include "store/objectstore.h"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <ostream>
#include <string>

namespace Medlar::Cli {

/*! The answer of a daemon to one request. */
struct DaemonAnswer
{
    unsigned status = 0;
    std::string body;
};

/*! Asks a daemon over HTTP. */
class DaemonClient
{
public:
    virtual ~DaemonClient() = default;

    /*! Sends GET \a target; the error says why no answer was received. */
    virtual tl::expected<DaemonAnswer, std::string> get(const std::string &target) = 0;
};

/*! A client of the object store, and a function that runs its callbacks while the caller waits. */
struct StoreSession
{
    std::unique_ptr<Store::ObjectStore> store;
    std::function<void()> runOne; //!< waits for the next event and handles it
};

/*! Everything that the commands use of the world outside, so that tests need no processes. */
struct Environment
{
    std::function<tl::expected<StoreSession, std::string>(const std::string &hostAndPort)>
        openStore;
    std::function<tl::expected<std::unique_ptr<DaemonClient>, std::string>(
        const std::string &hostAndPort, const std::string &credential)>
        openDaemon;
    std::function<tl::expected<std::string, std::string>(const std::string &path)> readFile;
    std::function<Base::TimePoint()> now;
    std::function<void(std::chrono::milliseconds)> sleep;
    std::ostream &out;
    std::ostream &err;
};

} // namespace Medlar::Cli
