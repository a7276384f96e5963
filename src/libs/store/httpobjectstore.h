#pragma once

#include "objectstore.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Medlar::Store {

struct HttpObjectStoreSettings
{
    std::string address; //!< IP number
    std::uint16_t port = 0;
    std::string keyPrefix; //!< added to every key sent, removed from every key received
    std::chrono::milliseconds callTimeout{2000}; //!< for one call; a read-back has its own
    std::size_t maxConnections = 4;              //!< besides those of watches
    std::size_t maxWatches = 16;                 //!< pending at once, each on its own connection
    std::size_t maxQueuedCalls = 1024;           //!< further calls fail with Unavailable
    std::size_t maxValueBytes = 1000000;
    std::size_t maxListBytes = std::size_t(64) << 20U; //!< of the answers to list and watch
    std::string writerId; //!< first part of writer tokens; empty: drawn at random

    /*! Settings for HOST:PORT, where HOST is an IP number (in brackets for IPv6). */
    static tl::expected<HttpObjectStoreSettings, std::string>
    fromHostAndPort(const std::string &text);
};

/*!
    Client of the platform's object store over HTTP, see docs/design.md, 6. Must be used on the
   thread that runs its context; callbacks run there too and never inside the call that got them.

   A call is made once: back-off between attempts is the caller's duty. When the outcome of put() or
   remove() is lost, the object is read back:
   - it carries the writer token of the call: success;
   - it is unchanged, and the server closed the connection: Unavailable;
   - it is unchanged, and the call timed out: Indeterminate, because the request may still arrive;
   - it was changed by another writer, or reading back failed: Indeterminate.

   watch() fails with NotFound when the store no longer has the changes after the given revision.
   The error's currentVersion is the revision from which to watch after listing again.

   Callbacks of calls that are outstanding at destruction are not called.
*/
class HttpObjectStore : public ObjectStore
{
public:
    /*! Fails when the address is not an IP number or a limit is 0; does not connect yet. */
    static tl::expected<std::unique_ptr<HttpObjectStore>, std::string>
    create(boost::asio::io_context &context, const HttpObjectStoreSettings &settings);
    ~HttpObjectStore() override;

    void get(const std::string &key, Callback<StoredObject> callback) override;
    void list(const std::string &prefix, Callback<std::vector<StoredObject>> callback) override;
    void listKeys(const std::string &prefix, Callback<std::vector<StoredObject>> callback) override;
    void put(const std::string &key, const std::string &value, Version expected,
             Callback<Version> callback) override;
    void remove(const std::string &key, Version expected, Callback<Version> callback) override;
    void watch(const std::string &prefix, Version after, std::chrono::milliseconds timeout,
               Callback<WatchResult> callback) override;

    CallQueue callQueue() const override;

private:
    class Private;
    explicit HttpObjectStore(std::shared_ptr<Private> d);

    std::shared_ptr<Private> m_d;
};

} // namespace Medlar::Store
