// Platform library: the key-value service and the list of VMs. The types here are what decisions speak; the
// adapters (src/platform, one file per protocol) turn them into requests. The first key-value adapter speaks a
// subset of the etcd v3 JSON gateway; the users' own protocol plugs in as another type that meets KeyValueService.
#pragma once

#include "anvilscale/base.h"

#include <concepts>
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
    std::vector<KvEntry> entries;
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

} // namespace anvilscale
