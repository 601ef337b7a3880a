// Configuration records of a synthetic fleet.
#pragma once

#include "config.pb.h"

#include <cstddef>
#include <string>

namespace anvilscale::slopes {

std::string adapterName(std::size_t i);
std::string routeName(std::size_t i);
/// Returns a delta with adapter `i` and its route.
config::Delta makeAdapterDelta(std::size_t i, std::uint64_t revision, const std::string &version = "v1");

} // namespace anvilscale::slopes
