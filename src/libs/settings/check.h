#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Medlar::Settings {

/*! A setting with a value that is not accepted. */
struct SettingError
{
    std::string setting;
    std::string value;
    std::string accepted;

    /*! "--NAME=VALUE is not accepted: expected ACCEPTED". */
    std::string toString() const;
};

/*! An IP number and a port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

/*! Collects the errors of all settings, so that a user sees them at once. */
class Checker
{
public:
    void require(bool isAccepted, const std::string &setting, const std::string &value,
                 const std::string &accepted);
    void requireRange(const std::string &setting, std::int64_t value, std::int64_t lowest,
                      std::int64_t highest);
    /*! Letters, digits, '-', '_' and '.', as in node, zone and region names. */
    void requireName(const std::string &setting, const std::string &value);
    void requireIpAddress(const std::string &setting, const std::string &value);
    /*! Parses IP:PORT; records an error and returns an empty endpoint when it is not one. */
    Endpoint endpoint(const std::string &setting, const std::string &value);

    const std::vector<SettingError> &errors() const { return m_errors; }

private:
    std::vector<SettingError> m_errors;
};

/*! The parts of a comma-separated list; empty parts are left out. */
std::vector<std::string> splitList(const std::string &text);

} // namespace Medlar::Settings
