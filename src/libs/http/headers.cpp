#include "headers.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Medlar::Http {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool isSameToken(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return lower(x) == lower(y);
           });
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), lower);
    return text;
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (isSameToken(key, name))
            return &value;
    }
    return nullptr;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 12> Names{"connection",
                                                            "content-length",
                                                            "host",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "proxy-authenticate",
                                                            "proxy-authorization",
                                                            "transfer-encoding",
                                                            "te",
                                                            "trailer",
                                                            "upgrade",
                                                            "expect"};
    // Asked for each header of each message; most names differ in length from all of these.
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view known) {
        return known.size() == name.size() && isSameToken(known, name);
    });
}

bool isSameSecret(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (text.empty() || error != std::errc() || end != last)
        return std::nullopt;
    return number;
}

} // namespace Medlar::Http
