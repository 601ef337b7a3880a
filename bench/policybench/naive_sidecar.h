// The naive sidecar behind the sidecar's face: calls in order of arrival, an adapter is loaded when its call comes,
// the least recently used one without calls goes. No scheduler, no attaching of repeats, cancels at once.
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
    void onExecutionEnded(ExecutionHandle execution, const KeptAnswer &answer, std::uint32_t tokens, Now now);
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
    struct Waiting
    {
        PeerHandle from;
        wire::CallRequest request;
    };
    struct Running
    {
        std::string adapter;
        wire::AttemptId id;
    };
    void serve(Now now);
    bool makeRoom(TimePoint now);
    void order(OrderKind kind, const std::string &adapter);
    void heartbeat(Now now);
    void armHeartbeat(Now now);

    SidecarInit init_;
    std::map<PeerHandle, bool> peers_;
    std::deque<Waiting> queue_;
    std::map<ExecutionHandle, Running> running_;
    std::map<std::string, Adapter> adapters_;
    std::map<OrderHandle, std::pair<OrderKind, std::string>> orders_;
    std::uint64_t lastExecution_ = 0;
    std::uint64_t lastOrder_ = 0;
    std::uint64_t sequence_ = 0;
    bool up_ = true;
    std::vector<SidecarAction> actions_;
    SidecarStats stats_;
};

} // namespace anvilscale::bench
