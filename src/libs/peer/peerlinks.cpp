#include "peerlinks.h"

#include "websocketlinks.h"

namespace Medlar::Peer {

tl::expected<std::unique_ptr<PeerLinks>, PeerError>
PeerLinks::create(boost::asio::io_context &context, PeerLinksSettings settings,
                  PeerCallbacks callbacks, Base::LogSink &log)
{
    return createWebSocketLinks(context, std::move(settings), std::move(callbacks), log);
}

} // namespace Medlar::Peer
