// A backend server ("instance" on the users' pages) with its heartbeats and key holds.
#pragma once

#include "record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>

namespace Review {

using nlohmann::json;

/*! Keys that an instance holds until \a until. A row that was taken back ends as soon as none of
    its keys is worked on. */
struct Hold
{
    int first = 0;
    int last = 0;
    std::uint64_t token = 0;
    Clock::time_point until;
    bool isTakenBack = false;
};

struct InstanceSettings
{
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    Address daemon; //!< control-plane address of the machine
    bool isKeyed = false;
    int slots = 6;
    Milliseconds beatInterval{870};
};

class Instance;

/*! How the instance treats one request. */
struct Treatment
{
    Milliseconds work{30};
    bool isDeclined = false; //!< answers 503 with Not-Executed at once
    std::optional<Milliseconds> secondCopyAfter; //!< sends the answer once more, this much later
};

/*! Called when a request begins to run. */
using OnRun = std::function<void(Instance &, const Message &)>;
using Treat = std::function<Treatment(const Message &)>;
using OnGrant = std::function<void(Instance &, const std::vector<Hold> &)>;

class Instance
{
public:
    Instance(InstanceSettings settings, Record &record)
        : m_settings(std::move(settings))
        , m_record(record)
        , m_born(std::chrono::duration_cast<Milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    {}
    ~Instance() { end(); }

    Treat treat = [](const Message &) { return Treatment(); };
    OnRun onRun;
    OnGrant onGrant;

    bool start()
    {
        m_server = std::make_unique<Server>(m_settings.address, [this](const ConnectionPtr &c) {
            serve(c);
        });
        m_beats = std::thread([this] { beat(); });
        return m_server->isListening();
    }
    void end()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isEnding = true;
            m_wake.notify_all();
        }
        if (m_beats.joinable())
            m_beats.join();
        m_server.reset();
    }

    const InstanceSettings &settings() const { return m_settings; }
    std::uint64_t born() const { return m_born; }
    std::uint64_t sequence()
    {
        const std::lock_guard lock(m_mutex);
        return m_sequence;
    }
    void setDraining()
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
        m_mustBeat = true;
        m_wake.notify_all();
    }
    /*! Says that it leaves; returns the status of the answer, 0 if there was none. */
    int deregister()
    {
        return call("/api/Instances.Deregister/" + m_settings.id, json{{"born", m_born}}.dump())
            .value_or(Message())
            .status();
    }
    bool holdsAnything()
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_holds.begin(), m_holds.end(), [](const Hold &hold) {
            return !hold.isTakenBack && hold.until > Clock::now();
        });
    }
    /*! Whether the instance works on a key of the range under a hold that has not run out. */
    bool isWorkingOn(int first, int last, int *key)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Clock::now();
        for (const Hold &hold : m_holds) {
            for (const int worked : m_workedKeys) {
                if (hold.until > now && worked >= std::max(first, hold.first)
                    && worked <= std::min(last, hold.last)) {
                    *key = worked;
                    return true;
                }
            }
        }
        return false;
    }
    int runsOf(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[id];
    }
    std::map<std::string, int> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    /*! Posts \a body to the daemon, as an instance does. */
    std::optional<Message> call(const std::string &path, const std::string &body) const
    {
        const auto connection = Connection::open(m_settings.daemon, Milliseconds(1000));
        if (!connection
            || !connection->write(toText("POST " + path + " HTTP/1.1",
                                         {{"Host", m_settings.daemon.toString()},
                                          {"Content-Type", "application/json"}},
                                         body)))
            return std::nullopt;
        return connection->read();
    }

