#include "requestinput.h"

#include <algorithm>

namespace Medlar::Http {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Size of the reads of a head. Most heads fit into one; a larger buffer for each of many
// connections would take more memory than the heads.
constexpr std::size_t HeadReadSize = std::size_t(4) * 1024;
// A head is held in the buffer and, in parts, in the fields of the parser.
constexpr std::uint64_t HeadCopies = 2;
// Bodies of unknown length that are at least this long get memory for the largest one.
constexpr std::size_t MinReservingBody = std::size_t(512) * 1024;

} // namespace

void RequestInput::begin(const HttpServerSettings &settings)
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(settings.maxHeaderBytes);
    m_parser->body_limit(settings.maxBodyBytes);
    m_buffer.max_size(maxBufferedBytes(settings.maxHeaderBytes));
    m_maxReservedBody
        = settings.memory ? std::min(settings.maxBodyBytes, settings.memory->totalBytes()) : 0;
}

boost::asio::mutable_buffer RequestInput::prepare()
{
    return m_buffer.prepare(std::min(m_buffer.max_size() - m_buffer.size(), readSize()));
}

/*! Small for small requests, so that their buffers stay small. */
std::size_t RequestInput::readSize() const
{
    if (!m_parser->is_header_done())
        return HeadReadSize;
    const std::uint64_t expected
        = m_parser->content_length_remaining().value_or(m_parser->get().body().size());
    return static_cast<std::size_t>(std::clamp<std::uint64_t>(expected, HeadReadSize, ReadSize));
}

bool RequestInput::parse(error_code &error)
{
    if (error == boost::asio::error::eof) {
        error = http::error::end_of_stream;
        if (m_parser->got_some())
            m_parser->put_eof(error);
    }
    while (!error && m_buffer.size() != 0 && !m_parser->is_done()) {
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error != http::error::need_more)
            continue;
        error = {};
        if (m_buffer.size() >= m_buffer.max_size())
            error = http::error::buffer_overflow;
        break;
    }
    reserveBody();
    return !error && m_parser->is_done();
}

// A body of unknown length would be copied to a larger block again and again, which takes twice its
// memory for a moment. Reserved memory takes none until it is written.
void RequestInput::reserveBody()
{
    std::string &body = m_parser->get().body();
    const bool isGrowing = m_parser->is_header_done() && m_parser->chunked() && !m_parser->is_done()
                           && body.size() >= MinReservingBody;
    if (isGrowing && body.capacity() < m_maxReservedBody)
        body.reserve(static_cast<std::size_t>(m_maxReservedBody));
}

ReceivedRequest RequestInput::take()
{
    ReceivedRequest message = m_parser->release();
    m_parser.reset();
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    return message;
}

std::uint64_t RequestInput::heldBytes() const
{
    std::uint64_t bytes = m_buffer.capacity();
    if (m_parser && m_parser->is_header_done())
        bytes += m_parser->get().body().size() + HeadCopies * HeadReadSize;
    return bytes;
}

} // namespace Medlar::Http
