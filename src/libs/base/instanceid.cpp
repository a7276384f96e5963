#include "instanceid.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Medlar::Base {

std::string InstanceId::toString() const
{
    char digits[16];
    const auto end = std::to_chars(digits, digits + sizeof(digits), incarnation, 16).ptr;
    return node + '#' + std::string(digits, end);
}

tl::expected<InstanceId, std::string> InstanceId::parse(std::string_view text)
{
    const std::size_t separator = text.find('#');
    if (separator == std::string_view::npos)
        return tl::unexpected(std::string("instance id has no '#'"));

    const std::string_view name = text.substr(0, separator);
    if (!isValidNodeName(name))
        return tl::unexpected(std::string("instance id has an invalid node name"));

    const std::string_view digits = text.substr(separator + 1);
    InstanceId id{std::string(name), 0};
    const char *const last = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), last, id.incarnation, 16);
    if (digits.empty() || error != std::errc() || end != last)
        return tl::unexpected(std::string("instance id has an invalid incarnation"));
    return id;
}

bool isValidNodeName(std::string_view name)
{
    if (name.empty() || name.size() > MaxNodeNameBytes)
        return false;
    return std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

} // namespace Medlar::Base
