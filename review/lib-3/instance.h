// Stand-in of an application instance: sends heartbeats to its own machine, holds keys as it is
// told, and runs requests.
#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace review {

using nlohmann::json;

constexpr unsigned Keys = 65536;

struct InstanceSettings
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address; //!< of the machine
    unsigned short port = 0;
    unsigned short heartbeatPort = 0;
    bool sharded = false;
    Ms beat{1000};
    Ms work{30};
    std::size_t longAnswerBytes = 200; //!< to requests below /long/
};

class Instance
{
public:
    /*! What the judge sees. */
    struct Run
    {
        const Instance *instance = nullptr;
        std::string requestId;
        int key = -1;
        std::string callerService;
        std::string target;
    };

    Instance(asio::io_context &context, InstanceSettings settings, Record &record)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_record(record)
        , m_random(std::random_device{}())
        , m_server(context, endpoint(m_settings.address, m_settings.port),
                   [this](Request request, Reply reply) { onRequest(request, std::move(reply)); })
        , m_timer(context)
        , m_holds(m_settings.sharded ? Keys : 0)
    {}

    void start()
    {
        m_isUp = true;
        m_born = std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_server.open();
        m_record.line("instance " + m_settings.id + " of " + m_settings.service + " up");
        beat();
    }
    void crash()
    {
        m_isUp = false;
        m_server.close();
        m_timer.cancel();
        m_record.line("instance " + m_settings.id + " crashes");
    }

    const InstanceSettings &settings() const { return m_settings; }
    bool holds(unsigned key) const
    {
        return m_isUp && m_settings.sharded && m_holds[key].token != 0 && !m_holds[key].isLeaving
               && Clock::now() < m_holds[key].until;
    }
    std::uint64_t tokenOf(unsigned key) const { return m_holds[key].token; }

    std::function<void(const Run &)> onRun;
    /*! Called when a key is taken with a token that it was not held with. */
    std::function<void(const Instance &, unsigned key, std::uint64_t token)> onTaken;

private:
    struct Hold
    {
        std::uint64_t token = 0; //!< 0: not held
        std::uint64_t seen = 0;  //!< highest token
        Clock::time_point until;
        unsigned running = 0;
        bool isLeaving = false; //!< left out of an answer, still at work
    };

    void onRequest(const Request &request, const Reply &reply)
    {
        const std::string id = header(request, "Attempt-Id");
        const std::string expected = header(request, "Expect-Instance");
        const std::string keyText = header(request, "Shard-Key");
        const auto refuse = [&](unsigned status, const char *why) {
            Response result = response(status);
            result.set("Not-Executed", why);
            result.set("Attempt-Id", id);
            result.set("Instance-Id", m_settings.id);
            reply(std::move(result));
        };
        if (id.empty())
            return refuse(400, "no-id");
        if (!expected.empty() && expected != m_settings.id)
            return refuse(421, "other-instance");
        const int key = m_settings.sharded && !keyText.empty() ? std::stoi(keyText) : -1;
        if (m_settings.sharded && (key < 0 || !holds(static_cast<unsigned>(key))))
            return refuse(421, "key-not-held");
        if (key >= 0)
            ++m_holds[static_cast<unsigned>(key)].running;
        ++m_running;
        if (onRun)
            onRun(
                {this, id, key, header(request, "Caller-Service"), std::string(request.target())});
        const bool isLong = request.target().starts_with("/long/");
        const std::size_t bytes = isLong ? m_settings.longAnswerBytes : 200;
        const auto timer = std::make_shared<asio::steady_timer>(m_context, m_settings.work);
        timer->async_wait([this, timer, reply, id, key, bytes](boost::system::error_code) {
            --m_running;
            if (key >= 0)
                --m_holds[static_cast<unsigned>(key)].running;
            if (!m_isUp)
                return;
            Response result = response(200, std::string(bytes, 'b'));
            result.set("Attempt-Id", id);
            result.set("Server-Seal", m_settings.id + '.' + id);
            result.set("Server-Load", std::to_string(m_running) + ",0,18,100");
            result.set("Keep-Alive", "timeout=10");
            reply(std::move(result));
        });
    }

    /*! Drops what has run out, and notes what was left out and is no longer at work as freed. */
    bool settle()
    {
        const auto now = Clock::now();
        bool isLeaving = false;
        unsigned first = Keys;
        const auto endFreed = [&](unsigned key) {
            if (first == Keys)
                return;
            std::ostringstream handover;
            handover << std::hex << m_random();
            m_freed.push_back({first, key - 1, handover.str()});
            first = Keys;
        };
        for (unsigned key = 0; key < m_holds.size(); ++key) {
            Hold &hold = m_holds[key];
            const bool isFreed
                = hold.token != 0 && hold.isLeaving && hold.running == 0 && now < hold.until;
            if (!isFreed)
                endFreed(key);
            else if (first == Keys)
                first = key;
            if (isFreed || (hold.token != 0 && now >= hold.until && hold.running == 0)) {
                hold.token = 0;
                hold.isLeaving = false;
            }
            isLeaving = isLeaving || hold.isLeaving;
        }
        endFreed(Keys);
        return isLeaving;
    }

    void beat()
    {
        if (!m_isUp)
            return;
        settle();
        json body = {{"service", m_settings.service},
                     {"address", m_settings.address + ':' + std::to_string(m_settings.port)},
                     {"zone", m_settings.zone},
                     {"version", "v1"},
                     {"slots", 18},
                     {"state", "ready"},
                     {"cold-left-s", 0},
                     {"seq-num", ++m_sequence},
                     {"born", m_born}};
        const std::size_t reported = m_freed.size();
        if (m_settings.sharded) {
            json held = json::array();
            for (unsigned key = 0; key < Keys; ++key) {
                const std::uint64_t token = m_holds[key].token;
                if (token == 0)
                    continue;
                unsigned last = key;
                while (last + 1 < Keys && m_holds[last + 1].token == token)
                    ++last;
                held.push_back({key, last, token});
                key = last;
            }
            json freed = json::array();
            for (const Freed &range : m_freed)
                freed.push_back({range.first, range.last, range.handover});
            body["holds"] = held;
            body["freed"] = freed;
        }
        Request request{http::verb::post, "/api/Instances.Heartbeat/" + m_settings.id, 11};
        request.set(http::field::host, m_settings.address);
        request.set(http::field::content_type, "application/json");
        request.body() = body.dump();
        const auto sentAt = Clock::now();
        call(m_context, endpoint(m_settings.address, m_settings.heartbeatPort), std::move(request),
             Ms(1000), [this, sentAt, reported](const Response *answer) {
                 if (!m_isUp)
                     return;
                 bool isLeaving = false;
                 const bool isAcknowledged = answer && answer->result_int() / 100 == 2;
                 if (isAcknowledged) {
                     m_freed.erase(m_freed.begin(),
                                   m_freed.begin() + static_cast<std::ptrdiff_t>(reported));
                     take(sentAt, answer->body());
                     isLeaving = settle();
                 }
                 // No other node can be called than the one of this machine, so it is called again.
                 const Ms pause = isLeaving || !m_freed.empty() ? Ms(90)
                                  : isAcknowledged              ? m_settings.beat
                                                                : Ms(100);
                 m_timer.expires_after(pause);
                 m_timer.async_wait([this](boost::system::error_code error) {
                     if (!error)
                         beat();
                 });
             });
    }

    void take(Clock::time_point sentAt, const std::string &body)
    {
        const json answer = json::parse(body, nullptr, false);
        if (!m_settings.sharded || !answer.is_object() || !answer.contains("holds"))
            return;
        const auto until
            = sentAt + Ms(static_cast<std::int64_t>(answer["hold-s"].get<double>() * 1000));
        std::vector<bool> isNamed(Keys, false);
        for (const json &row : answer["holds"]) {
            const auto first = row[0].get<unsigned>();
            const auto last = row[1].get<unsigned>();
            const auto token = row[2].get<std::uint64_t>();
            bool isAccepted = true;
            for (unsigned key = first; key <= last; ++key)
                isAccepted = isAccepted && m_holds[key].seen <= token;
            if (!isAccepted) {
                m_record.line("instance " + m_settings.id + " does not accept "
                              + std::to_string(first) + '-' + std::to_string(last) + " token "
                              + std::to_string(token));
                continue;
            }
            bool isNew = false;
            for (unsigned key = first; key <= last; ++key) {
                Hold &hold = m_holds[key];
                isNamed[key] = true;
                if (hold.token != token) {
                    isNew = true;
                    if (onTaken)
                        onTaken(*this, key, token);
                }
                hold.token = token;
                hold.seen = token;
                hold.until = until;
                hold.isLeaving = false;
            }
            if (isNew)
                m_record.line("instance " + m_settings.id + " takes " + std::to_string(first) + '-'
                              + std::to_string(last) + " token " + std::to_string(token));
        }
        for (unsigned key = 0; key < Keys; ++key) {
            if (m_holds[key].token != 0 && !isNamed[key])
                m_holds[key].isLeaving = true;
        }
    }

    struct Freed
    {
        unsigned first = 0;
        unsigned last = 0;
        std::string handover;
    };

    asio::io_context &m_context;
    InstanceSettings m_settings;
    Record &m_record;
    std::mt19937_64 m_random;
    Server m_server;
    asio::steady_timer m_timer;
    bool m_isUp = false;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    unsigned m_running = 0;
    std::vector<Hold> m_holds;
    std::vector<Freed> m_freed;
};

} // namespace review
