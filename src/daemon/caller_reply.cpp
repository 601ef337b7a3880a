// HTTP status codes, messages and JSON bodies of errors returned to callers.
#include "caller_reply.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace anvilscale {

namespace {

struct RefusalInfo
{
    std::uint32_t status;
    std::string_view message;
};

constexpr std::array<RefusalInfo, enumCount<RefusalReason>> refusalReplies{{
    {500, "the call was turned down"},
    {400, "the request is not valid"},
    {404, "no route of this name is configured"},
    {404, "no service of this name is configured"},
    {503, "too many calls wait"},
    {503, "the deadline cannot be met"},
    {504, "the deadline has passed"},
    {503, "no endpoint takes this call now"},
    {503, "the endpoint is leaving"},
    {503, "the call was resolved at an older revision of the configuration"},
    {503, "the endpoint is behind in its configuration"},
    {503, "the adapter version cannot be loaded and is set aside"},
    {503, "the adapter version cannot be loaded now"},
    {503, "the endpoint cannot be reached"},
    {503, "the owner of this key has changed"},
    {503, "no owner takes this key now"},
    {400, "calls of this service need an Idempotency-Key; POST /v1/idempotency-keys gives one"},
    {400, "the Idempotency-Key is not a UUIDv7"},
    {409, "the Idempotency-Key is too old to tell whether its call has run"},
    {400, "the Idempotency-Key is stamped in the future"},
    {503, "no more idempotency keys can be kept now"},
    {422, "the Idempotency-Key was used with another request"},
    {503, "the endpoint's sidecar has just started"},
    {503, "no further attempt is made: the budget for retries is spent"},
    {503, "too many connections"},
    {503, "the caller has left"},
    {503, "the configuration is not known yet"},
    {500, "a fault of our own"},
}};

struct FailureInfo
{
    std::uint32_t status;
    std::string_view message;
};

constexpr std::array<FailureInfo, enumCount<FailureReason>> failureReplies{{
    {500, "the call failed"},
    {502, "the endpoint reported an error"},
    {502, "the endpoint cannot be reached"},
    {502, "the endpoint's answer broke off"},
    {502, "the endpoint was restarted"},
    {502, "the connection to the endpoint's sidecar was lost"},
    {504, "the deadline has passed"},
    {500, "the caller has left"},
    {500, "the caller took its answer too slowly"},
    {502, "the answer did not arrive whole"},
}};

constexpr std::array<std::string_view, enumCount<HttpError>> httpErrorMessages{
    "",
    "the head of the request is not valid",
    "the head of the request is too large",
    "the body of the request is not framed as its head says",
    "the body of the request is too large",
    "this transfer encoding is not supported",
    "this expectation is not supported",
    "the head of the request did not arrive in time",
    "the body of the request did not arrive in time",
    "too many connections",
    "no memory for the body of the request came free in time",
    "the body of the request exceeds the memory of this process",
};

constexpr std::array<std::string_view, enumCount<BodyError>> bodyErrorMessages{
    "",
    "the body is not JSON",
    "the body is not UTF-8",
    "the body is nested too deeply",
    "the body is not a JSON object",
    "\"model\" is missing; it names the route",
    "a member of the body stands twice",
    "a member of the body has the wrong type",
};

std::string errorBody(std::string_view type, Verdict verdict, std::string_view message, std::uint32_t attempts)
{
    Poco::JSON::Object error(Poco::JSON_PRESERVE_KEY_ORDER);
    error.set("type", std::string(type));
    error.set("verdict", std::string(toString(verdict)));
    error.set("message", std::string(message));
    error.set("attempts", attempts);
    Poco::JSON::Object root;
    root.set("error", error);
    std::ostringstream text;
    root.stringify(text);
    return text.str();
}

} // namespace

HttpReply jsonReply(std::uint32_t status, std::string body)
{
    return HttpReply{status, {{"Content-Type", "application/json"}}, std::move(body), false};
}

HttpReply errorReply(const CallError &error, std::string_view message)
{
    const bool isRefused = error.refusal != RefusalReason::None;
    const auto &refusal = refusalReplies[static_cast<std::size_t>(error.refusal)];
    const auto &failure = failureReplies[static_cast<std::size_t>(error.failure)];
    const auto type = isRefused ? toString(error.refusal) : toString(error.failure);
    const auto text = !message.empty() ? message : isRefused ? refusal.message : failure.message;
    auto reply =
        jsonReply(isRefused ? refusal.status : failure.status, errorBody(type, error.verdict, text, error.attempts));
    if (error.retryAfter > Duration(0)) {
        const auto seconds = std::chrono::ceil<Seconds>(error.retryAfter).count();
        reply.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return reply;
}

HttpReply refusalReply(RefusalReason reason, std::string_view message)
{
    CallError error;
    error.verdict = Verdict::NotRun;
    error.refusal = reason;
    return errorReply(error, message);
}

HttpReply httpErrorReply(HttpError httpError)
{
    const bool isOverloaded = httpError == HttpError::ConnectionLimit || httpError == HttpError::MemoryShort;
    CallError error;
    error.verdict = Verdict::NotRun;
    error.refusal = isOverloaded ? RefusalReason::ConnectionLimit : RefusalReason::BadRequest;
    error.retryAfter = isOverloaded ? Duration(Seconds(1)) : Duration(0);
    auto reply = errorReply(error, httpErrorMessages[static_cast<std::size_t>(httpError)]);
    reply.status = statusOf(httpError);
    return reply;
}

HttpReply bodyErrorReply(BodyError bodyError)
{
    return refusalReply(RefusalReason::BadRequest, bodyErrorMessages[static_cast<std::size_t>(bodyError)]);
}

} // namespace anvilscale
