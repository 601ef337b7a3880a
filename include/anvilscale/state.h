// State library: configuration by revision, leases, at-most-once slots with their seen keys, and membership. State
// machines without I/O: requests to the key-value service are emitted as KvRequest, replies are passed in.
// Single-threaded: everything runs on the control thread.
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

/// Switches for single safeguards. All are on in production; tests turn one off to verify that they detect the failure
/// which it prevents.
struct StateSafeguards
{
    bool leaseClock = true; ///< a holder also stops acting by its own clock, not only on a reply of the service
    bool leaseFromSend = true; ///< a lease is counted from before its request is sent, not from the reply
    bool takeOverAfterLease = true; ///< slots of another owner are claimed only after its lease key has been deleted
    bool takenAtRefusal = true; ///< keys stamped before the takeover time plus margin are refused
    bool keyTimeLimit = true; ///< an owner admits keys up to its stored limit, and its successor only later ones
    bool refuseWhileGiving = true; ///< slots being transferred are refused by the sender
    bool keysBeforeTable = true; ///< the table names the receiver only after all seen keys are acknowledged
    bool forgetOnlyOld = true; ///< a full key table refuses new keys; if off, it evicts the oldest key
    bool readBack = true; ///< a write without a reply is read back; if off, it counts as failed
    bool leavingFinal = true; ///< a late heartbeat does not revive an incarnation that has left
};

// ---- configuration

/// Newest schema version of configuration records that this build reads; sent in heartbeats and Hello.
constexpr std::uint32_t newestSchemaVersion = 2;

enum class ConfigErrorKind : std::uint8_t {
    BadJson,
    UnknownField,
    UnknownSchemaVersion,
    MissingField,
    OutOfRange,
    UnknownReference, ///< a route refers to a missing adapter or version
    Conflict, ///< another writer changed the head first; `revision` is the current one
    NotNext, ///< the delta does not follow the current revision
    DigestMismatch,
    TooLarge,
    Unavailable, ///< the key-value service could not be reached; nothing was changed
    OutcomeUnknown, ///< the reply to the write was lost and could not be read back
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
    std::string detail; ///< human-readable description
    std::uint64_t revision = 0;
};

/// Weights and limits set by operators. `policy` records override these defaults.
struct Policy
{
    double stallWeight = 1.0; ///< cost per second of load stall
    double batchWeight = 1.0; ///< value per unit of step fill
    double loadRate = 4.0; ///< loads per second that the weight store allows, summed over all sidecars
    std::uint32_t parallelLoads = 1;
    std::uint32_t reservedSlots = 0; ///< adapter slots per engine reserved for CallClass::Urgent
    double retryBudget = 0.1; ///< ratio of executions created by retries to first executions
    std::array<double, enumCount<CallClass>> classWeights{4.0, 2.0, 1.0};
    Duration cancelDelay = Seconds(10); ///< delay before a cancel, in which a repeated call may still attach
    std::uint32_t queueLimit = 256; ///< maximum number of calls queued at one sidecar
    Duration defaultDeadline = Seconds(30);
    double hedgeQuantile = 0.0; ///< 0 disables hedging
};

struct RouteView
{
    AdapterVersion target;
    std::string nextVersion; ///< preloaded before a version switch; empty if none
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
    Duration window = std::chrono::minutes(10); ///< how long seen keys are kept (W in the design)
    Duration skew = Seconds(1); ///< maximum difference between two wall clocks
    Duration margin = Seconds(10); ///< added to an owner's takeover time
};

/// Configuration at one revision. Invariants: revision() never decreases; digest() depends on the records alone, so two
/// processes at the same revision can compare it.
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
    /// Returns the location of a version's weights; empty if the adapter or version is not configured.
    std::string weights(const AdapterVersion &adapterVersion) const;
    std::size_t adapterCount() const;

    /// Applies the delta to revision()+1. Any other revision returns NotNext. On error nothing is changed.
    tl::expected<void, ConfigError> apply(const config::Delta &delta);
    /// Replaces all records if the snapshot is complete and of a higher revision.
    tl::expected<void, ConfigError> restore(std::span<const config::Snapshot> chunks);
    /// Adds the next chunk of a snapshot, in order. The last chunk replaces all records at once.
    tl::expected<void, ConfigError> stage(const config::Snapshot &chunk);
    /// Checks changes against this revision and returns the digest after them, without applying them.
    tl::expected<std::uint64_t, ConfigError> validate(std::span<const config::Change> changes) const;
    /// Returns what a peer at revision `peerRevision` is missing: the cached deltas, or a snapshot chunk if they do not
    /// reach back far enough. A peer that is fetching a snapshot passes its revision and the next chunk.
    wire::ConfigPush pushSince(std::uint64_t peerRevision, std::uint64_t snapshotRevision = 0,
                               std::uint32_t nextChunk = 0) const;
    /// Returns all records as written (adapters and routes in canonical form), for `anvilctl config get`.
    std::vector<config::Change> records() const;
    std::optional<std::string> recordText(std::string_view kind, std::string_view name) const;
    /// Returns all records in chunks of about `chunkBytes`, for the key-value service.
    std::vector<config::Snapshot> snapshot(std::size_t chunkBytes) const;
    /// Memory used by records and cached deltas, in bytes.
    std::size_t memoryBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Parses and validates a record written by an operator, in either schema version.
