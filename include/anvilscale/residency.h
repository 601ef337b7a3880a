// Residency library: every decision of a sidecar, as one state machine without I/O. A sidecar is the only process
// that talks to its endpoint, so pins, evictions, at-most-once, drain and fencing are decided here, by one thread.
// Events go in by the on...() functions; what is to be done comes out of takeActions().
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

enum class EndpointKind : std::uint8_t {
    Engine,
    Service,
    Count
};
template<>
struct EnumNames<EndpointKind>
{
    static constexpr std::array<std::string_view, enumCount<EndpointKind>> table{"engine", "service"};
};

enum class OrderKind : std::uint8_t {
    Load,
    Unload,
    Fence, ///< makes a checking endpoint refuse all orders with an older fencing number
    List, ///< read what is loaded, what runs, and the engine's incarnation
    Count
};
template<>
struct EnumNames<OrderKind>
{
    static constexpr std::array<std::string_view, enumCount<OrderKind>> table{"load", "unload", "fence", "list"};
};

/// A message to another process.
struct SendMessage
{
    PeerHandle to;
    wire::Envelope message;
    std::string member = {}; ///< set if `to` is none: the sidecar of that name (hand-over of slots)
};
/// Send the call to the endpoint now. Its frames go to `to` under `request.id()`.
struct StartExecution
{
    ExecutionHandle execution;
    PeerHandle to;
    wire::CallRequest request;
    bool keepAnswer = false; ///< the body is handed back with onExecutionEnded
    /// Not to be sent at this time or later: it ends as not sent instead. The process may be stopped between the
    /// decision and the send, and on waking its endpoint may have left or restarted without the adapter.
    TimePoint sendBefore = TimePoint::max();
};
/// From the decision to start a call to its send: a hand-over between two threads takes well under a millisecond, so
/// that a longer one means that the process was stopped.
constexpr Duration sendLimit = Milliseconds(500);
/// A repeat listens to a running execution, from its first byte.
struct AttachListener
{
    ExecutionHandle execution;
    PeerHandle to;
    wire::AttemptId id;
    std::uint64_t creditBytes = 0;
};
struct DetachListener
{
    ExecutionHandle execution;
    wire::AttemptId id;
};
/// Close the connection to the endpoint and report when the end is confirmed. Listeners that are still there get an
/// end with the reason `why`.
struct CancelExecution
{
    ExecutionHandle execution;
    FailureReason why = FailureReason::CallerGone;
};
/// Send a finished answer as frames and an end frame.
struct ReplayAnswer
{
    PeerHandle to;
    wire::AttemptId id;
    std::shared_ptr<const KeptAnswer> answer;
    std::uint64_t creditBytes = 0; ///< of the request that asks for it
};
struct SendOrder
{
    OrderHandle order;
    OrderKind kind = OrderKind::List;
    AdapterVersion which;
    std::string weights;
    std::uint64_t fence = 0;
    Duration timeout{};
};
struct SubmitKv
{
    KvRequest request;
};
/// All work is done after a drain: the process may exit.
struct Drained
{
};
using SidecarAction = std::variant<SendMessage, StartExecution, AttachListener, DetachListener, CancelExecution,
                                   ReplayAnswer, SendOrder, SubmitKv, Drained>;

/// What an engine says of itself, on List or in a report. A hint but for the incarnation and the adapters of a List.
struct EngineList
{
    std::uint64_t incarnation = 0;
    std::vector<AdapterVersion> loaded;
    std::vector<std::pair<AdapterVersion, std::uint32_t>> running; ///< calls running by adapter
    std::uint64_t highestFence = 0;
};

struct EngineReport
{
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t stepFillPermille = 0;
    std::vector<std::uint64_t> prefixes; ///< newly cached, late and with gaps
};

/// Single safeguards, switched off only by tests that show that a check finds the failure which the safeguard
/// prevents. All are on in the product.
struct Safeguards
{
    bool pinBeforeSend = true; ///< the pin is taken before the call goes to the engine, not at its first byte
    bool evictOnlyUnpinned = true; ///< no unload while a call may run on the adapter
    bool unknownEndKeepsPin = true; ///< a broken connection is no end of the execution
    bool unknownAfterLostReply = true; ///< an order whose reply was lost is settled by the engine's list only
    bool listAfterChange = true; ///< a list that was asked for before a change says nothing about it
    bool recoveryWait = true; ///< a new sidecar waits for its predecessor's calls and orders
    bool fenceCheck = true; ///< fence the predecessor; act on no grant with an old fencing number
    bool grantExpiry = true; ///< a grant that is too old is not acted on
    bool grantTarget = true; ///< a grant for an earlier start of this sidecar is not acted on
    bool leaseRecheck = true; ///< slot ownership is asked again directly before the call is sent
    bool staleRevisionRefusal = true; ///< refuse a call resolved at an older revision that names another version
    bool duplicateFilter = true; ///< an attempt that was seen is not taken again
};

