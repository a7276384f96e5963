#include "storecodec.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <cctype>
#include <charconv>

namespace Medlar::Store {

namespace {

using Json = nlohmann::json;

tl::unexpected<StoreError> invalidAnswer(const std::string &detail)
{
    return tl::unexpected(StoreError{StoreErrorCode::InvalidAnswer, detail, 0});
}

bool isUnreserved(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~' || c == '/';
}

bool isVersion(const Json &object, const char *name)
{
    return object.contains(name) && object[name].is_number_unsigned();
}

/*! The member \a name, which must be a string of base64. */
std::optional<std::string> valueOf(const Json &object, const char *name)
{
    if (!object.contains(name) || !object[name].is_string())
        return std::nullopt;
    return base64Decoded(object[name].get_ref<const std::string &>());
}

/*! The key without \a keyPrefix, which every returned key must have. */
std::optional<std::string> keyOf(const Json &object, std::string_view keyPrefix)
{
    if (!object.is_object() || !object.contains("key") || !object["key"].is_string())
        return std::nullopt;
    const auto &key = object["key"].get_ref<const std::string &>();
    if (key.compare(0, keyPrefix.size(), keyPrefix) != 0)
        return std::nullopt;
    return key.substr(keyPrefix.size());
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    static constexpr char HexDigits[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (isUnreserved(byte)) {
            out += c;
            continue;
        }
        out += '%';
        out += HexDigits[byte >> 4U];
        out += HexDigits[byte & 0xfU];
    }
    return out;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        if (text.size() - i < 3)
            return std::nullopt;
        unsigned value = 0;
        const char *const last = text.data() + i + 3;
        const auto [end, error] = std::from_chars(text.data() + i + 1, last, value, 16);
        if (error != std::errc() || end != last)
            return std::nullopt;
        out += static_cast<char>(value);
        i += 2;
    }
    return out;
}

std::string base64Encoded(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0'); // EVP_EncodeBlock writes a final 0
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

std::optional<std::string> base64Decoded(std::string_view text)
{
    if (text.empty())
        return std::string();
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string out(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size != static_cast<int>(out.size()))
        return std::nullopt;
    // EVP_DecodeBlock counts padding as zero bytes.
    const std::size_t padding = text.back() != '=' ? 0 : text[text.size() - 2] != '=' ? 1 : 2;
    out.resize(out.size() - padding);
    return out;
}

std::optional<Version> versionFromETag(std::string_view etag)
{
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
        return std::nullopt;
    Version version = 0;
    const char *const last = etag.data() + etag.size() - 1;
    const auto [end, error] = std::from_chars(etag.data() + 1, last, version);
    if (error != std::errc() || end != last)
        return std::nullopt;
    return version;
}

std::string toETag(Version version)
{
    return '"' + std::to_string(version) + '"';
}

Result<std::vector<StoredObject>> parseList(const std::string &body, std::string_view keyPrefix,
                                            ListContent content)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("objects") || !json["objects"].is_array())
        return invalidAnswer("list is not a JSON object with objects");
    std::vector<StoredObject> objects;
    for (const Json &item : json["objects"]) {
        auto key = keyOf(item, keyPrefix);
        if (!key || !isVersion(item, "version"))
            return invalidAnswer("listed object without a valid key or version");
        auto value = content == ListContent::Values ? valueOf(item, "value_base64")
                                                    : std::optional<std::string>(std::string());
        if (!value)
            return invalidAnswer("listed object without a valid value");
        const bool hasWriter = item.contains("writer") && item["writer"].is_string();
        objects.push_back({std::move(*key), std::move(*value), item["version"].get<Version>(),
                           hasWriter ? item["writer"].get<std::string>() : std::string()});
    }
    return objects;
}

Result<WatchResult> parseWatch(const std::string &body, std::string_view keyPrefix)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !isVersion(json, "revision") || !json.contains("changes")
        || !json["changes"].is_array())
        return invalidAnswer("watch is not a JSON object with revision and changes");
    WatchResult result;
    result.revision = json["revision"].get<Version>();
    for (const Json &item : json["changes"]) {
        auto key = keyOf(item, keyPrefix);
        if (!key || !isVersion(item, "version") || !item.contains("value_base64"))
            return invalidAnswer("change without a valid key, version or value");
        ObjectChange change{std::move(*key), std::nullopt, item["version"].get<Version>()};
        if (!item["value_base64"].is_null()) {
            change.value = valueOf(item, "value_base64");
            if (!change.value)
                return invalidAnswer("change without a valid value");
        }
        result.changes.push_back(std::move(change));
    }
    return result;
}

Version parseRevision(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    return json.is_object() && isVersion(json, "revision") ? json["revision"].get<Version>() : 0;
}

} // namespace Medlar::Store
