// Platform library: the key-value service and the list of VMs. The types here are what decisions speak; the
// adapters (src/platform, one file per protocol) turn them into requests. The first key-value adapter speaks a
// subset of the etcd v3 JSON gateway; the users' own protocol plugs in as another type that meets KeyValueService.
#pragma once

#include "anvilscale/base.h"

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilscale {

enum class KvOp : std::uint8_t {
    Range, ///< read `key` or [key, rangeEnd)
    Txn, ///< if all compares hold: all puts and deletes, at once
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch, ///< events of [key, rangeEnd) from `startRevision` on, until cancelled
    WatchCancel, ///< `id` names the watch
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
    Conflict, ///< a compare did not hold; `entries` hold the compared keys as they are
    LeaseGone, ///< the service does not know the lease
    Compacted, ///< a watch's start revision is no longer kept: read in full
    Unavailable, ///< certain: it had no effect (not sent, over budget, or refused)
    Unknown, ///< sent, no answer: it may have taken effect, or may yet
    Count
};
template<>
struct EnumNames<KvStatus>
{
    static constexpr std::array<std::string_view, enumCount<KvStatus>> table{"ok",        "conflict",    "lease_gone",
                                                                             "compacted", "unavailable", "unknown"};
};

/// Holds if the key's modification revision is `modRevision`; 0 means that the key must not exist.
struct KvCompare
{
    std::string key;
    std::int64_t modRevision = 0;
};

struct KvPut
{
    std::string key;
    std::string value; ///< at most a megabyte
    std::uint64_t lease = 0;
};

struct KvRequest
{
    KvHandle id;
    KvOp op = KvOp::Range;
    std::string key;
    std::string rangeEnd; ///< empty: `key` alone
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
    bool deleted = false; ///< in watch events only
};

/// One answer for each request, in any order; a watch gets further ones with `event` set.
struct KvReply
{
    KvHandle id;
    KvStatus status = KvStatus::Ok;
    bool event = false;
    std::vector<KvEntry> entries = {};
    std::int64_t storeRevision = 0;
    std::uint64_t lease = 0;
    Duration ttl{};
};

/// The key-value service as the daemon uses it. `submit` returns at once; replies come through the callback given
/// at construction, from any thread.
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

/// One line of the platform's lagging list of VMs.
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

/// What the key-value adapter did, for the metrics.
struct KvStats
{
    std::array<Counters<KvStatus>, enumCount<KvOp>> replies; ///< answers given, by operation and status
    Counters<KvOp> calls; ///< calls made to the service, each attempt and each watch connection as one
    std::uint64_t overBudget = 0; ///< requests turned away by the call budget
    std::uint64_t queueFull = 0; ///< requests turned away by the bounded queue
    std::uint64_t failovers = 0; ///< attempts that went on to another endpoint
    std::uint64_t watchReconnects = 0;

    std::uint64_t of(KvOp op, KvStatus status) const
    {
        return replies[static_cast<std::size_t>(op)].of(status);
    }
};

/// The key-value service through the etcd v3 JSON gateway (HTTP). Each request is answered once, within twice the
/// timeout; a watch that once stood is taken up again by itself after a lost connection, from the last revision seen.
/// Callbacks come from the adapter's own threads, and none after shutdown() has returned.
class EtcdGateway
{
public:
    struct Init
    {
        std::vector<std::string> endpoints; ///< "http://IP:PORT"; one that fails is followed by the next
        Duration timeout = Seconds(2); ///< of one request, from submit
        double callBudget = 50.0; ///< calls a second; a second's worth may be saved up
    };
    using Stats = KvStats;

    EtcdGateway(Init init, std::function<void(KvReply)> reply);
    ~EtcdGateway();
    EtcdGateway(const EtcdGateway &) = delete;
    EtcdGateway &operator=(const EtcdGateway &) = delete;

    /// Any thread. Returns at once.
    void submit(KvRequest request);
    /// Ends all connections and threads. Requests without an answer get none.
    void shutdown();
    Stats stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

enum class VmListError : std::uint8_t {
    Unreachable, ///< no connection, or none of the answer came in time
    BadStatus, ///< the platform answered with something other than 200
    TooLarge,
    BadForm, ///< not JSON, or not the form of a list of VMs
    Count
};
template<>
struct EnumNames<VmListError>
{
    static constexpr std::array<std::string_view, enumCount<VmListError>> table{"unreachable", "bad_status",
                                                                                "too_large", "bad_form"};
};

/// Reads the form {"vms":[{"name","role","state","dataCentre","region","address"}]}. Unknown fields are passed over:
/// the platform may add some. A list with one bad line is refused whole, so that no VM seems to be gone.
tl::expected<std::vector<VmInfo>, VmListError> parseVmList(const std::string &json);

/// The platform's list of VMs, read by HTTP GET on an interval and on request. The callback comes from its own thread.
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

    /// Any thread. Reads at once instead of at the next interval.
    void requestRefresh();
    void shutdown();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// One reading of the list, for tools.
HttpVmList::Result readVmList(const std::string &url, Duration timeout);

} // namespace anvilscale
