// Configuration records of a made-up fleet, for measuring.
#pragma once

#include "config.pb.h"

#include <cstddef>
#include <string>

namespace anvilscale::slopes {

std::string adapterName(std::size_t i);
std::string routeName(std::size_t i);
/// An adapter record and the route to it.
config::Delta adapterDelta(std::size_t i, std::uint64_t revision, const std::string &version = "v1");

} // namespace anvilscale::slopes
