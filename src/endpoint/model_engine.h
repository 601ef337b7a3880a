// Protocol of a model engine with vLLM's OpenAI-compatible HTTP interface and runtime loading of LoRA adapters.
// Adapter versions are named "adapter@version".
#pragma once

#include "anvilscale/endpoint.h"

namespace anvilscale {

class ModelEngine
{
public:
    explicit ModelEngine(std::uint32_t batchLimit);

    EndpointRequest callRequest(const wire::CallRequest &call) const;
    EndpointRequest orderRequest(const SendOrder &order) const;
    OrderOutcome parseOrderOutcome(const SendOrder &order, std::uint32_t status, const std::string &body) const;
    EndpointRequest listRequest() const;
    EndpointRequest reportRequest() const;
    std::optional<EngineList> parseList(const std::string &models, const std::string &metrics) const;
    std::optional<EngineReport> parseReport(const std::string &metrics) const;
    std::uint32_t generatedTokens(const std::string &answer) const;

private:
    std::uint32_t batchLimit_;
};

static_assert(EndpointProtocol<ModelEngine>);

} // namespace anvilscale
