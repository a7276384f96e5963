#pragma once

#include "messagefields.h"

#include <cbor.h>
#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <string_view>

namespace Medlar::Messages::Internal {

/*!
    Appends a message to a frame as a CBOR array: the message type, then the fields. Values are
   written by the streaming encoders of libcbor, because a tree of JSON values costs several
   allocations for each field. Lengths and numbers have the shortest form, as nlohmann json writes
   them.
*/
class FieldWriter
{
public:
    explicit FieldWriter(std::string &frame) : m_frame(frame) {}

    template<typename Message>
    void writeMessage(std::size_t type, const Message &message)
    {
        writeHead(cbor_encode_array_start, 1 + FieldCount<Message>);
        write(type);
        visitFields(message, *this);
    }

    template<typename... Fields>
    void operator()(const Fields &...fields)
    {
        (write(fields), ...);
    }

private:
    using Encoder
        = std::size_t (*)(std::uint64_t argument, unsigned char *buffer, std::size_t size);

    // Appends what \a encode writes: the type and its number or length in the shortest form.
    template<typename Encode>
    void append(const Encode &encode)
    {
        std::array<unsigned char, 1 + sizeof(std::uint64_t)> head{};
        const std::size_t length = encode(head.data(), head.size());
        m_frame.append(reinterpret_cast<const char *>(head.data()), length);
    }

    void writeHead(Encoder encoder, std::uint64_t argument)
    {
        append([encoder, argument](unsigned char *buffer, std::size_t size) {
            return encoder(argument, buffer, size);
        });
    }

    void writeBytes(Encoder encoder, std::string_view bytes)
    {
        writeHead(encoder, bytes.size());
        m_frame.append(bytes);
    }

    // Bodies and headers are arbitrary bytes, which CBOR text strings must not hold.
    void write(const std::string &value) { writeBytes(cbor_encode_bytestring_start, value); }
    void write(const Base::SharedBytes &value) { write(value.text()); }
    void write(bool value)
    {
        append([value](unsigned char *buffer, std::size_t size) {
            return cbor_encode_bool(value, buffer, size);
        });
    }
    void write(const Base::InstanceId &id) { writeBytes(cbor_encode_string_start, id.toString()); }
    void write(const Cluster::SlotAssignment &value)
    {
        nlohmann::json::to_cbor(Cluster::toJson(value), m_frame);
    }
    void write(const SlotEpoch &value) { writePair(value.slot, value.epoch); }
    void write(const SlotWeight &value) { writePair(value.slot, value.requests); }
    void write(const ObjectChanged &value)
    {
        writeHead(cbor_encode_array_start, 3);
        write(value.key);
        write(value.version);
        write(value.value);
    }
    void write(const RateDemand &value) { writeElement(value); }
    void write(const RateGrant &value) { writeElement(value); }
    template<typename Element>
    void writeElement(const Element &value)
    {
        std::apply(
            [&](auto... members) {
                writeHead(cbor_encode_array_start, sizeof...(members));
                (write(value.*members), ...);
            },
            ElementFields<Element>);
    }
    void write(const KeyRangeLoad &value)
    {
        writeHead(cbor_encode_array_start, 3);
        write(value.first);
        write(value.last);
        write(value.load);
    }
    template<typename Period>
    void write(std::chrono::duration<std::int64_t, Period> value)
    {
        const std::int64_t count = value.count();
        if (count >= 0)
            writeHead(cbor_encode_uint, static_cast<std::uint64_t>(count));
        else
            writeHead(cbor_encode_negint, static_cast<std::uint64_t>(-1 - count));
    }
    template<typename First, typename Second>
    void write(const std::pair<First, Second> &value)
    {
        writePair(value.first, value.second);
    }
    template<typename T>
    void write(const std::optional<T> &value)
    {
        if (value)
            write(*value);
        else
            append(cbor_encode_null);
    }
    template<typename T>
    void write(const std::vector<T> &values)
    {
        writeHead(cbor_encode_array_start, values.size());
        for (const T &value : values)
            write(value);
    }
    template<typename Key, typename T>
    void write(const std::map<Key, T> &values)
    {
        writeHead(cbor_encode_array_start, values.size());
        for (const auto &[key, value] : values)
            writePair(key, value);
    }
    template<typename Number>
    std::enable_if_t<std::is_unsigned_v<Number>> write(Number value)
    {
        writeHead(cbor_encode_uint, value);
    }
    template<typename Enum>
    std::enable_if_t<std::is_enum_v<Enum>> write(Enum value)
    {
        write(static_cast<std::uint8_t>(value));
    }
    template<typename First, typename Second>
    void writePair(const First &first, const Second &second)
    {
        writeHead(cbor_encode_array_start, 2);
        write(first);
        write(second);
    }

    std::string &m_frame;
};

} // namespace Medlar::Messages::Internal
