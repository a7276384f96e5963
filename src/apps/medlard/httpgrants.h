#pragma once

#include "daemon/controlplane.h"
#include "http/backendclient.h"

#include <memory>

namespace Medlar {

/*! Sends grants to the BackendServer as POST /grant on a connection of the control thread. */
class HttpGrants : public Daemon::BackendGrants
{
public:
    HttpGrants(boost::asio::io_context &context, const Http::BackendClientSettings &settings);

    void grant(const Base::InstanceId &instance, Base::TimePoint deadline) override;

private:
    std::unique_ptr<Http::BackendClient> m_client;
    std::uint64_t m_sequence = 0;
};

} // namespace Medlar
