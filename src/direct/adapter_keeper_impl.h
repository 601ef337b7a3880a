// Internal state of the controller of one engine.
#pragma once

#include "load_times.h"

#include "anvilscale/direct.h"

namespace anvilscale {

struct AdapterKeeper::Impl
{
    using AdapterKey = std::pair<std::string, std::string>; // model, adapter
    struct Wish
    {
        std::uint32_t waiting = 0;
        std::uint32_t inTime = 0; // number of waiting calls that can meet their objective; invariant: at most waiting
        std::uint32_t running = 0;
        std::uint32_t leastVersion = 0;
    };
    struct Use
    {
        TimePoint last{};
        double rate = 0; // exponentially decayed number of started calls
    };
    struct LostLoad
    {
        std::uint64_t expected = 0;
        TimePoint sentAt{};
        bool ofEarlierStart = false; // the engine has restarted since
    };
    struct PromptTokens
    {
        std::uint64_t unread = 0; // in progress at the engine
        std::uint64_t waiting = 0; // of calls waiting for their adapters
    };

    // Demand of entries.
    void applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now);
    void takeIncarnation(const std::string &id);
    void touch(const AdapterKey &key, std::uint32_t starts, TimePoint now);
    Wish wishFor(const AdapterKey &key) const;
    /// Recent calls, rounded down to a power of two; 0 for few, whose number changes too often to be reported.
    std::uint32_t recentCalls(const AdapterKey &key, TimePoint now) const;
    PromptTokens promptTokens() const;

    // Reported engine state.
    void applyReport(const EngineStateReport &report, TimePoint now);
    void onRestart(TimePoint now);
    void noteLoads(const EngineStateReport &report, TimePoint now);
    const HeldAdapter *held(const AdapterKey &key) const;
    bool isPending(const AdapterKey &key) const;
    bool hasModel(const std::string &model) const;
    double usedMb() const;
    const wire::EngineModel *sizeOf(const std::string &model) const;

    // Orders.
    std::optional<EngineOrder> nextOrder(TimePoint now);
    std::optional<EngineOrder> orderFor(const AdapterKey &key, const Wish &wish, TimePoint now);
    std::optional<AdapterKey> victim(TimePoint now) const;
    EngineOrder makeOrder(EngineOrderKind kind, const AdapterKey &key);
    void orderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation, TimePoint now);
    void noteAccepted(const EngineOrder &order, TimePoint now);
    void noteLost(const EngineOrder &order, TimePoint now);
    bool lateLoadMayFollow(TimePoint now) const;
    std::size_t loadsAtOnce() const;
    Duration orderTimeout() const;

    // State for the entries.
    wire::DirectState state(TimePoint now) const;
    void tellAdapters(wire::DirectState &state, TimePoint now) const;
    /// Adapters that calls wait for and that are not being loaded; true if one of the calls can meet its objective.
    std::map<AdapterKey, bool> awaitedAdapters() const;
    void tellLoadsAhead(wire::DirectState &state) const;
    void tellLoadTimes(wire::DirectState &state) const;

    DirectPolicy policy;
    std::uint64_t fence = 0;
    std::string endpointId; // of the engine's current incarnation, as far as known
    // Incarnation whose last report said that it is leaving; its successor may be known before it has reported.
    std::string leavingId;
    std::string rejectedId; // refused by the engine as another incarnation; no order is sent under it
    std::string toldId; // last one named by an entry
    wire::EnginePlan plan;
    std::map<PeerHandle, std::map<AdapterKey, Wish>> wishes; // last demand of each entry
    std::map<PeerHandle, PromptTokens> prompts; // of each entry
    std::map<AdapterKey, Use> uses;
    std::optional<EngineStateReport> report;
    bool reachable = false;
    std::optional<EngineOrder> underWay; // invariant: no other order is sent meanwhile
    TimePoint sentAt{}; // of the pending order
    RecentSamples answerMs{32}; // answer times of orders
    std::optional<EngineOrder> awaited; // accepted, but not yet visible in a report
    std::vector<LostLoad> lostLoads; // without an answer; the engine may apply them seconds later
    TimePoint notBefore{}; // backoff after a failed order
    LoadTimes loads;
    std::uint64_t lastOrder = 0;
    std::uint64_t revision = 0;
    Counters<EngineOrderResult> results;
};

} // namespace anvilscale
