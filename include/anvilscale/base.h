// Base library: time, timers, random numbers, hashes, typed handles and shared enumerations. Does no I/O; callers pass
// in time and random numbers, so tests can run under a virtual clock.
#pragma once

#include <tl/expected.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace anvilscale {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Converts a duration to whole milliseconds.
constexpr std::int64_t toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<Milliseconds>(span).count();
}
constexpr double milliseconds(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}
constexpr Duration fromMilliseconds(double ms)
{
    return Duration(static_cast<std::int64_t>(ms * 1000));
}
constexpr double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Monotonic clock of one process. Its values are never compared between processes.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name set by the standard
};
using TimePoint = MonotonicClock::time_point;

/// Wall clock in milliseconds since 1970 (UTC). Processes compare it only within the operators' limit on clock skew.
struct WallTime
{
    std::int64_t ms = 0;
    auto operator<=>(const WallTime &) const = default; // NOLINT(modernize-use-nullptr): not a pointer
};

/// Both clocks, read once per event from the event loop or from a test's virtual clock.
struct Now
{
    TimePoint mono;
    WallTime wall;
};

/// Typed 64-bit handle; handles of different tags do not convert to each other. Zero means "none".
template<class Tag>
struct Handle
{
    std::uint64_t value = 0;
    explicit operator bool() const
    {
        return value != 0;
    }
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the 0 in a rewritten comparison for a pointer
    auto operator<=>(const Handle &) const = default;
};

using TimerHandle = Handle<struct TimerTag>;
/// Identifies a call within its entry.
using CallHandle = Handle<struct CallTag>;
/// Identifies an execution at an endpoint within its sidecar.
using ExecutionHandle = Handle<struct ExecutionTag>;
/// Identifies an order to an engine (load, unload, list).
using OrderHandle = Handle<struct OrderTag>;
/// Identifies a peer connection within this process. Assigned by the transport.
using PeerHandle = Handle<struct PeerTag>;
/// Identifies a request to the key-value service.
using KvHandle = Handle<struct KvTag>;

/// Timer queue driven by its owner through advance(). Callbacks run in order of time, then of subscription. Starts no
/// thread.
class TimerService
{
public:
    using Callback = std::function<void(TimePoint)>;

    /// Calls `callback` once, at the first advance() at or after `at`.
    TimerHandle subscribe(TimePoint at, Callback callback);
    /// Cancels a subscription. Handles that have fired or were cancelled are ignored.
    void cancel(TimerHandle handle);
    /// Returns the time of the next pending callback, or nullopt if there is none.
    std::optional<TimePoint> next() const;
    /// Runs all callbacks due at `now`, including those subscribed by callbacks meanwhile. Returns how many ran.
    std::size_t advance(TimePoint now);

private:
    struct Entry
    {
        TimePoint at;
        std::uint64_t id;
        Callback callback;
    };
    struct FiresLater
    {
        bool operator()(const Entry &a, const Entry &b) const
        {
            return a.at != b.at ? a.at > b.at : a.id > b.id;
        }
    };
    void dropCancelled() const;

    mutable std::priority_queue<Entry, std::vector<Entry>, FiresLater> queue_;
    // Ids of cancelled entries still in queue_. Invariant: a subset of the ids in queue_.
    mutable std::unordered_set<std::uint64_t> cancelled_;
    std::unordered_set<std::uint64_t> pending_; // ids in queue_ that were not cancelled
    std::uint64_t lastId_ = 0;
};

/// Seeded pseudo-random generator (xoshiro256**). A seed gives the same sequence on every platform.
class Random
{
public:
    explicit Random(std::uint64_t seed);
    std::uint64_t next();
    /// Uniform in [0, bound); returns 0 if `bound` is 0.
    std::uint64_t uniformBelow(std::uint64_t bound);
    /// Uniform in [0, 1).
    double uniform();
    /// Exponential with the given mean.
    double exponential(double mean);
    /// Uniform in [span/2, span). Keeps timers of different processes from running in lockstep.
    Duration jitter(Duration span);

private:
    std::array<std::uint64_t, 4> state_;
};

/// 64-bit hash (FNV-1a with a final mix). Values are stored and sent, so they must not change between versions or
/// platforms.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);
/// Incremental digest of an answer's bytes; independent of how the bytes are split.
class Digest
{
public:
    void add(std::string_view bytes);
    std::uint64_t value() const;

private:
    std::uint64_t state_ = 0xcbf29ce484222325ULL;
};

/// Adapter and version by name. Equality compares the names; hash() is a hash for look-up only.
struct AdapterVersion
{
    std::string adapter;
    std::string version;
    // NOLINTNEXTLINE(modernize-use-nullptr): as above
    auto operator<=>(const AdapterVersion &) const = default;
    bool empty() const
    {
        return adapter.empty();
    }
    std::uint64_t hash() const;
    /// Returns "adapter@version" for operators.
    std::string text() const;
};

/// Name table of an enumeration that is logged, counted or sent. The enumeration ends with `Count`.
template<class E>
struct EnumNames;

template<class E>
constexpr std::size_t enumCount = static_cast<std::size_t>(E::Count);

template<class E>
constexpr std::string_view toString(E value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < enumCount<E> ? EnumNames<E>::table[index] : std::string_view("invalid");
}

template<class E>
std::optional<E> fromString(std::string_view name)
{
    for (std::size_t i = 0; i < enumCount<E>; ++i) {
        if (EnumNames<E>::table[i] == name) {
            return static_cast<E>(i);
        }
    }
    return std::nullopt;
}

/// Converts a number from the wire. Values unknown to this build become `fallback`.
template<class E>
constexpr E fromWire(std::uint32_t number, E fallback)
{
    return number < enumCount<E> ? static_cast<E>(number) : fallback;
}

/// What a failed call reports to its caller about its execution.
enum class Verdict : std::uint8_t {
    NotRun, ///< proven: no endpoint received the call, under this key or in an earlier attempt
    OutcomeUnknown, ///< it may have run
    Failed, ///< it ran and failed
    Count
};
template<>
struct EnumNames<Verdict>
{
    static constexpr std::array<std::string_view, enumCount<Verdict>> table{"not_run", "outcome_unknown", "failed"};
};

/// Priority class of a call, highest first.
enum class CallClass : std::uint8_t {
    Urgent, ///< transit rulings, reconciliations
    Normal,
    Bulk,
    Count
};
template<>
struct EnumNames<CallClass>
{
    static constexpr std::array<std::string_view, enumCount<CallClass>> table{"urgent", "normal", "bulk"};
};

/// Reason for refusing a call. Each value has a counter.
enum class RefusalReason : std::uint8_t {
    None,
    BadRequest,
    UnknownRoute,
    UnknownService,
    QueueFull,
    DeadlineUnreachable,
    DeadlinePassed,
    NoEndpoint,
    Leaving,
    StaleRevision, ///< resolved at an older configuration revision that names another version
    RevisionBehind, ///< the sidecar's configuration is older than the entry's and has to be fetched first
    AdapterQuarantined,
    AdapterUnavailable,
    EndpointDown,
    NotSlotOwner,
    SlotUnowned,
    KeyMissing,
    KeyInvalid,
    KeyTooOld,
    KeyFromFuture,
    KeyTableFull,
    KeyReused, ///< the key was used before with another request
    Recovering, ///< a restarted sidecar waits until orders and calls of its predecessor have ended
    RetryBudgetSpent,
    ConnectionLimit,
    CallerGone,
    NotConfigured,
    Internal,
    RequestQuarantined, ///< too many endpoints crashed while running it
    CallerKeyMissing, ///< no usable key where the route requires one
    CallerKeyUnknown, ///< no workspace has the key
    OverAllowance, ///< its workspace has used its allowance
    AllowanceUnknown, ///< whether its workspace may use more could not be found out in time
    EndpointLimit, ///< all endpoints that could serve it have reached their rate limits
    OriginUnknown, ///< it resumes a stream, and the software version that began it is not known
    SoftwareVersionGone, ///< it resumes a stream that no endpoint of its software version can continue
    PromptPartQuarantined, ///< too many endpoints crashed on a part of its prompt
    Count
};
template<>
struct EnumNames<RefusalReason>
{
    static constexpr std::array<std::string_view, enumCount<RefusalReason>> table{"none",
                                                                                  "bad_request",
                                                                                  "unknown_route",
                                                                                  "unknown_service",
                                                                                  "queue_full",
                                                                                  "deadline_unreachable",
                                                                                  "deadline_passed",
                                                                                  "no_endpoint",
                                                                                  "leaving",
                                                                                  "stale_revision",
                                                                                  "revision_behind",
                                                                                  "adapter_quarantined",
                                                                                  "adapter_unavailable",
                                                                                  "endpoint_down",
                                                                                  "not_slot_owner",
                                                                                  "slot_unowned",
                                                                                  "key_missing",
                                                                                  "key_invalid",
                                                                                  "key_too_old",
                                                                                  "key_from_future",
                                                                                  "key_table_full",
                                                                                  "key_reused",
                                                                                  "recovering",
                                                                                  "retry_budget_spent",
                                                                                  "connection_limit",
                                                                                  "caller_gone",
                                                                                  "not_configured",
                                                                                  "internal",
                                                                                  "request_quarantined",
                                                                                  "caller_key_missing",
                                                                                  "caller_key_unknown",
                                                                                  "over_allowance",
                                                                                  "allowance_unknown",
                                                                                  "endpoint_limit",
                                                                                  "origin_unknown",
                                                                                  "software_version_gone",
                                                                                  "prompt_part_quarantined"};
};

