// Runs calls, orders and reports of one endpoint on one event loop, with the protocol as a template parameter.
#pragma once

#include "answer_buffer.h"

#include <unordered_map>

namespace anvilscale {

template<EndpointProtocol Protocol>
class EndpointRunner
{
public:
    EndpointRunner(EventLoop &loop, const EndpointInit &init, const Endpoint::Handlers &handlers, Protocol protocol)
        : loop_(loop)
        , init_(init)
        , handlers_(handlers)
        , protocol_(std::move(protocol))
        , client_(loop, clientInit(init))
    {
    }
    ~EndpointRunner()
    {
        loop_.timers().cancel(reportTimer_);
    }
    EndpointRunner(const EndpointRunner &) = delete;
    EndpointRunner &operator=(const EndpointRunner &) = delete;

    void start(const StartExecution &action)
    {
        const auto key = action.execution;
        auto &execution = addExecution(key, init_.maxKeptAnswerBytes);
        execution.isCall = true;
        execution.isRetained = true;
        execution.adapter = AdapterVersion{action.request.adapter(), action.request.version()};
        execution.answer.addListener(AnswerListener{action.to, action.request.id(), action.request.credit_bytes(),
                                                    action.request.stall_us(), false});
        ++runningCalls_;
        if (EventLoop::now() >= action.sendDeadline) {
            onEnd(key, ExchangeEnd::Unreachable); // nothing was sent
            return;
        }
        ExchangeHandlers exchangeHandlers;
        exchangeHandlers.head = [this, key](const HttpResponseHead &head) { onHead(key, head); };
        exchangeHandlers.data = [this, key](const std::string &data) { onData(key, data); };
        exchangeHandlers.end = [this, key](ExchangeEnd end) { onEnd(key, end); };
        const auto exchange =
            client_.start(protocol_.callRequest(action.request), Duration(0), std::move(exchangeHandlers));
        execution.exchange = exchange;
    }

    void attach(const AttachListener &action)
    {
        const auto found = executions_.find(action.execution);
        if (found == executions_.end()) {
            sendAnswerLost(action.to, action.id);
            return;
        }
        found->second.answer.addListener(AnswerListener{action.to, action.id, action.creditBytes, 0, false});
        pump(action.execution);
    }

    /// Ends the retention of a finished answer; no listener is attached afterwards. Keeping the answer until then
    /// prevents a repeat attached concurrently with the end from failing with an unknown outcome.
    void release(ExecutionHandle key)
    {
        if (const auto found = executions_.find(key); found != executions_.end()) {
            found->second.isRetained = false;
            pump(key);
        }
    }

    void detach(const DetachListener &action)
    {
        if (const auto found = executions_.find(action.execution); found != executions_.end()) {
            found->second.answer.removeListener(action.id);
            pump(action.execution);
        }
    }

    void cancel(const CancelExecution &action)
    {
        const auto found = executions_.find(action.execution);
        if (found == executions_.end() || found->second.answer.isFinished()) {
            return;
        }
        ++stats_.cancels;
        found->second.cancelReason = action.reason;
        client_.cancel(found->second.exchange);
    }

    void replay(const ReplayAnswer &action)
    {
        // Replays use a key range separate from executions.
        const ExecutionHandle key{++lastReplayKey_ | replayBit};
        const auto &kept = *action.answer;
        auto &execution = addExecution(key, kept.body.size());
        execution.answer.setHead(kept.status, kept.headers);
        execution.answer.append(kept.body);
        execution.answer.finish(AnswerOutcome{kept.outcome, kept.failure, 0});
        const auto credit = std::max<std::uint64_t>(action.creditBytes, init_.maxReadAheadBytes);
        execution.answer.addListener(AnswerListener{action.to, action.id, credit, 0, true});
        pump(key);
    }

    void credit(PeerHandle peer, const wire::CallCredit &credit)
    {
        for (auto &[key, execution] : executions_) {
            if (execution.answer.addCredit(peer, credit.id(), credit.bytes())) {
                pump(key);
                return;
            }
        }
    }

