// Stand-in of the platform's metadata store: objects by kind and name, one revision counter,
// conditional changes, watches, and the drill in which it comes back from an earlier copy.
#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace review {

using nlohmann::json;

class Store
{
public:
    Store(asio::io_context &context, const Tcp::endpoint &at, Record &record)
        : m_context(context)
        , m_record(record)
        , m_server(context, at,
                   [this](Request request, Reply reply) { onRequest(request, std::move(reply)); })
    {}

    void open() { m_server.open(); }

    /*! Writes an object as the operator does, who writes it again after a drill. */
    void operatorPut(const std::string &kind, const std::string &name, const json &spec)
    {
        m_operatorWrites.push_back({kind, name, spec});
        put(kind, name, spec);
        m_record.line("operator put " + kind + '/' + name + " revision "
                      + std::to_string(revision()));
    }
    void operatorRemove(const std::string &kind, const std::string &name)
    {
        m_operatorWrites.push_back({kind, name, json()});
        remove(kind, name);
        m_record.line("operator remove " + kind + '/' + name + " revision "
                      + std::to_string(revision()));
    }

    void takeCopy()
    {
        m_copy = m_data;
        m_operatorWrites.clear();
        m_record.line("store copy taken at revision " + std::to_string(revision()));
    }
    void goAway()
    {
        m_record.line("store away at revision " + std::to_string(revision()));
        m_watches.clear();
        m_server.close();
    }
    /*! Comes back from the copy; the operator writes again, in order, all that it had written
     * since. */
    void comeBack()
    {
        m_data = m_copy;
        ++m_era;
        m_record.line("store back with revision " + std::to_string(revision()) + " era "
                      + std::to_string(m_era));
        m_server.open();
        const auto writes = std::move(m_operatorWrites);
        m_operatorWrites.clear();
        for (const Write &write : writes) {
            if (write.spec.is_null())
                operatorRemove(write.kind, write.name);
            else
                operatorPut(write.kind, write.name, write.spec);
        }
    }

