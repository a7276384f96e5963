#include "check.h"

#include "base/instanceid.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <limits>
#include <sstream>

namespace Medlar::Settings {

namespace {

bool isIpAddress(const std::string &text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

} // namespace

std::string SettingError::toString() const
{
    return "--" + setting + "=" + value + " is not accepted: expected " + accepted;
}

void Checker::require(bool isAccepted, const std::string &setting, const std::string &value,
                      const std::string &accepted)
{
    if (!isAccepted)
        m_errors.push_back({setting, value, accepted});
}

void Checker::requireRange(const std::string &setting, std::int64_t value, std::int64_t lowest,
                           std::int64_t highest)
{
    require(value >= lowest && value <= highest, setting, std::to_string(value),
            "a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
}

void Checker::requireName(const std::string &setting, const std::string &value)
{
    require(Base::isValidNodeName(value), setting, value,
            "1 to " + std::to_string(Base::MaxNodeNameBytes) + " letters, digits, '-', '_' or '.'");
}

void Checker::requireIpAddress(const std::string &setting, const std::string &value)
{
    require(isIpAddress(value), setting, value, "an IP number");
}

Endpoint Checker::endpoint(const std::string &setting, const std::string &value)
{
    const std::size_t separator = value.rfind(':');
    Endpoint result;
    bool isValid = separator != std::string::npos;
    if (isValid) {
        result.address = value.substr(0, separator);
        if (result.address.size() > 2 && result.address.front() == '[')
            result.address = result.address.substr(1, result.address.size() - 2);
        const char *const last = value.data() + value.size();
        const auto [end, error] = std::from_chars(value.data() + separator + 1, last, result.port);
        isValid = error == std::errc() && end == last && result.port != 0
                  && isIpAddress(result.address);
    }
    require(isValid, setting, value, "IP:PORT with an IP number and a port from 1 to 65535");
    return isValid ? result : Endpoint();
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> result;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        if (!part.empty())
            result.push_back(part);
    }
    return result;
}

} // namespace Medlar::Settings
