// Members and heartbeats of a made-up data centre, for measuring.
#pragma once

#include "wire.pb.h"

#include "anvilscale/state.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace anvilscale::slopes {

constexpr std::size_t slotsEach = 8;

std::string sidecarName(std::size_t i);
Member sidecarMember(std::size_t i);
/// The whole state of sidecar `i`: all slots hold adapters, no two sidecars the same.
wire::Envelope fullHeartbeat(std::size_t i, const ConfigStore &config);
/// A delta with the given number of adapters that changed.
wire::Envelope deltaHeartbeat(std::size_t i, std::uint64_t sequence, std::size_t changed, const ConfigStore &config);
/// The load alone.
wire::Envelope beatMessage(std::uint64_t sequence);
/// What an entry says to a sidecar now and then.
wire::Envelope helloMessage(const ConfigStore &config);

} // namespace anvilscale::slopes
