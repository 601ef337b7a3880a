// Baseline implementation of the sidecar interface: FIFO queue, loads on demand, LRU eviction of unused adapters, no
// load scheduler, no attached repeats, immediate cancels.
#pragma once

#include "anvilscale/residency.h"

#include <deque>
#include <map>

namespace anvilscale::bench {

class NaiveSidecar
{
public:
    explicit NaiveSidecar(SidecarInit init);
    void start(Now now);
    void onMessage(PeerHandle from, const wire::Envelope &message, Now now);
    void onExecutionStarted(ExecutionHandle execution, Now now);
    void onExecutionEnded(ExecutionHandle execution, const CachedAnswer &answer, std::uint32_t tokens, Now now);
    void onOrderDone(OrderHandle order, OrderOutcome outcome, Now now);
    void onEngineList(OrderHandle order, const EngineList &list, Now now);
    void onEngineReport(const EngineReport &report, Now now);
    void onEngineLost(Now now);
    void onMembers(const std::vector<Member> &members, Now now);
    std::vector<SidecarAction> takeActions();
    const SidecarStats &stats() const
    {
        return stats_;
    }

private:
    struct Adapter
    {
        ResidencyState state = ResidencyState::Absent;
        std::uint32_t pins = 0;
        TimePoint lastUsed;
    };
    struct QueuedCall
    {
        PeerHandle from;
        wire::CallRequest request;
    };
    struct RunningCall
    {
        std::string adapter;
        wire::AttemptId id;
    };
    void startCalls(Now now);
    bool freeSlot(TimePoint now);
    void sendOrder(OrderKind kind, const std::string &adapter);
    void sendHeartbeat(Now now);
    void armHeartbeat(Now now);

    SidecarInit init_;
    std::map<PeerHandle, bool> peers_;
    std::deque<QueuedCall> queue_;
    std::map<ExecutionHandle, RunningCall> running_;
    std::map<std::string, Adapter> adapters_;
    std::map<OrderHandle, std::pair<OrderKind, std::string>> orders_;
    std::uint64_t lastExecution_ = 0;
    std::uint64_t lastOrder_ = 0;
    std::uint64_t sequence_ = 0;
    bool isEngineUp_ = true;
    std::vector<SidecarAction> actions_;
    SidecarStats stats_;
};

} // namespace anvilscale::bench
