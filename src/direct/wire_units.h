// Units of times in messages between entries and sidecars.
#pragma once

#include "anvilscale/base.h"

#include <algorithm>

namespace anvilscale {

constexpr double nsPerMs = 1e6;
constexpr double usPerMs = 1e3;

/// 0 for a time that has passed.
constexpr std::uint64_t toMicroseconds(Duration span)
{
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, us));
}

} // namespace anvilscale
