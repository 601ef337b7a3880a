// Queue of the calls that wait at a sidecar, and the policies for the order in which they are served.
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

/// Admitted call that has not been sent to the endpoint.
struct WaitingCall
{
    std::uint64_t sequence = 0; ///< increases in order of arrival
    ExecutionHandle execution;
    wire::CallRequest request;
    std::vector<Listener> listeners;
    AdapterVersion adapterVersion; ///< empty for a plain service and for the base model
    AdapterRecord *record = nullptr; ///< record of `adapterVersion`; the table keeps it while calls wait
    CallClass callClass = CallClass::Normal;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::uint64_t fingerprint = 0;
    std::uint64_t caller = 0;
    bool isAtMostOnce = false;
    std::uint64_t slotFence = 0; ///< fencing number of the slot at admission, if isAtMostOnce
    bool hasWaitedForAdapter = false;
    // Set exactly while there are no listeners: the call keeps its position for a repeat until then.
    std::optional<TimePoint> dropAt;
};

/// Ranks waiting calls; the smallest rank is served first. `overShare` is true if the caller already exceeds its fair
/// share of the running calls.
template<class Order>
concept QueueOrder = requires(const Order &order, const WaitingCall &call, bool isOverShare, TimePoint now)
{
    {
        order.rank(call, isOverShare, now)
        } -> std::totally_ordered;
};

/// Class after promotion by one for each `starvationBound` waited. Prevents a steady stream of urgent calls from
/// starving bulk calls.
inline int promotedClass(const WaitingCall &call, Duration starvationBound, TimePoint now)
{
    const auto steps = (now - call.arrivedAt) / starvationBound;
    return static_cast<int>(call.callClass) - static_cast<int>(std::min<std::int64_t>(steps, enumCount<CallClass>));
}

/// Orders by class, then fairness between callers, then earliest deadline.
struct DeadlineOrder
{
    Duration starvationBound = Seconds(5);
    std::tuple<int, bool, TimePoint, std::uint64_t> rank(const WaitingCall &call, bool isOverShare, TimePoint now) const
    {
        return {promotedClass(call, starvationBound, now), isOverShare, call.deadline, call.sequence};
    }
};

/// Orders by class, then fairness, then newest first: under overload the callers of the oldest attempts are about to
/// time out (Zhang and Wang, "Four Executions per Call, None Delivered").
struct NewestFirstOrder
{
    Duration starvationBound = Seconds(5);
    std::tuple<int, bool, std::int64_t> rank(const WaitingCall &call, bool isOverShare, TimePoint now) const
    {
        return {promotedClass(call, starvationBound, now), isOverShare, -static_cast<std::int64_t>(call.sequence)};
    }
};

/// Orders by class, then by arrival.
struct ArrivalOrder
{
    Duration starvationBound = Seconds(5);
    std::tuple<int, std::uint64_t> rank(const WaitingCall &call, bool /*overShare*/, TimePoint now) const
    {
        return {promotedClass(call, starvationBound, now), call.sequence};
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

/// Waiting calls in order of arrival, with the time at which the next one must be checked.
class CallQueue
{
public:
    using Calls = std::list<WaitingCall>;
    using Iterator = Calls::iterator;

    WaitingCall &push(WaitingCall call)
    {
        call.sequence = ++lastSequence_;
        scheduleCheck(call.deadline);
        calls_.push_back(std::move(call));
        return calls_.back();
    }
    WaitingCall remove(Iterator it)
    {
        WaitingCall call = std::move(*it);
        calls_.erase(it);
        return call;
    }
    /// Returns the calls in order of arrival.
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
    /// Returns the call to serve next among those that satisfy `mayStart`, or end().
    template<QueueOrder Order, class MayStart, class OverShare>
    Iterator findFirst(const Order &order, TimePoint now, MayStart mayStart, OverShare isOverShare)
    {
        return select(order, now, mayStart, isOverShare, [](const auto &a, const auto &b) { return a < b; });
    }
    /// Returns the call that would be served last among those that satisfy `match`, or end().
    template<QueueOrder Order, class Match, class OverShare>
    Iterator findLast(const Order &order, TimePoint now, Match match, OverShare isOverShare)
    {
        return select(order, now, match, isOverShare, [](const auto &a, const auto &b) { return b < a; });
    }
    /// Requests a check of the queue at `due`, as for a call without listeners.
    void scheduleCheck(TimePoint due)
    {
        nextCheckAt_ = std::min(nextCheckAt_, due);
    }
    /// Lower bound on the next deadline or drop time. May be too early after a call was removed.
    std::optional<TimePoint> nextCheckAt() const
    {
        return calls_.empty() ? std::nullopt : std::optional(nextCheckAt_);
    }
    /// Makes nextCheckAt() exact. Call it when that time is reached.
    void recomputeNextCheck()
    {
        nextCheckAt_ = TimePoint::max();
        for (const auto &call : calls_) {
            scheduleCheck(call.dropAt ? std::min(*call.dropAt, call.deadline) : call.deadline);
        }
    }

private:
    template<class Order, class Match, class OverShare, class Before>
    Iterator select(const Order &order, TimePoint now, Match match, OverShare isOverShare, Before before)
    {
        using Rank = decltype(order.rank(calls_.front(), false, now));
        Iterator selected = calls_.end();
        std::optional<Rank> selectedRank;
        for (auto it = calls_.begin(); it != calls_.end(); ++it) {
            if (!match(*it)) {
                continue;
            }
            Rank rank = order.rank(*it, isOverShare(*it), now);
            if (!selectedRank || before(rank, *selectedRank)) {
                selected = it;
                selectedRank = std::move(rank);
            }
        }
        return selected;
    }

    Calls calls_;
    std::uint64_t lastSequence_ = 0;
    TimePoint nextCheckAt_ = TimePoint::max(); // lower bound on all deadlines and drop times
};

} // namespace anvilscale
