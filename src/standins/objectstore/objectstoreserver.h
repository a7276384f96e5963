#pragma once

#include "objecttable.h"

#include "../httpserver/httpserver.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Medlar::Standins {

enum class FaultMode {
    None,
    Slow,      //!< every call is carried out after the delay
    Dead,      //!< connections are closed without an answer
    LoseAnswer //!< changes take effect, then the connection is closed
};

struct Fault
{
    FaultMode mode = FaultMode::None;
    std::chrono::milliseconds delay{0};
    std::uint64_t count = 0; //!< calls until the fault ends; 0: until it is changed
};

struct ObjectStoreServerSettings
{
    HttpServerSettings http;
    ObjectTable::Limits limits;
    std::size_t maxValueBytes = 1000000;
    Fault fault;
};

/*!
    Stand-in for the platform's object store, see docs/design.md, 6. Must outlive the running of its
   context. A removed object answers 404 with the version and writer token of its removal, as long
   as the history has it.
*/
class ObjectStoreServer
{
public:
    static tl::expected<std::unique_ptr<ObjectStoreServer>, std::string>
    create(boost::asio::io_context &context, const ObjectStoreServerSettings &settings);

    std::uint16_t port() const { return m_http->port(); }

    /*! Takes effect with the next call; Dead also closes pending watches. */
    void setFault(const Fault &fault);

    /*! Calls received so far, by kind. */
    const std::map<std::string, std::uint64_t> &calls() const { return m_calls; }
    const ObjectTable &table() const { return m_table; }

private:
    using SessionPtr = std::shared_ptr<HttpSession>;
    struct Watch
    {
        SessionPtr session;
        std::string prefix;
        Revision after = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    using Watches = std::list<Watch>;

    ObjectStoreServer(boost::asio::io_context &context, const ObjectStoreServerSettings &settings);

    void onRequest(const SessionPtr &session);
    void onAdminRequest(const SessionPtr &session);
    FaultMode takeFault(bool isChange);
    void carryOut(const SessionPtr &session, const std::string &kind, bool loseAnswer);
    void get(const SessionPtr &session, const std::string &key);
    void list(const SessionPtr &session);
    void change(const SessionPtr &session, const std::string &key, bool loseAnswer);
    void watch(const SessionPtr &session);
    bool answerWatch(const Watch &watch, bool timedOut);
    void answerWatches(const std::string &changedKey);
    std::string statistics() const;

    boost::asio::io_context &m_context;
    std::size_t m_maxValueBytes;
    ObjectTable m_table;
    Fault m_fault;
    Watches m_watches;
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_bytesIn = 0;
    std::unique_ptr<HttpServer> m_http;
};

/*! The text is one of none, slow, dead and lose_answer. */
tl::expected<FaultMode, std::string> parseFaultMode(const std::string &text);

} // namespace Medlar::Standins
