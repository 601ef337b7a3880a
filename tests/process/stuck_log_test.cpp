// Entries and sidecars whose standard output is not read, closed or full.
#include "direct_fleet.h"

#include <sys/ioctl.h>
#include <sys/stat.h>

namespace fleet {
namespace {

constexpr int callCount = 60; // lines of several times the pipe's size, fewer than an entry writes in a second

/// The log of a process as a pipe, whose reader is the test.
class LogPipe
{
public:
    explicit LogPipe(const std::string &path)
        : path_(path)
    {
        EXPECT_EQ(::mkfifo(path.c_str(), 0600), 0);
        reader_ = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        EXPECT_GT(::fcntl(reader_, F_SETPIPE_SZ, pipeBytes), 0);
    }
    ~LogPipe()
    {
        closeReader();
    }
    LogPipe(const LogPipe &) = delete;
    LogPipe &operator=(const LogPipe &) = delete;

    void fill() const
    {
        const int writer = ::open(path_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        while (::write(writer, "\n", 1) == 1) {
        }
        ::close(writer);
    }
    int unreadBytes() const
    {
        int bytes = 0;
        ::ioctl(reader_, FIONREAD, &bytes);
        return bytes;
    }
    /// Returns all that has been read so far.
    const std::string &read()
    {
        std::array<char, pipeBytes> buffer{};
        ssize_t got = 0;
        while ((got = ::read(reader_, buffer.data(), buffer.size())) > 0) {
            text_.append(buffer.data(), static_cast<std::size_t>(got));
        }
        return text_;
    }
    void closeReader()
    {
        if (reader_ >= 0) {
            ::close(std::exchange(reader_, -1));
        }
    }

private:
    static constexpr int pipeBytes = 4096;
    std::string path_;
    int reader_ = -1;
    std::string text_;
};

class StuckLog : public Direct
{
protected:
    void expectAnswers(const std::string &prefix)
    {
        for (int i = 0; i < callCount; ++i) {
            const auto id = prefix + std::to_string(i);
            ASSERT_EQ(call("/i/", id).status, 200) << id;
            ASSERT_EQ(plainExecutionCount(id), 1) << id;
        }
    }
    void expectReady()
    {
        ASSERT_TRUE(eventually([&] { return readinessStatus() == 200; }));
    }
    /// `maxWait` is longer than the grace period of an entry.
    void expectEnd(const std::string &name)
    {
        daemons_.at(name)->signal(SIGTERM);
        ASSERT_TRUE(eventually([&] { return !daemons_.at(name)->isRunning(); }));
        EXPECT_EQ(daemons_.at(name)->wait(), 0);
    }
};

// Guards against decisions that wait for the reader of the log: no call was answered while it stood still.
TEST_F(StuckLog, CallsAreAnsweredAndTheirLinesAreWrittenLater)
{
    LogPipe log(fleet_.logFile("entry-1"));
    startSidecar();
    startEntry();
    expectReady();
    expectAnswers("stuck-");
    EXPECT_GT(log.unreadBytes(), 0);
    const auto lastLine = "\"request\":\"stuck-" + std::to_string(callCount - 1) + "\"";
    EXPECT_TRUE(eventually([&] { return log.read().find(lastLine) != std::string::npos; }));
    for (int i = 0; i < callCount; ++i) {
        EXPECT_NE(log.read().find("\"request\":\"stuck-" + std::to_string(i) + "\""), std::string::npos) << i;
    }
    expectEnd("entry-1");
}

// Guards against processes that do not start, or end by SIGKILL only, while the reader of their log stands still.
TEST_F(StuckLog, ProcessesStartAndEndWithAFullPipe)
{
    const LogPipe sidecarLog(fleet_.logFile("side-1"));
    const LogPipe entryLog(fleet_.logFile("entry-1"));
    sidecarLog.fill();
    entryLog.fill();
    startSidecar();
    startEntry();
    expectReady();
    expectAnswers("full-");
    EXPECT_TRUE(
        eventually([&] { return call("/s/", "adapter-" + std::to_string(++probeCount_), "a1").status == 200; }));
    expectEnd("entry-1");
    expectEnd("side-1");
}

// Guards against SIGPIPE, and against calls that fail because their lines cannot be written.
TEST_F(StuckLog, CallsAreAnsweredWhenTheReaderIsGone)
{
    LogPipe log(fleet_.logFile("entry-1"));
    startSidecar();
    startEntry();
    expectReady();
    log.closeReader();
    expectAnswers("gone-");
    expectEnd("entry-1");
}

// Guards against calls that fail on a full disk. The lost lines are counted.
TEST_F(StuckLog, CallsAreAnsweredWhenTheFileIsFull)
{
    std::filesystem::create_symlink("/dev/full", fleet_.logFile("entry-1"));
    startSidecar();
    startEntry();
    expectReady();
    expectAnswers("disk-");
    EXPECT_TRUE(eventually([&] {
        const auto metrics = request(metricsPort_, "GET", "/metrics").body;
        const std::string name = "anvilscale_log_lines_dropped_total{event=\"call_ended\"} ";
        const auto at = metrics.find(name);
        return at != std::string::npos && std::stoi(metrics.substr(at + name.size())) >= callCount;
    }));
    expectEnd("entry-1");
}

} // namespace
} // namespace fleet
