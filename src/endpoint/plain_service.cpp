// Requests to a plain service. That it answers at all is its report.
#include "plain_service.h"

namespace anvilscale {

namespace {

constexpr std::uint64_t anyIncarnation = 1; // a plain service does not tell when it was started

} // namespace

EndpointRequest PlainService::call(const wire::CallRequest &call) const
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
    // A kept connection may be closed by the service just when the request is sent. The outcome would be unknown,
    // and a call that must not run twice could not be tried again.
    request.freshConnection = !call.idempotent();
    return request;
}

EndpointRequest PlainService::order(const SendOrder & /*order*/) const
{
    return reportRequest();
}

OrderOutcome PlainService::orderOutcome(const SendOrder & /*order*/, std::uint32_t /*status*/,
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
    request.freshConnection = true;
    return request;
}

std::optional<EngineList> PlainService::readList(const std::string & /*body*/, const std::string & /*metrics*/) const
{
    EngineList list;
    list.incarnation = anyIncarnation;
    return list;
}

std::optional<EngineReport> PlainService::readReport(const std::string & /*body*/) const
{
    EngineReport report;
    report.incarnation = anyIncarnation;
    return report;
}

std::uint32_t PlainService::generatedTokens(const std::string & /*answer*/) const
{
    return 0;
}

} // namespace anvilscale
