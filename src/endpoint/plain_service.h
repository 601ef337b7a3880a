// Protocol of a plain HTTP service: calls are forwarded unchanged, adapter orders are not supported.
#pragma once

#include "anvilscale/endpoint.h"

namespace anvilscale {

class PlainService
{
public:
    EndpointRequest callRequest(const wire::CallRequest &call) const;
    EndpointRequest orderRequest(const SendOrder &order) const;
    OrderOutcome parseOrderOutcome(const SendOrder &order, std::uint32_t status, const std::string &body) const;
    EndpointRequest listRequest() const;
    EndpointRequest reportRequest() const;
    std::optional<EngineList> parseList(const std::string &body, const std::string &metrics) const;
    std::optional<EngineReport> parseReport(const std::string &body) const;
    std::uint32_t generatedTokens(const std::string &answer) const;
};

static_assert(EndpointProtocol<PlainService>);

} // namespace anvilscale