/// Which waiting call is served next within a class; see docs/design/residency.md.
enum class QueuePolicy : std::uint8_t {
    Deadline, ///< the nearest deadline
    NewestFirst,
    Arrival,
    Count
};
template<>
struct EnumNames<QueuePolicy>
{
    static constexpr std::array<std::string_view, enumCount<QueuePolicy>> table{"deadline", "newest_first", "arrival"};
};

/// What is done against overload, each measurable alone. The defaults are what the product does.
struct OverloadRules
{
    QueuePolicy order = QueuePolicy::Deadline;
    bool attachRepeats = true; ///< a repeat listens to the running execution of its key
    bool refuseUnreachable = true; ///< a call that can't meet its deadline is refused at once
};

struct SidecarInit
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    EndpointKind kind = EndpointKind::Engine;
    std::string baseModel;
    std::vector<std::string> services;
    std::string keyPrefix = "/anvilscale/";
    std::uint32_t slots = 4; ///< adapter slots of the engine
    std::uint32_t batchLimit = 16; ///< calls given to the endpoint at a time
    bool endpointChecksFence = true;
    Duration orderTimeout = Seconds(60); ///< longest time an order may take effect after it was sent
    SeenKeys::Limits seenKeys;
    Timing timing;
    const ConfigStore *config = nullptr;
    TimerService *timers = nullptr;
    std::uint64_t seed = 1;
    Safeguards safeguards;
    OverloadRules overload;
};

/// Read by /metrics and `anvilctl status`. Counters only grow; the others are as of now.
struct SidecarStats
{
    Counters<RefusalReason> refusals;
    Counters<OrderOutcome> orders;
    std::uint64_t executions = 0; ///< started at the endpoint
    std::uint64_t attached = 0;
    std::uint64_t replayed = 0;
    std::uint64_t loads = 0;
    std::uint64_t reloads = 0; ///< loads of a version that had been evicted before
    std::uint64_t evictions = 0;
    std::uint64_t stalledCalls = 0; ///< calls that waited for their adapter
    Duration stallTotal{};
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t resident = 0;
    std::uint64_t droppedMessages = 0;
    std::uint64_t engineRestarts = 0; ///< noticed by a new incarnation
    std::uint64_t quarantines = 0; ///< versions put in quarantine because they kept failing to load
    std::uint64_t cancelsAvoided = 0; ///< repeats that found their execution before its deferred cancel
    std::uint64_t heartbeatBytes = 0;
};

class SidecarDecisions
{
public:
    explicit SidecarDecisions(SidecarInit init);
    ~SidecarDecisions();
    SidecarDecisions(const SidecarDecisions &) = delete;
    SidecarDecisions &operator=(const SidecarDecisions &) = delete;

    /// Reads the engine's list, fences predecessors, asks for its slots. No call is admitted before recovery ends.
    void start(Now now);
    /// Any message from another process.
    void onMessage(PeerHandle from, const wire::Envelope &message, Now now);
    void onPeerLost(PeerHandle peer, Now now);
    /// The first byte of the endpoint's answer was seen.
    void onExecutionStarted(ExecutionHandle execution, Now now);
    /// Bytes may have been sent in every outcome but EndpointUnreachable, which proves that none were.
    void onExecutionEnded(ExecutionHandle execution, KeptAnswer answer, std::uint32_t generatedTokens, Now now);
    void onOrderDone(OrderHandle order, OrderOutcome outcome, Now now);
    void onEngineList(OrderHandle order, const EngineList &list, Now now);
    void onEngineReport(const EngineReport &report, Now now);
    /// The endpoint cannot be reached.
    void onEngineLost(Now now);
    /// The configuration has moved to a higher revision.
    void onConfigChanged(Now now);
    void onKvReply(const KvReply &reply, Now now);
    /// Live sidecars by service or base model, from the membership.
    void onMembers(const std::vector<Member> &members, Now now);
    /// SIGTERM, a drain order or the VM list. Final.
    void drain(Now now);
    void onConfigStale(bool stale, Now now);

    std::vector<SidecarAction> takeActions();
    const SidecarStats &stats() const;
    /// For `anvilctl adapters`: each adapter known with its state, pins and waiting calls.
    std::vector<wire::AdapterState> adapters() const;
    bool leaving() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale
