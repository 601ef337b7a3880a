// HTTP paths for callers, and conversion of HTTP requests to calls. No I/O.
#pragma once

#include "anvilscale/net.h"
#include "anvilscale/routing.h"

#include <variant>

namespace anvilscale {

enum class ApiPath : std::uint8_t {
    Health,
    Ready,
    Metrics,
    Models, ///< lists the configured routes
    NewKey,
    Count
};

/// Limits on the requests of callers.
struct CallerApiLimits
{
    std::uint32_t jsonDepth = 32;
    std::uint64_t creditBytes = 0; ///< maximum of response bytes in transit to a caller
};

/// A fixed path, a call, or the reply to an invalid request.
using ApiRequest = std::variant<ApiPath, CallerRequest, HttpReply>;
ApiRequest readApiRequest(HttpRequestData request, const CallerApiLimits &limits);

} // namespace anvilscale
