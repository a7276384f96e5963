#pragma once

#include "beastconversion.h"
#include "httpserver.h"

#include <optional>

namespace Medlar::Http {

/*! Unparsed bytes of a connection and the parser of the request that is being read. */
class RequestInput
{
public:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // Commands

    /*! Expects a request. Bytes behind the last one are kept. */
    void begin(const HttpServerSettings &settings);
    /*! Memory for the next bytes; call commit() when they have been read. */
    boost::asio::mutable_buffer prepare();
    void commit(std::size_t bytes) { m_buffer.commit(bytes); }
    /*! Parses what was read. \a error is also set if the input ended with it. Returns whether the
     * request is complete. */
    bool parse(boost::system::error_code &error);
    ReceivedRequest take();
    /*! Forgets the request. The buffer is kept, since a read may still use it. */
    void reset() { m_parser.reset(); }

    // Queries

    bool isReading() const { return m_parser.has_value(); }
    bool hasUnparsedBytes() const { return m_buffer.size() != 0; }
    /*! The message, as far as it was read. */
    const ReceivedRequest &message() const { return m_parser->get(); }
    /*! Memory for the request and for unparsed bytes. */
    std::uint64_t heldBytes() const;

private:
    std::size_t readSize() const;
    void reserveBody();

    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::uint64_t m_maxReservedBody = 0; //!< in bytes; 0: bodies grow as needed
};

} // namespace Medlar::Http
