// Structured logging through log4cxx: one JSON object per line with time, event, name, level and fields.
#include "anvilscale/telemetry.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <cinttypes>
#include <cstdio>

namespace anvilscale {

namespace {

std::string processName; // set by initLog before other threads start

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    default:
        return log4cxx::Level::getInfo();
    }
}

void appendQuoted(std::string &out, std::string_view text)
{
    out += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", static_cast<unsigned>(c));
            out += escaped.data();
        } else {
            out += c;
        }
    }
    out += '"';
}

void appendValue(std::string &out, const LogField &field)
{
    std::visit(Overloaded{[&out](const std::string &text) { appendQuoted(out, text); },
                          [&out](bool flag) { out += flag ? "true" : "false"; },
                          [&out](auto number) { out += std::to_string(number); }},
               field.value);
}

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("anvilscale");
}

} // namespace

std::string formatEvent(Event event, std::initializer_list<LogField> fields)
{
    const EventInfo &info = eventTable[static_cast<std::size_t>(event)];
    std::string line = "\"event\":" + std::to_string(info.number) + ",\"name\":";
    appendQuoted(line, info.name);
    line += ",\"level\":";
    appendQuoted(line, toString(info.level));
    line += ",\"process\":";
    appendQuoted(line, processName);
    for (const LogField &field : fields) {
        line += ',';
        appendQuoted(line, field.name);
        line += ':';
        appendValue(line, field);
    }
    return line;
}

void initLog(const LogInit &init)
{
    processName = init.process;
    const log4cxx::LayoutPtr layout =
        std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z\",%m}%n"));
    const auto root = logger();
    root->removeAllAppenders();
    root->setAdditivity(false);
    const bool standardOutput = init.file == "-";
    if (init.file.empty() || standardOutput) {
        const auto target =
            standardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr();
        root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, target));
    } else {
        LOG4CXX_DECODE_CHAR(fileName, init.file);
        root->addAppender(std::make_shared<log4cxx::FileAppender>(layout, fileName, true));
    }
    root->setLevel(levelOf(init.level));
}

void setLogLevel(LogLevel level)
{
    logger()->setLevel(levelOf(level));
}

void shutdownLog()
{
    log4cxx::LogManager::shutdown();
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const auto level = levelOf(eventTable[static_cast<std::size_t>(event)].level);
    const auto target = logger();
    if (target->isEnabledFor(level)) {
        target->forcedLog(level, formatEvent(event, fields));
    }
}

} // namespace anvilscale
