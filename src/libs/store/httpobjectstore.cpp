#include "httpobjectstore.h"

#include "connectionpool.h"
#include "storecodec.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <charconv>
#include <random>
#include <utility>

namespace Medlar::Store {

namespace Http = boost::beast::http;

namespace {

constexpr char WriterTokenHeader[] = "X-Writer-Token";

/*! Answers without a value, such as those to PUT and DELETE. */
constexpr std::size_t MaxStatusAnswerBytes = 65536;

/*! Time for the answer of a watch to arrive after the server's time-out. */
constexpr std::chrono::milliseconds WatchGrace{2000};

std::string toString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string randomWriterId()
{
    std::random_device device;
    std::string id;
    for (int word = 0; word < 4; ++word)
        id += std::to_string(device()) + '-';
    return id;
}

StoreError translated(const CallFailure &failure)
{
    const bool invalid
        = failure.kind == CallFailureKind::Malformed || failure.kind == CallFailureKind::Oversized;
    return {invalid ? StoreErrorCode::InvalidAnswer : StoreErrorCode::Unavailable, failure.detail,
            0};
}

/*! Translates an answer that is not the expected success of a read. */
StoreError translated(const HttpReply &reply)
{
    const std::string detail = "status " + std::to_string(reply.result_int());
    if (reply.result() == Http::status::not_found)
        return {StoreErrorCode::NotFound, detail, 0};
    if (reply.result() == Http::status::gone)
        return {StoreErrorCode::NotFound, detail, parseRevision(reply.body())};
    if (reply.result() == Http::status::payload_too_large)
        return {StoreErrorCode::TooLarge, detail, 0};
    const bool serverError = reply.result_int() >= 500 || reply.result_int() == 429;
    return {serverError ? StoreErrorCode::Unavailable : StoreErrorCode::InvalidAnswer, detail, 0};
}

std::optional<Version> versionOf(const HttpReply &reply)
{
    return versionFromETag(toString(reply[Http::field::etag]));
}

/*! Statuses with which a server refuses a request that it has not carried out. */
bool isRefusal(const HttpReply &reply)
{
    const auto status = reply.result_int();
    return (status >= 400 && status < 500) || status == 503;
}

struct Write
{
    std::string key;
    std::string writerToken;
    Version expected = 0;
    Callback<Version> callback;
};

/*! The result of a write whose answer was lost, judged by what is stored now. */
Result<Version> judged(const Write &write, const CallFailure &lost, const HttpReply &now)
{
    const bool exists = now.result() == Http::status::ok;
    if (!exists && now.result() != Http::status::not_found)
        return tl::unexpected(
            StoreError{StoreErrorCode::Indeterminate, "answer lost, read-back refused", 0});
    const auto version = versionOf(now);
    if (version && toString(now[WriterTokenHeader]) == write.writerToken)
        return *version;
    const Version current = exists ? version.value_or(0) : 0;
    const bool unchanged = current == write.expected && (!exists || version);
    if (unchanged && lost.kind != CallFailureKind::TimedOut)
        return tl::unexpected(
            StoreError{StoreErrorCode::Unavailable, "not changed: " + lost.detail, current});
    return tl::unexpected(StoreError{StoreErrorCode::Indeterminate,
                                     unchanged ? "timed out, not changed yet"
                                               : "answer lost, another writer followed",
                                     current});
}

} // namespace

class HttpObjectStore::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(boost::asio::io_context &context, HttpObjectStoreSettings settings,
            const boost::asio::ip::tcp::endpoint &endpoint)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_calls(std::make_shared<ConnectionPool>(context, endpoint, m_settings.maxConnections,
                                                   m_settings.maxQueuedCalls))
        , m_watches(std::make_shared<ConnectionPool>(context, endpoint, m_settings.maxWatches, 0))
    {
        if (m_settings.writerId.empty())
            m_settings.writerId = randomWriterId();
    }

    HttpRequest request(Http::verb verb, const std::string &target) const
    {
        HttpRequest request(verb, "/v1/" + target, 11);
        request.set(Http::field::host, m_settings.address + ':' + std::to_string(m_settings.port));
        return request;
    }

    std::string objectTarget(const std::string &key) const
    {
        return "objects/" + percentEncoded(m_settings.keyPrefix + key);
    }

