// Residency library: the decisions of a sidecar as a single-threaded state machine without I/O. Events enter through
// the on...() functions and the resulting actions are returned by takeActions().
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
    Fence, ///< makes an endpoint that checks fencing numbers refuse all orders with an older one
    List, ///< reads the loaded adapters, the running calls and the engine's incarnation
    Count
};
template<>
struct EnumNames<OrderKind>
{
    static constexpr std::array<std::string_view, enumCount<OrderKind>> table{"load", "unload", "fence", "list"};
};

/// Sends a message to another process.
struct SendMessage
{
    PeerHandle to;
    wire::Envelope message;
    std::string member = {}; ///< name of the receiving sidecar; set if `to` is none (slot transfer)
};
/// Sends the call to the endpoint. The frames of the answer go to `to` under `request.id()`.
struct StartExecution
{
    ExecutionHandle execution;
    PeerHandle to;
    wire::CallRequest request;
    bool keepAnswer = false; ///< the body is passed to onExecutionEnded
    /// From this time on the call must not be sent and ends as not sent. Prevents a process that was paused after the
    /// decision from sending to an endpoint that has since left or restarted without the adapter.
    TimePoint sendDeadline = TimePoint::max();
};
/// Maximum time from the decision to start a call to its send. Passing it between threads takes well under a
/// millisecond, so a longer delay means that the process was paused.
constexpr Duration maxSendDelay = Milliseconds(500);
/// Attaches a repeat to a running execution; it receives the answer from the first byte.
struct AttachListener
{
    ExecutionHandle execution;
    PeerHandle to;
    wire::AttemptId id;
    std::uint64_t creditBytes = 0;
};
/// Stops the frames of an execution to one attempt.
struct DetachListener
{
    ExecutionHandle execution;
    wire::AttemptId id;
};
/// Closes the connection to the endpoint; onExecutionEnded reports the confirmed end. Listeners that are still attached
/// get an end frame with `reason`.
struct CancelExecution
{
    ExecutionHandle execution;
    FailureReason reason = FailureReason::CallerGone;
};
/// Sends a finished answer as frames and an end frame.
struct ReplayAnswer
{
    PeerHandle to;
    wire::AttemptId id;
    std::shared_ptr<const CachedAnswer> answer;
    std::uint64_t creditBytes = 0; ///< initial credit of the repeated request
};
/// Sends an order to the engine; its reply is reported by onOrderDone or onEngineList.
struct SendOrder
{
    OrderHandle order;
    OrderKind kind = OrderKind::List;
    AdapterVersion adapterVersion;
    std::string weights;
    std::uint64_t fence = 0;
    Duration timeout{};
};
/// Submits a request to the key-value service; its reply is reported by onKvReply.
struct SubmitKv
{
    KvRequest request;
};
/// The drain is complete and the process may exit.
struct Drained
{
};
using SidecarAction = std::variant<SendMessage, StartExecution, AttachListener, DetachListener, CancelExecution,
                                   ReplayAnswer, SendOrder, SubmitKv, Drained>;

/// State that an engine reports in reply to a List order. `running` also releases orphaned calls, and `highestFence`
/// determines the fencing number of a new sidecar.
struct EngineList
{
    std::uint64_t incarnation = 0;
    std::vector<AdapterVersion> loaded;
    std::vector<std::pair<AdapterVersion, std::uint32_t>> running; ///< number of running calls by adapter
    std::uint64_t highestFence = 0;
};

/// Periodic load report of an engine. All fields but the incarnation are hints.
struct EngineReport
{
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t stepFillPermille = 0;
    std::vector<std::uint64_t> prefixes; ///< newly cached prefixes; may be delayed and incomplete
};

/// Safeguards that a test may disable one by one to show that the failure they prevent is detected. All are enabled in
/// production.
struct Safeguards
{
    bool pinBeforeSend = true; ///< pin the adapter before the call is sent to the engine, not at its first byte
    bool evictOnlyUnpinned = true; ///< do not unload an adapter while a call may run on it
    bool unknownEndKeepsPin = true; ///< do not treat a broken connection as the end of the execution
    bool unknownAfterLostReply = true; ///< resolve an order whose reply was lost only from the engine's list
    bool listAfterChange = true; ///< ignore a list for an adapter that changed after the list was requested
    bool recoveryWait = true; ///< a new sidecar waits for its predecessor's calls and orders
    bool fenceCheck = true; ///< fence the predecessor and reject grants with an old fencing number
    bool grantExpiry = true; ///< ignore expired grants
    bool grantTarget = true; ///< ignore grants for an earlier incarnation of this sidecar
    bool leaseRecheck = true; ///< check slot ownership again directly before the call is sent
    bool staleRevisionRefusal = true; ///< refuse a call resolved at an older revision that names another version
    bool duplicateFilter = true; ///< drop an attempt that was already received
};

