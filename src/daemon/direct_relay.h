// Transfers the bytes of calls between callers and endpoints on the traffic thread.
#pragma once

#include "anvilscale/direct_path.h"
#include "anvilscale/telemetry.h"

#include <atomic>
#include <unordered_map>

namespace anvilscale {

/// Handlers of a DirectRelay, called from the traffic thread.
struct RelayHandlers
{
    std::function<void(HttpExchange, CallInfo)> onCall;
    /// Called before onAnswerStarted and onAttemptEnded of the attempt.
    std::function<void(const std::string &endpointId, EndpointNotice)> onEndpointNotice;
    std::function<void(HttpExchange, std::uint32_t attempt)> onAnswerStarted;
    /// An event stream is now forwarded; `origin` is the one of its SendCall.
    std::function<void(HttpExchange, const StreamOrigin &origin)> onStreamStarted;
    std::function<void(HttpExchange, std::uint32_t attempt, AttemptResult)> onAttemptEnded;
    std::function<void(HttpExchange)> onCallerGone;
};

/// Calls in progress.
struct RelayedCalls
{
    std::uint64_t open = 0;
    std::uint64_t atEndpoints = 0; // part of them
};

/// Makes no decisions: each attempt is an action of the control thread, and its result is reported back.
template<DirectDialect Dialect>
class DirectRelay
{
public:
    explicit DirectRelay(RelayHandlers handlers)
        : handlers_(std::move(handlers))
    {
    }
    /// Must be called before the first request.
    void attach(HttpServer &server)
    {
        server_ = &server;
    }

    // Traffic thread only.
    void onRequest(HttpExchange exchange, HttpRequestData request)
    {
        auto info = Dialect::readCall(request);
        if (!info) {
            server_->reply(exchange, errorReply(statusBadRequest, toString(info.error()), Duration(0)));
            return;
        }
        if (isEnding_) {
            server_->reply(exchange, leavingReply());
            return;
        }
        info->fingerprint = computeFingerprint(request.method, request.target, request.body, *info);
        auto &call = calls_[exchange.value];
        call.body = SharedBody(std::exchange(request.body, {}), std::move(request.bodyRoom));
        call.request = std::move(request);
        call.heldRoom = server_->memory().makeHold(HeldKind::HeldAnswers);
        call.requestId = info->requestId;
        if (info->resumed) {
            call.lastEventId = info->resumed->lastEventId;
        }
        handlers_.onCall(exchange, std::move(*info));
    }

    void onCallerDisconnected(HttpExchange exchange)
    {
        const auto found = calls_.find(exchange.value);
        if (found == calls_.end()) {
            return;
        }
        // The endpoint stops working on the call when its connection is closed.
        stopAttempt(found->second);
        calls_.erase(found);
        handlers_.onCallerGone(exchange);
    }

    void onBytesSent(HttpExchange exchange, std::uint64_t bytes)
    {
        const auto found = calls_.find(exchange.value);
        if (found == calls_.end()) {
            return;
        }
        auto &call = found->second;
        call.unsentBytes -= std::min<std::uint64_t>(call.unsentBytes, bytes);
        if (call.unsentBytes <= unsentLimit() / 2 && call.client != nullptr) {
            call.client->pause(call.upstreamExchange, false);
        }
    }

    void perform(const SendCall &action)
    {
        const HttpExchange exchange{action.call.value};
        const auto found = calls_.find(exchange.value);
        if (found == calls_.end()) {
            return; // the caller has disconnected
        }
        auto &call = found->second;
        call.reportedAttempt = action.attempt;
        if (call.isForwarding) {
            // The call was to leave an engine that has begun to answer meanwhile: the answer goes on.
            handlers_.onAnswerStarted(exchange, action.attempt);
            return;
        }
        stopAttempt(call);
        call.attempt = action.attempt;
        call.endpointId = action.endpointId;
        call.origin = action.origin;
        call.isLimited = action.isLimited;
        call.holdAnswer = action.holdAnswer;
        call.heldReply = HttpReply{};
        call.heldRoom.resize(0);
        call.heldReply.status = 0; // no answer yet
        call.refusalBytes = 0;
        call.answer = EndpointAnswer{};
        call.framing = AnswerFraming::None;
        call.isTruncated = false;
        call.isOnReusedConnection = false;
        const auto remaining = action.deadline - EventLoop::now();
        if (remaining <= Duration(0)) {
            AttemptResult result;
            result.end = AttemptEnd::Unreachable;
            handlers_.onAttemptEnded(exchange, action.attempt, result);
            return;
        }
        if (endIfCallerLeft(exchange)) {
            return;
        }
        call.client = clientFor(action.address);
        if (call.client == nullptr) {
            AttemptResult result;
            result.end = AttemptEnd::Unreachable;
            handlers_.onAttemptEnded(exchange, action.attempt, result);
            return;
        }
        auto request = Dialect::callRequest(call.request, action, remaining);
        request.sharedBody = call.body;
        // A second answer to an earlier attempt carries the same id. It cannot arrive on a new connection.
        request.needsNewConnection = action.attempt > 1;
        call.upstreamExchange = call.client->start(request, remaining, handlersFor(exchange, action));
    }