    void listenerDisconnected(PeerHandle /*peer*/, const wire::AttemptId &id)
    {
        dropListeners([&](AnswerBuffer &answer) { answer.removeListener(id); });
    }

    void peerLost(PeerHandle peer)
    {
        dropListeners([&](AnswerBuffer &answer) { answer.removePeer(peer); });
    }

    /// Calls `idle` once every answer has been sent completely to all its listeners.
    void whenIdle(std::function<void()> idle)
    {
        onIdle_ = std::move(idle);
        notifyIfIdle();
    }

    void order(const SendOrder &order)
    {
        if (order.kind == OrderKind::List) {
            list(order);
            return;
        }
        auto reply = std::make_shared<Reply>();
        fetch(protocol_.orderRequest(order), order.timeout, reply, [this, order, reply](ExchangeEnd end) {
            if (end == ExchangeEnd::Unreachable) {
                handlers_.onOrderDone(order.order, OrderOutcome::Refused); // nothing was sent
                handlers_.onUnreachable();
                return;
            }
            const bool isComplete = end == ExchangeEnd::Complete;
            const auto outcome =
                isComplete ? protocol_.parseOrderOutcome(order, reply->status, reply->body) : OrderOutcome::Unknown;
            handlers_.onOrderDone(order.order, outcome);
        });
    }

    void startReports()
    {
        auto reply = std::make_shared<Reply>();
        fetch(protocol_.reportRequest(), init_.reportInterval * reportTimeoutIntervals, reply,
              [this, reply](ExchangeEnd end) {
                  const auto report =
                      end == ExchangeEnd::Complete ? protocol_.parseReport(reply->body) : std::optional<EngineReport>();
                  if (report) {
                      handlers_.onReport(*report);
                  } else {
                      ++stats_.reportFailures;
                  }
                  if (end == ExchangeEnd::Unreachable) {
                      handlers_.onUnreachable();
                  }
                  reportTimer_ = loop_.timers().subscribe(EventLoop::now() + init_.reportInterval,
                                                          [this](TimePoint) { startReports(); });
              });
    }

    EndpointStats stats() const
    {
        auto result = stats_;
        const auto &counts = client_.counts();
        result.requests = counts.requests;
        result.connections = counts.connections;
        result.connectFailures = counts.connectFailures;
        result.runningCalls = runningCalls_;
        for (const auto &[key, execution] : executions_) {
            result.listenerCount += static_cast<std::uint32_t>(execution.answer.listenerCount());
        }
        return result;
    }

private:
    struct Execution
    {
        ExchangeId exchange = 0;
        bool isCall = false; // false for a replay
        bool hasStarted = false;
        bool isRetained = false; // until release(), since a listener may still be attached
        FailureReason cancelReason = FailureReason::CallerGone; // valid once cancelled
        AdapterVersion adapter;
        AnswerBuffer answer;
    };
    struct Reply
    {
        std::uint32_t status = 0;
        std::string body;
    };
    static constexpr std::uint64_t replayBit = 1ULL << 63;
    static constexpr int reportTimeoutIntervals = 4; // in report intervals
    static constexpr std::size_t maxReplyBytes = 4U << 20;
    static constexpr Duration cancelCheckInterval = Milliseconds(50);

    static HttpClientInit clientInit(const EndpointInit &init)
    {
        HttpClientInit result;
        result.address = init.address;
        result.connectTimeout = init.connectTimeout;
        result.cancelGrace = init.cancelGrace;
        return result;
    }

    Execution &addExecution(ExecutionHandle key, std::size_t maxKeptBytes)
    {
        return executions_
            .insert_or_assign(key, Execution{0,
                                             false,
                                             false,
                                             false,
                                             FailureReason::CallerGone,
                                             {},
                                             AnswerBuffer(maxKeptBytes, init_.maxReadAheadBytes)})
            .first->second;
    }

