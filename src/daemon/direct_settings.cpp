// Conversion of the direct-path settings.
#include "direct_settings.h"

namespace anvilscale {

tl::expected<DirectPolicy, StartError> directPolicy(const settings::Settings &settings)
{
    const auto disabled = parseMechanisms(settings.direct().without());
    if (!disabled) {
        return tl::unexpected(
            StartError{StartErrorKind::Mechanism, "direct.without", "unknown mechanism: " + disabled.error()});
    }
    DirectPolicy policy;
    policy.disabled = *disabled;
    return policy;
}

tl::expected<NetAddress, StartError> storeAddress(const settings::Settings &settings)
{
    const auto address = NetAddress::parseUrl(settings.direct().store());
    if (!address) {
        return tl::unexpected(
            StartError{StartErrorKind::StoreAddress, "direct.store", std::string(toString(address.error()))});
    }
    return *address;
}

tl::expected<NetAddress, StartError> engineAddress(const settings::Settings &settings)
{
    const auto address = NetAddress::parseUrl(settings.direct().endpoint());
    if (!address) {
        return tl::unexpected(
            StartError{StartErrorKind::Endpoint, "direct.endpoint", std::string(toString(address.error()))});
    }
    return *address;
}

AllowanceTimes directAllowanceTimes(const settings::Settings &settings)
{
    const auto window = fromMilliseconds(1000 * settings.direct().allowance_window_seconds());
    return allowanceTimes(window, settings.direct().allowance_overage(), settings.direct().allowance_slack());
}

DirectCallsInit directCallsInit(const settings::Settings &settings, const DirectPolicy &policy)
{
    DirectCallsInit init;
    init.entryName = settings.name();
    init.allowanceTimes = directAllowanceTimes(settings);
    init.dataCentre = settings.data_centre();
    init.retryRatio = settings.direct().retry_ratio();
    init.retrySlack = settings.direct().retry_slack();
    init.listening = {settings.direct().listened_engines(), settings.direct().far_engines()};
    init.policy = policy;
    return init;
}

StoreWatcherInit storeWatcherInit(const settings::Settings &settings, NetAddress store, std::uint64_t incarnation)
{
    const auto &direct = settings.direct();
    StoreWatcherInit init;
    init.address = store;
    init.times = storeTimes(Milliseconds(std::min(direct.leave_ms(), direct.config_ms())));
    if (direct.store_pause_ms() != 0) {
        init.times.pause = Milliseconds(direct.store_pause_ms());
    }
    init.seed = hash64(settings.name(), incarnation);
    return init;
}

CrashReporterInit crashReporterInit(const settings::Settings &settings, NetAddress store, std::uint64_t incarnation)
{
    const auto watcher = storeWatcherInit(settings, store, incarnation);
    CrashReporterInit init;
    init.address = watcher.address;
    init.name = settings.name() + "-" + std::to_string(incarnation);
    init.times = watcher.times;
    init.seed = watcher.seed;
    return init;
}

} // namespace anvilscale
