// A daemon from its settings to its exit code: logs, signals, start errors.
#include "anvilscale/daemon.h"
#include "anvilscale/settings.h"
#include "anvilscale/telemetry.h"

#include <pthread.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace anvilscale {

namespace {

// Sent by ourselves to end the signal thread; no handler and no other sender of it exists.
constexpr int endSignal = SIGUSR2;
// The settings file may change without a signal: it is looked at this often.
constexpr timespec fileCheck{5, 0};

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, endSignal);
    return set;
}

std::string textOf(const std::string &file)
{
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// Reads the settings file again when it has changed.
class SettingsFile
{
public:
    explicit SettingsFile(std::string file)
        : file_(std::move(file))
        , text_(textOf(file_))
    {
    }

    void check(Daemon &daemon, bool asked)
    {
        auto text = textOf(file_);
        if (text == text_ && !asked) {
            return;
        }
        text_ = std::move(text);
        const auto settings = parseSettings(text_);
        if (!settings) {
            const auto &error = settings.error();
            logEvent(Event::ReloadRejected,
                     {{"kind", std::string(toString(error.kind))}, {"path", error.path}, {"detail", error.detail}});
            return;
        }
        logEvent(Event::SettingsReloaded, {{"signal", asked}});
        setLogLevel(fromString<LogLevel>(settings->log().level()).value_or(LogLevel::Info));
        daemon.reload(*settings);
    }

private:
    std::string file_;
    std::string text_; // as it was read last
};

void waitForSignals(Daemon &daemon, SettingsFile &file)
{
    const auto set = handledSignals();
    while (true) {
        const int signal = sigtimedwait(&set, nullptr, &fileCheck);
        switch (signal) {
        case endSignal:
            return;
        case SIGTERM:
        case SIGINT:
            daemon.drain(); // a second one changes nothing: calls in progress still end
            break;
        default: // SIGHUP, or the time to look at the file
            file.check(daemon, signal == SIGHUP);
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

int runDaemon(const settings::Settings &settings, const std::string &settingsFile)
{
    // All threads inherit the mask, so that only the signal thread takes them. A closed connection is an error of
    // its write, not the end of the process.
    const auto set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    initLog(logInit(settings));
    auto daemon = Daemon::create(settings);
    if (!daemon) {
        const auto &error = daemon.error();
        logEvent(Event::ListenFailed,
                 {{"kind", std::string(toString(error.kind))}, {"path", error.path}, {"detail", error.detail}});
        std::cerr << "anvilscaled: " << toString(error.kind) << ": " << error.path << ": " << error.detail << "\n";
        shutdownLog();
        return exitRejected;
    }
    SettingsFile file(settingsFile);
    std::thread signals([&] { waitForSignals(**daemon, file); });
    (*daemon)->start();
    (*daemon)->wait();
    pthread_kill(signals.native_handle(), endSignal);
    signals.join();
    logEvent(Event::ProcessStopped);
    shutdownLog();
    return exitDone;
}

} // namespace anvilscale
