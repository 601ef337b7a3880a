// Telemetry library: numbered log events, counters and histograms. Events are declared in one table, which is checked
// against docs/events.md.
#pragma once

#include "anvilscale/base.h"

#include <exception>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace anvilscale {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warn,
    Error,
    Count
};
template<>
struct EnumNames<LogLevel>
{
    static constexpr std::array<std::string_view, enumCount<LogLevel>> table{"debug", "info", "warn", "error"};
};

/// Log events. Numbers in eventTable are never reused or changed; the texts may be.
enum class Event : std::uint16_t {
    ProcessStarted,
    ProcessStopped,
    SettingsRejected,
    ListenFailed,
    SettingsReloaded,
    ReloadRejected,
    RestartNeeded,
    DrainStarted,
    DrainFinished,
    LogLinesDropped,
    DescriptorsShort,
    DescriptorsBack,
    ConfigMoved,
    ConfigRejected,
    ConfigStale,
    ConfigFresh,
    MemberChanged,
    PeerLost,
    MemberAddressRejected,
    SchedulerTaken,
    SchedulerLost,
    SlotsChanged,
    EndpointLost,
    EndpointBack,
    EndpointRestarted,
    LoadDone,
    LoadFailed,
    EvictDone,
    VersionQuarantined,
    EngineOrder,
    EndpointRemoved,
    EndpointChanged,
    VersionNamed,
    LoadsLearned,
    EndpointTold,
    ReadingTurns,
    ReadingMeasured,
    SlotsLeased,
    OriginsTold,
    FencingNumberTaken,
    FencingNumberFailed,
    CallFailed,
    CallRefused,
    AnswerBroken,
    SlowReaderCut,
    FrameDropped,
    CallEnded,
    CallEndedBadly,
    AttemptFailed,
    RequestQuarantined,
    PromptPartQuarantined,
    PromptPartReleased,
    MemoryShort,
    KeyValueDown,
    KeyValueBack,
    StoreCallFailed,
    StoreSharerFailed,
    CrashReportFailed,
    StoreRestored,
    SoftwareVersionFailed,
    VmListDown,
    StoreRecordRejected,
    UnexpectedError,
    Count
};

struct EventInfo
{
    std::uint16_t number;
    LogLevel level;
    std::string_view name;
    std::string_view text;
};

/// Descriptions of all events, indexed by Event.
extern const std::array<EventInfo, enumCount<Event>> eventTable;

struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, std::uint64_t, double, bool> value;
};

struct LogInit
{
    LogLevel level = LogLevel::Info;
    std::string file; ///< standard error if empty, standard output if "-"
    std::string process; ///< process name, written to every line
};

/// Configures log4cxx to write one JSON object per line. Must be called once, before other threads start.
void initLog(const LogInit &init);
/// Writes what is queued, within a bound. No line is written after it.
void shutdownLog();
/// Sets the minimum level. Thread-safe.
void setLogLevel(LogLevel level);
/// Logs one event. Does not wait for the line to be written: lines beyond the bounds of a queue are counted instead.
/// Thread-safe.
void logEvent(Event event, std::initializer_list<LogField> fields = {});
/// Returns the line that logEvent() writes, without the time stamp; for tests.
std::string formatEvent(Event event, std::initializer_list<LogField> fields);

/// Where an exception was caught that no code expects.
enum class ErrorPlace : std::uint8_t {
    ControlEvent,
    ControlTimer,
    ControlActions,
    LoopSocket,
    LoopTask,
    LoopTimer,
    MessengerCommand,
    MessengerMessage,
    MessengerTurn,
    SettingsReload,
    Count
};
template<>
struct EnumNames<ErrorPlace>
{
    static constexpr std::array<std::string_view, enumCount<ErrorPlace>> table{
        "control_event", "control_timer",     "control_actions",   "loop_socket",    "loop_task",
        "loop_timer",    "messenger_command", "messenger_message", "messenger_turn", "settings_reload"};
};

/// Counts an error and logs it, with the count, if the count of its place is a power of two: one that comes back with
/// each event does not fill the log. Thread-safe.
void reportUnexpectedError(ErrorPlace place, std::string_view what);

/// Runs `task`. An exception ends the task only and is reported. Returns whether the task has returned.
template<class Task>
bool runGuarded(ErrorPlace place, Task &&task)
{
    try {
        std::forward<Task>(task)();
        return true;
    } catch (const std::exception &error) {
        reportUnexpectedError(place, error.what());
    } catch (...) {
        reportUnexpectedError(place, "not a std::exception");
    }
    return false;
}

/// Appends what was not written, and the unexpected errors. Thread-safe.
void appendLogMetrics(class MetricsText &text);
/// Writes a line for the operator to standard error. Waits a short time at most.
void printError(const std::string &line);

/// Histogram with fixed bucket bounds, in the unit of the metric's name suffix. Thread-safe.
class HistogramMetric
{
public:
    HistogramMetric(std::string name, std::string help, const std::vector<double> &bounds);
    ~HistogramMetric();
    HistogramMetric(const HistogramMetric &) = delete;
    HistogramMetric &operator=(const HistogramMetric &) = delete;
    void record(double value, double weight = 1.0);
    /// Appends the histogram in the Prometheus text format.
    void render(std::string &out) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Builds a Prometheus text page; metrics appear in the order of the calls.
class MetricsText
{
public:
    void counter(std::string_view name, std::string_view help, std::uint64_t value);
    void gauge(std::string_view name, std::string_view help, double value);
    /// Writes one line per value of the enumeration, including zero counts.
    template<class E>
    void counters(std::string_view name, std::string_view help, std::string_view label, const Counters<E> &values)
    {
        writeHeader(name, help, "counter");
        for (std::size_t i = 0; i < enumCount<E>; ++i) {
            const auto value = static_cast<E>(i);
            writeLabelled(name, label, toString(value), values.of(value));
        }
    }
    /// Writes one line per label value.
    void counters(std::string_view name, std::string_view help, std::string_view label,
                  const std::vector<std::pair<std::string, std::uint64_t>> &values);
    void add(const HistogramMetric &histogram);
    const std::string &text() const
    {
        return text_;
    }

private:
    void writeHeader(std::string_view name, std::string_view help, std::string_view type);
    void writeLabelled(std::string_view name, std::string_view label, std::string_view labelValue, std::uint64_t value);

    std::string text_;
};

} // namespace anvilscale
