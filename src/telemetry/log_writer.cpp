// LogWriter: writes of bounded size to pipes and files that may be stuck, slow, closed or full.
#include "log_writer.h"

#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <climits>
#include <csignal>
#include <thread>

namespace anvilscale {

namespace {

// Bounds the time for which the thread goes on after stop() while the reader is stuck.
constexpr int stopCheckMs = 100;
// Between attempts at a descriptor that another process has made non-blocking.
constexpr Duration retryInterval = Milliseconds(10);

TimePoint now()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// Signals are left to the signal thread. SIGPIPE stays pending here, so that a closed pipe is an error of write().
void blockSignals()
{
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, nullptr);
}

} // namespace

struct LogWriter::State
{
    explicit State(LogWriterInit &&writerInit)
        : init(std::move(writerInit))
        , queue(init.queue)
    {
    }
    ~State()
    {
        if (init.ownsDescriptor) {
            ::close(init.descriptor);
        }
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    void run()
    {
        blockSignals();
        while (const auto line = queue.pop()) {
            if (!write(line->text)) {
                queue.countDrop(line->event);
            } else {
                reportDrops();
            }
            if (isAbandoned) {
                break;
            }
        }
        const std::scoped_lock lock(mutex);
        hasEnded = true;
        ended.notify_all();
    }

    void reportDrops()
    {
        std::string line;
        LogDrops drops;
        {
            // Nothing of the process is used once stop() has returned.
            const std::scoped_lock lock(mutex);
            const auto report = isAbandoned ? std::nullopt : queue.takeReport(now());
            if (!report) {
                return;
            }
            drops = *report;
            line = init.reportOf(drops);
        }
        if (!write(line)) {
            queue.returnReport(drops);
        }
    }

    bool write(std::string_view text)
    {
        // Keeps one line apart from the part of another that was written before an error.
        if (isInLine && !writeBytes("\n")) {
            return false;
        }
        return writeBytes(text);
    }

    bool writeBytes(std::string_view text)
    {
        while (!text.empty()) {
            if (!awaitRoom()) {
                return false;
            }
            // A pipe that has room takes PIPE_BUF bytes without blocking.
            const auto written = ::write(init.descriptor, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
            if (written > 0) {
                isInLine = text[static_cast<std::size_t>(written) - 1] != '\n';
                text.remove_prefix(static_cast<std::size_t>(written));
            } else if (written < 0 && errno == EAGAIN) {
                std::this_thread::sleep_for(retryInterval);
            } else if (written == 0 || errno != EINTR) {
                return false;
            }
        }
        return true;
    }

    /// Returns false once stop() has given up. An error of the descriptor counts as room; the write returns it.
    bool awaitRoom() const
    {
        pollfd descriptor{init.descriptor, POLLOUT, 0};
        while (!isAbandoned) {
            if (::poll(&descriptor, 1, stopCheckMs) > 0) {
                return true;
            }
        }
        return false;
    }

    const LogWriterInit init;
    LogQueue queue;
    std::atomic<bool> isAbandoned = false;
    bool isInLine = false; // the last byte written is not the end of a line; used by the thread only
    std::mutex mutex; // guards hasEnded, and reportOf against stop()
    std::condition_variable ended;
    bool hasEnded = false;
};

LogWriter::LogWriter(LogWriterInit init)
    : state_(std::make_shared<State>(std::move(init)))
{
    std::thread([state = state_] { state->run(); }).detach();
}

LogWriter::~LogWriter()
{
    stop(Duration(0));
}

LogQueue &LogWriter::queue()
{
    return state_->queue;
}

const LogQueue &LogWriter::queue() const
{
    return state_->queue;
}

bool LogWriter::stop(Duration limit)
{
    state_->queue.close();
    std::unique_lock lock(state_->mutex);
    if (!state_->ended.wait_for(lock, limit, [this] { return state_->hasEnded; })) {
        state_->isAbandoned = true;
        return false;
    }
    return true;
}

} // namespace anvilscale
