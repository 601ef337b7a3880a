// StoreCaller: writes to the platform's store, repeated until the store accepts them.
#pragma once

#include "store_watcher.h"

namespace anvilscale {

struct StoreCallerInit
{
    NetAddress address; ///< of the store
    StoreTimes times;
    std::uint64_t seed = 1;
};

/// Handlers of a StoreCaller, called from the loop's thread.
struct StoreCallerHandlers
{
    /// The time for a call has come: a scheduled one, or one that follows a failure.
    std::function<void()> due;
    /// The store has refused a call. May be empty.
    std::function<void(StoreStatus)> refused;
    /// A call failed; `due` follows after a pause. `isFirst`: the call before it succeeded.
    std::function<void(StoreFailureKind, std::uint32_t status, bool isFirst)> failed;
};

/// Makes one call at a time, each on a connection of its own and with a timeout. After a failure the next call is due
/// after a pause with jitter, which doubles with each further failure, and has longer to be answered if the store was
/// silent. Use from the loop's thread only.
template<class Dialect, class Loop, StoreClient Client>
class StoreCaller
{
public:
    /// Head and body of an accepted call. Must end in succeeded(), fail() or another call.
    using AnswerHandler = std::function<void(const HttpResponseHead &, const std::string &)>;

    StoreCaller(Loop &loop, const StoreCallerInit &init, StoreCallerHandlers handlers)
        : loop_(loop)
        , times_(init.times)
        , handlers_(std::move(handlers))
        , random_(init.seed)
        , client_(loop, clientInit(init))
        , silenceTimeout_(init.times.retrySilenceTimeout)
        , retryDelay_(init.times.initialRetryDelay)
    {
    }
    ~StoreCaller()
    {
        loop_.timers().cancel(dueTimer_);
        loop_.timers().cancel(timeoutTimer_);
    }
    StoreCaller(const StoreCaller &) = delete;
    StoreCaller &operator=(const StoreCaller &) = delete;

    void schedule(Duration delay)
    {
        loop_.timers().cancel(dueTimer_);
        dueTimer_ = loop_.timers().subscribe(loop_.now() + delay, [this](TimePoint) { handlers_.due(); });
    }
    /// Schedules a call within the first pause after a failure, so that many processes do not call at the same time.
    void scheduleWithJitter()
    {
        schedule(random_.jitter(times_.initialRetryDelay));
    }
    void call(EndpointRequest request, AnswerHandler onAnswer)
    {
        request.maxAnswerBytes = maxAnswerBytes;
        head_ = HttpResponseHead{};
        body_.clear();
        timeoutTimer_ = loop_.timers().subscribe(loop_.now() + silenceTimeout_, [this](TimePoint) {
            client_.abort(currentExchange_);
            fail(StoreFailureKind::Silent);
        });
        ExchangeHandlers handlers;
        handlers.head = [this](const HttpResponseHead &head) { head_ = head; };
        handlers.data = [this](const std::string &data) { body_ += data; };
        handlers.end = [this, onAnswer = std::move(onAnswer)](ExchangeEnd end) {
            loop_.timers().cancel(timeoutTimer_);
            onEnd(end, onAnswer);
        };
        currentExchange_ = client_.start(request, Duration(0), std::move(handlers));
    }
    void fail(StoreFailureKind kind)
    {
        handlers_.failed(kind, head_.status, !std::exchange(isFailing_, true));
        silenceTimeout_ = kind == StoreFailureKind::Silent ? times_.maxSilenceTimeout : silenceTimeout_;
        schedule(random_.jitter(retryDelay_));
        retryDelay_ = std::min(2 * retryDelay_, times_.maxRetryDelay);
    }
    /// Ends a series of failures.
    void succeeded()
    {
        silenceTimeout_ = times_.retrySilenceTimeout;
        retryDelay_ = times_.initialRetryDelay;
        isFailing_ = false;
    }

private:
    static constexpr std::uint64_t maxAnswerBytes = 64U << 10; // answers to writes name a revision or a lease

    static HttpClientInit clientInit(const StoreCallerInit &init)
    {
        HttpClientInit result;
        result.address = init.address;
        result.connectTimeout = init.times.silenceTimeout;
        result.maxIdleConnections = 0;
        return result;
    }

    void onEnd(ExchangeEnd end, const AnswerHandler &onAnswer)
    {
        if (end != ExchangeEnd::Complete) {
            fail(storeFailureOf(end));
            return;
        }
        const auto status = Dialect::storeStatus(head_.status);
        if (status == StoreStatus::Ok) {
            onAnswer(head_, body_);
            return;
        }
        if (handlers_.refused) {
            handlers_.refused(status);
        }
        fail(StoreFailureKind::Refused);
    }

    Loop &loop_;
    StoreTimes times_;
    StoreCallerHandlers handlers_;
    Random random_;
    Client client_;
    TimerHandle dueTimer_;
    TimerHandle timeoutTimer_; // of the current call
    Duration silenceTimeout_; // of the next call
    Duration retryDelay_;
    bool isFailing_ = false; // calls have failed since the last success
    HttpResponseHead head_; // of the current answer
    std::string body_; // of the current answer
    ExchangeId currentExchange_ = 0;
};

} // namespace anvilscale
