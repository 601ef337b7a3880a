// An in-memory store with the data model of etcd v3: revisions, transactions, leases and a history for watches.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// A key with its value and revisions.
struct StoredEntry
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// A change as reported to watches. Of a deleted entry, only key and modRevision are set.
struct StoreEvent
{
    bool deleted = false;
    StoredEntry entry;
};

/// Field of an entry that a condition compares.
enum class CompareTarget {
    ModRevision,
    CreateRevision,
    Version
};

/// Condition of a transaction. A missing entry compares as 0.
struct StoreCompare
{
    std::string key;
    CompareTarget target = CompareTarget::ModRevision;
    std::int64_t expected = 0;
};

enum class OperationKind {
    Put,
    Delete,
    Range
};

/// Operation of a transaction. An empty rangeEnd selects the single key.
struct StoreOperation
{
    OperationKind kind = OperationKind::Range;
    std::string key;
    std::string rangeEnd;
    std::string value;
    std::int64_t lease = 0; ///< 0 for none
};

struct OperationResult
{
    OperationKind kind = OperationKind::Range;
    std::vector<StoredEntry> entries;
    std::int64_t deleted = 0;
};

struct TxnResult
{
    bool leaseMissing = false; ///< a lease is unknown, and nothing was changed
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<OperationResult> results;
};

/// Thread-safe store.
class KeyValueStore
{
public:
    using Clock = std::chrono::steady_clock;

    /// Executes `success` if all conditions hold, otherwise `failure`, at one revision.
    TxnResult txn(const std::vector<StoreCompare> &compares, const std::vector<StoreOperation> &success,
                  const std::vector<StoreOperation> &failure);
    std::int64_t revision() const;

    /// Returns the id of the new lease.
    std::int64_t grantLease(std::int64_t seconds);
    /// Renews the lease. Returns its time to live in seconds, or nothing if the lease is unknown.
    std::optional<std::int64_t> keepAlive(std::int64_t lease);
    /// Removes the lease and its keys. Returns false if the lease is unknown.
    bool revokeLease(std::int64_t lease);
    /// Removes expired leases and their keys.
    void expireLeases(Clock::time_point now);
    std::size_t leaseCount() const;

    /// Discards the history before the given revision.
    void compact(std::int64_t revision);
    std::int64_t compactedRevision() const;
    /// Returns events of [key, rangeEnd) from revision `from` on. Waits up to `wait` for that revision. Sets `next` to
    /// the revision to continue from.
    std::vector<StoreEvent> waitForEvents(const std::string &key, const std::string &rangeEnd, std::int64_t from,
                                          std::chrono::milliseconds wait, std::int64_t &next);

private:
    struct Lease
    {
        std::int64_t seconds = 0;
        Clock::time_point expiresAt;
    };

    bool isSatisfied(const StoreCompare &compare) const;
    OperationResult apply(const StoreOperation &operation, std::int64_t newRevision, bool &changed);
    void remove(const std::string &key, std::int64_t newRevision);
    void removeLease(std::int64_t lease);
    std::vector<std::string> keysInRange(const std::string &key, const std::string &rangeEnd) const;

    mutable std::mutex mutex_; // guards all below
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::int64_t compactedRevision_ = 0;
    std::int64_t lastLease_ = 1000;
    std::map<std::string, StoredEntry> entries_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<StoreEvent> history_; // in order of revision
};

} // namespace standins
