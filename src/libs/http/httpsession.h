#pragma once

#include "beastconversion.h"
#include "httpserver.h"
#include "requestinput.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_set>

namespace Medlar::Http {

class HttpSession;

/*! What the sessions of one server share. It outlives the server while sessions end. */
struct SessionGroup
{
    HttpServerSettings settings;
    RequestHandler handler;
    HttpServerCounters counters;
    std::unordered_set<HttpSession *> sessions;
    bool isClosing = false;
};

/*!
    One connection of a caller. Requests are read while earlier ones are handled, up to the bound
   of the settings; responses leave in the order of the requests.
*/
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    using Clock = std::chrono::steady_clock;

    HttpSession(Socket socket, std::shared_ptr<SessionGroup> group);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void start();
    /*! Ends the connection when it exceeded a time limit. */
    void checkTime(Clock::time_point now);
    void closeIfIdle();
    /*! Whether it waits for a request, and since when. */
    std::optional<Clock::time_point> idleSince() const;
    /*! Closes the connection if the caller has closed it, also behind input that is not read. */
    void closeIfCallerLeft();
    void close();

private:
    /*! What is expected from the caller. */
    enum class Input {
        Idle,    //!< the first byte of a request
        Reading, //!< the rest of a request
        Watched, //!< nothing; only its leaving is looked for
        Ending   //!< nothing; what comes is discarded until the caller closes
    };

    /*! A request that was read and whose response has not left. */
    struct Exchange
    {
        std::uint64_t sequence = 0;
        bool keepAlive = true;
        Clock::time_point limit; //!< of its handler
        std::shared_ptr<CallerPresence> caller;
        /*! Shared with the pending write, which may go on after the connection was closed. */
        std::shared_ptr<BeastResponse> response;
        std::uint64_t responseBytes = 0;
    };

    /*! A response that is being written; outlives the session's interest in it. */
    struct Output
    {
        explicit Output(std::shared_ptr<BeastResponse> sent)
            : response(std::move(sent)), serializer(*response)
        {}
        std::shared_ptr<BeastResponse> response;
        boost::beast::http::response_serializer<SharedBody> serializer;
    };

    void readRequest();
    void readBody();
    void readSome();
    void onRead(boost::system::error_code failure, std::size_t bytes);
    bool isReading() const;
    void releaseInput();
    void chargeUnreadBytes(Clock::time_point now);
    void giveUpInput();
    void giveUpOutput();
    void handle();
    void continueReading();
    void watchForLeaving();
    void refuse(const boost::system::error_code &error);
    void refuse(boost::beast::http::status status);
    void pushRefusal(HttpResponse response);
    void reply(std::uint64_t sequence, HttpResponse response);
    void writeNext();
    void writeSome(const std::shared_ptr<Output> &output);
    void onWritten(const boost::system::error_code &error);
    void end();
    void discardInput();
    bool isProper() const;

    Socket m_socket;
    std::shared_ptr<SessionGroup> m_group;
    RequestInput m_request;
    std::deque<Exchange> m_exchanges;
    Input m_input = Input::Idle;
    Clock::time_point m_inputLimit;
    Clock::time_point m_writeLimit;
    Clock::time_point m_requestBegan;
    Memory::Holder m_inputMemory;
    Memory::Holder m_outputMemory;
    std::uint64_t m_outputBytes = 0; //!< of the responses that were not written completely
    std::uint64_t m_sequence = 0;    //!< of the last request
    std::array<char, 4096> m_discarded{};
    bool m_isWriting = false;
    bool m_hasUnreadInput = false; //!< while Watched; hides a close from watchForLeaving()
    bool m_isFromLoopback = false;
};

} // namespace Medlar::Http
