// State library: what the processes agree on and remember. Configuration by revision, leases, at-most-once slots
// with their seen keys, and membership. State machines without I/O: requests to the key-value service come out as
// KvRequest, replies go in. One control thread; nothing here is shared between threads.
#pragma once

#include "anvilscale/base.h"
#include "anvilscale/platform.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anvilscale::config {
class Change;
class Delta;
class Head;
class SlotTable;
class Snapshot;
}
namespace anvilscale::wire {
class Beat;
class ConfigFetch;
class ConfigPush;
class DrainOrder;
class Envelope;
class Heartbeat;
class ProcessId;
class SlotHandover;
class SlotHandoverAck;
}

namespace anvilscale {

/// Single safeguards, switched off only by tests that show that a check finds the failure which the safeguard
/// prevents. All are on in the product.
struct StateSafeguards
{
    bool leaseClock = true; ///< a holder stops acting by its own clock, not only when the service tells
    bool leaseFromSend = true; ///< a lease is counted from before the send, not from the reply
    bool takeOverAfterLease = true; ///< slots of another owner are taken only when its lease key is gone
    bool takenAtRefusal = true; ///< keys stamped before the take-over time and its margin are refused
    bool refuseWhileGiving = true; ///< slots on their way to a receiver are refused by the giver
    bool keysBeforeTable = true; ///< the table moves only when all seen keys are acknowledged
    bool forgetOnlyOld = true; ///< a full table refuses; off: it forgets its oldest key
    bool readBack = true; ///< a write without a reply is read back; off: it counts as failed
    bool leavingFinal = true; ///< an incarnation that left does not come back by a late heartbeat
};

// ---- configuration

/// Newest schema version of configuration records that this build reads; told in heartbeats and Hello.
constexpr std::uint32_t newestSchemaVersion = 2;

enum class ConfigErrorKind : std::uint8_t {
    BadJson,
    UnknownField,
    UnknownSchemaVersion,
    MissingField,
    OutOfRange,
    UnknownReference, ///< a route names an adapter or version that is not there
    Conflict, ///< another writer was first; `revision` is the current one
    NotNext, ///< a delta that does not follow the present revision
    DigestMismatch,
    TooLarge,
    Unavailable, ///< the key-value service could not be asked: nothing was changed
    OutcomeUnknown, ///< the write's reply was lost and could not be read back
    Count
};
template<>
struct EnumNames<ConfigErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<ConfigErrorKind>> table{
        "bad_json", "unknown_field", "unknown_schema_version", "missing_field", "out_of_range", "unknown_reference",
        "conflict", "not_next",      "digest_mismatch",        "too_large",     "unavailable",  "outcome_unknown"};
};

struct ConfigError
{
    ConfigErrorKind kind = ConfigErrorKind::BadJson;
    std::string path; ///< record and field, e.g. "route/lounge-mn.deadlineMs"
    std::string detail; ///< for people
    std::uint64_t revision = 0;
};

/// The operators' weights and limits. Defaults suit both deployments; `policy` records override.
struct Policy
{
    double stallWeight = 1.0; ///< per second of load stall
    double batchWeight = 1.0; ///< per unit of step fill
    double loadRate = 4.0; ///< loads a second that the weight store allows, all sidecars together
    std::uint32_t parallelLoads = 1;
    std::uint32_t reservedSlots = 0; ///< adapter slots of an engine kept for CallClass::Urgent
    double retryBudget = 0.1; ///< executions created by retries over first executions
    std::array<double, enumCount<CallClass>> classWeights{4.0, 2.0, 1.0};
    Duration cancelDelay = Seconds(10); ///< a cancel waits this long for a repeat to attach
    std::uint32_t queueLimit = 256; ///< calls waiting at one sidecar
    Duration defaultDeadline = Seconds(30);
    double hedgeQuantile = 0.0; ///< 0: no hedging
};

struct RouteView
{
    AdapterVersion target;
    std::string nextVersion; ///< to be loaded ahead of a switch; empty if none
    std::string_view baseModel;
    Duration deadline{};
    CallClass callClass = CallClass::Normal;
};