private:
    bool holdsLocked(int key) const
    {
        const auto now = Clock::now();
        return std::any_of(m_holds.begin(), m_holds.end(), [&](const Hold &hold) {
            return !hold.isTakenBack && hold.first <= key && key <= hold.last && now < hold.until;
        });
    }

    // One request at a time is served on a connection.
    void serve(const ConnectionPtr &connection)
    {
        std::vector<std::thread> copies;
        while (const auto request = connection->read()) {
            if (!serveOne(connection, *request, copies))
                break;
        }
        for (std::thread &copy : copies)
            copy.join();
    }

    bool serveOne(const ConnectionPtr &connection, const Message &request,
                  std::vector<std::thread> &copies)
    {
        const std::string id = request.header("attempt-id");
        const auto refuse = [&](int status, const std::string &why) {
            m_record.write(m_settings.id + " declines " + id + ": " + std::to_string(status) + ' '
                           + why);
            return toText(statusLine(status),
                          {{"Attempt-Id", id},
                           {"Instance-Id", m_settings.id},
                           {"Not-Executed", "1"},
                           {"Server-Load", load()}},
                          "");
        };
        if (id.empty())
            return connection->write(refuse(400, "no id"));
        if (request.has("expect-instance") && request.header("expect-instance") != m_settings.id)
            return connection->write(refuse(421, "other instance"));
        const Treatment treatment = treat(request);
        const int key
            = request.has("shard-key") ? std::atoi(request.header("shard-key").c_str()) : -1;
        std::string answer;
        {
            std::unique_lock lock(m_mutex);
            const bool isMisdirected = m_settings.isKeyed && !holdsLocked(key);
            const bool isFull = m_running >= m_settings.slots;
            if (isMisdirected || isFull || treatment.isDeclined) {
                lock.unlock();
                answer = isMisdirected ? refuse(421, "key not held")
                                       : refuse(503, isFull ? "full" : "overloaded");
            } else {
                ++m_running;
                ++m_runs[id];
                m_workedKeys.insert(key);
                m_record.write(m_settings.id + " runs " + id + " (" + request.method() + ' '
                               + request.target() + ") run " + std::to_string(m_runs[id])
                               + " caller-service=" + request.header("caller-service"));
            }
        }
        if (answer.empty()) {
            if (onRun)
                onRun(*this, request);
            std::this_thread::sleep_for(treatment.work);
            {
                const std::lock_guard lock(m_mutex);
                --m_running;
                m_workedKeys.erase(m_workedKeys.find(key));
            }
            answer = toText(statusLine(200),
                            {{"Attempt-Id", id},
                             {"Server-Seal", m_settings.id + '.' + id},
                             {"Server-Load", load()},
                             {"Keep-Alive", "timeout=10"}},
                            "body of " + id);
        }
        if (!connection->write(answer))
            return false;
        if (treatment.secondCopyAfter) {
            copies.emplace_back([this, connection, answer, id, delay = *treatment.secondCopyAfter] {
                std::this_thread::sleep_for(delay);
                m_record.write(m_settings.id + " sends a second copy of its answer to " + id);
                connection->write(answer);
            });
        }
        return true;
    }

    std::string load()
    {
        return std::to_string(m_running) + ",0," + std::to_string(m_settings.slots) + ",100";
    }

    void beat()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isEnding) {
            m_mustBeat = false;
            releaseLocked();
            const auto sentAt = Clock::now();
            const std::size_t reported = m_freed.size();
            const std::string body = beatBodyLocked();
            lock.unlock();
            const auto answer = call("/api/Instances.Heartbeat/" + m_settings.id, body);
            lock.lock();
            if (answer && answer->status() / 100 == 2
                && Clock::now() - sentAt <= Milliseconds(1000)) {
                m_freed.erase(m_freed.begin(),
                              m_freed.begin() + static_cast<std::ptrdiff_t>(reported));
                const auto granted = takeLocked(sentAt, answer->body);
                if (onGrant && !granted.empty()) {
                    lock.unlock();
                    onGrant(*this, granted);
                    lock.lock();
                }
            }
            releaseLocked();
            const bool isReleasing
                = std::any_of(m_holds.begin(), m_holds.end(),
                              [](const Hold &hold) { return hold.isTakenBack; })
                  || !m_freed.empty();
            m_wake.wait_for(lock, isReleasing ? Milliseconds(90) : m_settings.beatInterval,
                            [this] { return m_isEnding || m_mustBeat; });
        }
    }

    // Keys that are worked on stay in the holds until that work has ended.
    void releaseLocked()
    {
        const auto now = Clock::now();
        std::vector<Hold> kept;
        for (const Hold &hold : m_holds) {
            if (hold.until <= now)
                continue;
            if (!hold.isTakenBack) {
                kept.push_back(hold);
                continue;
            }
            int first = hold.first;
            const std::set<int> worked(m_workedKeys.lower_bound(hold.first),
                                       m_workedKeys.upper_bound(hold.last));
            for (const int key : worked) {
                freeLocked(first, key - 1);
                Hold one = hold;
                one.first = one.last = key;
                kept.push_back(one);
                first = key + 1;
            }
            freeLocked(first, hold.last);
        }
        m_holds = std::move(kept);
    }

    void freeLocked(int first, int last)
    {
        if (first <= last)
            m_freed.push_back({first, last, "h" + std::to_string(++m_handovers)});
    }

    std::string beatBodyLocked()
    {
        json holds = json::array();
        for (const Hold &hold : m_holds)
            holds.push_back({hold.first, hold.last, hold.token});
        json body = {{"service", m_settings.service},
                     {"address", m_settings.address.toString()},
                     {"zone", m_settings.zone},
                     {"version", "v1"},
                     {"slots", m_settings.slots},
                     {"state", m_isDraining ? "draining" : "ready"},
                     {"cold-left-s", 0},
                     {"seq-num", ++m_sequence},
                     {"born", m_born}};
        if (m_settings.isKeyed) {
            body["holds"] = holds;
            body["freed"] = m_freed;
        }
        return body.dump();
    }

    // Returns the rows that the answer grants.
    std::vector<Hold> takeLocked(Clock::time_point sentAt, const std::string &text)
    {
        const json answer = json::parse(text, nullptr, false);
        if (!answer.is_object() || !answer.contains("holds"))
            return {};
        const auto until = sentAt
                           + std::chrono::duration_cast<Clock::duration>(
                               std::chrono::duration<double>(answer["hold-s"].get<double>()));
        std::vector<Hold> granted;
        for (const json &row : answer["holds"])
            granted.push_back({row[0], row[1], row[2], until, false});
        std::vector<Hold> next = granted;
        for (const Hold &hold : m_holds) {
            // What the answer leaves out is released.
            int first = hold.first;
            std::vector<Hold> sorted = granted;
            std::sort(sorted.begin(), sorted.end(),
                      [](const Hold &a, const Hold &b) { return a.first < b.first; });
            const auto keep = [&](int from, int to) {
                if (from <= to) {
                    Hold rest = hold;
                    rest.first = from;
                    rest.last = to;
                    rest.isTakenBack = true;
                    next.push_back(rest);
                }
            };
            for (const Hold &row : sorted) {
                if (row.last < first || row.first > hold.last)
                    continue;
                keep(first, row.first - 1);
                first = row.last + 1;
            }
            keep(first, hold.last);
        }
        m_holds = std::move(next);
        if (granted.size() != m_lastGranted)
            m_record.write(m_settings.id + " is granted " + std::to_string(granted.size())
                           + " rows for " + answer["hold-s"].dump() + " s");
        m_lastGranted = granted.size();
        return granted;
    }

    const InstanceSettings m_settings;
    Record &m_record;
    const std::uint64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isEnding = false;
    bool m_isDraining = false;
    bool m_mustBeat = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_handovers = 0;
    std::atomic<int> m_running{0};
    std::size_t m_lastGranted = 0;
    std::multiset<int> m_workedKeys;
    std::vector<Hold> m_holds;
    std::vector<std::tuple<int, int, std::string>> m_freed;
    std::map<std::string, int> m_runs;
    std::thread m_beats;
    std::unique_ptr<Server> m_server;
};

} // namespace Review
