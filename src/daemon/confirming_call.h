// ConfirmingCall: reads the changes of the store up to now, beside the watch that waits for further ones.
#pragma once

#include "store_client.h"

#include <functional>
#include <string>

namespace anvilscale {

/// Whole answer of a confirming call.
struct ConfirmingAnswer
{
    std::uint64_t era = 0; ///< of the store; 0 if it reports none
    std::uint32_t status = 0;
    std::string body;
};

/// One watch call that does not wait. Use from the loop's thread only.
template<StoreDialect Dialect, class Loop, StoreClient Client>
class ConfirmingCall
{
public:
    using Result = tl::expected<ConfirmingAnswer, StoreFailureKind>;

    ConfirmingCall(Loop &loop, NetAddress address, const StoreTimes &times, std::function<void(Result)> done)
        : loop_(loop)
        , times_(times)
        , done_(std::move(done))
        , client_(loop, storeClientInit(address, times, times.pause))
    {
    }
    ~ConfirmingCall()
    {
        loop_.timers().cancel(timeoutTimer_);
    }
    ConfirmingCall(const ConfirmingCall &) = delete;
    ConfirmingCall &operator=(const ConfirmingCall &) = delete;

    /// Reads the changes after this revision. Replaces a call in progress, which reports nothing.
    void start(std::uint64_t after)
    {
        abort();
        answer_ = ConfirmingAnswer{};
        isInProgress_ = true;
        startedAt_ = loop_.now();
        timeoutAt_ = startedAt_ + times_.maxSilenceTimeout;
        scheduleTimeout(); // before the start of the call, which may end immediately
        auto request = Dialect::watchRequest(after, Duration(0));
        // An existing connection may be broken without notice, and the call would hang on it.
        request.needsNewConnection = !isReachable_;
        request.maxAnswerBytes = maxStoreAnswerBytes;
        ExchangeHandlers handlers;
        handlers.head = [this](const HttpResponseHead &head) {
            answer_.status = head.status;
            answer_.era = Dialect::storeEra(head);
            extendTimeout();
        };
        handlers.data = [this](const std::string &data) {
            answer_.body += data;
            extendTimeout();
        };
        handlers.end = [this](ExchangeEnd end) {
            if (end == ExchangeEnd::Complete) {
                finish(std::move(answer_));
            } else {
                finish(tl::unexpected(storeFailureOf(end)));
            }
        };
        exchange_ = client_.start(request, Duration(0), std::move(handlers));
    }
    /// Ends a call in progress, which reports nothing.
    void abort()
    {
        loop_.timers().cancel(timeoutTimer_);
        if (std::exchange(isInProgress_, false)) {
            client_.abort(exchange_);
        }
    }

private:
    // Limits an answer that keeps growing slowly.
    static constexpr Duration maxTransferTime = Seconds(10);

    void extendTimeout()
    {
        timeoutAt_ = std::min(loop_.now() + times_.retrySilenceTimeout, startedAt_ + maxTransferTime);
    }

    void scheduleTimeout()
    {
        loop_.timers().cancel(timeoutTimer_);
        timeoutTimer_ = loop_.timers().subscribe(timeoutAt_, [this](TimePoint now) {
            if (now < timeoutAt_) {
                scheduleTimeout(); // bytes were received since
                return;
            }
            client_.abort(exchange_);
            finish(tl::unexpected(StoreFailureKind::Silent));
        });
    }

    void finish(Result result)
    {
        loop_.timers().cancel(timeoutTimer_);
        isInProgress_ = false;
        isReachable_ = result.has_value();
        done_(std::move(result));
    }

    Loop &loop_;
    StoreTimes times_;
    std::function<void(Result)> done_;
    Client client_;
    TimerHandle timeoutTimer_;
    TimePoint startedAt_{};
    TimePoint timeoutAt_{};
    ConfirmingAnswer answer_; // received so far
    ExchangeId exchange_ = 0;
    bool isInProgress_ = false;
    bool isReachable_ = true; // the last call was answered
};

} // namespace anvilscale
