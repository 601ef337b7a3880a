// State machine of the calls of an entry. `Traits` selects placement and retry rules: product or baseline.
#pragma once

#include "entry_call.h"
#include "placement.h"
#include "recent_requests.h"
#include "retry_budget.h"
#include "slot_view.h"

#include "anvilscale/routing.h"

#include <unordered_map>
#include <utility>

namespace anvilscale {

/// Rules of the product.
struct ProductTraits
{
    using PlacementType = ResidencyPlacement;
    using RetryType = RetryBudget;
    static constexpr bool hasDeadlineAdmission = true;
    static constexpr bool hasRepeatAffinity = true;
};

/// Rules of the baseline implementation.
struct NaiveTraits
{
    using PlacementType = LeastLoadedPlacement;
    using RetryType = UnlimitedRetries;
    static constexpr bool hasDeadlineAdmission = false;
    static constexpr bool hasRepeatAffinity = false;
};

/// Implementation of EntryDecisions and NaiveEntryDecisions, which document the events.
template<class Traits>
class EntryCore
{
public:
    explicit EntryCore(EntryInit init);

    void onCall(CallHandle handle, CallerRequest request, Now now);
    void onCallerGone(CallHandle handle, FailureReason reason, Now now);
    void onCallerRead(CallHandle handle, std::uint64_t bytes);
    void onMessage(const std::string &sidecar, const wire::Envelope &message, Now now);
    void onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now);
    void onConnectionLost(const std::string &sidecar, Now now);
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

    // Calls: admission, resolution, waiting, completion (entry_calls_impl.h)
    RefusalReason resolve(EntryCall &call, Now now) const;
    RefusalReason resolveRoute(EntryCall &call) const;
    RefusalReason resolveService(EntryCall &call) const;
    void dispatch(EntryCall &call, Now now);
    bool dispatchRepeat(EntryCall &call, Now now);
    void dispatchToOwner(EntryCall &call, Now now);
    void startWaiting(EntryCall &call, CallError timeoutError, std::uint64_t revision, Now now);
    void resume(EntryCall &call, Now now);
    void stopWaiting(EntryCall &call);
    void resumeForSidecar(SidecarIndex sidecar, Now now);
    void refuse(EntryCall &call, RefusalReason reason, Duration retryAfter);
    void fail(EntryCall &call, CallError error);
    void finish(EntryCall &call, bool replayed);
    void remove(EntryCall &call);
    Verdict computeVerdict(const EntryCall &call) const;
    void onDeadline(CallHandle handle, TimePoint now);

    // Attempts: sending, answers, retries (entry_attempts_impl.h)
    void send(EntryCall &call, SidecarIndex sidecar, std::uint64_t slotFence, Now now);
    wire::Envelope makeRequestMessage(const EntryCall &call, const Attempt &attempt, Now now) const;
    void cancel(EntryCall &call, Attempt &attempt, bool isCallerGone);
    void closeAttempt(Attempt &attempt, AttemptOutcome outcome);
    bool mayRetry(const EntryCall &call, AttemptOutcome lastOutcome) const;
    void retryOrFail(EntryCall &call, RetryReason reason, CallError error, Now now);
    std::pair<EntryCall *, Attempt *> findOpenAttempt(const std::string &sidecar, const wire::AttemptId &id);
    void onRefused(const std::string &sidecar, const wire::CallRefused &refused, Now now);
    void onFrame(const std::string &sidecar, const wire::CallFrame &frame, Now now);
    void onEnd(const std::string &sidecar, const wire::CallEnd &end, Now now);
    void evaluateAnswer(EntryCall &call, Attempt &attempt, Now now);
    void onAnswerBroken(EntryCall &call, Attempt &attempt, Now now);
    bool selectAnswer(EntryCall &call, Attempt &attempt);
    void deliver(EntryCall &call, const wire::CallFrame &frame);
    void deliverHeldFrames(EntryCall &call);
    void onReport(const wire::Heartbeat &report, Now now);
    void onBeat(const std::string &sidecar, const wire::Beat &beat);
    void closeLostAttempts(SidecarIndex sidecar, std::uint64_t currentIncarnation, bool isGone, Now now);
    void applyRefusal(const EntryCall &call, const Attempt &attempt, const wire::CallRefused &refused);

    PlacementRequest makePlacementRequest(const EntryCall &call, TimePoint now) const;
    void sendHello(const std::string &sidecar, bool requestFull);
    EntryCall *findCall(CallHandle handle);
    std::vector<CallHandle> sortedCalls() const;

    EntryInit init_;
    Random random_;
    FleetView fleet_;
    SlotView slots_;
    RecentRequests recentRequests_;
    typename Traits::PlacementType placement_;
    typename Traits::RetryType retryBudget_;
    Calls calls_;
    std::vector<EntryAction> actions_;
    EntryStats stats_;
};

extern template class EntryCore<ProductTraits>;
extern template class EntryCore<NaiveTraits>;

} // namespace anvilscale
