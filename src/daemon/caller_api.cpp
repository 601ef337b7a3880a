// Parsing of callers' HTTP requests.
#include "caller_api.h"

#include "caller_reply.h"

#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace anvilscale {

namespace {

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::uint64_t maxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::uint32_t notFound = 404;
constexpr std::uint32_t methodNotAllowed = 405;

// Headers that are not forwarded: endpoints would take a caller's fencing token for the sidecar's.
constexpr std::array<std::string_view, 4> reservedHeaders{"idempotency-key", "x-deadline-ms", "x-caller",
                                                          "x-fencing-token"};

struct FixedPath
{
    std::string_view method;
    std::string_view path;
    ApiPath apiPath;
};
constexpr std::array fixedPaths{
    FixedPath{"GET", "/healthz", ApiPath::Health},
    FixedPath{"GET", "/readyz", ApiPath::Ready},
    FixedPath{"GET", "/metrics", ApiPath::Metrics},
    FixedPath{"GET", "/v1/models", ApiPath::Models},
    FixedPath{"POST", "/v1/idempotency-keys", ApiPath::NewKey},
};
constexpr std::array<std::string_view, 2> modelPaths{"/v1/completions", "/v1/chat/completions"};

HttpReply badRequestReply(std::string_view message)
{
    return refusalReply(RefusalReason::BadRequest, message);
}

HttpReply errorWithStatus(std::uint32_t status, std::string_view message)
{
    auto reply = badRequestReply(message);
    reply.status = status;
    return reply;
}

bool isForwardedHeader(std::string_view name)
{
    const auto lower = Poco::toLower(std::string(name));
    return !isHopByHop(lower)
           && std::find(reservedHeaders.begin(), reservedHeaders.end(), lower) == reservedHeaders.end();
}

std::string headerValue(const HttpHeaders &headers, std::string_view name)
{
    const auto *value = findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

/// Reads the fields common to all calls. Returns false if the deadline is not a valid number.
bool readCommonFields(const HttpRequestData &request, const CallerApiLimits &limits, CallerRequest &call)
{
    call.key = headerValue(request.headers, "Idempotency-Key");
    call.caller = headerValue(request.headers, "X-Caller");
    call.creditBytes = limits.creditBytes;
    call.method = request.method;
    for (const auto &header : request.headers) {
        if (isForwardedHeader(header.first)) {
            call.headers.push_back(header);
        }
    }
    const auto *deadline = findHeader(request.headers, "X-Deadline-Ms");
    if (deadline == nullptr) {
        return true;
    }
    std::uint64_t milliseconds = 0;
    const auto *end = deadline->data() + deadline->size();
    const auto [parsedEnd, error] = std::from_chars(deadline->data(), end, milliseconds);
    if (error != std::errc() || parsedEnd != end || milliseconds == 0 || milliseconds > maxDeadlineMs) {
        return false;
    }
    call.deadline = Milliseconds(milliseconds);
    return true;
}

ApiRequest readModelRequest(HttpRequestData request, const CallerApiLimits &limits)
{
    if (request.method != "POST") {
        return errorWithStatus(methodNotAllowed, "calls of models are made by POST");
    }
    const auto info = readModelCall(request.body, limits.jsonDepth);
    if (!info) {
        return bodyErrorReply(info.error());
    }
    CallerRequest call;
    if (!readCommonFields(request, limits, call)) {
        return badRequestReply("X-Deadline-Ms is not a number of milliseconds");
    }
    call.route = info->model;
    call.isStreaming = info->stream;
    call.maxTokens = info->maxTokens;
    call.promptTokens = info->promptTokens;
    call.prefixHash = info->prefixHash;
    call.path = std::move(request.target);
    call.body = std::move(request.body);
    return call;
}

ApiRequest readServiceRequest(HttpRequestData request, const CallerApiLimits &limits)
{
    const std::string_view remainder = std::string_view(request.target).substr(servicePrefix.size());
    const auto end = std::min(remainder.find_first_of("/?"), remainder.size());
    CallerRequest call;
    call.service = std::string(remainder.substr(0, end));
    if (call.service.empty()) {
        return errorWithStatus(notFound, "the path names no service");
    }
    if (!readCommonFields(request, limits, call)) {
        return badRequestReply("X-Deadline-Ms is not a number of milliseconds");
    }
    const auto path = remainder.substr(end);
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
    bool isKnownPath = false;
    for (const auto &entry : fixedPaths) {
        if (entry.path == path) {
            isKnownPath = true;
            if (entry.method == request.method) {
                return entry.apiPath;
            }
        }
    }
    return isKnownPath ? errorWithStatus(methodNotAllowed, "this path takes another method")
                       : errorWithStatus(notFound, "there is nothing at this path");
}

} // namespace anvilscale