/// Reason for a further attempt. Each value has a counter.
enum class RetryReason : std::uint8_t {
    Refused, ///< a sidecar proved that the call was not executed
    SidecarLost,
    BrokenAnswer,
    EngineFailed,
    StaleRevision,
    SlotMoved,
    Hedge,
    EngineStopped, ///< its VM has probably stopped, and the call has received nothing
    Count
};
template<>
struct EnumNames<RetryReason>
{
    static constexpr std::array<std::string_view, enumCount<RetryReason>> table{
        "refused",        "sidecar_lost", "broken_answer", "engine_failed",
        "stale_revision", "slot_moved",   "hedge",         "engine_stopped"};
};

/// Result of an execution as seen by its sidecar.
enum class CallOutcome : std::uint8_t {
    Complete, ///< the complete answer was read, whatever its status
    Cancelled, ///< confirmed by the endpoint
    Failed, ///< the endpoint reported an error or truncated its answer
    Unknown, ///< the connection was lost; the endpoint may still be running it
    Count
};
template<>
struct EnumNames<CallOutcome>
{
    static constexpr std::array<std::string_view, enumCount<CallOutcome>> table{"complete", "cancelled", "failed",
                                                                                "unknown"};
};

/// Reason for the failure of a started call.
enum class FailureReason : std::uint8_t {
    None,
    EndpointError,
    EndpointUnreachable, ///< the connection was refused: nothing was sent
    EndpointCut, ///< the connection closed before the end of the answer
    EndpointRestarted,
    SidecarLost,
    DeadlinePassed,
    CallerGone,
    SlowReader,
    AnswerIncomplete, ///< frame count or digest does not match
    ProcessStopped, ///< the process that served the call has ended
    Count
};
template<>
struct EnumNames<FailureReason>
{
    static constexpr std::array<std::string_view, enumCount<FailureReason>> table{
        "none",           "endpoint_error",  "endpoint_unreachable", "endpoint_cut", "endpoint_restarted",
        "sidecar_lost",   "deadline_passed", "caller_gone",          "slow_reader",  "answer_incomplete",
        "process_stopped"};
};

/// State of an adapter version at an engine, as tracked by its sidecar.
enum class ResidencyState : std::uint8_t {
    Absent,
    Loading,
    Resident,
    Evicting, ///< accepts no new pins
    Unknown, ///< the reply to an order was lost; resolved by listing the engine's adapters
    Count
};
template<>
struct EnumNames<ResidencyState>
{
    static constexpr std::array<std::string_view, enumCount<ResidencyState>> table{"absent", "loading", "resident",
                                                                                   "evicting", "unknown"};
};

/// Result of an order to an engine.
enum class OrderOutcome : std::uint8_t {
    Done,
    Refused, ///< the endpoint rejected it before any effect
    Failed, ///< the endpoint executed it and failed
    Unknown, ///< the reply was lost; the order may take effect later or already has
    FencedOff, ///< the endpoint has seen a newer fencing number
    Expired, ///< the grant arrived after its deadline
    Count
};
template<>
struct EnumNames<OrderOutcome>
{
    static constexpr std::array<std::string_view, enumCount<OrderOutcome>> table{"done",    "refused",    "failed",
                                                                                 "unknown", "fenced_off", "expired"};
};

/// Protocol version of the messages between processes.
constexpr std::uint32_t wireProtocol = 1;

/// One counter per value of an enumeration.
template<class E>
class Counters
{
public:
    void add(E value, std::uint64_t n = 1)
    {
        counts_[static_cast<std::size_t>(value)] += n;
    }
    std::uint64_t of(E value) const
    {
        return counts_[static_cast<std::size_t>(value)];
    }
    std::uint64_t total() const
    {
        std::uint64_t sum = 0;
        for (const auto count : counts_) {
            sum += count;
        }
        return sum;
    }

private:
    std::array<std::uint64_t, enumCount<E>> counts_{};
};

template<class... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace anvilscale

template<class Tag>
struct std::hash<anvilscale::Handle<Tag>>
{
    std::size_t operator()(const anvilscale::Handle<Tag> &handle) const noexcept
    {
        return std::hash<std::uint64_t>{}(handle.value);
    }
};
