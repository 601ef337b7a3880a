// Signals at the start of a process, during its drain and while the store is away.
#include "direct_fleet.h"

#include <sys/stat.h>

#include <random>

namespace fleet {
namespace {

constexpr int roundCount = 24;
constexpr unsigned seed = 69;
constexpr auto maxEndTime = std::chrono::seconds(12); // well above each grace period
constexpr int shortGraceMs = 1500;
constexpr int signalIntervalUs = 200;
constexpr int maxDelayMs = 400; // from the start of a process to its first signal

class Ends : public Direct
{
protected:
    /// True once the process handles the signal itself.
    static bool hasBlocked(const Process &process, int signal)
    {
        std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("SigBlk:")) {
                return (std::stoull(line.substr(7), nullptr, 16) >> (signal - 1) & 1U) != 0;
            }
        }
        return false;
    }
    void startRole(const std::string &name)
    {
        if (name == "side-1") {
            startSidecar();
        } else {
            startEntry();
        }
    }
    void expectCleanExit(const std::string &name, const std::string &what)
    {
        auto &process = *daemons_.at(name);
        ASSERT_TRUE(eventually([&] { return !process.isRunning(); }, maxEndTime))
            << name << " still runs after " << what;
        ASSERT_EQ(process.wait(), 0) << name << " after " << what << "\n" << readLog(name);
    }
    /// Sends seeded sequences of signals, each of which contains a SIGTERM or SIGINT, soon after the start.
    void expectCleanExits(const std::string &name)
    {
        const std::vector<std::vector<int>> sequences{
            {SIGTERM},         {SIGTERM, SIGTERM},        {SIGHUP, SIGTERM},         {SIGTERM, SIGHUP},
            {SIGINT, SIGTERM}, {SIGHUP, SIGHUP, SIGTERM}, {SIGTERM, SIGHUP, SIGTERM}};
        std::mt19937 random(seed); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same rounds in each run
        for (int round = 0; round < roundCount; ++round) {
            startRole(name);
            auto &process = *daemons_.at(name);
            ASSERT_TRUE(eventually([&] { return hasBlocked(process, SIGTERM) || !process.isRunning(); }));
            // Most faults of a start are in its first milliseconds.
            const auto delayMs = round % 2 == 0 ? random() % 8 : random() % maxDelayMs;
            std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
            std::string what = "round " + std::to_string(round) + ":";
            for (const int signal : sequences[random() % sequences.size()]) {
                process.signal(signal);
                what += " " + std::to_string(signal);
                std::this_thread::sleep_for(std::chrono::milliseconds(random() % 4));
            }
            ASSERT_NO_FATAL_FAILURE(expectCleanExit(name, what));
        }
    }

    /// Starts a process whose settings file is a pipe, sends a signal while it reads, then lets it read on.
    void expectCleanExitOfReader(const std::string &name, const std::vector<int> &signals)
    {
        startRole(name);
        std::ifstream in(fleet_.settingsFile(name));
        const std::string settings{std::istreambuf_iterator<char>(in), {}};
        daemons_.erase(name);
        const auto pipe = fleet_.folder() + "/" + name + ".pipe";
        ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
        daemons_[name] = std::make_unique<Process>(
            std::vector<std::string>{buildFolder() + "/bin/anvilscaled", "--settings", pipe}, fleet_.logFile(name));
        int writer = -1;
        ASSERT_TRUE(eventually([&] {
            writer = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            return writer >= 0; // it has opened the file for reading
        }));
        for (const int signal : signals) {
            daemons_.at(name)->signal(signal);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        // From here on it reads the same settings from a plain file.
        const auto file = pipe + ".file";
        std::ofstream(file) << settings;
        ASSERT_EQ(::rename(file.c_str(), pipe.c_str()), 0);
        [[maybe_unused]] const auto written = ::write(writer, settings.data(), settings.size());
        ::close(writer);
        ASSERT_NO_FATAL_FAILURE(expectCleanExit(name, "a signal while it read its settings"));
    }
};

// Guards against a process that is ended by a signal which comes before it has read its settings.
TEST_F(Ends, SignalWhileTheSettingsAreReadEndsCleanly)
{
    ::signal(SIGPIPE, SIG_IGN);
    for (const std::string name : {"entry-1", "side-1"}) {
        expectCleanExitOfReader(name, {SIGHUP, SIGTERM});
    }
}

// Guards against an entry that aborts or hangs by signals in its first moments or while it drains.
TEST_F(Ends, EntryEndsCleanlyAfterEarlySignals)
{
    graceMs_ = shortGraceMs;
    startSidecar();
    expectCleanExits("entry-1");
}

// Guards against a sidecar that aborts or hangs by signals in its first moments or while it drains.
TEST_F(Ends, SidecarEndsCleanlyAfterEarlySignals)
{
    startEntry();
    expectCleanExits("side-1");
}

// Guards against a reload that reaches parts of the process which its shutdown has ended.
TEST_F(Ends, SignalsUpToTheEndOfAProcessDoNoHarm)
{
    graceMs_ = shortGraceMs;
    for (int round = 0; round < roundCount; ++round) {
        for (const std::string name : {"entry-1", "side-1"}) {
            startRole(name);
            auto &process = *daemons_.at(name);
            ASSERT_TRUE(eventually([&] { return hasBlocked(process, SIGTERM) || !process.isRunning(); }));
            process.signal(SIGTERM);
            const auto end = std::chrono::steady_clock::now() + maxEndTime;
            while (process.isRunning() && std::chrono::steady_clock::now() < end) {
                process.signal(SIGHUP);
                std::this_thread::sleep_for(std::chrono::microseconds(signalIntervalUs));
            }
            ASSERT_NO_FATAL_FAILURE(expectCleanExit(name, "round " + std::to_string(round)));
        }
    }
}

// Guards against processes that wait for a store which is away when they end.
TEST_F(Ends, ProcessesEndWhileTheStoreIsAway)
{
    start();
    fleet_.process("site-store").signal(SIGSTOP);
    for (const std::string name : {"entry-1", "side-1"}) {
        daemons_.at(name)->signal(SIGHUP);
        daemons_.at(name)->signal(SIGTERM);
    }
    expectCleanExit("side-1", "SIGTERM");
    expectCleanExit("entry-1", "SIGTERM");
    graceMs_ = shortGraceMs;
    for (const std::string name : {"entry-1", "side-1"}) {
        expectCleanExits(name);
    }
}

} // namespace
} // namespace fleet
