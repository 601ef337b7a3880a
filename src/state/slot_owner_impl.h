// State of a slot owner: cached leases and table, current step, and the transfer in progress.
#pragma once

#include "advance_now.h"
#include "key_time_limit.h"
#include "kv_requests.h"
#include "slot_transfer.h"

namespace anvilscale {

constexpr Duration replanDelay = Milliseconds(20); // delay from a relevant change to the next plan

/// Formats an incarnation for the lease key: hexadecimal with a fixed length, so that keys sort by it.
std::string formatIncarnation(std::uint64_t incarnation);

struct SlotOwner::Impl
{
    /// Limit of the stamps that an owner admitted, as stored.
    struct StoredLimit
    {
        std::int64_t modRevision = 0;
        std::optional<WallTime> limit; // empty if the value cannot be read
    };

    enum class Step : std::uint8_t {
        Idle,
        ReadingLeases,
        ReadingTable,
        Writing,
    };

    Init init;
    std::function<void(KvRequest)> submit;
    std::string tableKey;
    std::string leasePrefix;
    KvRequestIds ids;
    Random random;
    Backoff backoff;
    LeaseHolder lease;
    KeyTimeLimit keyTimeLimit;
    KeyWatcher tableWatch; // watches the table

    config::SlotTable table;
    std::int64_t tableModRevision = 0; // modification revision of `table`; never decreases
    std::vector<std::string> members;
    LeaseHolders holders; // from the last read
    std::map<OwnerId, StoredLimit> limits; // from the same read, also of owners without a lease
    std::int64_t holdersRevision = 0; // store revision of that read
    Step step = Step::Idle;
    KvHandle pending;
    bool needsReplan = false; // a change arrived while a step was in progress
    TimerHandle planTimer;
    TimerHandle resendTimer;
    bool isDraining = false;
    std::optional<SlotTransfer> transfer; // transfer in progress; its slots are refused
    bool isReclaiming = false; // the transfer was aborted; its slots are ours again after the next write
    std::set<std::string> excludedReceivers; // did not acknowledge a transfer, or sent one to us
    std::optional<TimePoint> unclaimedSince; // time since which unclaimed slots exist
    config::SlotTable pendingTable; // table being written, in Step::Writing

    Impl(Init initValue, std::function<void(KvRequest)> submitRequest);
    ~Impl();
    LeaseHolder::Init leaseInit() const;
    KeyTimeLimit::Init keyTimeLimitInit() const;
    std::string leaseKeyOf(const OwnerId &owner) const;
    std::string limitKeyOf(const OwnerId &owner) const;
    void applyOwnerEntry(const KvEntry &entry);
    void renewKeyTimeLimit(Now now);
    WallTime largestAdmitted() const;
    bool isFree(const SlotState &slot) const;
    SlotState claimedFrom(const SlotState &slot, std::uint64_t fence, Now now) const;
    std::uint32_t slotCount() const;
    bool isOwnedBySelf(const SlotState &slot) const;
    bool isOwnedUnderLease(const config::SlotRange &range) const;
    void schedulePlan(Duration wait, Now now);
    void read(Step next, std::string key, std::string rangeEnd);
    void beginPlan(Now now);
    void updateTable(const std::vector<KvEntry> &entries);
    void onLeasesReply(const KvReply &reply, Now now);
    void onTableReply(const KvReply &reply, Now now);
    void onWriteReply(const KvReply &reply, Now now);
    void plan(Now now);
    bool completeTransfer(std::vector<SlotState> &slots, std::vector<KvCompare> &compares);
    bool reclaim(std::vector<SlotState> &slots);
    bool claim(std::vector<SlotState> &slots, std::vector<KvCompare> &compares, Now now);
    std::vector<std::string> takeUnusedLimits(const std::vector<SlotState> &slots,
                                              std::vector<KvCompare> &compares) const;
    bool release(std::vector<SlotState> &slots, Now now);
    void write(const std::vector<SlotState> &slots, std::vector<KvCompare> compares,
               std::vector<std::string> deletes = {});
    void beginTransfer(const std::vector<SlotState> &slots, Now now);
    std::string chooseReceiver(const std::vector<SlotState> &slots) const;
    std::size_t excessSlots(const std::vector<SlotState> &slots) const;
    void resend(Now now);
    void abortTransfer(Now now);
};

} // namespace anvilscale
