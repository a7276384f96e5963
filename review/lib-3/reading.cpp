// Clients on kept connections read a long answer slowly and steadily.
#include "cluster.h"

using namespace review;

namespace {

constexpr std::size_t AnswerBytes = 2080000;
constexpr std::size_t Chunk = 8000;         // bytes that a client reads at a time
constexpr double BytesPerSecond = 178000.0; // that a slow client reads
constexpr Ms Deadline{12000};

/*! Sends a short request and then, on the same connection, one with a long answer. */
struct SlowClient : std::enable_shared_from_this<SlowClient>
{
    SlowClient(asio::io_context &context, Record &record, std::string name)
        : socket(context), timer(context), record(record), name(std::move(name)), chunk(Chunk)
    {}

    void start(const Tcp::endpoint &to)
    {
        socket.open(Tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(16384));
        socket.async_connect(to, [self = shared_from_this()](boost::system::error_code error) {
            if (error)
                self->end("connect: " + error.message());
            else
                self->send("/short/1", "s");
        });
    }
    void send(const std::string &path, const std::string &suffix)
    {
        id = name + suffix;
        isLong = suffix == "l";
        text = "PUT " + path + " HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: " + id
               + "\r\nDeadline-Ms: " + std::to_string(Deadline.count())
               + "\r\nContent-Length: 6\r\n\r\nfiling";
        record.line("sent " + id + ' ' + path);
        sentAt = Clock::now();
        asio::async_write(
            socket, asio::buffer(text),
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error)
                    self->end("write: " + error.message());
                else
                    self->read();
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
                if (self->isComplete()) {
                    self->record.line("answered " + self->id + ", "
                                      + std::to_string(self->received.size()) + " bytes");
                    self->received.clear();
                    if (self->isLong)
                        return self->end("all answers");
                    return self->send("/long/1", "l");
                }
                if (!hasTrouble())
                    return self->read();
                self->timer.expires_at(self->sentAt + self->timeFor(self->received.size()));
                self->timer.async_wait([self](boost::system::error_code) { self->read(); });
            });
    }
    static Clock::duration timeFor(std::size_t bytes)
    {
        return std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / BytesPerSecond));
    }
    bool isComplete() const
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        parser.body_limit(4 * AnswerBytes);
        boost::system::error_code error;
        std::size_t used = 0;
        while (!error && used < received.size() && !parser.is_done())
            used += parser.put(asio::buffer(received) + used, error);
        return parser.is_done();
    }
    void end(const std::string &why)
    {
        const double seconds = std::chrono::duration<double>(Clock::now() - sentAt).count();
        record.line("connection of " + name + " ends " + std::to_string(seconds) + " s after " + id
                    + " with " + std::to_string(received.size()) + " bytes unfinished: " + why);
        isDone = true;
        isAnswered = why == "all answers";
        isInTime = Clock::now() - sentAt < Deadline;
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    Tcp::socket socket;
    asio::steady_timer timer;
    Record &record;
    std::string name;
    std::vector<char> chunk;
    std::string id;
    std::string text;
    std::string received;
    Clock::time_point sentAt;
    bool isLong = false;
    bool isDone = false;
    bool isAnswered = false;
    bool isInTime = false;
};

} // namespace

int main(int argc, char **argv)
{
    return guarded([&] {
        Record record(argc > 1 ? argv[1] : "record.txt");
        asio::io_context context;
        Cluster cluster(context, record);
        cluster.longAnswerBytes = AnswerBytes;
        cluster.add({"sidecar-larisa-1", "larisa", "thessalia", "boundary-filing", false});
        cluster.add({"sidecar-larisa-2", "larisa", "thessalia", "boundary-filing", false});
        std::map<std::string, unsigned> runs;
        for (const auto &machine : cluster.machines) {
            machine->instance->onRun = [&](const Instance::Run &run) {
                ++runs[run.requestId];
                record.line("run " + run.requestId + " by " + run.instance->settings().id);
            };
        }
        cluster.configure(7, {{"boundary-filing", false}},
                          {{"boundary-file", "/short/", "boundary-filing", "non_idempotent", 12.0},
                           {"boundary-map", "/long/", "boundary-filing", "non_idempotent", 12.0}});
        cluster.startAll();
        std::vector<std::shared_ptr<SlowClient>> clients;
        cluster.after(Ms(8000), [&] {
            for (unsigned i = 0; i < 6; ++i) {
                clients.push_back(
                    std::make_shared<SlowClient>(context, record, "c" + std::to_string(i)));
                clients.back()->start(endpoint(cluster.machines[0]->address, OutboundPort));
            }
        });
        context.run_for(std::chrono::seconds(24));
        unsigned lost = 0;
        unsigned answered = 0;
        unsigned done = 0;
        for (const auto &client : clients) {
            done += client->isDone && client->isLong && runs.count(client->id) != 0 ? 1 : 0;
            answered += client->isAnswered ? 1 : 0;
            lost += client->isDone && client->isLong && runs.count(client->id) != 0
                            && !client->isAnswered && client->isInTime
                        ? 1
                        : 0;
        }
        const bool couldRun = done == clients.size() && done == 6;
        return verdict(record, "LOST", couldRun,
                       !couldRun ? std::to_string(done) + " clients ended"
                       : lost <= 3
                           ? std::string()
                           : std::to_string(lost)
                                 + " requests on kept connections had run and got no complete "
                                   "answer before their deadline, "
                                 + std::to_string(answered) + " got one");
    });
}
