#pragma once

#include "environment.h"

namespace Medlar::Cli {

/*! Sends one request on each connection, with the credential as bearer token. */
class HttpDaemonClient : public DaemonClient
{
public:
    /*! Fails when \a hostAndPort is not IP:PORT or the credential cannot be sent in a header. */
    static tl::expected<std::unique_ptr<DaemonClient>, std::string>
    create(const std::string &hostAndPort, const std::string &credential);

    tl::expected<DaemonAnswer, std::string> get(const std::string &target) override;

    static constexpr std::chrono::milliseconds Timeout{5'000};
    static constexpr std::size_t MaxAnswerBytes = 16U << 20U;

private:
    HttpDaemonClient(std::string address, std::uint16_t port, std::string credential);

    std::string m_address;
    std::uint16_t m_port;
    std::string m_credential;
};

} // namespace Medlar::Cli