    void perform(const RefuseCall &action)
    {
        finish(action.call, errorReply(action.status, toString(action.reason), action.retryAfter));
    }

    void perform(const ForwardAnswer &action)
    {
        const auto found = calls_.find(action.call.value);
        if (found == calls_.end()) {
            return;
        }
        finish(action.call, std::move(found->second.heldReply));
    }

    void perform(const DropConnections &action)
    {
        const auto found = clients_.find(action.address);
        if (found != clients_.end()) {
            found->second->closeIdleConnections();
        }
    }

    void perform(const AbandonCall &action)
    {
        const bool isDeadlinePassed = action.reason == FailureReason::DeadlinePassed;
        finish(action.call, errorReply(isDeadlinePassed ? statusGatewayTimeout : statusBadGateway,
                                       toString(action.reason), Duration(0)));
    }

    /// Answers all calls whose answers have not begun, and refuses new ones. For a process that is about to end:
    /// callers take a connection that is closed without an answer for one whose request was not read, and send it
    /// again.
    void endUnansweredCalls()
    {
        endCallsIf([](const RelayedCall &call) { return !call.isForwarding; });
    }

    /// The same, and cuts the answers that have begun.
    void endCalls()
    {
        endCallsIf([](const RelayedCall &) { return true; });
    }

    /// Closes all connections to endpoints. Must be called before the event loop of the server is destroyed.
    void close()
    {
        calls_.clear();
        clients_.clear();
    }

    /// Traffic thread only.
    RelayedCalls calls() const
    {
        RelayedCalls result;
        for (const auto &[exchange, call] : calls_) {
            ++result.open;
            result.atEndpoints += call.client != nullptr ? 1 : 0;
        }
        return result;
    }
    /// Attempts that were not sent because their callers had left. Any thread.
    std::uint64_t attemptsForAbsentCallers() const
    {
        return attemptsForAbsentCallers_;
    }
    /// Answers that were forwarded while another attempt was still possible, for want of memory. Any thread.
    std::uint64_t forwardedWhenShort() const
    {
        return forwardedWhenShort_;
    }

private:
    static constexpr std::uint32_t statusBadRequest = 400;
    static constexpr std::uint32_t statusUnauthorized = 401;
    static constexpr std::uint32_t statusBadGateway = 502;
    static constexpr std::uint32_t statusUnavailable = 503;
    static constexpr std::uint32_t statusGatewayTimeout = 504;
    // Maximum of answer bytes read from an endpoint and not yet sent to the caller.
    static constexpr std::size_t maxUnsentBytes = 256U << 10;
    // The same while little memory is left, and the size beyond which a successful answer is then forwarded.
    static constexpr std::size_t maxUnsentWhenShort = 32U << 10;
    // Size beyond which a successful answer is forwarded before it is complete.
    static constexpr std::size_t maxHeldBytes = 256U << 10;
    // The same where another attempt may follow, and the maximum size of an endpoint's own failure: a longer one is not
    // forwarded.
    static constexpr std::size_t maxHeldForRetryBytes = 4U << 20;
    // Maximum size of the body of a refusal, which is not kept. Longer ones cost more than a new connection.
    static constexpr std::size_t maxRefusalBytes = 64U << 10;
    // A running endpoint accepts a connection within milliseconds.
    static constexpr Duration connectTimeout = Milliseconds(400);
    // Prevents the use of a connection that the endpoint is about to close as idle.
    static constexpr Duration keepMargin = Milliseconds(400);
    // Used if the endpoint does not announce how long it keeps idle connections.
    static constexpr Duration defaultKeepIdle = Milliseconds(200);

