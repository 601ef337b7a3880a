// Internal state of the controller of one engine.
#pragma once

#include "load_times.h"

#include "anvilscale/direct.h"

namespace anvilscale {

struct AdapterController::Impl
{
    using AdapterKey = std::pair<std::string, std::string>; // model, adapter
    struct AdapterDemand
    {
        std::uint32_t waiting = 0;
        std::uint32_t inTime = 0; // number of waiting calls that can meet their objective; invariant: at most waiting
        std::uint32_t running = 0;
        std::uint32_t minVersion = 0;
    };
    struct Usage
    {
        TimePoint lastUsedAt{};
        double callRate = 0; // exponentially decayed number of started calls
    };
    struct LostOrder
    {
        EngineOrder order;
        TimePoint sentAt{};
    };
    /// What an engine holds, or what orders add to that.
    struct EngineLoad
    {
        std::uint64_t slots = 0;
        double mb = 0;

        void raiseTo(const EngineLoad &other);
        bool operator==(const EngineLoad &) const = default;
    };
    using LoadsBySequence = std::map<std::uint64_t, EngineLoad>;
    struct PromptTokens
    {
        std::uint64_t unread = 0; // in progress at the engine
        std::uint64_t waiting = 0; // of calls waiting for their adapters
    };

    // Demand of entries.
    void applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now);
    void applyIncarnation(const std::string &id);
    void recordUse(const AdapterKey &key, std::uint32_t starts, TimePoint now);
    AdapterDemand totalDemand(const AdapterKey &key) const;
    /// Recent calls, rounded down to a power of two; 0 for few, whose number changes too often to be reported.
    std::uint32_t recentCalls(const AdapterKey &key, TimePoint now) const;
    PromptTokens totalPromptTokens() const;

    // Reported engine state.
    void applyReport(const EngineStateReport &report, TimePoint now);
    void onRestart(TimePoint now);
    void recordLoads(const EngineStateReport &report, TimePoint now);
    const HeldAdapter *findHeld(const AdapterKey &key) const;
    bool isPending(const AdapterKey &key) const;
    bool hasModel(const std::string &model) const;
    EngineLoad heldLoad() const;
    const wire::EngineModel *findModelSize(const std::string &model) const;

    // Orders.
    std::optional<EngineOrder> nextOrder(TimePoint now);
    std::optional<EngineOrder> selectOrder(const AdapterKey &key, const AdapterDemand &demand, TimePoint now);
    std::optional<AdapterKey> selectVictim(const AdapterKey &wanted, TimePoint now) const;
    EngineOrder makeOrder(EngineOrderKind kind, const AdapterKey &key);
    void onOrderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation, TimePoint now);
    void onOrderAccepted(const EngineOrder &order, TimePoint now);
    std::size_t maxConcurrentLoads() const;
    Duration orderTimeout() const;

    // Limits of the engine.
    void onOrderLost(const EngineOrder &order, TimePoint now);
    bool isWithinLimits(const EngineLoad &load) const;
    EngineLoad loadOf(const EngineOrder &order) const;
    bool isHeldOrPending(const EngineOrder &order) const;
    EngineLoad loadAfter(const EngineOrder &order) const;
    LoadsBySequence lostLoadsAfter(const EngineOrder &order, TimePoint now) const;
    bool staysWithinLimits(const EngineOrder &order, TimePoint now) const;
    bool fitsAfterRestart(const EngineOrder &order, TimePoint now) const;
    /// True if the engine stays within its limits whether or not it accepts the order, and later the lost ones.
    bool isSafe(const EngineOrder &order, TimePoint now) const;

    // State for the entries.
    wire::DirectState state(TimePoint now) const;
    void addAdapters(wire::DirectState &state, TimePoint now) const;
    /// Adapters that calls wait for and that are not being loaded; true if one of the calls can meet its objective.
    std::map<AdapterKey, bool> findAwaitedAdapters() const;
    void addLoadsAhead(wire::DirectState &state) const;
    void addLoadTimes(wire::DirectState &state) const;

    DirectPolicy policy;
    std::uint64_t fencingNumber = 0; // 0 if none: no order is sent
    bool isFencingUnavailable = false; // none could be had since it was needed; invariant: false while there is one
    std::string endpointId; // of the engine's current incarnation, as far as known
    // Incarnation whose last report said that it is leaving; its successor may be known before it has reported.
    std::string leavingId;
    std::string rejectedId; // refused by the engine as another incarnation; no order is sent under it
    std::string reportedId; // last one named by an entry
    wire::EnginePlan plan;
    std::map<PeerHandle, std::map<AdapterKey, AdapterDemand>> demands; // last demand of each entry
    std::map<PeerHandle, PromptTokens> promptTokens; // of each entry
    std::set<PeerHandle> visitors; // entries that are connected for some calls only
    std::map<AdapterKey, Usage> usages;
    std::optional<EngineStateReport> report;
    bool isReachable = false;
    std::optional<EngineOrder> pendingOrder; // invariant: no other order is sent meanwhile
    TimePoint orderSentAt{}; // of the pending order
    RecentSamples answerTimesMs{32}; // answer times of orders
    std::optional<EngineOrder> unconfirmedOrder; // accepted, but not yet visible in a report
    std::vector<LostOrder> lostOrders; // without an answer; the engine may apply them seconds later
    TimePoint nextOrderAt{}; // backoff after a failed order
    LoadTimes loadTimes;
    std::uint64_t lastOrderId = 0;
    std::uint64_t revision = 0;
    std::uint64_t engineRestarts = 0;
    Counters<EngineOrderResult> results;
};

} // namespace anvilscale