    void submit(HttpRequest request, std::size_t maxAnswerBytes,
                std::function<void(CallResult)> handler)
    {
        m_calls->submit({std::move(request),
                         std::chrono::steady_clock::now() + m_settings.callTimeout, maxAnswerBytes,
                         std::move(handler)});
    }

    void write(HttpRequest request, const std::string &key, Version expected,
               Callback<Version> callback)
    {
        Write write{key, m_settings.writerId + std::to_string(++m_writes), expected,
                    std::move(callback)};
        request.set(WriterTokenHeader, write.writerToken);
        if (expected == 0)
            request.set(Http::field::if_none_match, "*");
        else
            request.set(Http::field::if_match, toETag(expected));
        submit(std::move(request), MaxStatusAnswerBytes,
               [self = shared_from_this(), write = std::move(write)](const CallResult &result) {
                   self->onWritten(write, result);
               });
    }

    void onWritten(const Write &write, const CallResult &result)
    {
        if (!result) {
            if (result.error().kind == CallFailureKind::NotSent)
                write.callback(tl::unexpected(translated(result.error())));
            else
                readBack(write, result.error());
            return;
        }
        const auto version = versionOf(*result);
        const bool success = result->result_int() / 100 == 2;
        if (success && version) {
            write.callback(*version);
        } else if (result->result() == Http::status::precondition_failed) {
            write.callback(tl::unexpected(
                StoreError{StoreErrorCode::Conflict, "version differs", version.value_or(0)}));
        } else if (isRefusal(*result)) {
            write.callback(tl::unexpected(translated(*result)));
        } else {
            // A gateway that gave up waiting may still have the request under way.
            const bool timedOut = result->result() == Http::status::gateway_timeout;
            readBack(write, {timedOut ? CallFailureKind::TimedOut : CallFailureKind::Malformed,
                             "status " + std::to_string(result->result_int())
                                 + (success ? " without a version" : "")});
        }
    }

    void list(const std::string &prefix, ListContent content,
              Callback<std::vector<StoredObject>> callback)
    {
        const std::string target = "objects?prefix=" + percentEncoded(m_settings.keyPrefix + prefix)
                                   + (content == ListContent::Values ? "&values=1" : "");
        submit(request(Http::verb::get, target), m_settings.maxListBytes,
               [keyPrefix = m_settings.keyPrefix, content,
                callback = std::move(callback)](const CallResult &result) {
                   if (!result)
                       callback(tl::unexpected(translated(result.error())));
                   else if (result->result() != Http::status::ok)
                       callback(tl::unexpected(translated(*result)));
                   else
                       callback(parseList(result->body(), keyPrefix, content));
               });
    }

    void readBack(const Write &write, const CallFailure &lost)
    {
        submit(request(Http::verb::get, objectTarget(write.key)), maxObjectBytes(),
               [write, lost](const CallResult &result) {
                   if (result)
                       write.callback(judged(write, lost, *result));
                   else
                       write.callback(tl::unexpected(
                           StoreError{StoreErrorCode::Indeterminate,
                                      lost.detail + "; read-back: " + result.error().detail, 0}));
               });
    }

    std::size_t maxObjectBytes() const
    {
        return std::max(m_settings.maxValueBytes, MaxStatusAnswerBytes);
    }

    boost::asio::io_context &m_context;
    HttpObjectStoreSettings m_settings;
    std::shared_ptr<ConnectionPool> m_calls;
    std::shared_ptr<ConnectionPool> m_watches;
    std::uint64_t m_writes = 0;
};

tl::expected<HttpObjectStoreSettings, std::string>
HttpObjectStoreSettings::fromHostAndPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    HttpObjectStoreSettings settings;
    const char *const last = text.data() + text.size();
    if (colon != std::string::npos) {
        settings.address = text.substr(0, colon);
        const auto [end, error] = std::from_chars(text.data() + colon + 1, last, settings.port);
        if (error != std::errc() || end != last)
            settings.port = 0;
    }
    if (settings.address.size() > 2 && settings.address.front() == '['
        && settings.address.back() == ']')
        settings.address = settings.address.substr(1, settings.address.size() - 2);
    if (settings.port == 0)
        return tl::unexpected("store address '" + text + "' is not HOST:PORT");
    return settings;
}

