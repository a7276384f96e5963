#pragma once

#include "http/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Medlar::Platform {

/*! How the store treats calls. */
struct StoreFaults
{
    int refuseWith = 0;          //!< status of every answer; 0: none
    bool losesAnswers = false;   //!< of changes, which are made
    bool executesLate = false;   //!< changes are made when the test says so, without an answer
    bool watchesAreDeaf = false; //!< they hear of no change
};

/*!
    The platform's store as its pages describe it, for tests: objects by kind and name, one revision
   counter, conditional changes, watches, history that may be dropped.
*/
class PlatformStandin
{
public:
    explicit PlatformStandin(boost::asio::io_context &context);

    std::uint16_t port() const { return m_server->port(); }
    StoreFaults &faults() { return m_faults; }
    /*! A change by the operator. */
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    /*! An object of another writer, as it is. */
    void putRaw(const std::string &kind, const std::string &name, const nlohmann::json &object);
    void remove(const std::string &kind, const std::string &name);
    /*! Watches after an earlier revision are answered 410 from now on. */
    void dropHistory();
    void runLateChanges();
    int calls() const { return m_calls; }

private:
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool isRemoved = false;
    };
    struct Watch
    {
        std::string kind;
        std::uint64_t after = 0;
        Http::Reply reply;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void onRequest(const Http::HttpRequest &request, const Http::Reply &reply);
    void onRead(const std::string &kind, const std::string &name,
                const std::map<std::string, std::string> &query, const Http::Reply &reply);
    Http::HttpResponse change(const Http::HttpRequest &request, const std::string &kind,
                              std::string name, const std::map<std::string, std::string> &query);
    void addEvent(const std::string &kind, const nlohmann::json &object, bool isRemoved);
    void answerWatches();
    bool answerWatch(Watch &watch, bool isOver);

    boost::asio::io_context &m_context;
    std::unique_ptr<Http::HttpServer> m_server;
    StoreFaults m_faults;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::deque<Event> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldest = 0;
    std::list<Watch> m_watches;
    std::deque<std::function<void()>> m_late;
    int m_calls = 0;
};

} // namespace Medlar::Platform
