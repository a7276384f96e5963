#include "keydigest.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <algorithm>
#include <utility>

namespace Medlar::Accounts {

namespace {

constexpr std::size_t HashKeyBytes = 32;

EVP_MAC_CTX *toContext(void *context)
{
    return static_cast<EVP_MAC_CTX *>(context);
}

} // namespace

void KeyDigester::ContextDeleter::operator()(void *context) const
{
    EVP_MAC_CTX_free(toContext(context));
}

KeyDigester::KeyDigester(Context context) : m_context(std::move(context)) {}

std::optional<KeyDigester> KeyDigester::create()
{
    std::array<std::uint8_t, HashKeyBytes> hashKey{};
    if (RAND_bytes(hashKey.data(), static_cast<int>(hashKey.size())) != 1)
        return std::nullopt;
    EVP_MAC *const mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    if (!mac)
        return std::nullopt;
    Context context(EVP_MAC_CTX_new(mac));
    EVP_MAC_free(mac); // the context holds a reference
    if (!context)
        return std::nullopt;
    std::array<char, 7> hashName{"SHA256"};
    const std::array<OSSL_PARAM, 2> parameters{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, hashName.data(), 0),
        OSSL_PARAM_construct_end()};
    const int initialized
        = EVP_MAC_init(toContext(context.get()), hashKey.data(), hashKey.size(), parameters.data());
    OPENSSL_cleanse(hashKey.data(), hashKey.size());
    if (initialized != 1)
        return std::nullopt;
    return KeyDigester(std::move(context));
}

std::optional<KeyDigest> KeyDigester::digest(std::string_view apiKey) const
{
    EVP_MAC_CTX *const context = toContext(m_context.get());
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> hash{};
    std::size_t size = 0;
    // Without a key, EVP_MAC_init() starts again with the hash key of create().
    if (EVP_MAC_init(context, nullptr, 0, nullptr) != 1
        || EVP_MAC_update(context, reinterpret_cast<const unsigned char *>(apiKey.data()),
                          apiKey.size())
               != 1
        || EVP_MAC_final(context, hash.data(), &size, hash.size()) != 1 || size < KeyDigestBytes)
        return std::nullopt;
    KeyDigest result{};
    std::copy_n(hash.begin(), result.size(), result.begin());
    return result;
}

bool isSameDigest(const KeyDigest &a, const KeyDigest &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace Medlar::Accounts
