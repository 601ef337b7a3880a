// An in-memory key-value service in virtual time: transactions, leases and watches with one store revision.
#pragma once

#include "anvilscale/platform.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace anvilscale::test {

/// Executes requests of the key-value interface at the times given by the caller.
class MemoryKv
{
public:
    using Sink = std::function<void(KvReply)>;

    /// Executes the request and returns its reply. Events of a watch go to `sink`, past events during this call.
    KvReply apply(const KvRequest &request, TimePoint now, const Sink &sink)
    {
        expire(now);
        KvReply reply;
        reply.id = request.id;
        switch (request.op) {
        case KvOp::Range:
            reply.entries = range(request.key, request.rangeEnd);
            break;
        case KvOp::Txn:
            applyTransaction(request, reply);
            break;
        case KvOp::LeaseGrant:
            reply.lease = ++lastLease_;
            reply.ttl = request.ttl;
            leases_[reply.lease] = {request.ttl, now + request.ttl};
            break;
        case KvOp::LeaseKeepAlive:
            keepAlive(request, reply, now);
            break;
        case KvOp::LeaseRevoke:
            removeLease(request.lease);
            break;
        case KvOp::Watch:
            watch(request, reply, sink);
            break;
        case KvOp::WatchCancel:
            watches_.erase(request.id.value);
            break;
        case KvOp::Count:
            break;
        }
        reply.storeRevision = revision_;
        return reply;
    }
    /// Removes expired leases with their keys.
    void expire(TimePoint now)
    {
        std::vector<std::uint64_t> expired;
        for (const auto &[lease, state] : leases_) {
            if (state.expiresAt <= now) {
                expired.push_back(lease);
            }
        }
        for (const auto lease : expired) {
            removeLease(lease);
        }
    }
    /// Fails all watches with Unavailable, as an outage of the service does.
    void breakWatches()
    {
        const auto broken = std::exchange(watches_, {});
        for (const auto &[id, watch] : broken) {
            KvReply reply;
            reply.id = KvHandle{id};
            reply.status = KvStatus::Unavailable;
            watch.sink(std::move(reply));
        }
    }
    /// Discards the history. Watches from a revision before it get the status Compacted.
    void compactHistory()
    {
        history_.clear();
        compactedRevision_ = revision_;
    }
    const KvEntry *find(const std::string &key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? nullptr : &found->second;
    }
    std::int64_t revision() const
    {
        return revision_;
    }

private:
    struct Lease
    {
        Duration ttl;
        TimePoint expiresAt;
    };
    struct Watch
    {
        std::string key;
        std::string rangeEnd;
        Sink sink;
    };
    static bool isInRange(const std::string &key, const std::string &first, const std::string &end)
    {
        return end.empty() ? key == first : key >= first && key < end;
    }
    std::vector<KvEntry> range(const std::string &key, const std::string &end) const
    {
        std::vector<KvEntry> found;
        for (auto it = entries_.lower_bound(key); it != entries_.end() && isInRange(it->first, key, end); ++it) {
            found.push_back(it->second);
        }
        return found;
    }
    void applyTransaction(const KvRequest &request, KvReply &reply)
    {
        const bool isSatisfied =
            std::all_of(request.compares.begin(), request.compares.end(), [this](const KvCompare &c) {
                const auto *entry = find(c.key);
                return (entry == nullptr ? 0 : entry->modRevision) == c.modRevision;
            });
        if (!isSatisfied) {
            reply.status = KvStatus::Conflict;
            for (const auto &compare : request.compares) {
                if (const auto *entry = find(compare.key)) {
                    reply.entries.push_back(*entry);
                }
            }
            return;
        }
        for (const auto &put : request.puts) {
            if (put.lease != 0 && !leases_.contains(put.lease)) {
                reply.status = KvStatus::LeaseGone;
                return;
            }
        }
        std::vector<KvEntry> events;
        ++revision_;
        for (const auto &put : request.puts) {
            entries_[put.key] = KvEntry{put.key, put.value, revision_, put.lease, false};
            events.push_back(entries_[put.key]);
        }
        for (const auto &key : request.deletes) {
            if (entries_.erase(key) != 0) {
                events.push_back(KvEntry{key, "", revision_, 0, true});
            }
        }
        notifyWatches(events);
    }
    void keepAlive(const KvRequest &request, KvReply &reply, TimePoint now)
    {
        const auto found = leases_.find(request.lease);
        if (found == leases_.end()) {
            reply.status = KvStatus::LeaseGone;
            return;
        }
        found->second.expiresAt = now + found->second.ttl;
        reply.lease = request.lease;
        reply.ttl = found->second.ttl;
    }
    void removeLease(std::uint64_t lease)
    {
        leases_.erase(lease);
        std::vector<KvEntry> events;
        for (auto it = entries_.begin(); it != entries_.end();) {
            if (it->second.lease == lease && lease != 0) {
                events.push_back(KvEntry{it->first, "", revision_ + 1, 0, true});
                it = entries_.erase(it);
            } else {
                ++it;
            }
        }
        if (!events.empty()) {
            ++revision_;
            notifyWatches(events);
        }
    }
    void watch(const KvRequest &request, KvReply &reply, const Sink &sink)
    {
        if (request.startRevision <= compactedRevision_ && compactedRevision_ != 0) {
            reply.status = KvStatus::Compacted;
            return;
        }
        watches_[request.id.value] = Watch{request.key, request.rangeEnd, sink};
        for (const auto &event : history_) {
            if (event.modRevision >= request.startRevision && isInRange(event.key, request.key, request.rangeEnd)) {
                sendWatchEvent(request.id.value, {event}, event.modRevision);
            }
        }
    }
    void notifyWatches(const std::vector<KvEntry> &events)
    {
        history_.insert(history_.end(), events.begin(), events.end());
        for (const auto &[id, watch] : watches_) {
            std::vector<KvEntry> visibleEvents;
            for (const auto &event : events) {
                if (isInRange(event.key, watch.key, watch.rangeEnd)) {
                    visibleEvents.push_back(event);
                }
            }
            if (!visibleEvents.empty()) {
                sendWatchEvent(id, std::move(visibleEvents), revision_);
            }
        }
    }
    void sendWatchEvent(std::uint64_t id, std::vector<KvEntry> entries, std::int64_t revision)
    {
        KvReply reply;
        reply.id = KvHandle{id};
        reply.isEvent = true;
        reply.entries = std::move(entries);
        reply.storeRevision = revision;
        watches_.at(id).sink(std::move(reply));
    }

    std::map<std::string, KvEntry> entries_;
    std::map<std::uint64_t, Lease> leases_;
    std::map<std::uint64_t, Watch> watches_; // by request id, which is unique over all clients of a test
    std::vector<KvEntry> history_;
    std::int64_t revision_ = 1;
    std::int64_t compactedRevision_ = 0;
    std::uint64_t lastLease_ = 0;
};

} // namespace anvilscale::test
