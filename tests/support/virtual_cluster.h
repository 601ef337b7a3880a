// Virtual time and a key-value service for tests of state machines, with faults injected by a rule of the test.
#pragma once

#include "memory_kv.h"

#include <deque>

namespace anvilscale::test {

/// Fault injected into one key-value request.
enum class KvFault : std::uint8_t {
    None,
    Down, ///< the request has no effect; the reply is Unavailable
    LostRequest, ///< the request has no effect; the reply is Unknown
    LostReply, ///< the request takes effect; the reply is Unknown
    Count
};

/// Clock, timers and key-value service shared by the components of one test.
class VirtualCluster
{
public:
    using OnReply = std::function<void(const KvReply &, Now)>;
    using Rule = std::function<KvFault(const KvRequest &)>;

    TimerService timers;
    MemoryKv kv;
    Rule faultRule; ///< called for each request; no faults if empty
    std::uint64_t requests = 0;
    Duration delay = Milliseconds(1); ///< from a request to its reply

    Now now() const
    {
        return Now{time_,
                   WallTime{wallStart + std::chrono::duration_cast<Milliseconds>(time_.time_since_epoch()).count()}};
    }
    /// Returns the submit function of one component. Its replies go to `onReply`.
    std::function<void(KvRequest)> makeClient(OnReply onReply)
    {
        return [this, onReply = std::move(onReply)](const KvRequest &request) { handleRequest(request, onReply); };
    }
    void later(Duration wait, std::function<void(Now)> what)
    {
        timers.subscribe(time_ + wait, [this, what = std::move(what)](TimePoint) { what(now()); });
    }
    /// Advances the clock by `span`, running all timers that are due.
    void run(Duration span)
    {
        const TimePoint end = time_ + span;
        for (auto next = timers.next(); next && *next <= end; next = timers.next()) {
            time_ = std::max(time_, *next);
            timers.advance(time_);
        }
        time_ = end;
        kv.expire(time_);
    }
    /// Runs until `done` returns true, at most for `limit`. Returns the last result of `done`.
    bool runUntil(Duration limit, const std::function<bool()> &done)
    {
        const TimePoint end = time_ + limit;
        while (!done() && time_ < end) {
            run(Milliseconds(5));
        }
        return done();
    }

private:
    static constexpr std::int64_t wallStart = 1'764'700'000'000;

    void handleRequest(const KvRequest &request, const OnReply &onReply)
    {
        ++requests;
        const KvFault fault = faultRule ? faultRule(request) : KvFault::None;
        const auto sendReply = [this, onReply](KvReply reply) {
            later(delay, [onReply, reply = std::move(reply)](Now at) { onReply(reply, at); });
        };
        KvReply reply;
        reply.id = request.id;
        if (fault == KvFault::Down) {
            reply.status = KvStatus::Unavailable;
        } else if (fault == KvFault::LostRequest) {
            reply.status = KvStatus::Unknown;
        } else {
            reply = kv.apply(request, time_, sendReply);
            if (fault == KvFault::LostReply) {
                reply = KvReply{};
                reply.id = request.id;
                reply.status = KvStatus::Unknown;
            }
        }
        if (request.op != KvOp::WatchCancel) {
            sendReply(std::move(reply));
        }
    }

    TimePoint time_{Seconds(1000)};
};

} // namespace anvilscale::test
