#include "framecompression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace Medlar::Peer {

namespace {

// The fastest level: a frame is compressed on the thread that serves requests.
constexpr int Level = Z_BEST_SPEED;
// A window of 4 KiB holds about ten messages. Together with the memory level a link takes about
// 45 KiB, of which a daemon at the target size has a few hundred.
constexpr int WindowBits = 12;
constexpr int MemoryLevel = 5;
// Frames are flushed to a byte boundary, which zlib marks by an empty block of four bytes.
constexpr std::string_view FlushMark("\x00\x00\xff\xff", 4);
// Two numbers come before the compressed part: its length, and where in it the plain part belongs.
constexpr std::size_t NumberBytes = 3;
constexpr std::size_t PrefixBytes = 2 * NumberBytes;
constexpr std::size_t ChunkBytes = 4096;

void writeNumber(std::size_t value, std::string &target, std::size_t offset)
{
    for (std::size_t i = 0; i < NumberBytes; ++i, value >>= 8U)
        target[offset + i] = static_cast<char>(value & 0xffU);
}

std::size_t readNumber(std::string_view source, std::size_t offset)
{
    std::size_t value = 0;
    for (std::size_t i = NumberBytes; i-- > 0;)
        value = (value << 8U) | static_cast<unsigned char>(source[offset + i]);
    return value;
}

Bytef *toBytes(const char *text)
{
    // zlib does not write to its input.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
    return reinterpret_cast<Bytef *>(const_cast<char *>(text));
}

/*! Feeds \a part to \a step, which deflates or inflates, and appends all output to \a result.
    Returns false as soon as \a step does. */
template<typename Step>
bool appendOutput(z_stream &stream, std::string_view part, std::string &result, const Step &step)
{
    stream.next_in = toBytes(part.data());
    stream.avail_in = static_cast<uInt>(part.size());
    do {
        std::array<Bytef, ChunkBytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init)
        stream.next_out = chunk.data();
        stream.avail_out = static_cast<uInt>(chunk.size());
        if (!step())
            return false;
        result.append(reinterpret_cast<const char *>(chunk.data()),
                      chunk.size() - stream.avail_out);
    } while (stream.avail_out == 0);
    return true;
}

class ZlibDeflater : public FrameDeflater
{
public:
    // Raw: errors on the way are found by TCP, so no checksum is needed.
    ZlibDeflater()
        : m_isOpen(
            deflateInit2(&m_stream, Level, Z_DEFLATED, -WindowBits, MemoryLevel, Z_DEFAULT_STRATEGY)
            == Z_OK)
    {}
    ~ZlibDeflater() override
    {
        if (m_isOpen)
            deflateEnd(&m_stream);
    }
    ZlibDeflater(const ZlibDeflater &) = delete;
    ZlibDeflater &operator=(const ZlibDeflater &) = delete;

    bool isOpen() const { return m_isOpen; }

    tl::expected<std::string, std::string> pack(std::string_view frame,
                                                Messages::ByteRange plain) override
    {
        std::string result(PrefixBytes, '\0');
        // Only the end of the last part is flushed.
        if (!deflatePart(frame.substr(0, plain.offset), Z_NO_FLUSH, result)
            || !deflatePart(frame.substr(plain.offset + plain.length), Z_SYNC_FLUSH, result))
            return tl::unexpected(std::string("frame cannot be compressed"));
        if (result.size() < PrefixBytes + FlushMark.size())
            return tl::unexpected(std::string("frame is empty"));
        result.resize(result.size() - FlushMark.size());
        writeNumber(result.size() - PrefixBytes, result, 0);
        writeNumber(plain.offset, result, NumberBytes);
        result.append(frame.substr(plain.offset, plain.length));
        return result;
    }

private:
    bool deflatePart(std::string_view part, int flush, std::string &result)
    {
        return appendOutput(m_stream, part, result,
                            [&] { return deflate(&m_stream, flush) != Z_STREAM_ERROR; });
    }

    z_stream m_stream{};
    bool m_isOpen = false;
};

class ZlibInflater : public FrameInflater
{
public:
    ZlibInflater() : m_isOpen(inflateInit2(&m_stream, -WindowBits) == Z_OK) {}
    ~ZlibInflater() override
    {
        if (m_isOpen)
            inflateEnd(&m_stream);
    }
    ZlibInflater(const ZlibInflater &) = delete;
    ZlibInflater &operator=(const ZlibInflater &) = delete;

    bool isOpen() const { return m_isOpen; }

    tl::expected<std::string, std::string> unpack(std::string_view payload,
                                                  std::size_t maxBytes) override
    {
        if (payload.size() < PrefixBytes)
            return tl::unexpected(std::string("compressed frame is too short"));
        const std::size_t length = readNumber(payload, 0);
        const std::size_t plainOffset = readNumber(payload, NumberBytes);
        if (length > payload.size() - PrefixBytes)
            return tl::unexpected(std::string("compressed frame is cut short"));
        const std::string_view plain = payload.substr(PrefixBytes + length);
        std::string result;
        for (const std::string_view part : {payload.substr(PrefixBytes, length), FlushMark}) {
            if (const auto inflated = inflatePart(part, maxBytes, result); !inflated)
                return tl::unexpected(inflated.error());
        }
        if (result.size() + plain.size() > maxBytes)
            return tl::unexpected(std::string("compressed frame is too long"));
        if (plainOffset > result.size())
            return tl::unexpected(std::string("compressed frame is damaged"));
        result.insert(plainOffset, plain);
        return result;
    }

private:
    tl::expected<void, std::string> inflatePart(std::string_view part, std::size_t maxBytes,
                                                std::string &result)
    {
        const bool isSound = appendOutput(m_stream, part, result, [&] {
            if (result.size() > maxBytes)
                return false;
            const int code = ::inflate(&m_stream, Z_SYNC_FLUSH);
            return code == Z_OK || code == Z_BUF_ERROR;
        });
        if (result.size() > maxBytes)
            return tl::unexpected(std::string("compressed frame is too long"));
        if (!isSound)
            return tl::unexpected(std::string("compressed frame is damaged"));
        return {};
    }

    z_stream m_stream{};
    bool m_isOpen = false;
};

template<typename Interface, typename Stream>
tl::expected<std::unique_ptr<Interface>, std::string> open()
{
    auto stream = std::make_unique<Stream>();
    if (!stream->isOpen())
        return tl::unexpected(std::string("no memory for compression"));
    return stream;
}

} // namespace

tl::expected<std::unique_ptr<FrameDeflater>, std::string> FrameDeflater::create()
{
    return open<FrameDeflater, ZlibDeflater>();
}

tl::expected<std::unique_ptr<FrameInflater>, std::string> FrameInflater::create()
{
    return open<FrameInflater, ZlibInflater>();
}

} // namespace Medlar::Peer
