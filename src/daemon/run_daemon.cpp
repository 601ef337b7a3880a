// runDaemon(): logging, signals and start errors.
#include "anvilscale/daemon.h"
#include "anvilscale/settings.h"
#include "anvilscale/telemetry.h"

#include <malloc.h>
#include <pthread.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace anvilscale {

namespace {

// Stops the signal thread. Has no handler and is sent only by this process.
constexpr int stopSignal = SIGUSR2;
// Interval of checks for a changed settings file.
constexpr timespec fileCheckInterval{5, 0};
constexpr timespec rejectedCheckInterval{0, 250'000'000};
// Longest time at the start for which a settings file is incomplete, and the interval of reading it.
constexpr auto maxWritingTime = std::chrono::seconds(2);
constexpr auto rereadInterval = std::chrono::milliseconds(50);
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

struct ReadSettings
{
    settings::Settings settings;
    std::string text; // they were parsed from
};

tl::expected<ReadSettings, SettingsError> readWithText(const std::string &file)
{
    auto text = readSettingsText(file);
    if (!text) {
        return tl::unexpected(text.error());
    }
    auto settings = parseSettings(*text);
    if (!settings) {
        return tl::unexpected(settings.error());
    }
    return ReadSettings{std::move(*settings), std::move(*text)};
}

/// Reads a file again while it may still be being written: a part of it is not valid JSON.
tl::expected<ReadSettings, SettingsError> readWhenComplete(const std::string &file)
{
    const auto end = std::chrono::steady_clock::now() + maxWritingTime;
    while (true) {
        auto result = readWithText(file);
        const bool isIncomplete = !result
                                  && (result.error().kind == SettingsErrorKind::Unreadable
                                      || result.error().kind == SettingsErrorKind::BadJson);
        if (!isIncomplete || std::chrono::steady_clock::now() >= end) {
            return result;
        }
        std::this_thread::sleep_for(rereadInterval);
    }
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
    /// `text`: of the settings in effect.
    SettingsFile(std::string file, std::string text, const SettingsOverrides &overrides)
        : file_(std::move(file))
        , overrides_(overrides)
        , lastText_(std::move(text))
    {
    }

    void reload(Daemon &daemon, bool isForced)
    {
        auto text = readSettingsText(file_);
        if (!text) {
            if (isForced || isInEffect_) {
                reject(text.error());
            }
            return;
        }
        if (*text == lastText_ && !isForced) {
            // Settings that could not be read for a time are the ones in effect if they are valid.
            isInEffect_ = isInEffect_ || parseSettings(lastText_).has_value();
            return;
        }
        lastText_ = std::move(*text);
        auto settings = parseSettings(lastText_);
        if (!settings) {
            reject(settings.error());
            return;
        }
        isInEffect_ = true;
        apply(overrides_, *settings);
        logEvent(Event::SettingsReloaded, {{"signal", isForced}});
        setLogLevel(fromString<LogLevel>(settings->log().level()).value_or(LogLevel::Info));
        daemon.reload(*settings);
    }
    /// Returns the time to the next check for changes. A file that was rejected may still be being written.
    timespec checkInterval() const
    {
        return isInEffect_ ? fileCheckInterval : rejectedCheckInterval;
    }

private:
    void reject(const SettingsError &error)
    {
        isInEffect_ = false;
        logEvent(Event::ReloadRejected,
                 {{"kind", std::string(toString(error.kind))}, {"path", error.path}, {"detail", error.detail}});
    }

    std::string file_;
    SettingsOverrides overrides_;
    std::string lastText_; // content at the last read
    bool isInEffect_ = true; // the file was valid when it was last read
};

void waitForSignals(Daemon &daemon, SettingsFile &file)
{
    const auto set = handledSignals();
    while (true) {
        const auto interval = file.checkInterval();
        const int signal = sigtimedwait(&set, nullptr, &interval);
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

int runDaemon(const std::string &settingsFile, const SettingsOverrides &overrides)
{
    // A fixed threshold returns each large buffer to the system when it is freed; otherwise it grows to the largest
    // one.
    mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);
    // All threads inherit the mask, so only the signal thread receives the signals, also those that come before it
    // runs. A write to a closed connection returns an error instead of terminating the process.
    const auto set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto source = readWhenComplete(settingsFile);
    if (!source) {
        const auto &error = source.error();
        printError("anvilscaled: " + std::string(toString(error.kind)) + ": " + error.path + ": " + error.detail);
        return exitRejected;
    }
    auto &settings = source->settings;
    apply(overrides, settings);
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
    SettingsFile file(settingsFile, std::move(source->text), overrides);
    (*daemon)->start();
    // After the start: a reload uses what it creates. Signals that came before are pending.
    std::thread signals([&] { waitForSignals(**daemon, file); });
    (*daemon)->wait();
    pthread_kill(signals.native_handle(), stopSignal);
    signals.join();
    logEvent(Event::ProcessStopped);
    shutdownLog();
    return exitDone;
}

} // namespace anvilscale
