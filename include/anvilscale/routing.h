// Routing library: state machines without I/O for the decisions of an entry and of the load scheduler. The on...()
// functions take events; takeActions() returns the resulting actions.
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

/// A caller's call, validated by the HTTP front end.
struct CallerRequest
{
    std::string route; ///< route name; empty for a plain service
    std::string service; ///< service name; empty for a model call
    std::optional<Duration> deadline; ///< set by the caller; the deadline of the route if unset
    std::string key; ///< Idempotency-Key, empty if none
    std::string caller; ///< caller identity, used for fair queueing; empty if unknown
    bool isStreaming = false;
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint64_t prefixHash = 0;
    std::uint64_t creditBytes = 0;
};

/// Why a call was refused or failed.
struct CallError
{
    Verdict verdict = Verdict::OutcomeUnknown;
    RefusalReason refusal = RefusalReason::None;
    FailureReason failure = FailureReason::None;
    Duration retryAfter{}; ///< zero if unknown
    std::uint32_t attempts = 0; ///< attempts made for the call
};

struct SendToSidecar
{
    std::string sidecar;
    wire::Envelope message;
};
/// The next part of an answer. The first one, and only that one, carries the status and the headers.
struct DeliverFrame
{
    CallHandle call;
    bool isFirst = false;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string data;
};
/// The answer is complete.
struct FinishCall
{
    CallHandle call;
    bool isReplayed = false;
};
/// The call fails. Reported as an HTTP status, or as an error event of the stream once a frame has been delivered.
struct FailCall
{
    CallHandle call;
    CallError error;
};
using EntryAction = std::variant<SendToSidecar, DeliverFrame, FinishCall, FailCall>;

/// Safeguards of an entry, all enabled by default. Only tests disable them, to verify that their checks can fail.
struct EntrySafeguards
{
    bool frameMatch = true; ///< accepts only frames of the open attempt with their id and sidecar, in order
    bool digestCheck = true; ///< checks the answer against the frame count and digest of the end frame
    bool notRunProof = true; ///< reports "not run" only with a proof; if off, for any call without delivered frames
    bool spliceGuard = true; ///< no retry once the caller has received bytes
    bool retryOnlySafe = true; ///< no retry of a non-idempotent call that may have run
    bool slotFence = true; ///< sends the fencing number of the slot owner with the call
    bool leavingGuard = true; ///< sends no new calls to a slot owner that is suspect or leaving
};

/// Overload rules of an entry, which benchmarks toggle one by one. The defaults are used in production.
struct EntryOverloadRules
{
    bool refuseByDeadline = true; ///< refuses a call that no sidecar can answer in time
    bool limitRepeats = true; ///< counts a repeated key without an execution to attach to against the retry budget
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
    std::uint64_t finishedCalls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t droppedFrames = 0; ///< frames that matched no open attempt
    std::uint64_t brokenAnswers = 0; ///< answers that did not match their end frame
    std::uint32_t openCalls = 0;
};

/// How a call on a route would be handled now. Used by `anvilctl explain`.
struct RouteExplanation
{
    bool isKnown = false;
    AdapterVersion target;
    std::uint64_t revision = 0;
    std::vector<std::string> resident;
    std::vector<std::string> loading;
    std::string chosenSidecar; ///< sidecar that would be chosen; empty if none
    RefusalReason refusal = RefusalReason::None;
};

/// Admission, placement, retries and verdicts of one entry.
class EntryDecisions
{
public:
    explicit EntryDecisions(EntryInit init);
    ~EntryDecisions();
    EntryDecisions(const EntryDecisions &) = delete;
    EntryDecisions &operator=(const EntryDecisions &) = delete;

    void onCall(CallHandle call, CallerRequest request, Now now);
    /// The caller closed its connection or was disconnected as a slow reader.
    void onCallerGone(CallHandle call, FailureReason reason, Now now);
    /// The caller has read `bytes` more of the answer.
    void onCallerRead(CallHandle call, std::uint64_t bytes, Now now);
    /// A message from a sidecar.
    void onMessage(const std::string &sidecar, const wire::Envelope &message, Now now);
    /// The message of the attempt was provably not sent to the sidecar.
    void onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now);
    /// The connection to the sidecar broke. Messages in flight in both directions are lost.
    void onConnectionLost(const std::string &sidecar, Now now);
    void onMember(const Member &member, Now now);
    void onConfigChanged(Now now);
    /// The slot table of a service was read or has changed.
    void onSlotTable(const config::SlotTable &table, Now now);
    /// A load summary of another data centre, used for spill.
    void onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now);

    std::vector<EntryAction> takeActions();
    const EntryStats &stats() const;
    RouteExplanation explain(std::string_view route, Now now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Baseline implementation of the same interface: least-loaded routing, unlimited retries, no admission by deadline.
/// Used for comparison and differential tests only.
class NaiveEntryDecisions
{
public:
    explicit NaiveEntryDecisions(EntryInit init);
    ~NaiveEntryDecisions();
    NaiveEntryDecisions(const NaiveEntryDecisions &) = delete;
    NaiveEntryDecisions &operator=(const NaiveEntryDecisions &) = delete;

    void onCall(CallHandle call, CallerRequest request, Now now);
    void onCallerGone(CallHandle call, FailureReason reason, Now now);
    void onCallerRead(CallHandle call, std::uint64_t bytes, Now now);
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

/// Schedules the adapter loads of all sidecars. Makes grants only while this process holds the scheduler lease.
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
    /// `holdsLease` and `fence` (the fencing number of the lease) are called immediately before each grant.
    LoadScheduler(Init init, std::function<bool(TimePoint)> holdsLease, std::function<std::uint64_t()> fence);
    ~LoadScheduler();
    void onHeartbeat(const wire::Heartbeat &heartbeat, Now now);
    void onLoadResult(const wire::LoadResult &result, Now now);
    void onMember(const Member &member, Now now);
    /// The lease was acquired. Loads granted by the previous holder may still be running.
    void onLeaseAcquired(Now now);
    std::vector<SendToSidecar> takeActions();
    const Stats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale
