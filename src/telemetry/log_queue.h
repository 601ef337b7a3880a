// Bounded queue between the threads that log and the thread that writes.
#pragma once

#include "anvilscale/telemetry.h"

#include <condition_variable>
#include <deque>
#include <optional>

namespace anvilscale {

/// What is kept when the queue fills up.
enum class LogPriority : std::uint8_t {
    Ordinary,
    Severe, ///< warnings and errors
    Lifecycle, ///< starts, stops, reloads, lost and regained dependencies
    Count
};

LogPriority priorityOf(Event event);

struct LogQueueInit
{
    std::size_t maxLines = 4096;
    std::size_t maxBytes = 1U << 20; ///< with the memory of the lines' objects
};

struct LogLine
{
    Event event{};
    std::string text;
};

/// Lines that have not been written, by event.
using LogDrops = Counters<Event>;

/// Drops lines when full. Ordinary lines get half of the bounds, the lines of each other event an eighth, and the last
/// eighth is for the lifecycle alone. Thread-safe; no call but pop() waits for more than a short lock.
class LogQueue
{
public:
    explicit LogQueue(const LogQueueInit &init);

    /// Returns false if the line was dropped.
    bool push(Event event, std::string text);
    /// Waits for a line. Returns nothing once the queue is closed and empty.
    std::optional<LogLine> pop();
    /// Takes no more lines.
    void close();

    /// Counts a line that could not be written.
    void countDrop(Event event);
    /// Called after a line has been written. Returns the drops since the last report once the queue is empty, or after
    /// a while if it does not get empty.
    std::optional<LogDrops> takeReport(TimePoint now);
    /// Counts the drops of a report that could not be written for the next one.
    void returnReport(const LogDrops &drops);
    /// Returns all drops.
    LogDrops drops() const;
    std::size_t bytes() const;

private:
    struct Usage
    {
        std::size_t lines = 0;
        std::size_t bytes = 0;
    };

    bool hasRoom(Event event, std::size_t bytes) const;
    bool isWithin(const Usage &usage, std::size_t bytes, std::size_t eighths) const;

    const LogQueueInit init_;
    mutable std::mutex mutex_; // guards all below
    std::condition_variable changed_;
    std::deque<LogLine> lines_;
    Usage usage_; // of lines_
    std::array<Usage, enumCount<Event>> usageByEvent_{}; // sums to usage_
    LogDrops drops_;
    LogDrops unreported_; // part of drops_
    std::optional<TimePoint> writingSince_; // first line written after drops that are not reported
    bool isClosed_ = false;
};

} // namespace anvilscale
