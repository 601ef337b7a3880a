// Simulation of a whole fleet in virtual time. `Version` selects the decision objects: the product's or the baseline's.
#pragma once

#include "bench_config.h"
#include "fakes.h"
#include "metrics.h"
#include "naive_sidecar.h"

#include "anvilscale/residency.h"
#include "anvilscale/routing.h"

#include <deque>
#include <memory>
#include <set>

namespace anvilscale::bench {

struct ProductVersion
{
    using Entry = EntryDecisions;
    using Sidecar = SidecarDecisions;
    static constexpr bool hasScheduler = true;
};

struct NaiveVersion
{
    using Entry = NaiveEntryDecisions;
    using Sidecar = NaiveSidecar;
    static constexpr bool hasScheduler = false;
};

template<class Version>
class FleetSimulation
{
public:
    FleetSimulation(const Trace &trace, const ConfigStore &config, std::uint64_t seed,
                    const OverloadFeatures &overloadFeatures);
    void run();
    Metrics metrics() const;

private:
    struct Listener
    {
        PeerHandle peer;
        wire::AttemptId id;
        bool hasBegun = false;
    };
    struct Execution
    {
        std::vector<Listener> listeners;
        std::string adapter;
    };
    struct Node
    {
        std::string name;
        bool isService = false;
        std::unique_ptr<typename Version::Sidecar> sidecar;
        std::unique_ptr<FakeEngine> engine;
        std::map<ExecutionHandle, Execution> executions;
        std::set<std::string> everLoaded;
    };
    Now timeAt(TimePoint at) const
    {
        return Now{at, WallTime{at.time_since_epoch().count() / 1000}};
    }
    void build();
    void addNode(std::uint32_t index, bool isService);
    SidecarInit sidecarInit(std::uint32_t index, bool isService) const;
    void announceMembers();
    void scheduleArrival(std::size_t index);
    void sendAttempt(std::size_t record);
    void scheduleDisturbance();
    void setDisturbance(bool begin);
    void restartEngine(std::size_t node);
    void scheduleReports();
    void processActions();
    void handleAction(std::size_t entry, EntryAction &action);
    void handleAction(std::size_t node, SidecarAction &action);
    void sendToSidecar(std::size_t entry, const SendToSidecar &send);
    void sendToEntry(std::size_t node, PeerHandle peer, wire::Envelope message);
    void startExecution(std::size_t node, StartExecution &start);
    void executeOrder(std::size_t node, const SendOrder &order);
    void finishOrder(std::size_t node, const SendOrder &order, OrderOutcome outcome, TimePoint at);
    void firstToken(std::size_t node, ExecutionHandle execution);
    void ended(std::size_t node, ExecutionHandle execution, CallOutcome outcome, FailureReason failure,
               std::uint32_t tokens, Now now);
    EngineUsage engineUsage() const;
    void endCall(CallHandle handle, CallResult result, const CallError &error);

    const Trace &trace_;
    const ConfigStore &config_;
    std::uint64_t seed_;
    OverloadFeatures overloadFeatures_;
    TimerService timers_;
    Random random_;
    TimePoint origin_{Seconds(1000)};
    TimePoint now_ = origin_;
    std::vector<std::unique_ptr<typename Version::Entry>> entries_;
    std::unique_ptr<LoadScheduler> scheduler_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<std::string, std::size_t> nodeByName_;
    std::unique_ptr<FakeWeightStore> store_;
    bool isLeaseHeld_ = true;
    std::uint64_t fence_ = 1;
    std::vector<CallRecord> records_;
    std::map<std::uint64_t, std::pair<std::size_t, std::size_t>> openCalls_; // handle -> record, entry
    std::size_t callersInBackoff_ = 0; // callers waiting for their next attempt
    std::uint64_t lastHandle_ = 0;
    std::map<std::string, std::uint64_t> refusals_;
    std::uint64_t reloads_ = 0;
    EngineUsage usageAtEnd_;
    std::uint64_t loadsAtWarmUp_ = 0;
    std::uint64_t reloadsAtWarmUp_ = 0;
};

extern template class FleetSimulation<ProductVersion>;
extern template class FleetSimulation<NaiveVersion>;

} // namespace anvilscale::bench