struct ServiceView
{
    bool idempotent = false;
    Duration deadline{};
    CallClass callClass = CallClass::Normal;
    std::uint32_t slots = 1024;
    Duration window = std::chrono::minutes(10); ///< W: how long a seen key is kept
    Duration skew = Seconds(1); ///< largest difference between two wall clocks
    Duration margin = Seconds(10); ///< added to an owner's take-over time
};

/// The configuration at one revision, and the only way to move to a higher one. Invariants: revision() never falls;
/// digest() is a function of the records alone, so that two processes at one revision compare equal.
class ConfigStore
{
public:
    ConfigStore();
    ~ConfigStore();
    ConfigStore(const ConfigStore &) = delete;
    ConfigStore &operator=(const ConfigStore &) = delete;

    std::uint64_t revision() const;
    std::uint64_t digest() const;
    std::optional<RouteView> route(std::string_view name) const;
    std::optional<ServiceView> service(std::string_view name) const;
    const Policy &policy() const;
    /// Where the endpoint finds the weights of a version; empty if the adapter or version is not configured.
    std::string weights(const AdapterVersion &which) const;
    std::size_t adapterCount() const;

    /// Applies the delta that makes revision()+1; anything else is NotNext and changes nothing.
    tl::expected<void, ConfigError> apply(const config::Delta &delta);
    /// Replaces everything, if the snapshot is whole and of a higher revision.
    tl::expected<void, ConfigError> restore(std::span<const config::Snapshot> chunks);
    /// Takes the chunks of a snapshot one by one, in order; with the last one everything is replaced at once.
    tl::expected<void, ConfigError> stage(const config::Snapshot &chunk);
    /// Whether the changes would be accepted on top of this revision, and the digest after them.
    tl::expected<std::uint64_t, ConfigError> validate(std::span<const config::Change> changes) const;
    /// What a peer at `have` lacks: kept deltas, or a chunk of a snapshot if they do not reach back that far. A peer
    /// that has begun to fetch a snapshot names its revision and the next chunk.
    wire::ConfigPush pushSince(std::uint64_t have, std::uint64_t snapshotRevision = 0, std::uint32_t part = 0) const;
    /// All records as they were written (adapters and routes in their canonical text), for `anvilctl config get`.
    std::vector<config::Change> records() const;
    std::optional<std::string> recordText(std::string_view kind, std::string_view name) const;
    /// Everything in chunks of about `chunkBytes`, for the key-value service.
    std::vector<config::Snapshot> snapshot(std::size_t chunkBytes) const;
    /// Bytes held for the records and for kept deltas.
    std::size_t memoryBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Parses and checks one record as an operator wrote it, either schema version.
tl::expected<config::Change, ConfigError> parseRecord(std::string_view json);

// ---- times of leases and membership, from the settings

struct Timing
{
    Duration heartbeat = Milliseconds(500);
    Duration suspect = Milliseconds(2500);
    Duration lease = Seconds(10);
    Duration leaseMargin = Seconds(2); ///< a holder stops acting this long before its lease ends
    Duration vmList = Seconds(2);
    Duration configPoll = Seconds(5);
    Duration leave = Seconds(3); ///< a leaving endpoint gets no new work after this
};

enum class LeaseState : std::uint8_t {
    None,
    Asking,
    Held,
    Lost,
    Count
};
template<>
struct EnumNames<LeaseState>
{
    static constexpr std::array<std::string_view, enumCount<LeaseState>> table{"none", "asking", "held", "lost"};
};

/// Holds one key in the key-value service under a lease, with a fencing number that grows at each take-over.
/// mayAct() is asked directly before each effect: a holder that was paused sees by its own monotonic clock that
/// its lease is over, because the time is counted from before the last successful keep-alive was sent.
class LeaseKeeper
{
public:
    struct Init
    {
        std::string key;
        std::string holder; ///< text kept under the key, with the fence
        std::uint64_t incarnation = 0;
        std::string address;
        Timing timing;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
        StateSafeguards safeguards = {};
    };
    /// `submit` is given each request; its reply comes to onReply with the same handle.
    LeaseKeeper(Init init, std::function<void(KvRequest)> submit);
    ~LeaseKeeper();
    void start(Now now);
    /// Gives the lease back.
    void stop(Now now);
    /// True if the reply was one of this keeper's.
    bool onReply(const KvReply &reply, Now now);
    bool mayAct(TimePoint now) const;
    std::uint64_t fence() const; ///< 0 if not held
    LeaseState state() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// ---- the configuration in the key-value service and between processes

/// Follows one key, or all keys of a range: one full read, then a watch from the revision after it. A watch that
/// breaks is resumed from the last revision seen; where the service no longer keeps it, all is read again.
class KeyFollower
{
public:
    struct Init
    {
        std::string key;
        std::string rangeEnd; ///< empty: `key` alone
        TimerService *timers = nullptr;
        Duration longestWait = Seconds(10); ///< of the backoff while the service is out of reach
        std::uint64_t seed = 1;
    };
    /// `changed` is given all entries after a full read (`full`), else the entries changed or deleted.
    KeyFollower(Init init, std::function<void(KvRequest)> submit,
                std::function<void(const std::vector<KvEntry> &, bool full, Now)> changed);
    ~KeyFollower();
    void start(Now now);
    void stop();
    bool onReply(const KvReply &reply, Now now);
    /// Time of the last full read or event; empty before the first.
    std::optional<TimePoint> lastAnswer() const;
    /// Whether the watch stands.
    bool watching() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Keeps a ConfigStore up to date: from the key-value service in the few processes of a data centre that watch the
/// head, and by pushes and digests of peers in all others. Invariant: the store only moves to a higher revision.
class ConfigSpread
{
public:
    struct Init
    {
        std::string self;
        std::uint64_t incarnation = 0;
        std::string dataCentre;
        std::string keyPrefix = "/anvilscale/";
        bool mayWatch = false; ///< entries may take one of the data centre's watcher leases
        std::uint32_t watchers = 2; ///< watchers a data centre
        Timing timing;
        Duration staleAfter = Seconds(30);
        ConfigStore *store = nullptr;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
    };
    struct Callbacks
    {
        std::function<void(KvRequest)> submit;
        std::function<void(const std::string &peer, wire::Envelope message)> sendToPeer;
        std::function<void(Now)> changed; ///< the store has moved
        std::function<void(const ConfigError &, Now)> refused = nullptr; ///< a change that cannot be taken
    };
    struct Stats
    {
        std::uint64_t pushesSent = 0;
        std::uint64_t pushesTaken = 0;
        std::uint64_t pushesRefused = 0;
        std::uint64_t fetchesSent = 0;
        std::uint64_t storeReads = 0; ///< reads of the key-value service
        std::uint64_t readFailures = 0;
        std::uint64_t applied = 0; ///< revisions taken
        std::uint64_t digestMismatches = 0;
        std::uint64_t staleSpells = 0; ///< times that stale() became true
    };
    ConfigSpread(Init init, Callbacks callbacks);
    ~ConfigSpread();
    void start(Now now);
    bool onReply(const KvReply &reply, Now now);
    /// What a peer's heartbeat or Hello says of its configuration. `age`: how long ago the peer knew its revision to
    /// be the head's, by its age(); a chain of peers can so confirm a head, but never one another.
    void onPeerRevision(const std::string &peer, std::uint64_t revision, std::uint64_t digest, Now now,
                        std::optional<Duration> age = std::nullopt);
    void onPeerLost(const std::string &peer);
    void onPush(const wire::ConfigPush &push, Now now);
    /// A peer asks for what it lacks.
    void onFetch(const std::string &peer, const wire::ConfigFetch &fetch, Now now);
    /// The head could not be confirmed for longer than staleAfter, neither by the service nor by a peer that could.
    bool stale() const;
    /// Time since the store was last known to be at the head; goes out with heartbeats and Hello.
    Duration age(TimePoint now) const;
    /// True from the start until a first configuration was had from the service or a peer.
    bool empty() const;
    bool watching() const; ///< holds one of the watcher leases
    const Stats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Appends one change to the configuration by compare-and-swap. The store is first brought to the head.
class ConfigWriter
{
public:
    struct Init
    {
        std::string keyPrefix = "/anvilscale/";
        std::string author;
        /// Newest schema version that every live process reads (Membership::schemaVersionOfAll); 0: not known.
        std::uint32_t schemaVersionOfAll = 0;
        std::uint32_t snapshotEvery = 100; ///< revisions between two snapshots
        std::size_t chunkBytes = 900'000; ///< of a snapshot; values have at most a megabyte
        ConfigStore *store = nullptr;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
        StateSafeguards safeguards = {};
    };
    /// The revision that the change made, or why there is none.
    using Result = tl::expected<std::uint64_t, ConfigError>;
    ConfigWriter(Init init, std::function<void(KvRequest)> submit, std::function<void(const Result &, Now)> done);
    ~ConfigWriter();
    /// One change set at a time. `changeId` is unique for ever. With `expected`, any other head is a Conflict.
    void apply(std::vector<config::Change> changes, std::string changeId, std::optional<std::uint64_t> expected,
               Now now);
    /// Writes a snapshot of the head if one is due, and drops deltas and snapshots that nobody needs any more.
    /// `done` is called with the head's revision.
    void compact(Now now);
    bool onReply(const KvReply &reply, Now now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// ---- at most once

/// Validity of an Idempotency-Key: a UUIDv7 (RFC 9562), whose first 48 bits are milliseconds since 1970.
std::optional<WallTime> keyTime(std::string_view key);
std::string makeKey(WallTime now, Random &random);
std::uint32_t slotOf(std::string_view key, std::uint32_t slots);

/// The finished answer of an execution, kept for repeats.
struct KeptAnswer
{
    CallOutcome outcome = CallOutcome::Unknown;
    FailureReason failure = FailureReason::None;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class KeyDecisionKind : std::uint8_t {
    Run, ///< new: registered as running
    Attach, ///< running now
    Replay, ///< finished within the window
    Refuse,
    Count
};
template<>
struct EnumNames<KeyDecisionKind>
{
    static constexpr std::array<std::string_view, enumCount<KeyDecisionKind>> table{"run", "attach", "replay",
                                                                                    "refuse"};
};

struct KeyDecision
{
    KeyDecisionKind kind = KeyDecisionKind::Refuse;
    ExecutionHandle execution; ///< Attach
    std::shared_ptr<const KeptAnswer> answer; ///< Replay
    RefusalReason reason = RefusalReason::None; ///< Refuse
    bool provedNotRun = false; ///< Refuse
};

/// The keys seen by the owner of some slots of one service. Invariants: a key that was registered is kept until
/// its stamp is older than the window, whatever happens; a full table refuses and forgets nothing early.
class SeenKeys
{
public:
    struct Limits
    {
        std::size_t keys = 100'000;
        std::size_t answerBytes = 16U << 20;
        StateSafeguards safeguards = {};
    };
    explicit SeenKeys(Limits limits);
    ~SeenKeys();

    /// Decides on a call with this key. `fingerprint` is a hash of method, path and body: a key that comes back with
    /// another one is KeyReused. `takenAt` is the take-over time of the owner's slot, including the margin; keys
    /// stamped before it are refused as unknown. With Run the key is registered under `execution`.
    KeyDecision admit(std::string_view key, std::uint64_t fingerprint, const ServiceView &service, WallTime takenAt,
                      ExecutionHandle execution, Now now);
    /// The execution did certainly not reach the endpoint: the key is free again.
    void release(std::string_view key);
    /// The execution ended. Answers over the memory limit are dropped, the key is kept: a repeat is told "unknown".
    void finish(std::string_view key, KeptAnswer answer, Now now);
    /// Forgets keys that are out of the window.
    void expire(const ServiceView &service, Now now);
    std::size_t size() const;
    std::size_t answerBytes() const;

    /// For the hand-over: all keys of a slot, running ones as outcome unknown.
    void exportSlot(std::uint32_t slot, std::uint32_t slots, Now now, wire::SlotHandover &into) const;
    /// False if there is no room for the part: nothing was taken.
    bool importPart(const wire::SlotHandover &part, Now now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Whether, and since when, this sidecar owns a slot of a service.
struct SlotOwnership
{
    bool owned = false;
    std::uint64_t fence = 0;
    WallTime takenAt; ///< including the margin; keys stamped before it are refused as unknown
};

/// Takes and keeps this sidecar's share of a service's slots in the one table of that service.
class SlotOwner
{
public:
    struct Init
    {
        std::string service;
        std::string keyPrefix; ///< the table is kept at keyPrefix + "slots/" + service
        std::string self;
        std::uint64_t incarnation = 0;
        Timing timing;
        const ConfigStore *config = nullptr;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
        /// The keys to hand over and to take in. Without it (or without `send`) slots are left free at a drain.
        SeenKeys *seen = nullptr;
        /// Sends SlotHandover and SlotHandoverAck to another sidecar of the service, by name.
        std::function<void(const std::string &member, wire::Envelope message)> send = nullptr;
        /// Called for a slot that is refused from now on, before its keys are exported: calls that wait for a start
        /// are to be refused as not run and their keys released, so that the receiver may run them.
        std::function<void(std::uint32_t slot)> beforeGiving = nullptr;
        StateSafeguards safeguards = {};
    };
    SlotOwner(Init init, std::function<void(KvRequest)> submit);
    ~SlotOwner();
    void start(Now now);
    /// Sidecars of the service that are alive and not leaving, this one included: the table is shared out evenly.
    void onMembers(const std::vector<std::string> &names, Now now);
    bool onReply(const KvReply &reply, Now now);
    /// Asked directly before each effect.
    SlotOwnership owns(std::uint32_t slot, Now now) const;
    /// Starts to give all slots away; parts go out through `handover` and the table names the receiver last.
    void drain(Now now);
    /// The table names no slot of ours any more.
    bool drained() const;
    /// Takes the keys in and acknowledges; false if the part is not acknowledged.
    bool onHandover(const wire::SlotHandover &part, Now now);
    void onHandoverAck(const wire::SlotHandoverAck &ack, Now now);
    /// Gives the lease back; to be called after the drain.
    void stop(Now now);
    std::vector<std::uint32_t> slots() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// The slot table as an entry knows it: where to send a call that must run at most once.
struct SlotTarget
{
    std::string owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t fence = 0;
};

// ---- membership

enum class MemberState : std::uint8_t {
    Live,
    Suspect, ///< silent for a while: gets no new work, keeps its calls
    Leaving, ///< final for the incarnation
    Gone,
    Count
};
template<>
struct EnumNames<MemberState>
{
    static constexpr std::array<std::string_view, enumCount<MemberState>> table{"live", "suspect", "leaving", "gone"};
};

struct Member
{
    std::string name;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Suspect;
    VmRole role = VmRole::Sidecar;
    std::string dataCentre;
    std::string region;
    std::string address;
};

/// Who is there, from the lagging list of VMs and from direct heartbeats. A heartbeat goes before the list, except
/// that leaving is final. Invariant: an incarnation never returns from Leaving or Gone.
class Membership
{
public:
    struct Init
    {
        Timing timing;
        TimerService *timers = nullptr;
        StateSafeguards safeguards = {};
    };
    /// `changed` is called after each change of a member.
    Membership(Init init, std::function<void(const Member &)> changed);
    ~Membership();
    void onVmList(const std::vector<VmInfo> &list, Now now);
    void onHeartbeat(const wire::Heartbeat &heartbeat, Now now);
    /// A short sign of life of the start last heard by a heartbeat; of any other start it says nothing.
    void onBeat(std::string_view name, const wire::Beat &beat, Now now);
    void onDrain(const wire::DrainOrder &order, Now now);
    void onUnreachable(const std::string &name, Now now);
    const Member *find(std::string_view name) const;
    std::vector<Member> members() const;
    /// Newest schema version of configuration records that every member heard of can read; 0 if none has told.
    std::uint32_t schemaVersionOfAll() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale
