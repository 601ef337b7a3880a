// Encodes requests to a plain service. Any response to the health request counts as a report.
#include "plain_service.h"

namespace anvilscale {

namespace {

constexpr std::uint64_t fixedIncarnation = 1; // a plain service does not report its start time

} // namespace

EndpointRequest PlainService::callRequest(const wire::CallRequest &call) const
{
    EndpointRequest request;
    request.method = call.method();
    request.target = call.path();
    for (const auto &header : call.headers()) {
        request.headers.emplace_back(header.name(), header.value());
    }
    if (!call.key().empty()) {
        request.headers.emplace_back("Idempotency-Key", call.key());
    }
    request.body = call.body();
    // The service may close a kept-alive connection while the request is being sent. The outcome would be unknown and
    // a non-idempotent call could not be retried.
    request.needsNewConnection = !call.idempotent();
    return request;
}

EndpointRequest PlainService::orderRequest(const SendOrder & /*order*/) const
{
    return reportRequest();
}

OrderOutcome PlainService::parseOrderOutcome(const SendOrder & /*order*/, std::uint32_t /*status*/,
                                             const std::string & /*body*/) const
{
    return OrderOutcome::Done;
}

EndpointRequest PlainService::listRequest() const
{
    return reportRequest();
}

EndpointRequest PlainService::reportRequest() const
{
    EndpointRequest request;
    request.target = "/health";
    request.needsNewConnection = true;
    return request;
}

std::optional<EngineList> PlainService::parseList(const std::string & /*body*/, const std::string & /*metrics*/) const
{
    EngineList list;
    list.incarnation = fixedIncarnation;
    return list;
}

std::optional<EngineReport> PlainService::parseReport(const std::string & /*body*/) const
{
    EngineReport report;
    report.incarnation = fixedIncarnation;
    return report;
}

std::uint32_t PlainService::generatedTokens(const std::string & /*answer*/) const
{
    return 0;
}

} // namespace anvilscale
