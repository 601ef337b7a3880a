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
    {500, "the call was refused"},
    {400, "the request is invalid"},
    {404, "no route of this name is configured"},
    {404, "no service of this name is configured"},
    {503, "too many calls are queued"},
    {503, "the deadline cannot be met"},
    {504, "the deadline has passed"},
    {503, "no endpoint is available for this call"},
    {503, "the endpoint is draining"},
    {503, "the call was resolved at an older revision of the configuration"},
    {503, "the configuration of the endpoint is out of date"},
    {503, "the adapter version failed to load and is quarantined"},
    {503, "the adapter version cannot be loaded at present"},
    {503, "the endpoint cannot be reached"},
    {503, "the owner of this key has changed"},
    {503, "no owner is available for this key"},
    {400, "calls of this service need an Idempotency-Key; POST /v1/idempotency-keys creates one"},
    {400, "the Idempotency-Key is not a UUIDv7"},
    {409, "the Idempotency-Key is too old to determine whether its call has run"},
    {400, "the timestamp of the Idempotency-Key is in the future"},
    {503, "the table of idempotency keys is full"},
    {422, "the Idempotency-Key was used with a different request"},
    {503, "the endpoint's sidecar has just started"},
    {503, "the call is not retried: the retry budget is exhausted"},
    {503, "too many connections"},
    {503, "the caller has disconnected"},
    {503, "the configuration has not been loaded yet"},
    {500, "internal error"},
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
    {502, "the response of the endpoint was truncated"},
    {502, "the endpoint was restarted"},
    {502, "the connection to the endpoint's sidecar was lost"},
    {504, "the deadline has passed"},
    {500, "the caller has disconnected"},
    {500, "the caller read the response too slowly"},
    {502, "the response was incomplete"},
}};

constexpr std::array<std::string_view, enumCount<HttpProblem>> httpErrorMessages{
    "",
    "the request head is invalid",
    "the request head is too large",
    "the framing of the request body does not match the request head",
    "the request body is too large",
    "the transfer encoding is not supported",
    "the expectation is not supported",
    "timeout while receiving the request head",
    "timeout while receiving the request body",
    "too many connections",
};

constexpr std::array<std::string_view, enumCount<BodyProblem>> bodyErrorMessages{
    "",
    "the body is not JSON",
    "the body is not UTF-8",
    "the body is nested too deeply",
    "the body is not a JSON object",
    "\"model\" is missing; its value is the name of the route",
    "the body contains a duplicate member",
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

HttpReply httpErrorReply(HttpProblem httpError)
{
    const bool isConnectionLimit = httpError == HttpProblem::ConnectionLimit;
    CallError error;
    error.verdict = Verdict::NotRun;
    error.refusal = isConnectionLimit ? RefusalReason::ConnectionLimit : RefusalReason::BadRequest;
    error.retryAfter = isConnectionLimit ? Duration(Seconds(1)) : Duration(0);
    auto reply = errorReply(error, httpErrorMessages[static_cast<std::size_t>(httpError)]);
    reply.status = statusOf(httpError);
    return reply;
}

HttpReply bodyErrorReply(BodyProblem bodyError)
{
    return refusalReply(RefusalReason::BadRequest, bodyErrorMessages[static_cast<std::size_t>(bodyError)]);
}

} // namespace anvilscale
