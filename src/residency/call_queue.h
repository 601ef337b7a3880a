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
#include <variant>
#include <vector>

namespace anvilscale {

struct AdapterRecord;

struct WaitingCall
{
    std::uint64_t number = 0; ///< order of arrival
    ExecutionHandle execution;
    wire::CallRequest request;
    std::vector<Listener> listeners;
    AdapterVersion which; ///< empty for a plain service and for the base model
    AdapterRecord *record = nullptr; ///< of `which`; kept by the table while calls wait
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

using AnyQueueOrder = std::variant<DeadlineOrder, NewestFirstOrder, ArrivalOrder>;

inline AnyQueueOrder makeQueueOrder(QueuePolicy policy, Duration starvationBound)
{
    switch (policy) {
    case QueuePolicy::NewestFirst:
        return NewestFirstOrder{starvationBound};
    case QueuePolicy::Arrival:
        return ArrivalOrder{starvationBound};
    default:
        return DeadlineOrder{starvationBound};
    }
}

class CallQueue
{
public:
    using Calls = std::list<WaitingCall>;
    using Place = Calls::iterator;

    WaitingCall &push(WaitingCall call)
    {
        call.number = ++last_;
        noteDue(call.deadline);
        calls_.push_back(std::move(call));
        return calls_.back();
    }
    WaitingCall take(Place place)
    {
        WaitingCall call = std::move(*place);
        calls_.erase(place);
        return call;
    }
    /// In order of arrival.
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
        return first(order, now, mayStart, overShare, [](const auto &a, const auto &b) { return a < b; });
    }
    /// The call that would be served last among those that `match`; end() if there is none.
    template<QueueOrder Order, class Match, class OverShare>
    Place worst(const Order &order, TimePoint now, Match match, OverShare overShare)
    {
        return first(order, now, match, overShare, [](const auto &a, const auto &b) { return b < a; });
    }
    /// A call waits without a listener: it is looked at again at `due`.
    void noteDue(TimePoint due)
    {
        nextDue_ = std::min(nextDue_, due);
    }
    /// No call's deadline or drop time is reached earlier. May be too early, after a call was taken.
    std::optional<TimePoint> next() const
    {
        return calls_.empty() ? std::nullopt : std::optional(nextDue_);
    }
    /// Makes next() exact; to be called when it is reached.
    void refreshNext()
    {
        nextDue_ = TimePoint::max();
        for (const auto &call : calls_) {
            noteDue(call.dropAt ? std::min(*call.dropAt, call.deadline) : call.deadline);
        }
    }

private:
    template<class Order, class Match, class OverShare, class Before>
    Place first(const Order &order, TimePoint now, Match match, OverShare overShare, Before before)
    {
        using Rank = decltype(order.rank(calls_.front(), false, now));
        Place chosen = calls_.end();
        std::optional<Rank> chosenRank;
        for (auto place = calls_.begin(); place != calls_.end(); ++place) {
            if (!match(*place)) {
                continue;
            }
            Rank rank = order.rank(*place, overShare(*place), now);
            if (!chosenRank || before(rank, *chosenRank)) {
                chosen = place;
                chosenRank = std::move(rank);
            }
        }
        return chosen;
    }

    Calls calls_;
    std::uint64_t last_ = 0;
    TimePoint nextDue_ = TimePoint::max(); // not later than any call's deadline or drop time
};

} // namespace anvilscale
