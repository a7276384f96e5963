// The platform's metadata store.
#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <list>

namespace Review {

using nlohmann::json;

class Store
{
public:
    explicit Store(const Address &address)
        : m_server(address, [this](const ConnectionPtr &connection) { serve(connection); })
    {}
    ~Store()
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }

    bool isListening() const { return m_server.isListening(); }

    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        putLocked(kind, name, spec);
    }
    /*! The spec of an object, or null. */
    json spec(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto &objects = m_objects[kind];
        const auto found = objects.find(name);
        return found == objects.end() ? json() : found->second["spec"];
    }

private:
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool isRemoved;
    };

    json putLocked(const std::string &kind, const std::string &name, const json &spec)
    {
        json &object = m_objects[kind][name];
        if (object.is_object() && object["spec"] == spec)
            return object;
        ++m_revision;
        const std::uint64_t created
            = object.is_object() ? object["metadata"]["created"].get<std::uint64_t>() : m_revision;
        object = {{"metadata",
                   {{"name", name},
                    {"revision", m_revision},
                    {"created", created},
                    {"finalizers", json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", json::object()}};
        m_events.push_back({m_revision, kind, object, false});
        m_changed.notify_all();
        return object;
    }

    void serve(const ConnectionPtr &connection)
    {
        while (const auto request = connection->read()) {
            const auto [status, body] = answer(*request);
            if (!connection->write(toText(statusLine(status),
                                          {{"Content-Type", "application/json"}}, body.dump())))
                return;
        }
    }

    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> result;
        std::size_t start = target.find('?');
        while (start != std::string::npos) {
            const std::size_t end = target.find('&', ++start);
            const std::string part = target.substr(start, end - start);
            const std::size_t equals = part.find('=');
            result[part.substr(0, equals)]
                = equals == std::string::npos ? "" : part.substr(equals + 1);
            start = end;
        }
        return result;
    }

    std::pair<int, json> answer(const Message &request)
    {
        static const std::string prefix = "/api/objects/";
        const std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        if (path.rfind(prefix, 0) != 0)
            return {404, json::object()};
        path.erase(0, prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const auto query = queryOf(target);
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET")
            return read(lock, kind, name, query);
        return change(request, kind, name, query);
    }

    std::pair<int, json> read(std::unique_lock<std::mutex> &lock, const std::string &kind,
                              const std::string &name,
                              const std::map<std::string, std::string> &query)
    {
        if (query.count("watch") != 0) {
            const std::uint64_t after = std::stoull(query.at("watch"));
            const auto end = Clock::now() + Milliseconds(std::stoll(query.at("wait-ms")));
            json events = json::array();
            while (!m_isStopping) {
                for (const Event &event : m_events) {
                    if (event.kind == kind && event.revision > after)
                        events.push_back({{"object", event.object}, {"removed", event.isRemoved}});
                }
                if (!events.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout)
                    break;
            }
            return {200, {{"events", events}, {"store-revision", m_revision}}};
        }
        const auto &objects = m_objects[kind];
        if (!name.empty()) {
            const auto found = objects.find(name);
            if (found == objects.end())
                return {404, json::object()};
            return {200, found->second};
        }
        json items = json::array();
        for (const auto &[key, object] : objects) {
            if (query.count("after") == 0 || key > query.at("after"))
                items.push_back(object);
        }
        return {200, {{"items", items}, {"has-more", false}, {"store-revision", m_revision}}};
    }

    std::pair<int, json> change(const Message &request, const std::string &kind, std::string name,
                                const std::map<std::string, std::string> &query)
    {
        const json body = json::parse(request.body, nullptr, false);
        auto &objects = m_objects[kind];
        if (request.method() == "POST") {
            name = body["metadata"]["name"].get<std::string>();
            if (objects.count(name) != 0)
                return {409, objects[name]};
            return {200, putLocked(kind, name, body["spec"])};
        }
        const auto found = objects.find(name);
        if (found == objects.end())
            return {404, json::object()};
        std::uint64_t expected = 0;
        if (query.count("revision") != 0)
            expected = std::stoull(query.at("revision"));
        else if (body.is_object() && body["metadata"].contains("revision"))
            expected = body["metadata"]["revision"].get<std::uint64_t>();
        if (expected != 0 && expected != found->second["metadata"]["revision"])
            return {409, found->second};
        if (request.method() == "DELETE") {
            ++m_revision;
            m_events.push_back({m_revision, kind, found->second, true});
            objects.erase(found);
            m_changed.notify_all();
            return {200, json::object()};
        }
        return {200, putLocked(kind, name, body["spec"])};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::list<Event> m_events;
    Server m_server;
};

} // namespace Review
