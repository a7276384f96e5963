#pragma once

#include "messages/messagecodec.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Medlar::Peer {

/*!
    Compresses the frames of one direction of a link. Each frame may refer to earlier ones, since
   most of a message (names of routes and headers) stands in the messages before it as well: a
   request without a body takes 60 to 100 bytes instead of 400.
*/
class FrameDeflater
{
public:
    virtual ~FrameDeflater() = default;

    /*! Fails when zlib has no memory. */
    static tl::expected<std::unique_ptr<FrameDeflater>, std::string> create();

    /*!
        The bytes of \a plain are passed on as they are. The result has to be sent, and in the order
       of the calls; otherwise the other end can't read what follows. Fails for empty frames.
    */
    virtual tl::expected<std::string, std::string> pack(std::string_view frame,
                                                        Messages::ByteRange plain)
        = 0;
};

/*! Reads what a FrameDeflater wrote at the other end of the link. */
class FrameInflater
{
public:
    virtual ~FrameInflater() = default;

    static tl::expected<std::unique_ptr<FrameInflater>, std::string> create();

    /*! Fails for damaged input and for frames above \a maxBytes. Nothing can be read after that. */
    virtual tl::expected<std::string, std::string> unpack(std::string_view payload,
                                                          std::size_t maxBytes)
        = 0;
};

} // namespace Medlar::Peer
