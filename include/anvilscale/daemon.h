// Daemon library: the two roles of anvilscaled as processes. It owns threads, sockets and clocks, and joins the
// libraries that decide to those that talk. Each role has one thread for control state; traffic has its own.
#pragma once

#include "settings.pb.h"

#include "anvilscale/base.h"

#include <functional>
#include <memory>
#include <string>

namespace anvilscale {

enum class StartErrorKind : std::uint8_t {
    ControlAddress, ///< the control socket cannot be bound
    HttpAddress,
    LockHeld, ///< another sidecar runs on this VM
    Endpoint,
    PortFile,
    Mechanism, ///< the settings switch off a mechanism that there is not
    Count
};
template<>
struct EnumNames<StartErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<StartErrorKind>> table{
        "control_address", "http_address", "lock_held", "endpoint", "port_file", "mechanism"};
};

struct StartError
{
    StartErrorKind kind = StartErrorKind::ControlAddress;
    std::string path; ///< of the setting, e.g. "control.port"
    std::string detail; ///< for people
};

/// One process of either role.
class Daemon
{
public:
    /// Takes all sockets, or none: on an error nothing runs.
    static tl::expected<std::unique_ptr<Daemon>, StartError> create(const settings::Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    /// Takes no new work and lets calls in progress end, however long they take. Further calls do nothing.
    void drain();
    /// Takes over what may change while the process runs: the level of the log and, on the direct path, how the store
    /// is followed. Whatever else has changed is logged as waiting for a restart.
    void reload(const settings::Settings &settings);
    /// Returns once a drain has ended and everything is closed.
    void wait();
    std::uint16_t controlPort() const;
    std::uint16_t httpPort() const;

private:
    struct Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

/// Exit codes of anvilscaled.
constexpr int exitDone = 0;
constexpr int exitUsage = 1;
constexpr int exitRejected = 2; ///< settings, or an address or lock that is taken

/// Runs a daemon until it has drained after SIGTERM or SIGINT. SIGHUP, or a change of the settings file without a
/// signal, reloads the settings; a file that is not valid is told and changes nothing. Signals must not be handled by
/// anything else.
int runDaemon(const settings::Settings &settings, const std::string &settingsFile);

} // namespace anvilscale
