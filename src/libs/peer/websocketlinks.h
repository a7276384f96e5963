#pragma once

#include "peerlinks.h"

namespace Medlar::Peer {

/*! PeerLinks over websocketpp; see PeerLinks::create. */
tl::expected<std::unique_ptr<PeerLinks>, PeerError>
createWebSocketLinks(boost::asio::io_context &context, PeerLinksSettings settings,
                     PeerCallbacks callbacks, Base::LogSink &log);

} // namespace Medlar::Peer
