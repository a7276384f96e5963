#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace Medlar::Accounts {

// 128 bits: among 100,000 keys, two have the same digest with a probability below 2^-95.
constexpr std::size_t KeyDigestBytes = 16;
using KeyDigest = std::array<std::uint8_t, KeyDigestBytes>;

/*! Computes the digest under which an API key is stored: HMAC-SHA-256 with a random hash key that
    never leaves the object. Not thread-safe. */
class KeyDigester
{
public:
    /*! Returns nullopt if OpenSSL provides no random bytes or no HMAC. */
    static std::optional<KeyDigester> create();

    /*! Returns nullopt if OpenSSL fails. */
    std::optional<KeyDigest> digest(std::string_view apiKey) const;

private:
    struct ContextDeleter
    {
        void operator()(void *context) const;
    };
    // An EVP_MAC_CTX; OpenSSL headers stay out of this header.
    using Context = std::unique_ptr<void, ContextDeleter>;

    explicit KeyDigester(Context context);

    Context m_context;
};

/*! Compares in a time that does not depend on the contents. */
bool isSameDigest(const KeyDigest &a, const KeyDigest &b);

} // namespace Medlar::Accounts
