// Blocking HTTP/1.1 over loopback TCP, for the stand-ins of the review cases.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string toString() const { return ip + ':' + std::to_string(port); }
    sockaddr_in toNative() const
    {
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &native.sin_addr);
        return native;
    }
};

/*! A request or a response. Header names are in lower case. */
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    bool has(const std::string &name) const { return headers.count(name) != 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const std::size_t start = startLine.find(' ') + 1;
        return startLine.substr(start, startLine.find(' ', start) - start);
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
};

/*! A TCP connection that is closed with the object. */
class Connection
{
public:
    explicit Connection(int socket) : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { ::close(m_socket); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::shared_ptr<Connection> open(const Address &to, Milliseconds timeout)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (socket < 0)
            return nullptr;
        auto connection = std::make_shared<Connection>(socket);
        connection->setTimeout(timeout);
        const sockaddr_in native = to.toNative();
        if (::connect(socket, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) != 0)
            return nullptr;
        return connection;
    }

    void setTimeout(Milliseconds timeout) const
    {
        const timeval value{static_cast<time_t>(timeout.count() / 1000),
                            static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
    }

    bool write(const std::string &bytes)
    {
        const std::lock_guard lock(m_writeMutex);
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto count
                = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /*! The next message, or nothing if the connection ended or the timeout passed before that.
        A response to HEAD is not expected here. */
    std::optional<Message> read()
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        Message message;
        std::size_t line = m_buffer.find("\r\n");
        message.startLine = m_buffer.substr(0, line);
        while (line < end) {
            const std::size_t start = line + 2;
            line = m_buffer.find("\r\n", start);
            const std::string text = m_buffer.substr(start, line - start);
            const std::size_t colon = text.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = text.substr(0, colon);
            for (char &c : name)
                c = static_cast<char>(std::tolower(c));
            const std::size_t value = text.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : text.substr(value);
        }
        m_buffer.erase(0, end + 4);
        const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill())
                return std::nullopt;
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return message;
    }

    void shutdown() const { ::shutdown(m_socket, SHUT_RDWR); }
    bool hasEnded() const { return m_hasEnded; }

private:
    bool fill()
    {
        char bytes[65536];
        const auto count = ::recv(m_socket, bytes, sizeof(bytes), 0);
        m_hasEnded = count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_buffer;
    std::mutex m_writeMutex;
    bool m_hasEnded = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/*! Accepts connections and runs each in a thread of its own. */
class Server
{
public:
    using Handler = std::function<void(const ConnectionPtr &)>;

    Server(const Address &address, Handler handler) : m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in native = address.toNative();
        m_isListening
            = ::bind(m_listener, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) == 0
              && ::listen(m_listener, 256) == 0;
        m_acceptor = std::thread([this] { accept(); });
    }
    ~Server()
    {
        m_isStopping = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &weak : m_connections) {
                if (const auto connection = weak.lock())
                    connection->shutdown();
            }
            threads = std::move(m_threads);
        }
        for (std::thread &thread : threads)
            thread.join();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    bool isListening() const { return m_isListening; }

private:
    void accept()
    {
        while (!m_isStopping) {
            pollfd state{m_listener, POLLIN, 0};
            if (::poll(&state, 1, 100) <= 0)
                continue;
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            auto connection = std::make_shared<Connection>(socket);
            const std::lock_guard lock(m_mutex);
            m_connections.push_back(connection);
            m_threads.emplace_back([this, connection] { m_handler(connection); });
        }
    }

    Handler m_handler;
    int m_listener = -1;
    bool m_isListening = false;
    std::atomic<bool> m_isStopping{false};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
};

inline std::string toText(const std::string &startLine,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          const std::string &body)
{
    std::string text = startLine + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Status");
}

} // namespace Review
