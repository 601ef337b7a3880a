// State of the owner of slots: what it has read, the step it is in, and what it gives to another owner.
#pragma once

#include "kv_ids.h"
#include "later_now.h"
#include "slot_giving.h"

namespace anvilscale {

constexpr Duration soon = Milliseconds(20); // from a change that matters to the next plan

/// An incarnation as it stands in the key of its lease: hexadecimal, of equal length, so that keys sort by it.
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
    KeyFollower follower; // of the table

    config::SlotTable table;
    std::int64_t tableMod = 0; // modification revision of `table`; only grows
    std::vector<std::string> members;
    LeaseHolders holders; // as of the last read
    std::int64_t holdersRevision = 0; // store revision of that read
    Step step = Step::Idle;
    KvHandle pending;
    bool planAgain = false; // something happened while a step was under way
    TimerHandle planTimer;
    TimerHandle resendTimer;
    bool draining = false;
    std::optional<SlotGiving> giving; // its slots are refused
    bool resuming = false; // the hand-over was given up: the slots are ours again after the next write
    std::set<std::string> deafReceivers; // did not acknowledge, or gave to us
    std::optional<TimePoint> orphansSince; // slots that no member takes up
    config::SlotTable written; // while Writing

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