    void onHead(ExecutionHandle key, const HttpResponseHead &head)
    {
        auto &execution = executions_.at(key);
        HttpHeaders headers;
        for (const auto &header : head.headers) {
            if (!isHopByHop(header.first)) {
                headers.push_back(header);
            }
        }
        execution.answer.setHead(head.status, std::move(headers));
        if (!std::exchange(execution.hasStarted, true)) {
            handlers_.onStarted(key);
        }
        execution.answer.pump(handlers_.send);
    }

    void onData(ExecutionHandle key, const std::string &data)
    {
        auto &execution = executions_.at(key);
        execution.answer.append(data);
        pump(key);
    }

    void onEnd(ExecutionHandle key, ExchangeEnd end)
    {
        if (end == ExchangeEnd::CancelUnconfirmed) {
            ++stats_.unconfirmedCancels;
            confirmCancel(key);
            return;
        }
        if (end == ExchangeEnd::Broken || end == ExchangeEnd::TooLarge || end == ExchangeEnd::Truncated) {
            ++stats_.brokenAnswers;
        }
        auto outcome = outcomeOf(end);
        if (outcome.outcome == CallOutcome::Cancelled) {
            outcome.failure = executions_.at(key).cancelReason;
        }
        finish(key, outcome);
    }

    static AnswerOutcome outcomeOf(ExchangeEnd end)
    {
        switch (end) {
        case ExchangeEnd::Complete:
            return {CallOutcome::Complete, FailureReason::None, 0};
        case ExchangeEnd::Unreachable:
            return {CallOutcome::Failed, FailureReason::EndpointUnreachable, 0};
        case ExchangeEnd::CancelConfirmed:
            return {CallOutcome::Cancelled, FailureReason::CallerGone, 0};
        case ExchangeEnd::Broken:
        case ExchangeEnd::TooLarge:
        case ExchangeEnd::Truncated:
        case ExchangeEnd::CancelUnconfirmed:
        case ExchangeEnd::Count:
            break;
        }
        // The endpoint may still be processing the call.
        return {CallOutcome::Unknown, FailureReason::EndpointCut, 0};
    }

    void finish(ExecutionHandle key, AnswerOutcome outcome)
    {
        const auto found = executions_.find(key);
        if (found == executions_.end()) {
            return;
        }
        auto &execution = found->second;
        --runningCalls_;
        CachedAnswer kept;
        kept.status = execution.answer.status();
        kept.headers = execution.answer.headers();
        outcome.generatedTokens = protocol_.generatedTokens(execution.answer.bufferedBody());
        auto body = execution.answer.completeBody();
        const bool isTooLong = !body;
        // A repeat cannot receive an answer that was not kept, so its outcome is unknown.
        kept.outcome = isTooLong && outcome.outcome == CallOutcome::Complete ? CallOutcome::Unknown : outcome.outcome;
        kept.failure =
            isTooLong && outcome.failure == FailureReason::None ? FailureReason::AnswerIncomplete : outcome.failure;
        kept.body = std::move(body).value_or(std::string());
        execution.answer.finish(outcome);
        handlers_.onEnded(key, std::move(kept), outcome.generatedTokens);
        pump(key);
    }

    // The engine has not confirmed the cancel by closing the connection. Polls its metrics until they list no call
    // running on the adapter; until then the adapter stays pinned.
    void confirmCancel(ExecutionHandle key)
    {
        auto reply = std::make_shared<Reply>();
        fetch(protocol_.reportRequest(), init_.reportInterval * reportTimeoutIntervals, reply,
              [this, key, reply](ExchangeEnd end) {
                  const auto found = executions_.find(key);
                  if (found == executions_.end()) {
                      return;
                  }
                  const auto list = end == ExchangeEnd::Complete ? protocol_.parseList(R"({"data":[]})", reply->body)
                                                                 : std::optional<EngineList>();
                  const bool isRunning =
                      !list || std::any_of(list->running.begin(), list->running.end(), [&](const auto &entry) {
                          return entry.first == found->second.adapter;
                      });
                  if (!isRunning) {
                      finish(key, {CallOutcome::Cancelled, found->second.cancelReason, 0});
                      return;
                  }
                  if (end == ExchangeEnd::Unreachable) {
                      finish(key, {CallOutcome::Unknown, FailureReason::EndpointCut, 0});
                      return;
                  }
                  loop_.timers().subscribe(EventLoop::now() + cancelCheckInterval,
                                           [this, key](TimePoint) { confirmCancel(key); });
              });
    }

