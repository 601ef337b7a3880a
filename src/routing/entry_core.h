// The state machine of an entry's calls. `Way` holds what varies between the product and the naive version: where a
// call is placed and when it may be repeated.
#pragma once

#include "entry_call.h"
#include "placement.h"
#include "repeat_memory.h"
#include "retry_budget.h"
#include "slot_view.h"

#include "anvilscale/routing.h"

#include <unordered_map>
#include <utility>

namespace anvilscale {

struct ProductWay
{
    using PlacementType = ResidencyPlacement;
    using RetryType = RetryBudget;
    static constexpr bool admitByDeadline = true;
    static constexpr bool followRepeats = true;
};

struct NaiveWay
{
    using PlacementType = LeastLoadedPlacement;
    using RetryType = UnlimitedRetries;
    static constexpr bool admitByDeadline = false;
    static constexpr bool followRepeats = false;
};

template<class Way>
class EntryCore
{
public:
    explicit EntryCore(EntryInit init);

    void onCall(CallHandle handle, CallerRequest request, Now now);
    void onCallerGone(CallHandle handle, FailureReason why, Now now);
    void onCallerTook(CallHandle handle, std::uint64_t bytes);
    void onMessage(const std::string &sidecar, const wire::Envelope &message, Now now);
    void onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now);
    void onConversationLost(const std::string &sidecar, Now now);
    void onMember(const Member &member, Now now);
    void onConfigChanged(Now now);
    void onSlotTable(const config::SlotTable &table, Now now);
    void onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now);
    RouteExplanation explain(std::string_view route, Now now) const;

    std::vector<EntryAction> takeActions()
    {
        return std::exchange(actions_, {});
    }
    const EntryStats &stats() const
    {
        return stats_;
    }

private:
    using Calls = std::unordered_map<std::uint64_t, EntryCall>;

    // Calls: arrival, resolution, waiting, end (entry_calls_impl.h)
    RefusalReason resolve(EntryCall &call, Now now) const;
    RefusalReason resolveRoute(EntryCall &call) const;
    RefusalReason resolveService(EntryCall &call) const;
    void dispatch(EntryCall &call, Now now);
    bool dispatchRepeat(EntryCall &call, Now now);
    void dispatchToOwner(EntryCall &call, Now now);
    void wait(EntryCall &call, CallError inVain, std::uint64_t revision, Now now);
    void resume(EntryCall &call, Now now);
    void endWaiting(EntryCall &call);
    void resumeForSidecar(SidecarIndex sidecar, Now now);
    void refuse(EntryCall &call, RefusalReason reason, Duration retryAfter);
    void fail(EntryCall &call, CallError error);
    void finish(EntryCall &call, bool replayed);
    void remove(EntryCall &call);
    Verdict verdict(const EntryCall &call) const;
    void onDeadline(CallHandle handle, TimePoint now);

    // Attempts: sending, retrying, answers (entry_attempts_impl.h)
    void send(EntryCall &call, SidecarIndex sidecar, std::uint64_t slotFence, Now now);
    wire::Envelope requestMessage(const EntryCall &call, const Attempt &attempt, Now now) const;
    void cancel(EntryCall &call, Attempt &attempt, bool callerGone);
    void closeAttempt(Attempt &attempt, AttemptFate fate);
    bool mayRetry(const EntryCall &call, AttemptFate lastFate) const;
    void retryOrFail(EntryCall &call, RetryReason why, CallError error, Now now);
    std::pair<EntryCall *, Attempt *> match(const std::string &sidecar, const wire::AttemptId &id);
    void onRefused(const std::string &sidecar, const wire::CallRefused &refused, Now now);
    void onFrame(const std::string &sidecar, const wire::CallFrame &frame, Now now);
    void onEnd(const std::string &sidecar, const wire::CallEnd &end, Now now);
    void settle(EntryCall &call, Attempt &attempt, Now now);
    void onAnswerBroken(EntryCall &call, Attempt &attempt, Now now);
    bool takeLead(EntryCall &call, Attempt &attempt);
    void deliver(EntryCall &call, const wire::CallFrame &frame);
    void flushHeld(EntryCall &call);
    void onReport(const wire::Heartbeat &report, Now now);
    void onBeat(const std::string &sidecar, const wire::Beat &beat);
    void loseAttempts(SidecarIndex sidecar, std::uint64_t currentIncarnation, bool gone, Now now);
    void noteRefusal(const EntryCall &call, const Attempt &attempt, const wire::CallRefused &refused);

    PlacementRequest placementRequest(const EntryCall &call, TimePoint now) const;
    void sayHello(const std::string &sidecar, bool wantFull);
    EntryCall *find(CallHandle handle);
    std::vector<CallHandle> sortedCalls() const;

    EntryInit init_;
    Random random_;
    FleetView fleet_;
    SlotView slots_;
    RepeatMemory repeats_;
    typename Way::PlacementType placement_;
    typename Way::RetryType retries_;
    Calls calls_;
    std::vector<EntryAction> actions_;
    EntryStats stats_;
};

extern template class EntryCore<ProductWay>;
extern template class EntryCore<NaiveWay>;

} // namespace anvilscale
