// Thread that writes the lines of a LogQueue to a file descriptor.
#pragma once

#include "log_queue.h"

#include <functional>

namespace anvilscale {

struct LogWriterInit
{
    LogQueueInit queue;
    int descriptor = -1;
    bool ownsDescriptor = false; ///< closed after the last line
    /// Returns the line that reports drops. Called in the writer's thread, not after stop().
    std::function<std::string(const LogDrops &drops)> reportOf;
};

/// The only thread that waits for the reader of the log. The descriptor's flags stay as they are, since other processes
/// may share them.
class LogWriter
{
public:
    explicit LogWriter(LogWriterInit init);
    /// Does not wait for lines that are still queued.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    LogQueue &queue();
    const LogQueue &queue() const;
    /// Writes what is queued for at most `limit`. Returns false if lines are left; the thread may then still be blocked
    /// in a write, which the end of the process interrupts.
    bool stop(Duration limit);

private:
    struct State;

    const std::shared_ptr<State> state_; // shared with the thread, which may outlive this object
};

} // namespace anvilscale
