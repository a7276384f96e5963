#include "messagecodec.h"

#include "cluster/cbor.h"
#include "fieldwriter.h"
#include "flatreader.h"
#include "messagefields.h"

#include <array>

namespace Medlar::Messages {

using nlohmann::json;

namespace {

using Decoder = PeerMessage (*)(Internal::FieldReader &);

template<typename Message>
PeerMessage decodeAs(Internal::FieldReader &reader)
{
    Message message;
    Internal::visitFields(message, reader);
    return message;
}

template<std::size_t... Index>
constexpr auto makeDecoders(std::index_sequence<Index...>)
{
    return std::array<Decoder, sizeof...(Index)>{
        &decodeAs<std::variant_alternative_t<Index, PeerMessage>>...};
}

constexpr auto Decoders
    = makeDecoders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

CodecError wrongField(std::size_t type)
{
    return {"message type " + std::to_string(type) + " has a wrong, missing or extra field"};
}

CodecError notAMessage()
{
    return {"frame is not a CBOR array with a message type"};
}

template<std::size_t Type>
tl::expected<PeerMessage, CodecError> decodeFlat(std::string_view frame)
{
    PeerMessage result(std::in_place_index<Type>);
    Internal::FlatReader reader(std::get<Type>(result));
    const bool isParsed
        = Internal::FrameJson::sax_parse(frame, &reader, nlohmann::detail::input_format_t::cbor);
    if (reader.isMalformed())
        return tl::unexpected(notAMessage());
    if (!isParsed || !reader.isComplete())
        return tl::unexpected(wrongField(Type));
    return result;
}

struct FlatDecoder
{
    std::size_t firstByte = 0; //!< of a frame that encode() made
    tl::expected<PeerMessage, CodecError> (*decode)(std::string_view) = nullptr;
};

template<std::size_t Type>
constexpr FlatDecoder makeFlatDecoder()
{
    using Message = std::variant_alternative_t<Type, PeerMessage>;
    constexpr std::size_t EmptyArray = 0x80;
    constexpr std::size_t LargestInOneByte = 23;
    constexpr std::size_t Length = 1 + Internal::FieldCount<Message>;
    static_assert(Length <= LargestInOneByte);
    if constexpr (Internal::IsFlatMessage<Message> && Type <= LargestInOneByte)
        return {EmptyArray + Length, &decodeFlat<Type>};
    else
        return {};
}

template<std::size_t... Type>
constexpr auto makeFlatDecoders(std::index_sequence<Type...> /*types*/)
{
    return std::array<FlatDecoder, sizeof...(Type)>{makeFlatDecoder<Type>()...};
}

constexpr auto FlatDecoders
    = makeFlatDecoders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

// nullptr for messages with lists, and for frames that are not in the form of encode().
const FlatDecoder *flatDecoderFor(std::string_view frame)
{
    if (frame.size() < 2)
        return nullptr;
    const auto type = static_cast<unsigned char>(frame[1]);
    if (type >= FlatDecoders.size())
        return nullptr;
    const FlatDecoder &decoder = FlatDecoders.at(type);
    const bool isInForm = static_cast<unsigned char>(frame[0]) == decoder.firstByte;
    return isInForm && decoder.decode ? &decoder : nullptr;
}

tl::expected<PeerMessage, CodecError> decodeTree(std::string_view frame)
{
    const json array = Cluster::parseCbor(frame);
    if (!array.is_array() || array.empty() || !array[0].is_number_unsigned())
        return tl::unexpected(notAMessage());

    const auto type = array[0].get<std::uint64_t>();
    if (type >= Decoders.size())
        return tl::unexpected(CodecError{"unknown message type " + std::to_string(type)});

    Internal::FieldReader reader(array);
    PeerMessage message = Decoders[type](reader);
    if (!reader.isComplete())
        return tl::unexpected(wrongField(type));
    return message;
}

} // namespace

std::string encode(const PeerMessage &message)
{
    // A request without a body takes about 180 bytes; growing to that size costs four allocations.
    constexpr std::size_t UsualFrameBytes = 256;
    std::string frame;
    frame.reserve(UsualFrameBytes);
    Internal::FieldWriter writer(frame);
    std::visit([&](const auto &typed) { writer.writeMessage(message.index(), typed); }, message);
    return frame;
}

ByteRange bodyRange(const PeerMessage &message, std::string_view frame)
{
    const std::string *body = nullptr;
    if (const auto *const request = std::get_if<ForwardRequest>(&message))
        body = &request->body.text();
    else if (const auto *const response = std::get_if<ForwardResponse>(&message))
        body = &response->body.text();
    if (!body || body->empty())
        return {};
    // A few short fields follow the body.
    return {frame.rfind(*body), body->size()};
}

tl::expected<PeerMessage, CodecError> decode(std::string_view frame)
{
    if (frame.size() > MaxFrameBytes)
        return tl::unexpected(CodecError{"frame is too long"});
    // A tree of JSON values costs three times as much as the message itself.
    if (const FlatDecoder *const decoder = flatDecoderFor(frame))
        return decoder->decode(frame);
    return decodeTree(frame);
}

} // namespace Medlar::Messages
