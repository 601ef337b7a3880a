// An in-memory store with revisions, transactions, leases and a kept history for watches, after the published data
// model of etcd v3. No HTTP here.
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

struct StoredEntry
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

struct StoreEvent
{
    bool deleted = false;
    StoredEntry entry;
};

enum class CompareTarget {
    ModRevision,
    CreateRevision,
    Version
};

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

struct StoreOperation
{
    OperationKind kind = OperationKind::Range;
    std::string key;
    std::string rangeEnd;
    std::string value;
    std::int64_t lease = 0;
};

struct OperationResult
{
    OperationKind kind = OperationKind::Range;
    std::vector<StoredEntry> entries;
    std::int64_t deleted = 0;
};

struct TxnResult
{
    bool leaseMissing = false; ///< nothing was changed
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<OperationResult> results;
};

class KeyValueStore
{
public:
    using Clock = std::chrono::steady_clock;

    TxnResult txn(const std::vector<StoreCompare> &compares, const std::vector<StoreOperation> &success,
                  const std::vector<StoreOperation> &failure);
    std::int64_t revision() const;

    std::int64_t grantLease(std::int64_t seconds);
    /// Seconds granted, or nothing if the lease is not known.
    std::optional<std::int64_t> keepAlive(std::int64_t lease);
    bool revokeLease(std::int64_t lease);
    /// Removes leases that ran out, with their keys.
    void expireLeases(Clock::time_point now);
    std::size_t leases() const;

    void compact(std::int64_t revision);
    std::int64_t compacted() const;
    /// Events of [key, rangeEnd) from `from` on; waits up to `wait` for the first. `next` is set to where to go on.
    std::vector<StoreEvent> events(const std::string &key, const std::string &rangeEnd, std::int64_t from,
                                   std::chrono::milliseconds wait, std::int64_t &next);

private:
    struct Lease
    {
        std::int64_t seconds = 0;
        Clock::time_point end;
    };

    bool holds(const StoreCompare &compare) const;
    OperationResult apply(const StoreOperation &operation, std::int64_t at, bool &changed);
    void remove(const std::string &key, std::int64_t at);
    void dropLease(std::int64_t lease);
    std::vector<std::string> keysIn(const std::string &key, const std::string &rangeEnd) const;

    mutable std::mutex mutex_; // guards all below
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_ = 0;
    std::int64_t lastLease_ = 1000;
    std::map<std::string, StoredEntry> entries_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<StoreEvent> history_; // in order of revision
};

} // namespace standins
