// Runs calls, orders and reports of one endpoint in one event loop. The kind of endpoint is a template parameter.
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
        auto &run = addRun(key, init_.answerBytes);
        run.call = true;
        run.held = true;
        run.which = AdapterVersion{action.request.adapter(), action.request.version()};
        run.answer.addListener(AnswerListener{action.to, action.request.id(), action.request.credit_bytes(),
                                              action.request.stall_us(), false});
        ++running_;
        if (EventLoop::now() >= action.sendBefore) {
            onEnd(key, ExchangeEnd::Unreachable); // no byte was sent
            return;
        }
        ExchangeHandlers on;
        on.head = [this, key](const HttpResponseHead &head) { onHead(key, head); };
        on.data = [this, key](const std::string &data) { onData(key, data); };
        on.end = [this, key](ExchangeEnd end) { onEnd(key, end); };
        const auto exchange = client_.start(protocol_.call(action.request), Duration(0), std::move(on));
        run.exchange = exchange;
    }

    void attach(const AttachListener &action)
    {
        const auto found = runs_.find(action.execution);
        if (found == runs_.end()) {
            sendLost(action.to, action.id);
            return;
        }
        found->second.answer.addListener(AnswerListener{action.to, action.id, action.creditBytes, 0, false});
        pump(action.execution);
    }

    /// The end of the execution is known to whoever attaches listeners: no further one will come. Until then the
    /// answer of an ended execution is kept. Without that, a repeat which was attached while the end was on its way
    /// found nothing here, and its caller was told "outcome unknown" of a call that had been answered.
    void release(ExecutionHandle key)
    {
        if (const auto found = runs_.find(key); found != runs_.end()) {
            found->second.held = false;
            pump(key);
        }
    }

    void detach(const DetachListener &action)
    {
        if (const auto found = runs_.find(action.execution); found != runs_.end()) {
            found->second.answer.removeListener(action.id);
            pump(action.execution);
        }
    }

    void cancel(const CancelExecution &action)
    {
        const auto found = runs_.find(action.execution);
        if (found == runs_.end() || found->second.answer.ended()) {
            return;
        }
        ++stats_.cancels;
        found->second.cancelled = action.why;
        client_.cancel(found->second.exchange);
    }

    void replay(const ReplayAnswer &action)
    {
        // Replays have keys of their own, apart from those of executions.
        const ExecutionHandle key{++lastReplay_ | replayBit};
        const auto &kept = *action.answer;
        auto &run = addRun(key, kept.body.size());
        run.answer.setHead(kept.status, kept.headers);
        run.answer.append(kept.body);
        run.answer.finish(AnswerOutcome{kept.outcome, kept.failure, 0});
        const auto credit = std::max<std::uint64_t>(action.creditBytes, init_.windowBytes);
        run.answer.addListener(AnswerListener{action.to, action.id, credit, 0, true});
        pump(key);
    }

    void credit(PeerHandle peer, const wire::CallCredit &credit)
    {
        for (auto &[key, run] : runs_) {
            if (run.answer.addCredit(peer, credit.id(), credit.bytes())) {
                pump(key);
                return;
            }
        }
    }

    void listenerGone(PeerHandle /*peer*/, const wire::AttemptId &id)
    {
        dropListeners([&](AnswerBuffer &answer) { answer.removeListener(id); });
    }

    void peerLost(PeerHandle peer)
    {
        dropListeners([&](AnswerBuffer &answer) { answer.removePeer(peer); });
    }

    /// Calls `idle` once every answer has gone out whole to all its listeners.
    void whenIdle(std::function<void()> idle)
    {
        idle_ = std::move(idle);
        tellIdle();
    }

    void order(const SendOrder &order)
    {
        if (order.kind == OrderKind::List) {
            list(order);
            return;
        }
        auto reply = std::make_shared<Reply>();
        fetch(protocol_.order(order), order.timeout, reply, [this, order, reply](ExchangeEnd end) {
            if (end == ExchangeEnd::Unreachable) {
                handlers_.orderDone(order.order, OrderOutcome::Refused); // no byte was sent
                handlers_.lost();
                return;
            }
            const bool whole = end == ExchangeEnd::Complete;
            const auto outcome =
                whole ? protocol_.orderOutcome(order, reply->status, reply->body) : OrderOutcome::Unknown;
            handlers_.orderDone(order.order, outcome);
        });
    }

    void startReports()
    {
        auto reply = std::make_shared<Reply>();
        fetch(protocol_.reportRequest(), init_.reportInterval * reportTimeouts, reply, [this, reply](ExchangeEnd end) {
            const auto report =
                end == ExchangeEnd::Complete ? protocol_.readReport(reply->body) : std::optional<EngineReport>();
            if (report) {
                handlers_.report(*report);
            } else {
                ++stats_.reportFailures;
            }
            if (end == ExchangeEnd::Unreachable) {
                handlers_.lost();
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
        result.running = running_;
        for (const auto &[key, run] : runs_) {
            result.listeners += static_cast<std::uint32_t>(run.answer.listeners());
        }
        return result;
    }

private:
    struct Run
    {
        ExchangeId exchange = 0;
        bool call = false; // else a replay
        bool started = false;
        bool held = false; // until release(): a listener may still be on its way here
        FailureReason cancelled = FailureReason::CallerGone; // why, once it was
        AdapterVersion which;
        AnswerBuffer answer;
    };
    struct Reply
    {
        std::uint32_t status = 0;
        std::string body;
    };
    static constexpr std::uint64_t replayBit = 1ULL << 63;
    static constexpr int reportTimeouts = 4; // intervals
    static constexpr std::size_t replyLimit = 4U << 20;
    static constexpr Duration confirmInterval = Milliseconds(50);

    static HttpClientInit clientInit(const EndpointInit &init)
    {
        HttpClientInit result;
        result.address = init.address + ":" + std::to_string(init.port);
        result.connectTimeout = init.connectTimeout;
        result.cancelGrace = init.cancelGrace;
        return result;
    }

    Run &addRun(ExecutionHandle key, std::size_t keepBytes)
    {
        return runs_
            .insert_or_assign(
                key,
                Run{0, false, false, false, FailureReason::CallerGone, {}, AnswerBuffer(keepBytes, init_.windowBytes)})
            .first->second;
    }

    void onHead(ExecutionHandle key, const HttpResponseHead &head)
    {
        auto &run = runs_.at(key);
        HttpHeaders headers;
        for (const auto &header : head.headers) {
            if (!isHopByHop(header.first)) {
                headers.push_back(header);
            }
        }
        run.answer.setHead(head.status, std::move(headers));
        if (!std::exchange(run.started, true)) {
            handlers_.started(key);
        }
        run.answer.pump(handlers_.send);
    }

    void onData(ExecutionHandle key, const std::string &data)
    {
        auto &run = runs_.at(key);
        run.answer.append(data);
        pump(key);
    }

    void onEnd(ExecutionHandle key, ExchangeEnd end)
    {
        if (end == ExchangeEnd::CancelUnconfirmed) {
            ++stats_.unconfirmedCancels;
            confirmByList(key);
            return;
        }
        if (end == ExchangeEnd::Broken) {
            ++stats_.broken;
        }
        auto outcome = outcomeOf(end);
        if (outcome.outcome == CallOutcome::Cancelled) {
            outcome.failure = runs_.at(key).cancelled;
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
        case ExchangeEnd::CancelUnconfirmed:
        case ExchangeEnd::Count:
            break;
        }
        // Whether the endpoint goes on with the call is not known.
        return {CallOutcome::Unknown, FailureReason::EndpointCut, 0};
    }

    void finish(ExecutionHandle key, AnswerOutcome outcome)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end()) {
            return;
        }
        auto &run = found->second;
        --running_;
        KeptAnswer kept;
        kept.status = run.answer.status();
        kept.headers = run.answer.headers();
        outcome.tokens = protocol_.generatedTokens(run.answer.tail());
        auto whole = run.answer.whole();
        const bool tooLong = !whole;
        // A repeat cannot be given an answer that was not kept: for it, the outcome is not known.
        kept.outcome = tooLong && outcome.outcome == CallOutcome::Complete ? CallOutcome::Unknown : outcome.outcome;
        kept.failure =
            tooLong && outcome.failure == FailureReason::None ? FailureReason::AnswerIncomplete : outcome.failure;
        kept.body = std::move(whole).value_or(std::string());
        run.answer.finish(outcome);
        handlers_.ended(key, std::move(kept), outcome.tokens);
        pump(key);
    }

    // The connection was closed, but the engine has not closed its side. The call is over only when a list made
    // after the close shows none running on its adapter: until then its pin stays.
    void confirmByList(ExecutionHandle key)
    {
        auto reply = std::make_shared<Reply>();
        fetch(protocol_.reportRequest(), init_.reportInterval * reportTimeouts, reply,
              [this, key, reply](ExchangeEnd end) {
                  const auto found = runs_.find(key);
                  if (found == runs_.end()) {
                      return;
                  }
                  const auto list = end == ExchangeEnd::Complete ? protocol_.readList(R"({"data":[]})", reply->body)
                                                                 : std::optional<EngineList>();
                  const bool runs =
                      !list || std::any_of(list->running.begin(), list->running.end(), [&](const auto &entry) {
                          return entry.first == found->second.which;
                      });
                  if (!runs) {
                      finish(key, {CallOutcome::Cancelled, found->second.cancelled, 0});
                      return;
                  }
                  if (end == ExchangeEnd::Unreachable) {
                      finish(key, {CallOutcome::Unknown, FailureReason::EndpointCut, 0});
                      return;
                  }
                  loop_.timers().subscribe(EventLoop::now() + confirmInterval,
                                           [this, key](TimePoint) { confirmByList(key); });
              });
    }

    void tellIdle()
    {
        if (runs_.empty() && idle_) {
            std::exchange(idle_, nullptr)();
        }
    }

    void pump(ExecutionHandle key)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end()) {
            return;
        }
        auto &run = found->second;
        run.answer.pump(handlers_.send);
        if (run.answer.done() && !run.held) {
            runs_.erase(found);
            tellIdle();
            return;
        }
        if (!run.answer.ended() && run.exchange != 0) {
            client_.pause(run.exchange, run.answer.full());
        }
    }

    template<class Drop>
    void dropListeners(Drop drop)
    {
        std::vector<ExecutionHandle> ended;
        for (auto &[key, run] : runs_) {
            if (run.answer.ended()) {
                drop(run.answer);
                ended.push_back(key);
            }
        }
        for (const auto key : ended) {
            pump(key);
        }
    }

    void sendLost(PeerHandle to, const wire::AttemptId &id)
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
        const auto step = order.timeout;
        fetch(protocol_.listRequest(), step, models, [this, order, models, step](ExchangeEnd end) {
            if (end != ExchangeEnd::Complete) {
                listFailed(order, end);
                return;
            }
            auto metrics = std::make_shared<Reply>();
            fetch(protocol_.reportRequest(), step, metrics, [this, order, models, metrics](ExchangeEnd last) {
                const auto read = last == ExchangeEnd::Complete ? protocol_.readList(models->body, metrics->body)
                                                                : std::optional<EngineList>();
                if (!read) {
                    listFailed(order, last);
                    return;
                }
                handlers_.list(order.order, *read);
            });
        });
    }

    void listFailed(const SendOrder &order, ExchangeEnd end)
    {
        handlers_.orderDone(order.order, OrderOutcome::Failed); // reading has no effect that could be in doubt
        if (end == ExchangeEnd::Unreachable) {
            handlers_.lost();
        }
    }

    void fetch(const EndpointRequest &request, Duration timeout, const std::shared_ptr<Reply> &reply,
               std::function<void(ExchangeEnd)> end)
    {
        ExchangeHandlers on;
        on.head = [reply](const HttpResponseHead &head) { reply->status = head.status; };
        on.data = [reply](const std::string &data) {
            if (reply->body.size() + data.size() <= replyLimit) {
                reply->body.append(data);
            }
        };
        on.end = std::move(end);
        client_.start(request, timeout, std::move(on));
    }

    EventLoop &loop_;
    const EndpointInit &init_;
    const Endpoint::Handlers &handlers_;
    Protocol protocol_;
    HttpClient client_;
    EndpointStats stats_;
    std::uint32_t running_ = 0;
    std::uint64_t lastReplay_ = 0;
    // Executions whose answer has not gone to all listeners yet or that are not released yet, and replays.
    std::unordered_map<ExecutionHandle, Run> runs_;
    std::function<void()> idle_; // set while somebody waits for runs_ to be empty
    TimerHandle reportTimer_;
};

} // namespace anvilscale
