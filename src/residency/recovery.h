// How a new sidecar takes over a running engine. The predecessor's calls may still run and its orders may still land;
// nothing is admitted, loaded or evicted before both are known to be bounded.
//
//   Listing -> Fencing -> Confirming -> Done      endpoint checks fencing numbers
//   Listing -> Waiting -> Confirming -> Done      endpoint ignores them: the longest order is waited out
//
// A restart of the engine ends all earlier orders with it (they were sent to a process that is gone), so that only a
// new list is needed.
#pragma once

#include "anvilscale/residency.h"

#include <algorithm>
#include <optional>

namespace anvilscale {

enum class RecoveryPhase : std::uint8_t {
    NotStarted,
    Listing,
    Fencing,
    Waiting,
    Confirming,
    Done,
    Count
};
template<>
struct EnumNames<RecoveryPhase>
{
    static constexpr std::array<std::string_view, enumCount<RecoveryPhase>> table{
        "not_started", "listing", "fencing", "waiting", "confirming", "done"};
};

class Recovery
{
public:
    struct Rules
    {
        bool endpointChecksFence = true;
        bool waitOutOrders = true; ///< Safeguards::recoveryWait
        bool fence = true; ///< Safeguards::fenceCheck
        Duration orderTimeout{};
        std::uint64_t incarnation = 0;
    };

    explicit Recovery(Rules rules)
        : rules_(rules)
        , fence_(rules.incarnation)
    {
    }
    void start(TimePoint now)
    {
        startedAt_ = now;
        phase_ = RecoveryPhase::Listing;
    }
    /// A plain service keeps nothing between calls.
    void skip()
    {
        phase_ = RecoveryPhase::Done;
    }
    bool done() const
    {
        return phase_ == RecoveryPhase::Done;
    }
    RecoveryPhase phase() const
    {
        return phase_;
    }
    TimePoint startedAt() const
    {
        return startedAt_;
    }
    /// Number carried by every order of this sidecar.
    std::uint64_t fence() const
    {
        return fence_;
    }
    /// The order that recovery needs next.
    std::optional<OrderKind> wanted() const
    {
        switch (phase_) {
        case RecoveryPhase::Listing:
        case RecoveryPhase::Confirming:
            return OrderKind::List;
        case RecoveryPhase::Fencing:
            return OrderKind::Fence;
        default:
            return std::nullopt;
        }
    }
    /// End of the wait for the predecessor's orders.
    std::optional<TimePoint> waitsUntil() const
    {
        return phase_ == RecoveryPhase::Waiting ? std::optional(startedAt_ + rules_.orderTimeout) : std::nullopt;
    }
    void advance(TimePoint now)
    {
        if (phase_ == RecoveryPhase::Waiting && startedAt_ + rules_.orderTimeout <= now) {
            phase_ = RecoveryPhase::Confirming;
        }
    }
    /// True if the list is the one that ends recovery.
    bool onList(const EngineList &list, bool askedInThisPhase)
    {
        // Incarnations grow, but a clock that was set back may have given a predecessor a larger number. The engine
        // tells the largest that it has seen; the port that this process holds proves that no newer sidecar lives.
        // An equal number is our own, from an earlier order. A number is not raised without need: a raised one could
        // be as large as a successor's incarnation, and an engine that restarts forgets what it has seen.
        if (phase_ == RecoveryPhase::Listing) {
            fence_ = list.highestFence <= rules_.incarnation ? rules_.incarnation : list.highestFence + 1;
            phase_ = afterListing();
            return false;
        }
        if (phase_ != RecoveryPhase::Confirming || !askedInThisPhase) {
            return false;
        }
        phase_ = RecoveryPhase::Done;
        return true;
    }
    void onFence(OrderOutcome outcome)
    {
        if (phase_ != RecoveryPhase::Fencing) {
            return;
        }
        if (outcome == OrderOutcome::Done) {
            phase_ = RecoveryPhase::Confirming;
        }
        if (outcome == OrderOutcome::FencedOff) {
            phase_ = RecoveryPhase::Listing;
        }
    }
    void onEngineRestarted()
    {
        if (phase_ == RecoveryPhase::Waiting || phase_ == RecoveryPhase::Done) {
            phase_ = RecoveryPhase::Confirming;
        }
    }

private:
    RecoveryPhase afterListing() const
    {
        if (rules_.endpointChecksFence) {
            return rules_.fence ? RecoveryPhase::Fencing : RecoveryPhase::Confirming;
        }
        return rules_.waitOutOrders ? RecoveryPhase::Waiting : RecoveryPhase::Confirming;
    }

    Rules rules_;
    RecoveryPhase phase_ = RecoveryPhase::NotStarted;
    TimePoint startedAt_;
    std::uint64_t fence_;
};

} // namespace anvilscale
