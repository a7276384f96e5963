// A client sends a TRACE request with a body while other clients are being answered.
#include "cluster.h"

using namespace review;

namespace {

/*! A client that keeps its connection and sends a request whenever the last one was answered. */
struct KeptClient : std::enable_shared_from_this<KeptClient>
{
    KeptClient(asio::io_context &context, Record &record, Tcp::endpoint to, std::string name)
        : socket(context), timer(context), record(record), to(std::move(to)), name(std::move(name))
    {}

    void connect()
    {
        socket = Tcp::socket(timer.get_executor());
        buffer.clear();
        socket.async_connect(to, [self = shared_from_this()](boost::system::error_code error) {
            if (error)
                self->again();
            else
                self->send();
        });
    }
    void again()
    {
        timer.expires_after(Ms(200));
        timer.async_wait(
            [self = shared_from_this()](boost::system::error_code) { self->connect(); });
    }
    void send()
    {
        id = name + 'r' + std::to_string(++count);
        request = Request{http::verb::put, "/charges/1", 11};
        request.set(http::field::host, "mesh.example");
        request.set("Attempt-Id", id);
        request.set("Deadline-Ms", "1200");
        request.body() = "charge";
        request.prepare_payload();
        record.line("sent " + id);
        http::async_write(
            socket, request,
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error)
                    self->broken();
                else
                    self->read();
            });
    }
    void read()
    {
        answer = {};
        http::async_read(socket, buffer, answer,
                         [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                             if (error)
                                 return self->broken();
                             self->record.line("answered " + self->id + ' '
                                               + std::to_string(self->answer.result_int()));
                             self->answered.push_back(self->id);
                             ++self->answersOnConnection;
                             if (self->answer.keep_alive())
                                 self->send();
                             else
                                 self->again();
                         });
    }
    void broken()
    {
        record.line("connection closed without an answer to " + id);
        if (answersOnConnection > 0)
            lost.push_back(id); // the connection had been kept
        answersOnConnection = 0;
        boost::system::error_code ignored;
        socket.close(ignored);
        again();
    }

    Tcp::socket socket;
    asio::steady_timer timer;
    Record &record;
    Tcp::endpoint to;
    std::string name;
    std::string id;
    unsigned count = 0;
    unsigned answersOnConnection = 0;
    Request request;
    Response answer;
    boost::beast::flat_buffer buffer;
    std::vector<std::string> answered;
    std::vector<std::string> lost;
};

} // namespace

int main(int argc, char **argv)
{
    return guarded([&] {
        Record record(argc > 1 ? argv[1] : "record.txt");
        asio::io_context context;
        Cluster cluster(context, record);
        for (const auto &[zone, region] : std::map<std::string, std::string>{
                 {"felso-a", "felso"}, {"kozep-a", "kozep"}, {"also-a", "also"}})
            cluster.add({"sidecar-" + zone + "-1", zone, region, "dijazas", false});
        std::map<std::string, unsigned> runs;
        for (const auto &machine : cluster.machines) {
            machine->instance->onRun = [&](const Instance::Run &run) {
                ++runs[run.requestId];
                record.line("run " + run.requestId + " by " + run.instance->settings().id);
            };
        }
        cluster.configure(7, {{"dijazas", false}},
                          {{"royalty-charge", "/charges/", "dijazas", "non_idempotent"},
                           {"survey-map", "/surveys/", "dijazas", "idempotent"}});
        cluster.startAll();
        std::vector<std::shared_ptr<KeptClient>> clients;
        cluster.after(Ms(8000), [&] {
            for (unsigned i = 0; i < 36; ++i) {
                clients.push_back(std::make_shared<KeptClient>(
                    context, record, endpoint(cluster.machines[i % 3]->address, OutboundPort),
                    "c" + std::to_string(i)));
                clients.back()->connect();
            }
        });
        if (hasTrouble()) {
            cluster.after(Ms(12000), [&] {
                Request request{http::verb::trace, "/surveys/1", 11};
                request.set(http::field::host, "mesh.example");
                request.set("Attempt-Id", "e0");
                request.set("Deadline-Ms", "1200");
                request.body() = "x";
                request.content_length(1);
                record.line("sent e0, TRACE with a body of one byte");
                call(context, endpoint(cluster.machines[0]->address, OutboundPort), request,
                     Ms(1200), [&](const Response *answer) {
                         record.line(std::string("answered e0 ")
                                     + (answer ? std::to_string(answer->result_int()) : "nothing"));
                     });
            });
        }
        context.run_for(std::chrono::seconds(20));
        unsigned lost = 0;
        std::size_t answered = 0;
        for (const auto &client : clients) {
            answered += client->answered.size();
            for (const std::string &id : client->lost)
                lost += runs.count(id) != 0 ? 1 : 0;
        }
        unsigned ends = 0;
        for (const auto &machine : cluster.machines)
            ends += machine->starts() - 1;
        const bool couldRun = answered > 100;
        std::string broken;
        if (!couldRun)
            broken = std::to_string(answered) + " answered";
        else if (lost > 3)
            broken = std::to_string(ends) + " process ended by itself, and " + std::to_string(lost)
                     + " requests on kept connections that had been passed on got no answer";
        return verdict(record, "LOST", couldRun, broken);
    });
}
