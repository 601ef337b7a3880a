// The paths that callers use, and how an HTTP request becomes a call. No I/O.
#pragma once

#include "anvilscale/net.h"
#include "anvilscale/routing.h"

#include <variant>

namespace anvilscale {

enum class ApiPath : std::uint8_t {
    Health,
    Ready,
    Metrics,
    Models, ///< the operators' routes
    NewKey,
    Count
};

struct CallerApiLimits
{
    std::uint32_t jsonDepth = 32;
    std::uint64_t creditBytes = 0; ///< bytes of an answer that may be under way to a caller
};

/// A path of the process itself, a call, or the answer to a request that is neither.
using ApiRequest = std::variant<ApiPath, CallerRequest, HttpReply>;
ApiRequest readApiRequest(HttpRequestData request, const CallerApiLimits &limits);

} // namespace anvilscale
