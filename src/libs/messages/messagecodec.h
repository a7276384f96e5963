#pragma once

#include "peermessages.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Medlar::Messages {

/*! Longest accepted frame, in bytes. Objects of the store may have one megabyte. */
constexpr std::size_t MaxFrameBytes = std::size_t(4) << 20U;

/*! Says why a frame from a peer is not a valid message. */
struct CodecError
{
    std::string detail;
};

/*! CBOR array whose first element is the index of the message type in PeerMessage. */
std::string encode(const PeerMessage &message);

struct ByteRange
{
    std::size_t offset = 0;
    std::size_t length = 0;
};

/*!
    Where the body of a caller or BackendServer stands in the \a frame that encode() made of
   \a message; empty for messages without one. Such bodies are mostly compressed already.
*/
ByteRange bodyRange(const PeerMessage &message, std::string_view frame);

/*! Rejects unknown types, wrong field types, missing fields and frames above MaxFrameBytes. */
tl::expected<PeerMessage, CodecError> decode(std::string_view frame);

} // namespace Medlar::Messages
