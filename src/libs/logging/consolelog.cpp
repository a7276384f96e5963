#include "consolelog.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace Medlar::Logging {

namespace {

constexpr char LoggerName[] = "medlar";
// The time comes last, because each line has to start with its event.
constexpr char Pattern[] = "%m time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{GMT}%n";

class Log4cxxConsole : public ConsoleLog
{
public:
    explicit Log4cxxConsole(LogIdentity identity)
        : m_identity(std::move(identity)), m_logger(log4cxx::Logger::getLogger(LoggerName))
    {
        const auto layout = std::make_shared<log4cxx::PatternLayout>(Pattern);
        const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemOut());
        m_logger->removeAllAppenders();
        m_logger->addAppender(appender);
        m_logger->setAdditivity(false);
        m_logger->setLevel(log4cxx::Level::getInfo());
    }

    void write(const Base::LogLine &line) override
    {
        m_logger->forcedLog(log4cxx::Level::getInfo(), formatLine(m_identity, line),
                            log4cxx::spi::LocationInfo::getLocationUnavailable());
    }

private:
    const LogIdentity m_identity;
    const log4cxx::LoggerPtr m_logger;
};

} // namespace

std::string formatLine(const LogIdentity &identity, const Base::LogLine &line)
{
    Base::LogLine prefix(line.event());
    prefix.add("node", identity.node)
        .add("zone", identity.availabilityZone)
        .add("service", identity.service);
    return prefix.toString() + line.fields();
}

std::unique_ptr<ConsoleLog> ConsoleLog::create(LogIdentity identity)
{
    return std::make_unique<Log4cxxConsole>(std::move(identity));
}

} // namespace Medlar::Logging
