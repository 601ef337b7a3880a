// Orders given to the engine whose reply has not come. Order numbers only grow, so that they also tell whether a
// list was asked for after some change.
#pragma once

#include "anvilscale/residency.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace anvilscale {

struct OpenOrder
{
    OrderHandle handle;
    OrderKind kind = OrderKind::List;
    AdapterVersion which;
    TimePoint sentAt;
    TimePoint replyUntil; ///< a reply that has not come by then is lost
};

class OrderBook
{
public:
    OrderHandle open(OrderKind kind, const AdapterVersion &which, TimePoint now, Duration patience)
    {
        const OrderHandle handle{++last_};
        open_.push_back(OpenOrder{handle, kind, which, now, now + patience});
        return handle;
    }
    /// Takes the order out; none if it is not open (a reply that came twice, or after it was given up).
    std::optional<OpenOrder> close(OrderHandle handle)
    {
        const auto place = std::ranges::find(open_, handle, &OpenOrder::handle);
        if (place == open_.end()) {
            return std::nullopt;
        }
        OpenOrder order = std::move(*place);
        open_.erase(place);
        return order;
    }
    /// As close(), but a list that was answered stays open until its content comes by itself.
    std::optional<OpenOrder> closeUnlessAnswered(OrderHandle handle, OrderOutcome outcome)
    {
        const auto place = std::ranges::find(open_, handle, &OpenOrder::handle);
        const bool answered = outcome == OrderOutcome::Done;
        if (place != open_.end() && place->kind == OrderKind::List && answered) {
            return std::nullopt;
        }
        return close(handle);
    }
    /// An order whose reply is overdue, if any.
    const OpenOrder *overdue(TimePoint now) const
    {
        const auto place = std::ranges::find_if(open_, [now](const auto &order) { return order.replyUntil <= now; });
        return place == open_.end() ? nullptr : &*place;
    }
    std::optional<TimePoint> next() const
    {
        const auto place = std::ranges::min_element(open_, {}, &OpenOrder::replyUntil);
        return place == open_.end() ? std::nullopt : std::optional(place->replyUntil);
    }
    bool has(OrderKind kind) const
    {
        return std::ranges::find(open_, kind, &OpenOrder::kind) != open_.end();
    }
    std::vector<OpenOrder> &all()
    {
        return open_;
    }
    std::uint64_t lastNumber() const
    {
        return last_;
    }

private:
    std::vector<OpenOrder> open_; // at most one for each adapter, one list and one fence
    std::uint64_t last_ = 0;
};

} // namespace anvilscale