tl::expected<std::unique_ptr<HttpObjectStore>, std::string>
HttpObjectStore::create(boost::asio::io_context &context, const HttpObjectStoreSettings &settings)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(settings.address, error);
    if (error)
        return tl::unexpected("store address '" + settings.address + "' is not an IP number");
    if (settings.port == 0)
        return tl::unexpected(std::string("store port is 0"));
    if (settings.maxConnections == 0 || settings.maxWatches == 0
        || settings.callTimeout.count() <= 0)
        return tl::unexpected(std::string("store connection limits and time-out must be above 0"));
    const boost::asio::ip::tcp::endpoint endpoint(address, settings.port);
    return std::unique_ptr<HttpObjectStore>(
        new HttpObjectStore(std::make_shared<Private>(context, settings, endpoint)));
}

HttpObjectStore::HttpObjectStore(std::shared_ptr<Private> d) : m_d(std::move(d)) {}

HttpObjectStore::~HttpObjectStore()
{
    m_d->m_calls->shutDown();
    m_d->m_watches->shutDown();
}

void HttpObjectStore::get(const std::string &key, Callback<StoredObject> callback)
{
    m_d->submit(m_d->request(Http::verb::get, m_d->objectTarget(key)), m_d->maxObjectBytes(),
                [key, callback = std::move(callback)](CallResult result) {
                    if (!result) {
                        callback(tl::unexpected(translated(result.error())));
                        return;
                    }
                    if (result->result() != Http::status::ok) {
                        callback(tl::unexpected(translated(*result)));
                        return;
                    }
                    const auto version = versionOf(*result);
                    if (!version) {
                        callback(tl::unexpected(StoreError{StoreErrorCode::InvalidAnswer,
                                                           "answer without a version", 0}));
                        return;
                    }
                    callback(StoredObject{key, std::move(result->body()), *version,
                                          toString((*result)[WriterTokenHeader])});
                });
}

void HttpObjectStore::list(const std::string &prefix, Callback<std::vector<StoredObject>> callback)
{
    m_d->list(prefix, ListContent::Values, std::move(callback));
}

void HttpObjectStore::listKeys(const std::string &prefix,
                               Callback<std::vector<StoredObject>> callback)
{
    m_d->list(prefix, ListContent::Keys, std::move(callback));
}

void HttpObjectStore::put(const std::string &key, const std::string &value, Version expected,
                          Callback<Version> callback)
{
    if (value.size() > m_d->m_settings.maxValueBytes) {
        boost::asio::post(m_d->m_context, [callback = std::move(callback)] {
            callback(
                tl::unexpected(StoreError{StoreErrorCode::TooLarge, "value exceeds the limit", 0}));
        });
        return;
    }
    HttpRequest request = m_d->request(Http::verb::put, m_d->objectTarget(key));
    request.body() = value;
    m_d->write(std::move(request), key, expected, std::move(callback));
}

void HttpObjectStore::remove(const std::string &key, Version expected, Callback<Version> callback)
{
    m_d->write(m_d->request(Http::verb::delete_, m_d->objectTarget(key)), key, expected,
               std::move(callback));
}

void HttpObjectStore::watch(const std::string &prefix, Version after,
                            std::chrono::milliseconds timeout, Callback<WatchResult> callback)
{
    const std::string target = "watch?prefix=" + percentEncoded(m_d->m_settings.keyPrefix + prefix)
                               + "&after=" + std::to_string(after)
                               + "&timeout_ms=" + std::to_string(timeout.count());
    m_d->m_watches->submit({m_d->request(Http::verb::get, target),
                            std::chrono::steady_clock::now() + timeout + WatchGrace,
                            m_d->m_settings.maxListBytes,
                            [d = m_d, callback = std::move(callback)](const CallResult &result) {
                                if (!result)
                                    callback(tl::unexpected(translated(result.error())));
                                else if (result->result() != Http::status::ok)
                                    callback(tl::unexpected(translated(*result)));
                                else
                                    callback(parseWatch(result->body(), d->m_settings.keyPrefix));
                            }});
}

CallQueue HttpObjectStore::callQueue() const
{
    return {m_d->m_calls->queuedCalls(), m_d->m_settings.maxQueuedCalls};
}

} // namespace Medlar::Store
