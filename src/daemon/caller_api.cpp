// Reading of callers' requests.
#include "caller_api.h"

#include "caller_reply.h"

#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace anvilscale {

namespace {

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::uint64_t longestDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::uint32_t notFound = 404;
constexpr std::uint32_t methodNotAllowed = 405;

// Headers that are ours, or that a caller must not hand to an endpoint: an order's fencing number would look like
// the sidecar's own.
constexpr std::array<std::string_view, 4> ownHeaders{"idempotency-key", "x-deadline-ms", "x-caller", "x-fencing-token"};

struct FixedPath
{
    std::string_view method;
    std::string_view path;
    ApiPath what;
};
constexpr std::array fixedPaths{
    FixedPath{"GET", "/healthz", ApiPath::Health},
    FixedPath{"GET", "/readyz", ApiPath::Ready},
    FixedPath{"GET", "/metrics", ApiPath::Metrics},
    FixedPath{"GET", "/v1/models", ApiPath::Models},
    FixedPath{"POST", "/v1/idempotency-keys", ApiPath::NewKey},
};
constexpr std::array<std::string_view, 2> modelPaths{"/v1/completions", "/v1/chat/completions"};

HttpReply badRequest(std::string_view message)
{
    return refusalReply(RefusalReason::BadRequest, message);
}

HttpReply withStatus(std::uint32_t status, std::string_view message)
{
    auto reply = badRequest(message);
    reply.status = status;
    return reply;
}

bool isPassedOn(std::string_view name)
{
    const auto lower = Poco::toLower(std::string(name));
    return !isHopByHop(lower) && std::find(ownHeaders.begin(), ownHeaders.end(), lower) == ownHeaders.end();
}

std::string headerOf(const HttpHeaders &headers, std::string_view name)
{
    const auto *value = findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

/// Takes over what every call has. Returns false for a deadline that is no number.
bool readCommon(const HttpRequestData &request, const CallerApiLimits &limits, CallerRequest &call)
{
    call.key = headerOf(request.headers, "Idempotency-Key");
    call.caller = headerOf(request.headers, "X-Caller");
    call.creditBytes = limits.creditBytes;
    call.method = request.method;
    for (const auto &header : request.headers) {
        if (isPassedOn(header.first)) {
            call.headers.push_back(header);
        }
    }
    const auto *deadline = findHeader(request.headers, "X-Deadline-Ms");
    if (deadline == nullptr) {
        return true;
    }
    std::uint64_t ms = 0;
    const auto *end = deadline->data() + deadline->size();
    const auto [stop, error] = std::from_chars(deadline->data(), end, ms);
    if (error != std::errc() || stop != end || ms == 0 || ms > longestDeadlineMs) {
        return false;
    }
    call.deadline = Milliseconds(ms);
    return true;
}

ApiRequest readModelRequest(HttpRequestData request, const CallerApiLimits &limits)
{
    if (request.method != "POST") {
        return withStatus(methodNotAllowed, "calls of models are made by POST");
    }
    const auto facts = readModelCall(request.body, limits.jsonDepth);
    if (!facts) {
        return bodyProblemReply(facts.error());
    }
    CallerRequest call;
    if (!readCommon(request, limits, call)) {
        return badRequest("X-Deadline-Ms is not a number of milliseconds");
    }
    call.route = facts->model;
    call.stream = facts->stream;
    call.maxTokens = facts->maxTokens;
    call.promptTokens = facts->promptTokens;
    call.prefixHash = facts->prefixHash;
    call.path = std::move(request.target);
    call.body = std::move(request.body);
    return call;
}

ApiRequest readServiceRequest(HttpRequestData request, const CallerApiLimits &limits)
{
    const std::string_view rest = std::string_view(request.target).substr(servicePrefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    CallerRequest call;
    call.service = std::string(rest.substr(0, end));
    if (call.service.empty()) {
        return withStatus(notFound, "the path names no service");
    }
    if (!readCommon(request, limits, call)) {
        return badRequest("X-Deadline-Ms is not a number of milliseconds");
    }
    const auto path = rest.substr(end);
    call.path = path.starts_with('/') ? std::string(path) : "/" + std::string(path);
    call.body = std::move(request.body);
    return call;
}

} // namespace

ApiRequest readApiRequest(HttpRequestData request, const CallerApiLimits &limits)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.starts_with(servicePrefix)) {
        return readServiceRequest(std::move(request), limits);
    }
    if (std::find(modelPaths.begin(), modelPaths.end(), path) != modelPaths.end()) {
        return readModelRequest(std::move(request), limits);
    }
    bool known = false;
    for (const auto &fixed : fixedPaths) {
        if (fixed.path == path) {
            known = true;
            if (fixed.method == request.method) {
                return fixed.what;
            }
        }
    }
    return known ? withStatus(methodNotAllowed, "this path takes another method")
                 : withStatus(notFound, "there is nothing at this path");
}

} // namespace anvilscale
