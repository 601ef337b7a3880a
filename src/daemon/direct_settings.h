// Conversion of settings to the types of the direct path.
#pragma once

#include "crash_reporter.h"

#include "anvilscale/daemon.h"
#include "anvilscale/direct.h"

namespace anvilscale {

/// Returns the policy without the mechanisms that the settings disable, or an error for an unknown mechanism.
tl::expected<DirectPolicy, StartError> directPolicy(const settings::Settings &settings);
AllowanceTimes directAllowanceTimes(const settings::Settings &settings);
DirectCallsInit directCallsInit(const settings::Settings &settings, const DirectPolicy &policy);
/// Returns the address in `direct.store`.
tl::expected<NetAddress, StartError> storeAddress(const settings::Settings &settings);
/// Returns the address in `direct.endpoint`.
tl::expected<NetAddress, StartError> engineAddress(const settings::Settings &settings);
StoreWatcherInit storeWatcherInit(const settings::Settings &settings, NetAddress store, std::uint64_t incarnation);
CrashReporterInit crashReporterInit(const settings::Settings &settings, NetAddress store, std::uint64_t incarnation);

} // namespace anvilscale