tl::expected<config::Change, ConfigError> parseRecord(std::string_view json);

// ---- timing of leases and membership, from the settings

struct Timing
{
    Duration heartbeat = Milliseconds(500);
    Duration suspect = Milliseconds(2500);
    Duration lease = Seconds(10);
    Duration leaseMargin = Seconds(2); ///< a holder stops acting this long before its lease expires
    Duration vmList = Seconds(2);
    Duration configPoll = Seconds(5);
    Duration leave = Seconds(3); ///< a leaving endpoint gets no new work after this time
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

/// Acquires and holds one key in the key-value service under a lease, with a fencing number that increases with every
/// acquisition. Callers check mayAct() directly before each effect: the lease is counted from before its last
/// successful keep-alive was sent, so a holder paused beyond it detects the expiry by its own monotonic clock.
class LeaseHolder
{
public:
    struct Init
    {
        std::string key;
        std::string holder; ///< name of the holder, stored in the key's value
        std::uint64_t incarnation = 0;
        std::string address;
        Timing timing;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
        StateSafeguards safeguards = {};
    };
    /// Requests are passed to `submit`; their replies go to onReply() with the same handle.
    LeaseHolder(Init init, std::function<void(KvRequest)> submit);
    ~LeaseHolder();
    void start(Now now);
    /// Revokes the lease.
    void stop(Now now);
    /// Returns true if the reply belongs to this object.
    bool onReply(const KvReply &reply, Now now);
    bool mayAct(TimePoint now) const;
    std::uint64_t fence() const; ///< 0 if not held
    LeaseState state() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// ---- the configuration in the key-value service and between processes

/// Watches one key or a key range: one full read, then a watch from the next revision. A broken watch resumes after the
/// last revision received; if the service has compacted it, the range is read again.
class KeyWatcher
{
public:
    struct Init
    {
        std::string key;
        std::string rangeEnd; ///< watches `key` alone if empty
        TimerService *timers = nullptr;
        Duration maxBackoff = Seconds(10); ///< maximum backoff while the service is unreachable
        std::uint64_t seed = 1;
    };
    /// `changed` receives all entries after a full read (`full`), otherwise only those changed or deleted.
    KeyWatcher(Init init, std::function<void(KvRequest)> submit,
               std::function<void(const std::vector<KvEntry> &, bool full, Now)> changed);
    ~KeyWatcher();
    void start(Now now);
    void stop();
    bool onReply(const KvReply &reply, Now now);
    /// Time of the last full read or event; nullopt before the first.
    std::optional<TimePoint> lastUpdateAt() const;
    /// Returns true while the watch is established.
    bool isWatching() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Keeps a ConfigStore up to date. A few processes per data centre watch the head in the key-value service; all others
/// receive deltas and digests from peers. Invariant: the store only moves to a higher revision.
class ConfigDistributor
{
public:
    struct Init
    {
        std::string self;
        std::uint64_t incarnation = 0;
        std::string dataCentre;
        std::string keyPrefix = "/anvilscale/";
        bool mayWatch = false; ///< true for entries: may acquire one of the data centre's watcher leases
        std::uint32_t watchers = 2; ///< number of watchers per data centre
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
        std::function<void(Now)> changed; ///< the store's revision has increased
        std::function<void(const ConfigError &, Now)> rejected = nullptr; ///< a change that cannot be applied
    };
    struct Stats
    {
        std::uint64_t pushesSent = 0;
        std::uint64_t pushesAccepted = 0;
        std::uint64_t pushesRejected = 0;
        std::uint64_t fetchesSent = 0;
        std::uint64_t storeReads = 0; ///< reads from the key-value service
        std::uint64_t readFailures = 0;
        std::uint64_t applied = 0; ///< revisions applied
        std::uint64_t digestMismatches = 0;
        std::uint64_t stalePeriods = 0; ///< number of times that isStale() became true
    };
    ConfigDistributor(Init init, Callbacks callbacks);
    ~ConfigDistributor();
    void start(Now now);
    bool onReply(const KvReply &reply, Now now);
    /// Processes the configuration state in a peer's heartbeat or Hello. `age` is the peer's confirmationAge(): the
    /// time since its revision was last confirmed as the head. Passing it along a chain of peers can confirm a
    /// revision, but peers cannot confirm one another.
    void onPeerRevision(const std::string &peer, std::uint64_t revision, std::uint64_t digest, Now now,
                        std::optional<Duration> age = std::nullopt);
    void onPeerLost(const std::string &peer);
    void onPush(const wire::ConfigPush &push, Now now);
    /// Answers a peer's request for missing revisions.
    void onFetch(const std::string &peer, const wire::ConfigFetch &fetch, Now now);
    /// Returns true if the head was not confirmed for longer than staleAfter, neither by the service nor by a peer.
    bool isStale() const;
    /// Time since the store was last confirmed to be at the head; sent with heartbeats and Hello.
    Duration confirmationAge(TimePoint now) const;
    /// Returns true until the first configuration was received from the service or a peer.
    bool isEmpty() const;
    bool isWatching() const; ///< returns true while holding a watcher lease
    const Stats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Appends changes to the configuration by compare-and-swap, after bringing the store to the head.
class ConfigWriter
{
public:
    struct Init
    {
        std::string keyPrefix = "/anvilscale/";
        std::string author;
        /// Newest schema version that all processes with a known version read (Membership::schemaVersionOfAll); 0 if
        /// unknown.
        std::uint32_t schemaVersionOfAll = 0;
        std::uint32_t snapshotEvery = 100; ///< revisions between snapshots
        std::size_t chunkBytes = 900'000; ///< size of a snapshot chunk; the service limits values to one megabyte
        ConfigStore *store = nullptr;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
        StateSafeguards safeguards = {};
    };
    /// The revision created by the change, or the reason why there is none.
    using Result = tl::expected<std::uint64_t, ConfigError>;
    ConfigWriter(Init init, std::function<void(KvRequest)> submit, std::function<void(const Result &, Now)> done);
    ~ConfigWriter();
    /// Applies one change set; only one at a time. `changeId` must be globally unique. If `expected` is set, any other
    /// head is a Conflict.
    void apply(std::vector<config::Change> changes, std::string changeId, std::optional<std::uint64_t> expected,
               Now now);
    /// Writes a snapshot of the head if one is due and deletes deltas and snapshots that are no longer needed. Calls
    /// `done` with the head's revision.
    void compact(Now now);
    bool onReply(const KvReply &reply, Now now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// ---- at-most-once execution

/// Returns the time stamp of an Idempotency-Key, or nullopt if it is not a UUIDv7 (RFC 9562), whose first 48 bits are
/// milliseconds since 1970.
std::optional<WallTime> parseKeyTime(std::string_view key);
std::string makeKey(WallTime now, Random &random);
std::uint32_t slotOf(std::string_view key, std::uint32_t slots);

/// Answer of a finished execution, cached for repeated calls.
struct CachedAnswer
{
    CallOutcome outcome = CallOutcome::Unknown;
    FailureReason failure = FailureReason::None;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class KeyDecisionKind : std::uint8_t {
    Run, ///< new key, registered as running
    Attach, ///< the execution is still running
    Replay, ///< finished within the window; its answer is cached
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
    std::shared_ptr<const CachedAnswer> answer; ///< Replay
    RefusalReason reason = RefusalReason::None; ///< Refuse
    bool isProvenNotRun = false; ///< Refuse
};

/// Keys seen by the owner of a service's slots. Invariants: a registered key is kept until its stamp is older than the
/// window; a full table refuses new keys and never evicts one early.
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

    /// Decides on a call with this key. `fingerprint` is a hash of method, path and body; a known key with another
    /// fingerprint is refused as KeyReused. `minKeyTime` is the slot's takeover time plus margin; older keys are
    /// refused with an unknown outcome. On Run the key is registered under `execution`.
    KeyDecision admit(std::string_view key, std::uint64_t fingerprint, const ServiceView &service, WallTime minKeyTime,
                      ExecutionHandle execution, Now now);
    /// Releases the key of an execution that has certainly not reached the endpoint; the key may run again.
    void release(std::string_view key);
    /// Records the end of an execution. Answers beyond the memory limit are dropped but the key is kept; a repeat then
    /// gets an unknown outcome.
    void finish(std::string_view key, CachedAnswer answer, Now now);
    /// Removes keys older than the window.
    void expire(const ServiceView &service, Now now);
    std::size_t size() const;
    std::size_t answerBytes() const;
    /// Latest stamp of all keys that were registered or imported, also of those removed since.
    WallTime latestStamp() const;

    /// Exports all keys of a slot for a handover; running ones with an unknown outcome.
    void exportSlot(std::uint32_t slot, std::uint32_t slots, Now now, wire::SlotHandover &into) const;
    /// Imports keys of a handover. Returns false, without importing any, if the part exceeds the capacity.
    bool importPart(const wire::SlotHandover &part, Now now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Ownership of one slot of a service by this sidecar.
struct SlotOwnership
{
    bool isOwned = false;
    std::uint64_t fence = 0;
    WallTime minKeyTime; ///< takeover time plus margin; older keys are refused with an unknown outcome
};

/// Claims and maintains this sidecar's share of a service's slots in the service's slot table.
class SlotOwner
{
public:
    struct Init
    {
        std::string service;
        std::string keyPrefix; ///< the table is stored at keyPrefix + "slots/" + service
        std::string self;
        std::uint64_t incarnation = 0;
        Timing timing;
        const ConfigStore *config = nullptr;
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
        /// Keys exported and imported by handovers. Without it (or without `send`) a drain leaves the slots unowned.
        SeenKeys *seen = nullptr;
        /// Sends SlotHandover and SlotHandoverAck to another sidecar of the service, by name.
        std::function<void(const std::string &member, wire::Envelope message)> send = nullptr;
        /// Called when a slot starts to be refused, before its keys are exported. Calls waiting to start must be
        /// refused as not run and their keys released, so that the receiver may run them.
        std::function<void(std::uint32_t slot)> beforeTransfer = nullptr;
        StateSafeguards safeguards = {};
    };
    SlotOwner(Init init, std::function<void(KvRequest)> submit);
    ~SlotOwner();
    void start(Now now);
    /// Updates the sidecars of the service that are alive and not leaving, including this one. Slots are divided evenly
    /// among them.
    void onMembers(const std::vector<std::string> &memberNames, Now now);
    bool onReply(const KvReply &reply, Now now);
    /// Returns the current ownership. Must be checked directly before each effect.
    SlotOwnership owns(std::uint32_t slot, Now now) const;
    /// Starts transferring all slots: their keys are sent first, then the table names the receivers.
    void drain(Now now);
    /// Returns true once a drain is finished and the table lists no slot of this sidecar.
    bool isDrained() const;
    /// Imports the keys and acknowledges them. Returns false if the part is not accepted.
    bool onHandover(const wire::SlotHandover &part, Now now);
    void onHandoverAck(const wire::SlotHandoverAck &ack, Now now);
    /// Revokes the lease; to be called after the drain.
    void stop(Now now);
    std::vector<std::uint32_t> slots() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Target of a call that must run at most once, from an entry's copy of the slot table.
struct SlotTarget
{
    std::string owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t fence = 0;
};

// ---- membership

enum class MemberState : std::uint8_t {
    Live,
    Suspect, ///< no heartbeat for the suspect time; gets no new work but keeps its calls
    Leaving, ///< final for this incarnation
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
    /// All other incarnations up to this one are earlier starts, also greater ones: incarnations are wall times, and
    /// the clock may have been set back.
    std::uint64_t supersededUntil = 0;
    MemberState state = MemberState::Suspect;
    VmRole role = VmRole::Sidecar;
    std::string dataCentre;
    std::string region;
    std::string address;
};

/// True if `incarnation` is an earlier start than `present`, of which Membership has told `supersededUntil`.
constexpr bool isEarlierStart(std::uint64_t incarnation, std::uint64_t present, std::uint64_t supersededUntil)
{
    return incarnation < present || (incarnation > present && incarnation <= supersededUntil);
}

/// True if the member is a later start than `known`. Membership forgets a start that is gone (`isKnownGone`), so that
/// it does not tell which incarnations a later one has superseded.
inline bool isLaterStart(const Member &member, std::uint64_t known, bool isKnownGone)
{
    if (isKnownGone && member.incarnation != 0) {
        return member.incarnation != known;
    }
    return member.incarnation > known || (member.incarnation < known && known <= member.supersededUntil);
}

/// Members derived from the lagging list of VMs and from direct heartbeats. Heartbeats take precedence over the list,
/// except that leaving is final. Invariant: an incarnation never returns from Leaving or Gone.
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
    /// Processes a short heartbeat. It counts only for the incarnation of the last full heartbeat.
    void onBeat(std::string_view name, const wire::Beat &beat, Now now);
    void onDrain(const wire::DrainOrder &order, Now now);
    void onUnreachable(const std::string &name, Now now);
    const Member *find(std::string_view name) const;
    std::vector<Member> members() const;
    /// Newest schema version of configuration records that all live or suspect members which have reported a version
    /// can read; 0 if none has reported one.
    std::uint32_t schemaVersionOfAll() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale
