// A daemon from its settings to its exit code: logs, signals, start errors.
#include "anvilscale/daemon.h"
#include "anvilscale/telemetry.h"

#include <pthread.h>

#include <csignal>
#include <iostream>
#include <thread>

namespace anvilscale {

namespace {

// Sent by ourselves to end the signal thread; no handler and no other sender of it exists.
constexpr int endSignal = SIGUSR2;

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, endSignal);
    return set;
}

void waitForSignals(Daemon &daemon)
{
    const auto set = handledSignals();
    while (true) {
        int signal = 0;
        if (sigwait(&set, &signal) != 0) {
            continue;
        }
        if (signal == endSignal) {
            return;
        }
        daemon.drain(); // a second one changes nothing: calls in progress still end
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

int runDaemon(const settings::Settings &settings)
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
    std::thread signals([&] { waitForSignals(**daemon); });
    (*daemon)->start();
    (*daemon)->wait();
    pthread_kill(signals.native_handle(), endSignal);
    signals.join();
    logEvent(Event::ProcessStopped);
    shutdownLog();
    return exitDone;
}

} // namespace anvilscale