/// Order in which waiting calls of one class are served; see docs/design/residency.md.
enum class QueuePolicy : std::uint8_t {
    Deadline, ///< earliest deadline first
    NewestFirst,
    Arrival,
    Count
};
template<>
struct EnumNames<QueuePolicy>
{
    static constexpr std::array<std::string_view, enumCount<QueuePolicy>> table{"deadline", "newest_first", "arrival"};
};

/// Overload control options. Production uses the defaults.
struct OverloadOptions
{
    QueuePolicy queuePolicy = QueuePolicy::Deadline;
    bool attachRepeats = true; ///< attach a repeat to the running execution of its key
    bool refuseUnreachable = true; ///< refuse a call at once if it can't meet its deadline
};

/// Construction parameters of SidecarDecisions.
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
    std::uint32_t batchLimit = 16; ///< maximum number of calls running at the endpoint
    bool endpointChecksFence = true;
    Duration orderTimeout = Seconds(60); ///< maximum time after the send in which an order may take effect
    SeenKeys::Limits seenKeys;
    Timing timing;
    const ConfigStore *config = nullptr;
    TimerService *timers = nullptr;
    std::uint64_t seed = 1;
    Safeguards safeguards;
    OverloadOptions overload;
};

/// Counters and gauges for /metrics and `anvilctl status`. `running`, `queued` and `resident` are current values; the
/// others only grow.
struct SidecarStats
{
    Counters<RefusalReason> refusals;
    Counters<OrderOutcome> orders;
    std::uint64_t executions = 0; ///< started at the endpoint
    std::uint64_t attached = 0;
    std::uint64_t replayed = 0;
    std::uint64_t loads = 0;
    std::uint64_t reloads = 0; ///< loads of a version that was evicted before
    std::uint64_t evictions = 0;
    std::uint64_t stalledCalls = 0; ///< started calls that waited for their adapter
    Duration stallTotal{};
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t resident = 0;
    std::uint64_t droppedMessages = 0;
    std::uint64_t engineRestarts = 0; ///< detected by a new incarnation
    std::uint64_t quarantines = 0; ///< versions quarantined after repeated load failures
    std::uint64_t cancelsAvoided = 0; ///< repeats that attached to an execution before its deferred cancel
    std::uint64_t heartbeatBytes = 0;
};

/// Decides on admission, residency, execution, drain and fencing for one endpoint. A sidecar is the only process that
/// talks to its endpoint, so its decisions need no coordination. Not thread-safe.
class SidecarDecisions
{
public:
    explicit SidecarDecisions(SidecarInit init);
    ~SidecarDecisions();
    SidecarDecisions(const SidecarDecisions &) = delete;
    SidecarDecisions &operator=(const SidecarDecisions &) = delete;

    /// Starts recovery: reads the engine's list, fences predecessors and requests its slots. Calls are admitted after
    /// recovery.
    void start(Now now);
    /// Handles a message from another process.
    void onMessage(PeerHandle from, const wire::Envelope &message, Now now);
    void onPeerLost(PeerHandle peer, Now now);
    /// The first byte of the endpoint's answer was received.
    void onExecutionStarted(ExecutionHandle execution, Now now);
    /// The execution ended. Only the failure EndpointUnreachable proves that nothing was sent to the endpoint.
    void onExecutionEnded(ExecutionHandle execution, CachedAnswer answer, std::uint32_t generatedTokens, Now now);
    void onOrderDone(OrderHandle order, OrderOutcome outcome, Now now);
    void onEngineList(OrderHandle order, const EngineList &list, Now now);
    void onEngineReport(const EngineReport &report, Now now);
    /// The endpoint cannot be reached.
    void onEngineLost(Now now);
    /// The configuration changed to a higher revision.
    void onConfigChanged(Now now);
    void onKvReply(const KvReply &reply, Now now);
    /// Updates the members that share this sidecar's service or base model.
    void onMembers(const std::vector<Member> &members, Now now);
    /// Starts an irreversible drain, on SIGTERM, a drain order or a change of the VM list.
    void drain(Now now);
    /// Reports whether the configuration may be out of date.
    void onConfigStale(bool stale, Now now);

    /// Returns the actions decided since the last call, in order.
    std::vector<SidecarAction> takeActions();
    const SidecarStats &stats() const;
    /// Returns state, pins and waiting calls of each tracked adapter, for `anvilctl adapters`.
    std::vector<wire::AdapterState> adapters() const;
    /// True once a drain has started.
    bool isLeaving() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale
