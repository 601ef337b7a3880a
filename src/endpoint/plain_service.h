// A plain HTTP service: calls go to it as the caller made them. It takes no orders.
#pragma once

#include "anvilscale/endpoint.h"

namespace anvilscale {

class PlainService
{
public:
    EndpointRequest call(const wire::CallRequest &call) const;
    EndpointRequest order(const SendOrder &order) const;
    OrderOutcome orderOutcome(const SendOrder &order, std::uint32_t status, const std::string &body) const;
    EndpointRequest listRequest() const;
    EndpointRequest reportRequest() const;
    std::optional<EngineList> readList(const std::string &body, const std::string &metrics) const;
    std::optional<EngineReport> readReport(const std::string &body) const;
    std::uint32_t generatedTokens(const std::string &answer) const;
};

static_assert(EndpointProtocol<PlainService>);

} // namespace anvilscale
