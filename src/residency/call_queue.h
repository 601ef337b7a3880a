// The calls that wait at one sidecar. Bounded; the order of service is a policy type, so that several can be measured
// on the same machine.
#pragma once

#include "listener.h"

#include "anvilscale/residency.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <list>
#include <optional>
#include <tuple>
#include <vector>

namespace anvilscale {

struct WaitingCall
{
    std::uint64_t number = 0; ///< order of arrival
    ExecutionHandle execution;
    wire::CallRequest request;
    std::vector<Listener> listeners;
    AdapterVersion which; ///< empty for a plain service and for the base model
    CallClass callClass = CallClass::Normal;
    TimePoint arrived;
    TimePoint deadline;
    std::uint64_t fingerprint = 0;
    std::uint64_t caller = 0;
    bool atMostOnce = false;
    std::uint64_t slotFence = 0; ///< atMostOnce: under which the slot was owned at admission
    bool waitedForAdapter = false;
    // Set exactly while nobody listens: the place in the queue is kept until then for a repeat.
    std::optional<TimePoint> dropAt;
};

/// Gives each waiting call a rank; the smallest goes first. `overShare` tells that the call's caller already has more
/// than its fair share of the running calls.
template<class Order>
concept QueueOrder = requires(const Order &order, const WaitingCall &call, bool overShare, TimePoint now)
{
    {
        order.rank(call, overShare, now)
        } -> std::totally_ordered;
};

/// Class after promotion: a call moves up one class for each `starvationBound` it has waited, so that a steady
/// stream of urgent calls can't hold a bulk call for ever.
inline int promotedClass(const WaitingCall &call, Duration starvationBound, TimePoint now)
{
    const auto steps = (now - call.arrived) / starvationBound;
    return static_cast<int>(call.callClass) - static_cast<int>(std::min<std::int64_t>(steps, enumCount<CallClass>));
}

/// By class, then fairness over callers, then the nearest deadline.
struct DeadlineOrder
{
    Duration starvationBound = Seconds(5);
    std::tuple<int, bool, TimePoint, std::uint64_t> rank(const WaitingCall &call, bool overShare, TimePoint now) const
    {
        return {promotedClass(call, starvationBound, now), overShare, call.deadline, call.number};
    }
};

/// By class, then fairness, then the newest: under overload the oldest attempts belong to callers about to leave
/// (Zhang and Wang, "Four Executions per Call, None Delivered").
struct NewestFirstOrder
{
    Duration starvationBound = Seconds(5);
    std::tuple<int, bool, std::int64_t> rank(const WaitingCall &call, bool overShare, TimePoint now) const
    {
        return {promotedClass(call, starvationBound, now), overShare, -static_cast<std::int64_t>(call.number)};
    }
};

/// By class, then order of arrival.
struct ArrivalOrder
{
    Duration starvationBound = Seconds(5);
    std::tuple<int, std::uint64_t> rank(const WaitingCall &call, bool /*overShare*/, TimePoint now) const
    {
        return {promotedClass(call, starvationBound, now), call.number};
    }
};

static_assert(QueueOrder<DeadlineOrder> && QueueOrder<NewestFirstOrder> && QueueOrder<ArrivalOrder>);

class CallQueue
{
public:
    using Calls = std::list<WaitingCall>;
    using Place = Calls::iterator;

    WaitingCall &push(WaitingCall call)
    {
        call.number = ++last_;
        calls_.push_back(std::move(call));
        return calls_.back();
    }
    WaitingCall take(Place place)
    {
        WaitingCall call = std::move(*place);
        calls_.erase(place);
        return call;
    }
    Calls &calls()
    {
        return calls_;
    }
    const Calls &calls() const
    {
        return calls_;
    }
    std::size_t size() const
    {
        return calls_.size();
    }
    /// The call that is served next among those that `mayStart`; end() if there is none.
    template<QueueOrder Order, class MayStart, class OverShare>
    Place best(const Order &order, TimePoint now, MayStart mayStart, OverShare overShare)
    {
        Place chosen = calls_.end();
        for (auto place = calls_.begin(); place != calls_.end(); ++place) {
            if (!mayStart(*place)) {
                continue;
            }
            if (chosen == calls_.end()
                || order.rank(*place, overShare(*place), now) < order.rank(*chosen, overShare(*chosen), now)) {
                chosen = place;
            }
        }
        return chosen;
    }
    /// The call that would be served last among those that `match`; end() if there is none.
    template<QueueOrder Order, class Match, class OverShare>
    Place worst(const Order &order, TimePoint now, Match match, OverShare overShare)
    {
        Place chosen = calls_.end();
        for (auto place = calls_.begin(); place != calls_.end(); ++place) {
            if (!match(*place)) {
                continue;
            }
            if (chosen == calls_.end()
                || order.rank(*chosen, overShare(*chosen), now) < order.rank(*place, overShare(*place), now)) {
                chosen = place;
            }
        }
        return chosen;
    }
    /// Earliest time at which a call's deadline or drop time is reached.
    std::optional<TimePoint> next() const
    {
        std::optional<TimePoint> earliest;
        for (const auto &call : calls_) {
            const TimePoint due = call.dropAt ? std::min(*call.dropAt, call.deadline) : call.deadline;
            earliest = earliest ? std::min(*earliest, due) : due;
        }
        return earliest;
    }

private:
    Calls calls_;
    std::uint64_t last_ = 0;
};

} // namespace anvilscale
