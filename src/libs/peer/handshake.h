#pragma once

#include <string>

namespace Medlar::Peer {

// Headers of the WebSocket handshake between daemons.
constexpr char CredentialHeader[] = "Medlar-Credential";
constexpr char FromHeader[] = "Medlar-Instance"; //!< of the sender, in both directions
// Asked for by the side that opens the link, confirmed by the other one; missing: frames are plain.
constexpr char CompressionHeader[] = "Medlar-Compression";
constexpr char CompressionName[] = "deflate-stream";
constexpr char ToHeader[] = "Medlar-Peer"; //!< the instance that has to answer; missing: any

/*! Compares in a time that does not depend on where the credentials differ. */
bool isSameCredential(const std::string &a, const std::string &b);

} // namespace Medlar::Peer
