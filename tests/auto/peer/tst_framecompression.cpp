#include "peer/framecompression.h"

#include <gtest/gtest.h>

#include <random>

namespace Medlar::Peer {
namespace {

constexpr std::size_t MaxBytes = 100000;

Messages::ForwardRequest request(std::uint64_t number)
{
    Messages::ForwardRequest result;
    result.streamId = number;
    result.requestId = std::to_string(number * 0x9e3779b97f4a7c15U);
    result.route = "harbour-lookup";
    result.service = "berths";
    result.method = "GET";
    result.target = "/harbour/lookup/" + std::to_string(number);
    result.headers = {{"Host", "harbour.example"},
                      {"Accept", "application/json"},
                      {"User-Agent", "harbour-client/2.4"},
                      {"Medlar-Request-Id", result.requestId}};
    return result;
}

std::string randomBytes(std::size_t size)
{
    std::mt19937_64 random(size);
    std::string result(size, '\0');
    for (char &byte : result)
        byte = static_cast<char>(random());
    return result;
}

class FrameCompressionTest : public testing::Test
{
protected:
    std::string pack(const Messages::PeerMessage &message)
    {
        const std::string frame = Messages::encode(message);
        const auto packed = deflater->pack(frame, Messages::bodyRange(message, frame));
        EXPECT_TRUE(packed) << packed.error();
        return packed.value_or("");
    }

    std::unique_ptr<FrameDeflater> deflater = *FrameDeflater::create();
    std::unique_ptr<FrameInflater> inflater = *FrameInflater::create();
};

} // namespace

// Guards against frames that arrive changed or in parts, whatever their size and body.
TEST_F(FrameCompressionTest, framesArriveUnchangedInTheirOrder)
{
    Messages::ForwardRequest message = request(1);
    for (const std::size_t size : {0U, 1U, 100U, 4096U, 5000U, 70000U}) {
        SCOPED_TRACE(size);
        for (const std::string &body : {randomBytes(size), std::string(size, 'x')}) {
            message.body = body;
            const auto frame = inflater->unpack(pack(message), MaxBytes);
            ASSERT_TRUE(frame) << frame.error();
            EXPECT_EQ(*frame, Messages::encode(message));
        }
    }
    const Messages::ObjectChanged object{"config/current", 7, std::string(50000, 'r')};
    const auto frame = inflater->unpack(pack(object), MaxBytes);
    ASSERT_TRUE(frame) << frame.error();
    EXPECT_EQ(*frame, Messages::encode(object));
}

// Headers and names that each request repeats are billed between regions; they were five sixths of
// the bytes of a request.
TEST_F(FrameCompressionTest, laterRequestsTakeLessThanAThirdOfTheirBytes)
{
    pack(request(1));
    std::size_t plain = 0;
    std::size_t packed = 0;
    for (std::uint64_t i = 2; i < 102; ++i) {
        plain += Messages::encode(request(i)).size();
        packed += pack(request(i)).size();
    }
    EXPECT_LT(packed * 3, plain);

    SCOPED_TRACE("a body that cannot be compressed is not made longer");
    Messages::ForwardRequest message = request(200);
    message.body = randomBytes(5000);
    EXPECT_LT(pack(message).size(), Messages::encode(message).size());
}

// A peer may not make a daemon run out of memory, nor read beyond what it sent.
TEST_F(FrameCompressionTest, damagedAndOversizedFramesAreRejected)
{
    const std::string good = pack(request(1));
    {
        SCOPED_TRACE("too long when inflated");
        const Messages::ObjectChanged object{"config/current", 7, std::string(MaxBytes, 'r')};
        const std::string large = pack(object);
        EXPECT_LT(large.size(), MaxBytes / 10);
        EXPECT_TRUE(inflater->unpack(good, MaxBytes));
        EXPECT_FALSE(inflater->unpack(large, MaxBytes));
    }
    for (std::size_t size = 0; size < good.size(); ++size) {
        SCOPED_TRACE(size);
        const auto other = *FrameInflater::create();
        const auto frame = other->unpack(good.substr(0, size), MaxBytes);
        EXPECT_TRUE(!frame || *frame != Messages::encode(request(1)));
    }
    std::mt19937_64 random(7);
    for (int i = 0; i < 2000; ++i) {
        std::string damaged = good;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto other = *FrameInflater::create();
        const auto frame = other->unpack(damaged, MaxBytes);
        EXPECT_TRUE(!frame || frame->size() <= MaxBytes);
    }
}

} // namespace Medlar::Peer
