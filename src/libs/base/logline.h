#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>

namespace Medlar::Base {

/*!
    One structured log line of key=value pairs. The line starts with the event; the sink that writes
   it inserts node, zone and service after the event. Values with spaces, quotes, '=' or control
   characters are quoted.
*/
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    /*! Appends a pair and returns the line, so that calls can be chained. */
    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value)
    {
        return add(key, std::string_view(value));
    }
    LogLine &add(std::string_view key, const std::string &value)
    {
        return add(key, std::string_view(value));
    }
    LogLine &add(std::string_view key, bool value) { return add(key, value ? "true" : "false"); }

    template<typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    LogLine &add(std::string_view key, Number value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }

    /*! Appends a duration in milliseconds; the key should end in "_ms". */
    LogLine &add(std::string_view key, std::chrono::milliseconds value)
    {
        return add(key, value.count());
    }

    const std::string &event() const { return m_event; }

    /*! The pairs after the event, in the order in which they were added. */
    const std::string &fields() const { return m_fields; }

    /*! The whole line without a line end. */
    std::string toString() const { return "event=" + m_event + m_fields; }

private:
    std::string m_event;
    std::string m_fields;
};

/*! Receives log lines. Implementations must be callable from any thread. */
class LogSink
{
public:
    virtual ~LogSink() = default;
    virtual void write(const LogLine &line) = 0;
};

} // namespace Medlar::Base
