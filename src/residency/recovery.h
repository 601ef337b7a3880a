// Recovery state machine of a new sidecar that adopts a running engine. Calls of the predecessor may still run and its
// orders may still take effect: nothing is admitted, loaded or evicted before both are bounded.
//
// Listing -> Fencing -> Confirming -> Done      the endpoint checks fencing numbers
// Listing -> Waiting -> Confirming -> Done      it ignores them: the longest order is waited out
//
// A restart of the engine ends all earlier orders with it, so that only a new list is needed.
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

/// Prevents admissions, loads and evictions while a predecessor's orders may still take effect and until a list shows
/// which of its calls still run.
///
///   Listing -> Fencing -> Confirming -> Done      the endpoint checks fencing numbers
///   Listing -> Waiting -> Confirming -> Done      it does not: waits for the maximum duration of an order
///
/// Orders sent before an engine restart have no effect on the new engine process, so a restart only needs a new list.
class Recovery
{
public:
    struct Rules
    {
        bool endpointChecksFence = true;
        bool waitOutOrders = true; ///< Safeguards::recoveryWait
        bool fencePredecessor = true; ///< Safeguards::fenceCheck
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
    /// Ends recovery at once. For a plain service, which keeps no state between calls.
    void skip()
    {
        phase_ = RecoveryPhase::Done;
    }
    bool isDone() const
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
    /// Fencing number for all orders of this sidecar.
    std::uint64_t fence() const
    {
        return fence_;
    }
    /// Returns the order that recovery must send next, or none.
    std::optional<OrderKind> requiredOrder() const
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
    /// Returns the end of the wait for the predecessor's orders, or none outside Waiting.
    std::optional<TimePoint> waitDeadline() const
    {
        return phase_ == RecoveryPhase::Waiting ? std::optional(startedAt_ + rules_.orderTimeout) : std::nullopt;
    }
    void advance(TimePoint now)
    {
        if (phase_ == RecoveryPhase::Waiting && startedAt_ + rules_.orderTimeout <= now) {
            phase_ = RecoveryPhase::Confirming;
        }
    }
    /// Returns true if this list ends recovery.
    bool onList(const EngineList &list, bool isRequestedInPhase)
    {
        // A predecessor may have used a larger number if the clock was set back. The engine reports the largest number
        // received; this process holds the listening port, so no newer sidecar is running. An equal number comes from
        // an earlier order of this process and is not raised, because a raised number could collide with a successor's
        // incarnation after an engine restart.
        if (phase_ == RecoveryPhase::Listing) {
            fence_ = list.highestFence <= rules_.incarnation ? rules_.incarnation : list.highestFence + 1;
            phase_ = phaseAfterListing();
            return false;
        }
        if (phase_ != RecoveryPhase::Confirming || !isRequestedInPhase) {
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
    RecoveryPhase phaseAfterListing() const
    {
        if (rules_.endpointChecksFence) {
            return rules_.fencePredecessor ? RecoveryPhase::Fencing : RecoveryPhase::Confirming;
        }
        return rules_.waitOutOrders ? RecoveryPhase::Waiting : RecoveryPhase::Confirming;
    }

    Rules rules_;
    RecoveryPhase phase_ = RecoveryPhase::NotStarted;
    TimePoint startedAt_;
    std::uint64_t fence_;
};

} // namespace anvilscale
