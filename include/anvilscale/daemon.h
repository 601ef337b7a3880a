// Daemon library: the roles of anvilscaled as processes with their threads, sockets and clocks.
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
    LockHeld, ///< another sidecar is running on this VM
    Endpoint,
    PortFile,
    StoreAddress, ///< the store's URL has no IPv4 address and port
    Mechanism, ///< the settings disable a mechanism that does not exist
    Count
};
template<>
struct EnumNames<StartErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<StartErrorKind>> table{
        "control_address", "http_address", "lock_held", "endpoint", "port_file", "store_address", "mechanism"};
};

struct StartError
{
    StartErrorKind kind = StartErrorKind::ControlAddress;
    std::string path; ///< path of the setting, e.g. "control.port"
    std::string detail; ///< human-readable description
};

/// A process in one of the roles of anvilscaled.
class Daemon
{
public:
    /// Binds all sockets. On an error none stays bound and nothing runs.
    static tl::expected<std::unique_ptr<Daemon>, StartError> create(const settings::Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    /// Stops accepting work and lets calls in progress finish, without a time limit. Further calls have no effect.
    void drain();
    /// Applies the settings that may change at runtime: the log level and, on the direct path, the store. Other changes
    /// are logged as requiring a restart.
    void reload(const settings::Settings &settings);
    /// Blocks until a drain has finished, then closes everything.
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
constexpr int exitRejected = 2; ///< invalid settings, or an address or lock that is in use

/// Options of the command line that go before the settings file.
struct SettingsOverrides
{
    std::uint32_t memoryMb = 0; ///< 0: as in the file
};

/// Runs a daemon with the settings of a file until it has drained after SIGTERM or SIGINT. Reloads the settings on
/// SIGHUP and when the settings file changes; an invalid file is logged and has no effect. At the start a file that is
/// incomplete is read again for a short time. No other code may handle these signals. Returns the exit code.
///
/// `overrides`: applied to the settings, also when they are read again.
int runDaemon(const std::string &settingsFile, const SettingsOverrides &overrides = {});

} // namespace anvilscale
