// State of one engine's keeper.
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
        std::uint32_t inTime = 0; // of the waiting ones; invariant: at most waiting
        std::uint32_t running = 0;
        std::uint32_t leastVersion = 0;
    };
    struct Use
    {
        TimePoint last{};
        double rate = 0; // decayed starts
    };
    struct LostLoad
    {
        std::uint64_t expected = 0;
        TimePoint sentAt{};
        bool ofEarlierStart = false; // the engine has started again since
    };
    struct PromptTokens
    {
        std::uint64_t unread = 0; // under way at the engine
        std::uint64_t waiting = 0; // to be sent once their adapters are loaded
    };

    // Demands of entries.
    void applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now);
    void takeIncarnation(const std::string &id);
    void touch(const AdapterKey &key, std::uint32_t starts, TimePoint now);
    Wish wishFor(const AdapterKey &key) const;
    /// Calls on it in the last seconds, rounded down to a power of two; 0 for few, which change too often to be told.
    std::uint32_t recentCalls(const AdapterKey &key, TimePoint now) const;
    PromptTokens promptTokens() const;

    // The engine as it reports itself.
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

    // What entries are told.
    wire::DirectState state(TimePoint now) const;
    void tellAdapters(wire::DirectState &state, TimePoint now) const;
    /// Adapters that calls wait for and that are not on their way; whether one of the calls can be in time.
    std::map<AdapterKey, bool> awaitedAdapters() const;
    void tellLoadsAhead(wire::DirectState &state) const;
    void tellLoadTimes(wire::DirectState &state) const;

    DirectPolicy policy;
    std::uint64_t fence = 0;
    std::string endpointId; // of the engine's present incarnation, as far as it is known
    // The incarnation whose last report said that it leaves; its successor may be known before that has reported.
    std::string leavingId;
    std::string rejectedId; // that the engine said not to be; no order is sent under it
    std::string toldId; // what an entry said last
    wire::EnginePlan plan;
    std::map<PeerHandle, std::map<AdapterKey, Wish>> wishes; // what each entry said last
    std::map<PeerHandle, PromptTokens> prompts; // of each entry
    std::map<AdapterKey, Use> uses;
    std::optional<EngineStateReport> report;
    bool reachable = false;
    std::optional<EngineOrder> underWay; // invariant: no other order is sent meanwhile
    TimePoint sentAt{}; // of the order that is under way
    RecentSamples answerMs{32}; // of orders
    std::optional<EngineOrder> awaited; // accepted, and no report has shown its effect yet
    std::vector<LostLoad> lostLoads; // unanswered; the engine may carry them out seconds later
    TimePoint notBefore{}; // after an order that failed
    LoadTimes loads;
    std::uint64_t lastOrder = 0;
    std::uint64_t revision = 0;
    Counters<EngineOrderResult> results;
};

} // namespace anvilscale
