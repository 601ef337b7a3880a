// Platform library: interfaces to the key-value service and to the list of VMs, and their HTTP adapters.
#pragma once

#include "anvilscale/base.h"

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilscale {

enum class KvOp : std::uint8_t {
    Range, ///< reads `key` or [key, rangeEnd)
    Txn, ///< applies all puts and deletes atomically if all compares hold
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch, ///< reports events of [key, rangeEnd) from `startRevision` on until cancelled
    WatchCancel, ///< cancels the watch `id`
    Count
};
template<>
struct EnumNames<KvOp>
{
    static constexpr std::array<std::string_view, enumCount<KvOp>> table{
        "range", "txn", "lease_grant", "lease_keep_alive", "lease_revoke", "watch", "watch_cancel"};
};

enum class KvStatus : std::uint8_t {
    Ok,
    Conflict, ///< a compare did not hold; `entries` has the current state of the compared keys
    LeaseGone, ///< the lease does not exist
    Compacted, ///< the start revision of the watch was compacted: a full read is required
    Unavailable, ///< the request certainly had no effect: not sent, over budget, or refused
    Unknown, ///< sent without a reply: it may have taken effect or may still do so
    Count
};
template<>
struct EnumNames<KvStatus>
{
    static constexpr std::array<std::string_view, enumCount<KvStatus>> table{"ok",        "conflict",    "lease_gone",
                                                                             "compacted", "unavailable", "unknown"};
};

/// Holds if the key's modification revision equals `modRevision`; 0 requires that the key does not exist.
struct KvCompare
{
    std::string key;
    std::int64_t modRevision = 0;
};

struct KvPut
{
    std::string key;
    std::string value; ///< at most one megabyte
    std::uint64_t lease = 0;
};

struct KvRequest
{
    KvHandle id;
    KvOp op = KvOp::Range;
    std::string key;
    std::string rangeEnd; ///< only `key` if empty
    std::vector<KvCompare> compares;
    std::vector<KvPut> puts;
    std::vector<std::string> deletes;
    std::uint64_t lease = 0;
    Duration ttl{};
    std::int64_t startRevision = 0;
};

struct KvEntry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
    std::uint64_t lease = 0;
    bool isDeleted = false; ///< set in watch events only
};

/// Reply to a request. Each request gets one, in any order; a watch gets further ones with `isEvent` set.
struct KvReply
{
    KvHandle id;
    KvStatus status = KvStatus::Ok;
    bool isEvent = false;
    std::vector<KvEntry> entries = {};
    std::int64_t storeRevision = 0;
    std::uint64_t lease = 0;
    Duration ttl{};
};

/// Interface of a key-value service. submit() returns at once; replies arrive through the callback given at
/// construction, on any thread. Other protocols plug in as types that satisfy this concept.
template<class T>
concept KeyValueService = requires(T service, KvRequest request)
{
    {
        service.submit(std::move(request))
        } -> std::same_as<void>;
    {
        service.shutdown()
        } -> std::same_as<void>;
};

enum class VmState : std::uint8_t {
    Live,
    Leaving,
    Count
};
template<>
struct EnumNames<VmState>
{
    static constexpr std::array<std::string_view, enumCount<VmState>> table{"live", "leaving"};
};

enum class VmRole : std::uint8_t {
    Entry,
    Sidecar,
    Count
};
template<>
struct EnumNames<VmRole>
{
    static constexpr std::array<std::string_view, enumCount<VmRole>> table{"entry", "sidecar"};
};

/// One VM of the platform's list, which may lag behind the actual state.
struct VmInfo
{
    std::string name;
    VmRole role = VmRole::Entry;
    VmState state = VmState::Live;
    std::string dataCentre;
    std::string region;
    std::string address; ///< "IP:PORT" of the process's control socket
};

template<class T>
concept VmListSource = requires(T source)
{
    {
        source.requestRefresh()
        } -> std::same_as<void>;
    {
        source.shutdown()
        } -> std::same_as<void>;
};

/// Counters of a key-value adapter, exported as metrics.
struct KvStats
{
    std::array<Counters<KvStatus>, enumCount<KvOp>> replies; ///< by operation and status
    Counters<KvOp> calls; ///< calls to the service; each attempt and each watch connection counts as one
    std::uint64_t overBudget = 0; ///< requests refused by the call budget
    std::uint64_t queueFull = 0; ///< requests refused because a queue was full
    std::uint64_t failovers = 0; ///< attempts repeated at another endpoint
    std::uint64_t watchReconnects = 0;

    std::uint64_t of(KvOp op, KvStatus status) const
    {
        return replies[static_cast<std::size_t>(op)].of(status);
    }
};

/// Key-value service over the etcd v3 JSON gateway (HTTP). Each request is answered once, within twice the timeout.
/// An established watch reconnects after a lost connection and resumes from the last revision seen. Callbacks run on
/// the adapter's own threads; none runs after shutdown() has returned.
class EtcdGateway
{
public:
    struct Init
    {
        std::vector<std::string> endpoints; ///< "http://IP:PORT"; after a failure the next one is used
        Duration timeout = Seconds(2); ///< of one request, measured from submit()
        double callBudget = 50.0; ///< calls per second; unused budget of up to one second is kept for bursts
    };
    using Stats = KvStats;

    EtcdGateway(Init init, std::function<void(KvReply)> reply);
    ~EtcdGateway();
    EtcdGateway(const EtcdGateway &) = delete;
    EtcdGateway &operator=(const EtcdGateway &) = delete;

    /// Returns at once. Callable from any thread.
    void submit(KvRequest request);
    /// Closes all connections and joins all threads. Pending requests get no reply.
    void shutdown();
    Stats stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

enum class VmListError : std::uint8_t {
    Unreachable, ///< no connection, or no complete response in time
    BadStatus, ///< status other than 200
    TooLarge,
    BadForm, ///< not JSON, or not a list of VMs
    Count
};
template<>
struct EnumNames<VmListError>
{
    static constexpr std::array<std::string_view, enumCount<VmListError>> table{"unreachable", "bad_status",
                                                                                "too_large", "bad_form"};
};

/// Parses {"vms":[{"name","role","state","dataCentre","region","address"}]}. Ignores unknown fields. One invalid
/// element rejects the whole list, so that no VM seems to be removed.
tl::expected<std::vector<VmInfo>, VmListError> parseVmList(const std::string &json);

/// Polls the platform's list of VMs by HTTP GET, at an interval and on request. The callback runs on its own thread.
class HttpVmList
{
public:
    struct Init
    {
        std::string url; ///< "http://IP:PORT/path"
        Duration interval = Seconds(2);
        Duration timeout = Seconds(2);
    };
    using Result = tl::expected<std::vector<VmInfo>, VmListError>;

    HttpVmList(Init init, std::function<void(Result)> callback);
    ~HttpVmList();
    HttpVmList(const HttpVmList &) = delete;
    HttpVmList &operator=(const HttpVmList &) = delete;

    /// Reads the list at once instead of after the interval. Callable from any thread.
    void requestRefresh();
    void shutdown();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Reads the list once, for command-line tools.
HttpVmList::Result readVmList(const std::string &url, Duration timeout);

} // namespace anvilscale
