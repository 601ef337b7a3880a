// A model engine with the OpenAI-compatible HTTP interface that vLLM publishes, with LoRA adapters loaded and
// unloaded at run time. An adapter version goes by the name "adapter@version" there.
#pragma once

#include "anvilscale/endpoint.h"

namespace anvilscale {

class ModelEngine
{
public:
    explicit ModelEngine(std::uint32_t batchLimit);

    EndpointRequest call(const wire::CallRequest &call) const;
    EndpointRequest order(const SendOrder &order) const;
    OrderOutcome orderOutcome(const SendOrder &order, std::uint32_t status, const std::string &body) const;
    EndpointRequest listRequest() const;
    EndpointRequest reportRequest() const;
    std::optional<EngineList> readList(const std::string &models, const std::string &metrics) const;
    std::optional<EngineReport> readReport(const std::string &metrics) const;
    std::uint32_t generatedTokens(const std::string &answer) const;

private:
    std::uint32_t batchLimit_;
};

static_assert(EndpointProtocol<ModelEngine>);

} // namespace anvilscale
