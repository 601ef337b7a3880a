// State of a slot owner: cached leases and table, current step, and the transfer in progress.
#pragma once

#include "kv_ids.h"
#include "later_now.h"
#include "slot_giving.h"

namespace anvilscale {

constexpr Duration soon = Milliseconds(20); // delay from a relevant change to the next plan

/// Formats an incarnation for the lease key: hexadecimal with a fixed length, so that keys sort by it.
std::string incarnationText(std::uint64_t incarnation);

struct SlotOwner::Impl
{
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
    KvIds ids;
    Random random;
    Backoff backoff;
    LeaseKeeper lease;
    KeyFollower follower; // watches the table

    config::SlotTable table;
    std::int64_t tableMod = 0; // modification revision of `table`; never decreases
    std::vector<std::string> members;
    LeaseHolders holders; // from the last read
    std::int64_t holdersRevision = 0; // store revision of that read
    Step step = Step::Idle;
    KvHandle pending;
    bool planAgain = false; // a change arrived while a step was in progress
    TimerHandle planTimer;
    TimerHandle resendTimer;
    bool draining = false;
    std::optional<SlotGiving> giving; // transfer in progress; its slots are refused
    bool resuming = false; // the transfer was aborted; its slots are ours again after the next write
    std::set<std::string> deafReceivers; // did not acknowledge a transfer, or sent one to us
    std::optional<TimePoint> orphansSince; // time since which unclaimed slots exist
    config::SlotTable written; // table being written, in Step::Writing

    Impl(Init from, std::function<void(KvRequest)> to);
    ~Impl();
    LeaseKeeper::Init leaseInit() const;
    std::uint32_t slotCount() const;
    bool mine(const SlotState &slot) const;
    bool mineUnderLease(const config::SlotRange &range) const;
    void planIn(Duration wait, Now now);
    void read(Step next, std::string key, std::string rangeEnd);
    void beginPlan(Now now);
    void takeTable(const std::vector<KvEntry> &entries);
    void onLeases(const KvReply &reply, Now now);
    void onTable(const KvReply &reply, Now now);
    void onWritten(const KvReply &reply, Now now);
    void plan(Now now);
    bool moveGiven(std::vector<SlotState> &slots, std::vector<KvCompare> &compares);
    bool reclaim(std::vector<SlotState> &slots);
    bool claim(std::vector<SlotState> &slots, std::vector<KvCompare> &compares, Now now);
    bool release(std::vector<SlotState> &slots, Now now);
    void write(const std::vector<SlotState> &slots, std::vector<KvCompare> compares);
    void beginGiving(const std::vector<SlotState> &slots, Now now);
    std::string chooseReceiver(const std::vector<SlotState> &slots) const;
    std::size_t excess(const std::vector<SlotState> &slots) const;
    void resend(Now now);
    void giveUpReceiver(Now now);
};

} // namespace anvilscale
