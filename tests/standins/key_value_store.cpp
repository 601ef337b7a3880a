// In-memory store of the key-value stand-in.
#include "key_value_store.h"

#include <algorithm>

namespace standins {

namespace {
bool inRange(const std::string &candidate, const std::string &key, const std::string &rangeEnd)
{
    if (rangeEnd.empty()) {
        return candidate == key;
    }
    const bool isOpenEnded = rangeEnd == std::string(1, '\0');
    return candidate >= key && (isOpenEnded || candidate < rangeEnd);
}
} // namespace

bool KeyValueStore::isSatisfied(const StoreCompare &compare) const
{
    const auto found = entries_.find(compare.key);
    const StoredEntry none;
    const StoredEntry &entry = found == entries_.end() ? none : found->second;
    switch (compare.target) {
    case CompareTarget::ModRevision:
        return entry.modRevision == compare.expected;
    case CompareTarget::CreateRevision:
        return entry.createRevision == compare.expected;
    case CompareTarget::Version:
        return entry.version == compare.expected;
    }
    return false;
}

std::vector<std::string> KeyValueStore::keysInRange(const std::string &key, const std::string &rangeEnd) const
{
    std::vector<std::string> keys;
    for (auto at = entries_.lower_bound(key); at != entries_.end() && inRange(at->first, key, rangeEnd); ++at) {
        keys.push_back(at->first);
    }
    return keys;
}

void KeyValueStore::remove(const std::string &key, std::int64_t newRevision)
{
    StoreEvent event;
    event.deleted = true;
    event.entry.key = key;
    event.entry.modRevision = newRevision;
    entries_.erase(key);
    history_.push_back(event);
}

OperationResult KeyValueStore::apply(const StoreOperation &operation, std::int64_t newRevision, bool &changed)
{
    OperationResult result;
    result.kind = operation.kind;
    if (operation.kind == OperationKind::Put) {
        auto &entry = entries_[operation.key];
        entry.key = operation.key;
        entry.value = operation.value;
        entry.createRevision = entry.createRevision == 0 ? newRevision : entry.createRevision;
        entry.modRevision = newRevision;
        ++entry.version;
        entry.lease = operation.lease;
        history_.push_back({false, entry});
        changed = true;
        return result;
    }
    for (const auto &key : keysInRange(operation.key, operation.rangeEnd)) {
        if (operation.kind == OperationKind::Range) {
            result.entries.push_back(entries_[key]);
            continue;
        }
        remove(key, newRevision);
        ++result.deleted;
        changed = true;
    }
    return result;
}

TxnResult KeyValueStore::txn(const std::vector<StoreCompare> &compares, const std::vector<StoreOperation> &success,
                             const std::vector<StoreOperation> &failure)
{
    const std::scoped_lock lock(mutex_);
    TxnResult result;
    result.succeeded = std::all_of(compares.begin(), compares.end(), [this](const auto &c) { return isSatisfied(c); });
    const auto &operations = result.succeeded ? success : failure;
    for (const auto &operation : operations) {
        if (operation.lease != 0 && !leases_.contains(operation.lease)) {
            result.leaseMissing = true;
            return result;
        }
    }
    bool changed = false;
    for (const auto &operation : operations) {
        result.results.push_back(apply(operation, revision_ + 1, changed));
    }
    if (changed) {
        ++revision_;
        changed_.notify_all();
    }
    result.revision = revision_;
    return result;
}

std::int64_t KeyValueStore::revision() const
{
    const std::scoped_lock lock(mutex_);
    return revision_;
}

std::int64_t KeyValueStore::grantLease(std::int64_t seconds)
{
    const std::scoped_lock lock(mutex_);
    leases_[++lastLease_] = {seconds, Clock::now() + std::chrono::seconds(seconds)};
    return lastLease_;
}

std::optional<std::int64_t> KeyValueStore::keepAlive(std::int64_t lease)
{
    const std::scoped_lock lock(mutex_);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return std::nullopt;
    }
    found->second.expiresAt = Clock::now() + std::chrono::seconds(found->second.seconds);
    return found->second.seconds;
}

void KeyValueStore::removeLease(std::int64_t lease)
{
    std::vector<std::string> keys;
    for (const auto &[key, entry] : entries_) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        remove(key, revision_ + 1);
    }
    if (!keys.empty()) {
        ++revision_;
        changed_.notify_all();
    }
    leases_.erase(lease);
}

bool KeyValueStore::revokeLease(std::int64_t lease)
{
    const std::scoped_lock lock(mutex_);
    if (!leases_.contains(lease)) {
        return false;
    }
    removeLease(lease);
    return true;
}

void KeyValueStore::expireLeases(Clock::time_point now)
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : leases_) {
        if (lease.expiresAt <= now) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        removeLease(id);
    }
}

std::size_t KeyValueStore::leaseCount() const
{
    const std::scoped_lock lock(mutex_);
    return leases_.size();
}

void KeyValueStore::compact(std::int64_t revision)
{
    const std::scoped_lock lock(mutex_);
    compactedRevision_ = std::max(compactedRevision_, revision);
    std::erase_if(history_, [this](const StoreEvent &event) { return event.entry.modRevision < compactedRevision_; });
}

std::int64_t KeyValueStore::compactedRevision() const
{
    const std::scoped_lock lock(mutex_);
    return compactedRevision_;
}

std::vector<StoreEvent> KeyValueStore::waitForEvents(const std::string &key, const std::string &rangeEnd,
                                                     std::int64_t from, std::chrono::milliseconds wait,
                                                     std::int64_t &next)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return revision_ >= from; });
    std::vector<StoreEvent> found;
    auto at = std::lower_bound(history_.begin(), history_.end(), from, [](const StoreEvent &event, std::int64_t bound) {
        return event.entry.modRevision < bound;
    });
    for (; at != history_.end(); ++at) {
        if (inRange(at->entry.key, key, rangeEnd)) {
            found.push_back(*at);
        }
    }
    next = std::max(from, revision_ + 1);
    return found;
}

} // namespace standins
