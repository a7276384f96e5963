#include "logline.h"

#include <algorithm>

namespace Medlar::Base {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
           });
}

void appendQuoted(std::string &out, std::string_view value)
{
    static constexpr char HexDigits[] = "0123456789abcdef";
    out += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (c == '\n') {
            out += "\\n";
        } else if (byte < 0x20 || byte == 0x7f) {
            out += "\\x";
            out += HexDigits[byte >> 4U];
            out += HexDigits[byte & 0xfU];
        } else {
            out += c;
        }
    }
    out += '"';
}

} // namespace

LogLine::LogLine(std::string_view event) : m_event(event) {}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    m_fields += ' ';
    m_fields += key;
    m_fields += '=';
    if (needsQuotes(value))
        appendQuoted(m_fields, value);
    else
        m_fields += value;
    return *this;
}

} // namespace Medlar::Base
