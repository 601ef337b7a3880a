// runDaemon(): logging, signals and start errors.
#include "anvilscale/daemon.h"
#include "anvilscale/settings.h"
#include "anvilscale/telemetry.h"

#include <malloc.h>
#include <pthread.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace anvilscale {

namespace {

// Stops the signal thread. Has no handler and is sent only by this process.
constexpr int stopSignal = SIGUSR2;
// Interval of checks for a changed settings file.
constexpr timespec fileCheckInterval{5, 0};
// Buffers from this size on have pages of their own.
constexpr int mappedBufferBytes = 128 << 10;

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, stopSignal);
    return set;
}

/// Returns nullopt if the file cannot be read, as where a folder has its name for a moment.
std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream in(file);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return std::nullopt;
    }
    return text.str();
}

void apply(const SettingsOverrides &overrides, settings::Settings &settings)
{
    if (overrides.memoryMb != 0) {
        settings.mutable_direct()->set_memory_mb(overrides.memoryMb);
    }
}

/// Reloads the settings file when it has changed.
class SettingsFile
{
public:
    SettingsFile(std::string file, const SettingsOverrides &overrides)
        : file_(std::move(file))
        , overrides_(overrides)
        , lastText_(readFile(file_))
    {
    }

    void reload(Daemon &daemon, bool isForced)
    {
        auto text = readFile(file_);
        if (text == lastText_ && !isForced) {
            return;
        }
        lastText_ = std::move(text);
        auto settings = parseLastText();
        if (!settings) {
            const auto &error = settings.error();
            logEvent(Event::ReloadRejected,
                     {{"kind", std::string(toString(error.kind))}, {"path", error.path}, {"detail", error.detail}});
            return;
        }
        apply(overrides_, *settings);
        logEvent(Event::SettingsReloaded, {{"signal", isForced}});
        setLogLevel(fromString<LogLevel>(settings->log().level()).value_or(LogLevel::Info));
        daemon.reload(*settings);
    }

private:
    tl::expected<settings::Settings, SettingsError> parseLastText() const
    {
        if (!lastText_) {
            return tl::unexpected(SettingsError{SettingsErrorKind::Unreadable, "", file_});
        }
        return parseSettings(*lastText_);
    }

    std::string file_;
    SettingsOverrides overrides_;
    std::optional<std::string> lastText_; // content at the last read; nullopt if it could not be read
};

void waitForSignals(Daemon &daemon, SettingsFile &file)
{
    const auto set = handledSignals();
    while (true) {
        const int signal = sigtimedwait(&set, nullptr, &fileCheckInterval);
        switch (signal) {
        case stopSignal:
            return;
        case SIGTERM:
        case SIGINT:
            daemon.drain(); // further signals have no effect; calls in progress still finish
            break;
        default: // SIGHUP or the interval for checking the file
            runGuarded(ErrorPlace::SettingsReload, [&] { file.reload(daemon, signal == SIGHUP); });
        }
    }
}

LogInit logInit(const settings::Settings &settings)
{
    LogInit init;
    init.level = fromString<LogLevel>(settings.log().level()).value_or(LogLevel::Info);
    init.file = settings.log().file();
    init.process = settings.name();
    return init;
}

} // namespace

int runDaemon(settings::Settings settings, const std::string &settingsFile, const SettingsOverrides &overrides)
{
    apply(overrides, settings);
    // A fixed threshold returns each large buffer to the system when it is freed; otherwise it grows to the largest
    // one.
    mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);
    // All threads inherit the mask, so only the signal thread receives the signals. A write to a closed connection
    // returns an error instead of terminating the process.
    const auto set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    initLog(logInit(settings));
    auto daemon = Daemon::create(settings);
    if (!daemon) {
        const auto &error = daemon.error();
        logEvent(Event::ListenFailed,
                 {{"kind", std::string(toString(error.kind))}, {"path", error.path}, {"detail", error.detail}});
        printError("anvilscaled: " + std::string(toString(error.kind)) + ": " + error.path + ": " + error.detail);
        shutdownLog();
        return exitRejected;
    }
    SettingsFile file(settingsFile, overrides);
    std::thread signals([&] { waitForSignals(**daemon, file); });
    (*daemon)->start();
    (*daemon)->wait();
    pthread_kill(signals.native_handle(), stopSignal);
    signals.join();
    logEvent(Event::ProcessStopped);
    shutdownLog();
    return exitDone;
}

} // namespace anvilscale
