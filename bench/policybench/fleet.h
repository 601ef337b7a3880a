// One run: the decision objects of a whole site in virtual time, joined by delayed messages, with fakes below.
// `Version` says which objects: the product's or the naive ones.
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
    static constexpr bool scheduled = true;
};

struct NaiveVersion
{
    using Entry = NaiveEntryDecisions;
    using Sidecar = NaiveSidecar;
    static constexpr bool scheduled = false;
};

template<class Version>
class Fleet
{
public:
    Fleet(const Trace &trace, const ConfigStore &config, std::uint64_t seed, const Ideas &ideas);
    void run();
    Measures measures() const;

private:
    struct Listener
    {
        PeerHandle peer;
        wire::AttemptId id;
        bool begun = false;
    };
    struct Execution
    {
        std::vector<Listener> listeners;
        std::string adapter;
    };
    struct Node
    {
        std::string name;
        bool service = false;
        std::unique_ptr<typename Version::Sidecar> sidecar;
        std::unique_ptr<FakeEngine> engine;
        std::map<ExecutionHandle, Execution> executions;
        std::set<std::string> everLoaded;
    };
    Now nowAt(TimePoint at) const
    {
        return Now{at, WallTime{at.time_since_epoch().count() / 1000}};
    }
    void build();
    void addNode(std::uint32_t index, bool service);
    SidecarInit sidecarInit(std::uint32_t index, bool service) const;
    void introduce();
    void arrive(std::size_t index);
    void attempt(std::size_t record);
    void armDisturbance();
    void disturb(bool begin);
    void restartEngine(std::size_t node);
    void armReports();
    void pump();
    void act(std::size_t entry, EntryAction &action);
    void act(std::size_t node, SidecarAction &action);
    void toSidecar(std::size_t entry, const SendToSidecar &send);
    void toEntry(std::size_t node, PeerHandle peer, wire::Envelope message);
    void startExecution(std::size_t node, StartExecution &start);
    void order(std::size_t node, const SendOrder &order);
    void finishOrder(std::size_t node, const SendOrder &order, OrderOutcome outcome, TimePoint at);
    void firstToken(std::size_t node, ExecutionHandle execution);
    void ended(std::size_t node, ExecutionHandle execution, CallOutcome outcome, FailureReason failure,
               std::uint32_t tokens, Now now);
    EngineUse engineUse() const;
    void endCall(CallHandle handle, CallEnding ending, const CallError &error);

    const Trace &trace_;
    const ConfigStore &config_;
    std::uint64_t seed_;
    Ideas ideas_;
    TimerService timers_;
    Random random_;
    TimePoint origin_{Seconds(1000)};
    TimePoint now_ = origin_;
    std::vector<std::unique_ptr<typename Version::Entry>> entries_;
    std::unique_ptr<LoadScheduler> scheduler_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<std::string, std::size_t> nodeByName_;
    std::unique_ptr<FakeStore> store_;
    bool leaseHeld_ = true;
    std::uint64_t fence_ = 1;
    std::vector<CallRecord> records_;
    std::map<std::uint64_t, std::pair<std::size_t, std::size_t>> open_; // handle -> record, entry
    std::size_t backingOff_ = 0; // callers that wait before their next attempt
    std::uint64_t lastHandle_ = 0;
    std::map<std::string, std::uint64_t> refusals_;
    std::uint64_t reloads_ = 0;
    EngineUse useAtEnd_;
    std::uint64_t loadsBefore_ = 0;
    std::uint64_t reloadsBefore_ = 0;
};

extern template class Fleet<ProductVersion>;
extern template class Fleet<NaiveVersion>;

} // namespace anvilscale::bench