    struct RelayedCall
    {
        HttpRequestData request; // without its body
        SharedBody body; // empty once no attempt can follow
        std::string requestId;
        std::string lastEventId; // last event that its caller has, if it resumes a stream
        std::string endpointId;
        std::uint32_t attempt = 0; // of the exchange in progress
        std::uint32_t reportedAttempt = 0; // under which its answer and end are reported; the last one requested
        StreamOrigin origin; // of its stream, if the current attempt starts it
        bool isLimited = false; // sent under a rate limit of the endpoint
        bool holdAnswer = false;
        bool mayHaveRun = false; // at the endpoint of an attempt that has ended
        HttpClient *client = nullptr; // of the current attempt; null if none is in progress
        ExchangeId upstreamExchange = 0;
        EndpointAnswer answer;
        AnswerFraming framing = AnswerFraming::None; // of the answer
        bool isTruncated = false; // the answer ended inside an event
        bool isOnReusedConnection = false; // the answer came on one
        std::size_t refusalBytes = 0; // received of the body of a refusal
        HttpReply heldReply; // the answer received so far, while none of it has been forwarded
        MemoryHold heldRoom; // covers the body of heldReply
        TimePoint lastPartAt{}; // arrival of the last part of a forwarded answer
        Duration longestPause{}; // between two parts
        bool isForwarding = false; // answer bytes have been sent to the caller
        std::optional<EventIds> eventIds; // of the answer, if it is a forwarded event stream
        std::uint64_t unsentBytes = 0; // forwarded bytes that have not been sent to the caller yet
    };

    std::size_t unsentLimit() const
    {
        return server_->memory().isShort() ? maxUnsentWhenShort : maxUnsentBytes;
    }

    static HttpReply errorReply(std::uint32_t status, std::string_view reason, Duration retryAfter)
    {
        HttpReply reply;
        reply.status = status;
        reply.headers.emplace_back("Content-Type", "application/json");
        if (retryAfter > Duration(0)) {
            std::array<char, 24> text{};
            const double seconds = std::chrono::duration<double>(retryAfter).count();
            std::snprintf(text.data(), text.size(), "%.3f", seconds);
            reply.headers.emplace_back("Retry-After", text.data());
        }
        if (status == statusUnauthorized) {
            reply.headers.emplace_back("WWW-Authenticate", "Bearer");
        }
        reply.body = "{\"error\":\"" + std::string(reason) + "\"}";
        return reply;
    }

    template<class Condition>
    void endCallsIf(Condition condition)
    {
        isEnding_ = true;
        std::vector<std::uint64_t> exchanges;
        for (const auto &[exchange, call] : calls_) {
            if (condition(call)) {
                exchanges.push_back(exchange);
            }
        }
        for (const auto exchange : exchanges) {
            const auto &call = calls_.at(exchange);
            const bool mayHaveRun = call.mayHaveRun || call.client != nullptr;
            finish(CallHandle{exchange},
                   mayHaveRun ? errorReply(statusBadGateway, toString(FailureReason::ProcessStopped), Duration(0))
                              : leavingReply());
        }
    }

    static HttpReply leavingReply()
    {
        auto reply = errorReply(statusUnavailable, toString(RefusalReason::Leaving), leavingRetryAfter);
        reply.closesConnection = true;
        return reply;
    }

    static AnswerFraming framingOf(const HttpResponseHead &head)
    {
        switch (head.body.framing()) {
        case HttpBodyReader::Framing::Length:
            return AnswerFraming::Length;
        case HttpBodyReader::Framing::Chunked:
            return AnswerFraming::Chunked;
        case HttpBodyReader::Framing::UntilClose:
            return AnswerFraming::UntilClose;
        case HttpBodyReader::Framing::Count:
            break;
        }
        return AnswerFraming::None;
    }

    /// Returns nullptr if the text is no address, which readers of endpoint records prevent.
    HttpClient *clientFor(const std::string &address)
    {
        auto &client = clients_[address];
        if (!client) {
            const auto parsed = NetAddress::parse(address);
            if (!parsed) {
                clients_.erase(address);
                logEvent(Event::UnexpectedError,
                         {{"where", "endpoint address"}, {"what", std::string(toString(parsed.error()))}});
                return nullptr;
            }
            HttpClientInit init;
            init.address = *parsed;
            init.connectTimeout = connectTimeout;
            init.maxIdleTime = defaultKeepIdle;
            init.idleMargin = keepMargin;
            client = std::make_unique<HttpClient>(server_->loop(), init);
        }
        return client.get();
    }

