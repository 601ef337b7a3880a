// Structured logging through log4cxx: one JSON object per line with time, event, name, level and fields.
#include "log_writer.h"

#include <fcntl.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <bit>
#include <cinttypes>
#include <cstdio>

namespace anvilscale {

namespace {

std::array<std::atomic<std::uint64_t>, enumCount<ErrorPlace>> unexpectedErrors{};

// For what is queued when the process ends: a reader that reads takes it in milliseconds, and the platform's stop time
// must not pass.
constexpr Duration endLimit = Milliseconds(300);
constexpr auto loggerName = "anvilscale";

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
    return log4cxx::Logger::getLogger(loggerName);
}

/// Makes lines and hands them to the writer.
class LogOutput
{
public:
    explicit LogOutput(const std::string &file)
        : layout_(std::make_shared<log4cxx::PatternLayout>(
            LOG4CXX_STR("{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z\",%m}%n")))
        , writer_(writerInit(file))
    {
    }

    void log(Event event, const log4cxx::LevelPtr &level, const std::string &message)
    {
        writer_.queue().push(event, makeLine(level, message));
    }
    bool stop()
    {
        return writer_.stop(endLimit);
    }
    const LogQueue &queue() const
    {
        return writer_.queue();
    }

private:
    LogWriterInit writerInit(const std::string &file)
    {
        LogWriterInit init;
        init.reportOf = [this](const LogDrops &drops) { return reportOf(drops); };
        if (!file.empty() && file != "-") {
            // Only this process has the new description, so that it may be non-blocking: a FIFO without a reader is an
            // error.
            init.descriptor = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC | O_NONBLOCK, logFileMode);
            init.ownsDescriptor = init.descriptor >= 0;
        }
        if (!init.ownsDescriptor) {
            init.descriptor = file == "-" ? STDOUT_FILENO : STDERR_FILENO;
        }
        return init;
    }

    std::string makeLine(const log4cxx::LevelPtr &level, const std::string &message)
    {
        LOG4CXX_DECODE_CHAR(text, message);
        const auto record = std::make_shared<log4cxx::spi::LoggingEvent>(
            LOG4CXX_STR("anvilscale"), level, text, log4cxx::spi::LocationInfo::getLocationUnavailable());
        log4cxx::LogString line;
        log4cxx::helpers::Pool pool;
        {
            const std::scoped_lock lock(layoutMutex_);
            layout_->format(line, record, pool);
        }
        LOG4CXX_ENCODE_CHAR(bytes, line);
        return bytes;
    }

    std::string reportOf(const LogDrops &drops)
    {
        std::string byEvent;
        Counters<LogLevel> byLevel;
        for (std::size_t i = 0; i < enumCount<Event>; ++i) {
            const auto &info = eventTable[i];
            if (const auto count = drops.of(static_cast<Event>(i)); count != 0) {
                byEvent += (byEvent.empty() ? "" : ",") + std::to_string(info.number) + ":" + std::to_string(count);
                byLevel.add(info.level, count);
            }
        }
        return makeLine(levelOf(LogLevel::Warn),
                        formatEvent(Event::LogLinesDropped, {{"lines", drops.total()},
                                                             {"byEvent", byEvent},
                                                             {"debug", byLevel.of(LogLevel::Debug)},
                                                             {"info", byLevel.of(LogLevel::Info)},
                                                             {"warn", byLevel.of(LogLevel::Warn)},
                                                             {"error", byLevel.of(LogLevel::Error)}}));
    }

    static constexpr mode_t logFileMode = 0666; // less the umask

    const log4cxx::LayoutPtr layout_;
    std::mutex layoutMutex_; // the layout caches dates
    LogWriter writer_;
};

std::unique_ptr<LogOutput> output; // set by initLog before other threads start

/// Prevents that a connection gets the number of a closed standard descriptor and receives log lines.
void occupyStandardDescriptors()
{
    int descriptor = 0;
    do {
        descriptor = ::open("/dev/null", O_RDWR | O_CLOEXEC);
    } while (descriptor >= 0 && descriptor <= STDERR_FILENO);
    ::close(descriptor);
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
    occupyStandardDescriptors();
    output = std::make_unique<LogOutput>(init.file);
    const auto root = logger();
    root->setAdditivity(false);
    root->setLevel(levelOf(init.level));
}

void setLogLevel(LogLevel level)
{
    logger()->setLevel(levelOf(level));
}

void shutdownLog()
{
    if (output) {
        output->stop();
    }
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const auto level = levelOf(eventTable[static_cast<std::size_t>(event)].level);
    if (output && logger()->isEnabledFor(level)) {
        output->log(event, level, formatEvent(event, fields));
    }
}

void reportUnexpectedError(ErrorPlace place, std::string_view what)
{
    const std::uint64_t count = ++unexpectedErrors.at(static_cast<std::size_t>(place));
    if (std::has_single_bit(count)) {
        logEvent(Event::UnexpectedError,
                 {{"place", std::string(toString(place))}, {"what", std::string(what)}, {"count", count}});
    }
}

void appendLogMetrics(MetricsText &text)
{
    Counters<ErrorPlace> errors;
    for (std::size_t i = 0; i < enumCount<ErrorPlace>; ++i) {
        errors.add(static_cast<ErrorPlace>(i), unexpectedErrors[i]);
    }
    text.counters("anvilscale_unexpected_errors_total", "errors that ended one event, task or message", "place",
                  errors);
    if (!output) {
        return;
    }
    const auto drops = output->queue().drops();
    std::vector<std::pair<std::string, std::uint64_t>> byEvent;
    Counters<LogLevel> byLevel;
    for (std::size_t i = 0; i < enumCount<Event>; ++i) {
        const auto count = drops.of(static_cast<Event>(i));
        if (count != 0) {
            byEvent.emplace_back(eventTable[i].name, count);
        }
        byLevel.add(eventTable[i].level, count);
    }
    text.counters("anvilscale_log_lines_dropped_total", "log lines that the reader of the log did not take, by event",
                  "event", byEvent);
    text.counters("anvilscale_log_lines_dropped_by_level_total", "the same by level", "level", byLevel);
    text.gauge("anvilscale_log_queue_bytes", "log lines that wait for the reader of the log",
               static_cast<double>(output->queue().bytes()));
}

void printError(const std::string &line)
{
    LogWriterInit init;
    init.descriptor = STDERR_FILENO;
    LogWriter writer(std::move(init));
    writer.queue().push(Event::UnexpectedError, line + "\n");
    writer.stop(endLimit);
}

} // namespace anvilscale