    std::uint64_t revision() const { return m_data.revision; }
    const json *find(const std::string &kind, const std::string &name) const
    {
        const auto objects = m_data.objects.find(kind);
        if (objects == m_data.objects.end())
            return nullptr;
        const auto found = objects->second.find(name);
        return found == objects->second.end() ? nullptr : &found->second;
    }

private:
    struct Write
    {
        std::string kind;
        std::string name;
        json spec; //!< null: removed
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
        bool removed = false;
    };
    struct Data
    {
        std::uint64_t revision = 1;
        std::map<std::string, std::map<std::string, json>> objects;
        std::vector<Event> history;
    };
    struct Watch
    {
        std::uint64_t id = 0;
        std::string kind;
        std::uint64_t after = 0;
        Reply reply;
        std::shared_ptr<asio::steady_timer> timer;
    };

    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        auto &objects = m_data.objects[kind];
        const auto found = objects.find(name);
        if (found != objects.end() && found->second["spec"] == spec)
            return;
        ++m_data.revision;
        objects[name] = {{"metadata",
                          {{"name", name},
                           {"revision", m_data.revision},
                           {"created", 1},
                           {"finalizers", json::array()},
                           {"deleting", false}}},
                         {"spec", spec},
                         {"status", json::object()}};
        m_data.history.push_back({m_data.revision, kind, objects[name], false});
        completeWatches();
    }
    void remove(const std::string &kind, const std::string &name)
    {
        auto &objects = m_data.objects[kind];
        const auto found = objects.find(name);
        if (found == objects.end())
            return;
        ++m_data.revision;
        json object = found->second;
        object["metadata"]["revision"] = m_data.revision;
        objects.erase(found);
        m_data.history.push_back({m_data.revision, kind, object, true});
        completeWatches();
    }

    Response answer(unsigned status, const json &body = json::object()) const
    {
        Response result = response(status, body.dump());
        result.set("Store-Era", std::to_string(m_era));
        return result;
    }

    void onRequest(const Request &request, Reply reply)
    {
        const std::string target(request.target());
        const std::size_t question = target.find('?');
        const std::string path = target.substr(0, question);
        const std::string prefix = "/api/objects/";
        if (path.rfind(prefix, 0) != 0) {
            reply(answer(404));
            return;
        }
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::map<std::string, std::string> query;
        if (question != std::string::npos) {
            std::string text = target.substr(question + 1) + '&';
            for (std::size_t end; (end = text.find('&')) != std::string::npos;
                 text.erase(0, end + 1)) {
                const std::string part = text.substr(0, end);
                const std::size_t equals = part.find('=');
                if (equals != std::string::npos)
                    query[part.substr(0, equals)] = part.substr(equals + 1);
            }
        }
        // An answer of the store takes 4 ms.
        const auto timer
            = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(4));
        timer->async_wait([this, timer, request, kind, name, query,
                           reply = std::move(reply)](boost::system::error_code) {
            if (request.method() == http::verb::get)
                read(kind, name, query, reply);
            else
                reply(change(request, kind, name, query));
        });
    }

    void read(const std::string &kind, const std::string &name,
              const std::map<std::string, std::string> &query, const Reply &reply)
    {
        if (query.count("watch") != 0) {
            const auto wait = std::chrono::milliseconds(std::stoi(query.at("wait-ms")));
            m_watches.push_back({++m_lastWatch, kind, std::stoull(query.at("watch")), reply,
                                 std::make_shared<asio::steady_timer>(m_context, wait)});
            const auto entry = std::prev(m_watches.end());
            const std::uint64_t id = entry->id;
            entry->timer->async_wait(
                [this, id, timer = entry->timer](boost::system::error_code error) {
                    const auto found
                        = std::find_if(m_watches.begin(), m_watches.end(),
                                       [id](const Watch &watch) { return watch.id == id; });
                    if (!error && found != m_watches.end() && tryComplete(*found, true))
                        m_watches.erase(found);
                });
            if (tryComplete(*entry, false))
                m_watches.erase(entry);
            return;
        }
        const auto &objects = m_data.objects[kind];
        if (!name.empty()) {
            const auto found = objects.find(name);
            reply(found == objects.end() ? answer(404) : answer(200, found->second));
            return;
        }
        json items = json::array();
        const auto after = query.find("after");
        auto next = after == query.end() ? objects.begin() : objects.upper_bound(after->second);
        for (; next != objects.end() && items.size() < 500; ++next)
            items.push_back(next->second);
        reply(answer(200, {{"items", items},
                           {"has-more", next != objects.end()},
                           {"store-revision", m_data.revision}}));
    }

    Response change(const Request &request, const std::string &kind, std::string name,
                    const std::map<std::string, std::string> &query)
    {
        const json body = json::parse(request.body(), nullptr, false);
        auto &objects = m_data.objects[kind];
        const std::string what = std::string(request.method_string()) + ' ' + kind + '/';
        if (request.method() == http::verb::post) {
            name = body["metadata"]["name"].get<std::string>();
            if (objects.count(name) != 0)
                return answer(409, objects[name]);
            put(kind, name, body["spec"]);
            m_record.line("store " + what + name + " revision " + std::to_string(revision()));
            return answer(200, objects[name]);
        }
        const auto found = objects.find(name);
        if (found == objects.end())
            return answer(404);
        std::uint64_t expected = 0;
        if (query.count("revision") != 0)
            expected = std::stoull(query.at("revision"));
        else if (body.is_object() && body["metadata"].contains("revision"))
            expected = body["metadata"]["revision"].get<std::uint64_t>();
        const auto current = found->second["metadata"]["revision"].get<std::uint64_t>();
        if (expected != 0 && expected != current) {
            m_record.line("store " + what + name + " refused, expected " + std::to_string(expected)
                          + " is " + std::to_string(current));
            return answer(409, found->second);
        }
        if (request.method() == http::verb::delete_) {
            remove(kind, name);
            return answer(200);
        }
        put(kind, name, body["spec"]);
        m_record.line("store " + what + name + " expected " + std::to_string(expected)
                      + " revision " + std::to_string(revision()));
        return answer(200, objects[name]);
    }

    void completeWatches()
    {
        for (auto watch = m_watches.begin(); watch != m_watches.end();)
            watch = tryComplete(*watch, false) ? m_watches.erase(watch) : std::next(watch);
    }

    bool tryComplete(Watch &watch, bool timedOut)
    {
        if (watch.after > m_data.revision) {
            watch.reply(answer(410));
            return true;
        }
        json events = json::array();
        for (const Event &event : m_data.history) {
            if (event.revision > watch.after && event.kind == watch.kind)
                events.push_back({{"object", event.object}, {"removed", event.removed}});
        }
        if (events.empty() && !timedOut)
            return false;
        watch.reply(answer(200, {{"events", events}, {"store-revision", m_data.revision}}));
        return true;
    }

    asio::io_context &m_context;
    Record &m_record;
    Server m_server;
    Data m_data;
    Data m_copy;
    std::uint64_t m_era = 1;
    std::vector<Write> m_operatorWrites; //!< since the copy
    std::list<Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
};

} // namespace review
