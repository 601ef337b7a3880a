// Routing library: every decision of an entry (admission, routing, attempts, retries, verdicts) and of the load
// scheduler, as state machines without I/O. Events go in by the on...() functions; actions come out of
// takeActions(). The naive version stands behind the same faces, for comparison.
#pragma once

#include "wire.pb.h"

#include "anvilscale/base.h"
#include "anvilscale/platform.h"
#include "anvilscale/state.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace anvilscale {

/// A call as a caller made it, after the HTTP front has checked its form.
struct CallerRequest
{
    std::string route; ///< the operator's route; empty for a plain service
    std::string service; ///< plain service; empty for a model call
    std::optional<Duration> deadline; ///< from the caller; else the route's
    std::string key; ///< Idempotency-Key, empty if none
    std::string caller; ///< who asks, for fairness; empty if not told
    bool stream = false;
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint64_t prefixHash = 0;
    std::uint64_t creditBytes = 0;
};

/// The one form in which a call is turned down or reported as broken.
struct CallError
{
    Verdict verdict = Verdict::OutcomeUnknown;
    RefusalReason refusal = RefusalReason::None;
    FailureReason failure = FailureReason::None;
    Duration retryAfter{}; ///< zero: not told
    std::uint32_t attempts = 0; ///< made for the call
};

struct SendToSidecar
{
    std::string sidecar;
    wire::Envelope message;
};
/// The next part of the answer. `begin` comes once, with status and headers, before any data.
struct DeliverFrame
{
    CallHandle call;
    bool begin = false;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string data;
};
/// The answer is whole.
struct FinishCall
{
    CallHandle call;
    bool replayed = false;
};
/// The call ends in an error. After a delivered frame it ends the stream by a typed error event, before by a status.
struct FailCall
{
    CallHandle call;
    CallError error;
};
using EntryAction = std::variant<SendToSidecar, DeliverFrame, FinishCall, FailCall>;

/// Single safeguards, all on. Switched off by tests only, to show that the checks of the fault matrix can fail.
struct EntrySafeguards
{
    bool frameMatch = true; ///< frames belong to the open attempt of their id and sidecar, and are in order
    bool digestCheck = true; ///< frame count and digest of the end frame
    bool notRunProof = true; ///< "not run" needs a proof; off: whatever ended before an answer counts as not run
    bool spliceGuard = true; ///< no retry once the caller has seen bytes
    bool retryOnlySafe = true; ///< no retry of a call that may have run, unless it is idempotent
    bool slotFence = true; ///< the slot owner's fencing number goes with the call
    bool leavingGuard = true; ///< no new work to a slot owner that is suspect or leaving
};

/// Ways of an entry to act in an overload, so that each can be measured alone. What is on here is what runs.
struct EntryOverloadRules
{
    bool refuseByDeadline = true; ///< a call that no sidecar can answer in time is not sent
    bool limitRepeats = true; ///< a caller's repeat that finds nothing to attach to counts against the retry budget
};

struct EntryInit
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string region;
    Timing timing;
    const ConfigStore *config = nullptr;
    TimerService *timers = nullptr;
    std::uint64_t seed = 1;
    EntrySafeguards safeguards;
    EntryOverloadRules overload;
};

struct EntryStats
{
    Counters<RefusalReason> refusals;
    Counters<RetryReason> retries;
    Counters<Verdict> verdicts;
    Counters<FailureReason> failures;
    std::uint64_t calls = 0;
    std::uint64_t finished = 0;
    std::uint64_t attempts = 0;
    std::uint64_t droppedFrames = 0; ///< matched no open attempt
    std::uint64_t brokenAnswers = 0; ///< end frame did not agree
    std::uint32_t open = 0;
};

/// What would happen to a call on a route now, for `anvilctl explain`.
struct RouteExplanation
{
    bool known = false;
    AdapterVersion target;
    std::uint64_t revision = 0;
    std::vector<std::string> resident;
    std::vector<std::string> loading;
    std::string choice; ///< sidecar that would be chosen; empty if none
    RefusalReason refusal = RefusalReason::None;
};

class EntryDecisions
{
public:
    explicit EntryDecisions(EntryInit init);
    ~EntryDecisions();
    EntryDecisions(const EntryDecisions &) = delete;
    EntryDecisions &operator=(const EntryDecisions &) = delete;

    void onCall(CallHandle call, CallerRequest request, Now now);
    /// The caller closed its connection or was cut as a slow reader.
    void onCallerGone(CallHandle call, FailureReason why, Now now);
    /// The caller has taken `bytes` more of the answer.
    void onCallerTook(CallHandle call, std::uint64_t bytes, Now now);
    /// Any message of a sidecar.
    void onMessage(const std::string &sidecar, const wire::Envelope &message, Now now);
    /// A message to the sidecar was certainly not sent.
    void onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now);
    /// The connection to the sidecar broke. What was under way on it, either way, does not arrive any more.
    void onConversationLost(const std::string &sidecar, Now now);
    void onMember(const Member &member, Now now);
    void onConfigChanged(Now now);
    /// The slot table of a service was read or changed.
    void onSlotTable(const config::SlotTable &table, Now now);
    /// Summaries of other data centres, for spill.
    void onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now);

    std::vector<EntryAction> takeActions();
    const EntryStats &stats() const;
    RouteExplanation explain(std::string_view route, Now now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// The naive version behind the same face: least-loaded routing, retries without a budget, no admission by deadline.
/// For comparison and differential tests only.
class NaiveEntryDecisions
{
public:
    explicit NaiveEntryDecisions(EntryInit init);
    ~NaiveEntryDecisions();
    NaiveEntryDecisions(const NaiveEntryDecisions &) = delete;
    NaiveEntryDecisions &operator=(const NaiveEntryDecisions &) = delete;

    void onCall(CallHandle call, CallerRequest request, Now now);
    void onCallerGone(CallHandle call, FailureReason why, Now now);
    void onCallerTook(CallHandle call, std::uint64_t bytes, Now now);
    void onMessage(const std::string &sidecar, const wire::Envelope &message, Now now);
    void onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now);
    void onMember(const Member &member, Now now);
    void onConfigChanged(Now now);
    void onSlotTable(const config::SlotTable &table, Now now);
    void onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now);

    std::vector<EntryAction> takeActions();
    const EntryStats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Orders the loads of all sidecars. Grants are only made while `mayAct` says that the lease is held.
class LoadScheduler
{
public:
    struct Init
    {
        std::string name;
        std::uint64_t incarnation = 0;
        const ConfigStore *config = nullptr;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
    };
    struct Stats
    {
        std::uint64_t grants = 0;
        std::uint64_t done = 0;
        std::uint64_t expired = 0;
        std::uint64_t storeRefusals = 0;
        std::uint32_t demands = 0;
    };
    /// `mayAct` and `fence` are asked directly before each grant.
    LoadScheduler(Init init, std::function<bool(TimePoint)> mayAct, std::function<std::uint64_t()> fence);
    ~LoadScheduler();
    void onHeartbeat(const wire::Heartbeat &heartbeat, Now now);
    void onLoadResult(const wire::LoadResult &result, Now now);
    void onMember(const Member &member, Now now);
    /// The lease was taken: in-flight loads of the predecessor may still run.
    void onTakeOver(Now now);
    std::vector<SendToSidecar> takeActions();
    const Stats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale
