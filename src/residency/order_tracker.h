// Orders sent to the engine that have no reply yet.
#pragma once

#include "anvilscale/residency.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace anvilscale {

/// Order that waits for its reply.
struct OpenOrder
{
    OrderHandle handle;
    OrderKind kind = OrderKind::List;
    AdapterVersion adapterVersion;
    TimePoint sentAt;
    TimePoint replyDeadline; ///< the reply counts as lost from then on
};

/// Numbers the orders and tracks the open ones. Numbers only grow, so they also show whether a list was requested after
/// a given change.
class OrderTracker
{
public:
    OrderHandle open(OrderKind kind, const AdapterVersion &adapterVersion, TimePoint now, Duration replyTimeout)
    {
        const OrderHandle handle{++lastNumber_};
        openOrders_.push_back(OpenOrder{handle, kind, adapterVersion, now, now + replyTimeout});
        return handle;
    }
    /// Removes and returns the order. Returns none if it is not open, as for a duplicate or late reply.
    std::optional<OpenOrder> close(OrderHandle handle)
    {
        const auto it = std::ranges::find(openOrders_, handle, &OpenOrder::handle);
        if (it == openOrders_.end()) {
            return std::nullopt;
        }
        OpenOrder order = std::move(*it);
        openOrders_.erase(it);
        return order;
    }
    /// Like close(), but an answered list stays open until onEngineList delivers its content.
    std::optional<OpenOrder> closeUnlessListPending(OrderHandle handle, OrderOutcome outcome)
    {
        const auto it = std::ranges::find(openOrders_, handle, &OpenOrder::handle);
        const bool isAnswered = outcome == OrderOutcome::Done;
        if (it != openOrders_.end() && it->kind == OrderKind::List && isAnswered) {
            return std::nullopt;
        }
        return close(handle);
    }
    /// Returns an order whose reply is overdue, or null.
    const OpenOrder *findOverdue(TimePoint now) const
    {
        const auto it =
            std::ranges::find_if(openOrders_, [now](const auto &order) { return order.replyDeadline <= now; });
        return it == openOrders_.end() ? nullptr : &*it;
    }
    std::optional<TimePoint> nextReplyDeadline() const
    {
        const auto it = std::ranges::min_element(openOrders_, {}, &OpenOrder::replyDeadline);
        return it == openOrders_.end() ? std::nullopt : std::optional(it->replyDeadline);
    }
    bool has(OrderKind kind) const
    {
        return std::ranges::find(openOrders_, kind, &OpenOrder::kind) != openOrders_.end();
    }
    std::vector<OpenOrder> &openOrders()
    {
        return openOrders_;
    }
    std::uint64_t lastNumber() const
    {
        return lastNumber_;
    }

private:
    std::vector<OpenOrder> openOrders_; // at most one per adapter, one list and one fence
    std::uint64_t lastNumber_ = 0;
};

} // namespace anvilscale
