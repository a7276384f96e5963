#include "handshake.h"

#include <openssl/crypto.h>

namespace Medlar::Peer {

bool isSameCredential(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace Medlar::Peer
