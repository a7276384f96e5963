// One process of the system gets SIGTERM while clients that read slowly are being answered.
#include "cluster.h"

using namespace review;

namespace {

constexpr unsigned Requests = 30;   // on each connection, sent one behind the other
constexpr std::size_t Chunk = 9000; // bytes that a client reads at a time
constexpr Ms ReadPause{50};         // 180 kB a second

/*! A client that sends requests one behind the other and reads the answers slowly. */
struct SlowClient : std::enable_shared_from_this<SlowClient>
{
    SlowClient(asio::io_context &context, Record &record)
        : socket(context), timer(context), record(record), chunk(Chunk)
    {}

    void start(const Tcp::endpoint &to, std::vector<std::string> requestIds,
               const std::string &path)
    {
        ids = std::move(requestIds);
        for (const std::string &id : ids) {
            text += "GET " + path + " HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 12000\r\n\r\n";
            record.line("sent " + id);
        }
        socket.open(Tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(65536));
        socket.async_connect(to, [self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return self->end("connect: " + error.message());
            asio::async_write(self->socket, asio::buffer(self->text),
                              [self](boost::system::error_code error, std::size_t) {
                                  if (error)
                                      self->end("write: " + error.message());
                                  else
                                      self->read();
                              });
        });
    }
    void read()
    {
        socket.async_read_some(
            asio::buffer(chunk),
            [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                if (error)
                    return self->end("read: " + error.message());
                self->received.append(self->chunk.data(), bytes);
                self->parse();
                if (self->answers.size() == self->ids.size())
                    return self->end("all answers");
                self->timer.expires_after(ReadPause);
                self->timer.async_wait([self](boost::system::error_code) { self->read(); });
            });
    }
    void parse()
    {
        for (;;) {
            const std::size_t headEnd = received.find("\r\n\r\n");
            if (headEnd == std::string::npos)
                return;
            http::response_parser<http::string_body> parser;
            parser.eager(true);
            boost::system::error_code error;
            const std::size_t used = parser.put(asio::buffer(received), error);
            if (!parser.is_done())
                return;
            received.erase(0, used);
            const std::string &id = ids[answers.size()];
            answers.push_back(parser.get().result_int());
            record.line("answered " + id + ' ' + std::to_string(answers.back()));
        }
    }
    void end(const std::string &why)
    {
        record.line("connection of " + ids.front() + " ends, " + std::to_string(answers.size())
                    + " of " + std::to_string(ids.size()) + " answered: " + why);
        isDone = true;
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    Tcp::socket socket;
    asio::steady_timer timer;
    Record &record;
    std::vector<char> chunk;
    std::string text;
    std::string received;
    std::vector<std::string> ids;
    std::vector<unsigned> answers;
    bool isDone = false;
};

} // namespace

int main(int argc, char **argv)
{
    return guarded([&] {
        Record record(argc > 1 ? argv[1] : "record.txt");
        asio::io_context context;
        Cluster cluster(context, record);
        cluster.answerBytes = 30000; // the largest answer on the users' sheets
        cluster.add({"sidecar-felso-a-1", "felso-a", "felso", "dispute-desk", false});
        cluster.add({"sidecar-felso-a-2", "felso-a", "felso", "dispute-desk", false});
        Machine &stopped = *cluster.machines[0];
        std::map<std::string, unsigned> runs;
        for (const auto &machine : cluster.machines) {
            machine->instance->onRun = [&](const Instance::Run &run) {
                ++runs[run.requestId];
                record.line("run " + run.requestId + " by " + run.instance->settings().id);
            };
        }
        cluster.configure(7, {{"dispute-desk", false}},
                          {{"dispute-check", "/disputes/", "dispute-desk", "idempotent", 12.0}});
        cluster.startAll();
        std::vector<std::shared_ptr<SlowClient>> clients;
        cluster.after(Ms(8000), [&] {
            for (unsigned i = 0; i < 4; ++i) {
                std::vector<std::string> ids;
                for (unsigned k = 0; k < Requests; ++k)
                    ids.push_back("c" + std::to_string(i) + "r" + std::to_string(100 + k));
                clients.push_back(std::make_shared<SlowClient>(context, record));
                clients.back()->start(endpoint(stopped.address, OutboundPort), std::move(ids),
                                      "/disputes/1");
            }
        });
        if (hasTrouble())
            cluster.after(Ms(8300), [&] { stopped.signal(SIGTERM); });
        context.run_for(std::chrono::seconds(16));
        unsigned lost = 0;
        unsigned answered = 0;
        unsigned ran = 0;
        bool isDone = true;
        for (const auto &client : clients) {
            isDone = isDone && client->isDone;
            for (std::size_t k = 0; k < client->ids.size(); ++k) {
                const bool hasRun = runs.count(client->ids[k]) != 0;
                ran += hasRun ? 1 : 0;
                if (k < client->answers.size())
                    ++answered;
                else if (hasRun)
                    ++lost;
            }
        }
        const bool couldRun = isDone && ran > 2 * Requests;
        return verdict(record, "LOST", couldRun,
                       !couldRun   ? std::to_string(ran) + " ran"
                       : lost == 0 ? std::string()
                                   : std::to_string(lost)
                                         + " requests that had been passed on and had run got "
                                         + "no complete answer, " + std::to_string(answered)
                                         + " were answered");
    });
}