    void notifyIfIdle()
    {
        if (executions_.empty() && onIdle_) {
            std::exchange(onIdle_, nullptr)();
        }
    }

    void pump(ExecutionHandle key)
    {
        const auto found = executions_.find(key);
        if (found == executions_.end()) {
            return;
        }
        auto &execution = found->second;
        execution.answer.pump(handlers_.send);
        if (execution.answer.isDelivered() && !execution.isRetained) {
            executions_.erase(found);
            notifyIfIdle();
            return;
        }
        if (!execution.answer.isFinished() && execution.exchange != 0) {
            client_.pause(execution.exchange, execution.answer.isFull());
        }
    }

    template<class Drop>
    void dropListeners(Drop drop)
    {
        std::vector<ExecutionHandle> finished;
        for (auto &[key, execution] : executions_) {
            if (execution.answer.isFinished()) {
                drop(execution.answer);
                finished.push_back(key);
            }
        }
        for (const auto key : finished) {
            pump(key);
        }
    }

    void sendAnswerLost(PeerHandle to, const wire::AttemptId &id)
    {
        wire::Envelope message;
        auto &end = *message.mutable_call_end();
        *end.mutable_id() = id;
        end.set_outcome(static_cast<std::uint32_t>(CallOutcome::Unknown));
        end.set_failure(static_cast<std::uint32_t>(FailureReason::AnswerIncomplete));
        handlers_.send(to, message);
    }

    void list(const SendOrder &order)
    {
        auto models = std::make_shared<Reply>();
        const auto timeout = order.timeout;
        fetch(protocol_.listRequest(), timeout, models, [this, order, models, timeout](ExchangeEnd end) {
            if (end != ExchangeEnd::Complete) {
                listFailed(order, end);
                return;
            }
            auto metrics = std::make_shared<Reply>();
            fetch(protocol_.reportRequest(), timeout, metrics, [this, order, models, metrics](ExchangeEnd last) {
                const auto read = last == ExchangeEnd::Complete ? protocol_.parseList(models->body, metrics->body)
                                                                : std::optional<EngineList>();
                if (!read) {
                    listFailed(order, last);
                    return;
                }
                handlers_.onList(order.order, *read);
            });
        });
    }

    void listFailed(const SendOrder &order, ExchangeEnd end)
    {
        handlers_.onOrderDone(order.order, OrderOutcome::Failed); // a failed read leaves no effect in doubt
        if (end == ExchangeEnd::Unreachable) {
            handlers_.onUnreachable();
        }
    }

    void fetch(EndpointRequest request, Duration timeout, const std::shared_ptr<Reply> &reply,
               std::function<void(ExchangeEnd)> end)
    {
        request.maxAnswerBytes = maxReplyBytes;
        ExchangeHandlers exchangeHandlers;
        exchangeHandlers.head = [reply](const HttpResponseHead &head) { reply->status = head.status; };
        exchangeHandlers.data = [reply](const std::string &data) { reply->body.append(data); };
        exchangeHandlers.end = std::move(end);
        client_.start(request, timeout, std::move(exchangeHandlers));
    }

    EventLoop &loop_;
    const EndpointInit &init_;
    const Endpoint::Handlers &handlers_;
    Protocol protocol_;
    HttpClient client_;
    EndpointStats stats_;
    std::uint32_t runningCalls_ = 0;
    std::uint64_t lastReplayKey_ = 0;
    // Executions that are not yet released or fully delivered to their listeners, and replays.
    std::unordered_map<ExecutionHandle, Execution> executions_;
    std::function<void()> onIdle_; // set while a caller waits for executions_ to become empty
    TimerHandle reportTimer_;
};

} // namespace anvilscale
