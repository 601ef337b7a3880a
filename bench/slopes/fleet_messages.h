// Members and messages of a synthetic data centre.
#pragma once

#include "wire.pb.h"

#include "anvilscale/state.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace anvilscale::slopes {

constexpr std::size_t slotsPerSidecar = 8;

std::string sidecarName(std::size_t i);
Member sidecarMember(std::size_t i);
/// Full heartbeat of sidecar `i`, with all slots occupied by adapters unique to it.
wire::Envelope makeFullHeartbeat(std::size_t i, const ConfigStore &config);
/// Delta heartbeat with the given number of changed adapters.
wire::Envelope makeDeltaHeartbeat(std::size_t i, std::uint64_t sequence, std::size_t changed,
                                  const ConfigStore &config);
/// Beat with load figures only.
wire::Envelope makeBeat(std::uint64_t sequence);
/// Hello that an entry sends to a sidecar periodically.
wire::Envelope makeHello(const ConfigStore &config);

} // namespace anvilscale::slopes