    ExchangeHandlers handlersFor(HttpExchange exchange, const SendCall &action)
    {
        ExchangeHandlers handlers;
        handlers.connected = [this, exchange] { endIfCallerLeft(exchange); };
        handlers.head = [this, exchange](const HttpResponseHead &head) { onHead(exchange, head); };
        handlers.data = [this, exchange](std::string data) { onData(exchange, std::move(data)); };
        handlers.end = [this, exchange, attempt = action.attempt](ExchangeEnd end) { onEnd(exchange, attempt, end); };
        return handlers;
    }

    /// Ends the call if its caller has left. Called right before each request is sent: the process may have stood still
    /// since it read the caller's, and the caller may have gone to another entry meanwhile.
    bool endIfCallerLeft(HttpExchange exchange)
    {
        if (!server_->hasCallerLeft(exchange)) {
            return false;
        }
        ++attemptsForAbsentCallers_;
        handlers_.onCallerGone(exchange);
        finish(CallHandle{exchange.value},
               errorReply(statusBadGateway, toString(FailureReason::CallerGone), Duration(0)));
        return true;
    }

    void onHead(HttpExchange exchange, const HttpResponseHead &head)
    {
        auto &call = calls_.at(exchange.value);
        call.framing = framingOf(head);
        call.heldReply.status = head.status;
        call.isOnReusedConnection = head.isOnReusedConnection;
        call.answer = Dialect::readAnswer(head, call.requestId, call.endpointId);
        // On a reused connection, an answer that names no request may be a late one to an earlier request.
        const bool mayBeLate = head.isOnReusedConnection && !call.answer.namesRequest;
        if (call.answer.kind == AnswerKind::Foreign || mayBeLate) {
            call.answer.kind = AnswerKind::Foreign;
            endAttempt(exchange, call, AttemptEnd::Broken, head.status);
            stopAttempt(call); // destroys `head`
            return;
        }
        call.answer.notice.endsLimit =
            call.isLimited && call.answer.kind == AnswerKind::Success && !call.answer.notice.requestsPerSecond;
        if (!call.answer.notice.empty()) {
            handlers_.onEndpointNotice(call.endpointId, call.answer.notice);
        }
        if (call.answer.kind == AnswerKind::Refused) {
            return;
        }
        handlers_.onAnswerStarted(exchange, call.reportedAttempt);
        call.heldReply.headers = head.headers;
        if (call.answer.kind == AnswerKind::Success && call.answer.isEventStream) {
            handlers_.onStreamStarted(exchange, call.origin);
            call.eventIds.emplace(call.lastEventId);
            startForwarding(exchange, call);
        }
    }

    void startForwarding(HttpExchange exchange, RelayedCall &call)
    {
        call.isForwarding = true;
        call.body = SharedBody(); // the caller has a part of the answer: no further attempt
        call.heldRoom.resize(0);
        call.lastPartAt = EventLoop::now();
        server_->begin(exchange, call.heldReply.status, std::move(call.heldReply.headers));
        if (!call.heldReply.body.empty()) {
            forward(exchange, call, std::exchange(call.heldReply.body, {}));
        }
    }

    void forward(HttpExchange exchange, RelayedCall &call, std::string data)
    {
        const auto now = EventLoop::now();
        call.longestPause = std::max(call.longestPause, now - std::exchange(call.lastPartAt, now));
        if (call.eventIds) {
            call.eventIds->read(data);
        }
        call.unsentBytes += data.size();
        if (call.unsentBytes > unsentLimit()) {
            call.client->pause(call.upstreamExchange, true);
        }
        server_->send(exchange, std::move(data));
    }

    void onData(HttpExchange exchange, std::string data)
    {
        auto &call = calls_.at(exchange.value);
        if (call.isForwarding) {
            forward(exchange, call, std::move(data));
            return;
        }
        if (call.answer.kind == AnswerKind::Refused) {
            call.refusalBytes += data.size();
            if (call.refusalBytes > maxRefusalBytes) {
                stopAttempt(call);
                endAttempt(exchange, call, AttemptEnd::Refused, call.heldReply.status);
            }
            return;
        }
        call.heldReply.body += data;
        call.heldRoom.resize(call.heldReply.body.size());
        const bool isSuccess = call.answer.kind == AnswerKind::Success;
        const auto maxBytes = isSuccess && !call.holdAnswer ? maxHeldBytes : maxHeldForRetryBytes;
        const bool isShort =
            isSuccess && call.heldReply.body.size() > maxUnsentWhenShort && server_->memory().isShort();
        if (call.heldReply.body.size() <= maxBytes && !isShort) {
            return;
        }
        if (isSuccess) {
            forwardedWhenShort_ += isShort ? 1 : 0;
            startForwarding(exchange, call);
            return;
        }
        stopAttempt(call);
        endAttempt(exchange, call, AttemptEnd::Broken, call.heldReply.status);
    }

    void onEnd(HttpExchange exchange, std::uint32_t attempt, ExchangeEnd end)
    {
        const auto found = calls_.find(exchange.value);
        if (found == calls_.end() || found->second.attempt != attempt) {
            return;
        }
        auto &call = found->second;
        call.client = nullptr;
        call.isTruncated = end == ExchangeEnd::Truncated;
        const auto status = call.heldReply.status;
        if (end == ExchangeEnd::Unreachable) {
            endAttempt(exchange, call, AttemptEnd::Unreachable, 0);
            return;
        }
        if (call.answer.kind == AnswerKind::Refused) {
            endAttempt(exchange, call, AttemptEnd::Refused, status);
            return;
        }
        if (end != ExchangeEnd::Complete || call.answer.kind == AnswerKind::Foreign) {
            endAttempt(exchange, call, AttemptEnd::Broken, status);
            return;
        }
        if (call.answer.kind == AnswerKind::OwnFailure) {
            endAttempt(exchange, call, AttemptEnd::OwnFailure, status);
            return;
        }
        if (call.isForwarding) {
            server_->finish(exchange);
        } else {
            server_->reply(exchange, std::move(call.heldReply));
        }
        const auto result = resultOf(call, AttemptEnd::Answered, status);
        const auto reportedAttempt = call.reportedAttempt;
        calls_.erase(found);
        handlers_.onAttemptEnded(exchange, reportedAttempt, result);
    }

    static AttemptResult resultOf(const RelayedCall &call, AttemptEnd end, std::uint32_t status)
    {
        AttemptResult result;
        result.end = end;
        result.status = status;
        result.longestPause = call.longestPause;
        result.framing = call.framing;
        result.isTruncated = call.isTruncated;
        if (call.eventIds) {
            result.isForwardedStream = true;
            result.eventIds = call.eventIds->finding();
            result.lastEvent = call.eventIds->last();
        }
        return result;
    }

    void endAttempt(HttpExchange exchange, RelayedCall &call, AttemptEnd end, std::uint32_t status)
    {
        call.mayHaveRun = call.mayHaveRun || (end != AttemptEnd::Refused && end != AttemptEnd::Unreachable);
        auto result = resultOf(call, end, status);
        result.refusal = call.answer.refusal;
        result.namesRequest = call.answer.namesRequest;
        result.isOnReusedConnection = call.isOnReusedConnection;
        result.callerHasBytes = call.isForwarding;
        handlers_.onAttemptEnded(exchange, call.reportedAttempt, result);
    }

    void stopAttempt(RelayedCall &call)
    {
        if (auto *client = std::exchange(call.client, nullptr)) {
            client->abort(call.upstreamExchange);
        }
    }

    /// Replies to the caller, removes the call and stops an attempt in progress.
    void finish(CallHandle handle, HttpReply reply)
    {
        const auto found = calls_.find(handle.value);
        if (found == calls_.end()) {
            return;
        }
        stopAttempt(found->second);
        calls_.erase(found);
        server_->cut(HttpExchange{handle.value}, std::move(reply));
    }

    RelayHandlers handlers_;
    HttpServer *server_ = nullptr;
    std::unordered_map<std::uint64_t, RelayedCall> calls_; // by exchange id
    std::unordered_map<std::string, std::unique_ptr<HttpClient>> clients_; // by address
    bool isEnding_ = false; // all calls are refused
    std::atomic<std::uint64_t> attemptsForAbsentCallers_ = 0;
    std::atomic<std::uint64_t> forwardedWhenShort_ = 0;
};

} // namespace anvilscale
