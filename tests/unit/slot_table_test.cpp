// Slots of plain endpoints at the sidecar that leases them.
#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

constexpr Duration runTime = Milliseconds(60);
constexpr std::uint32_t slotsEach = 6;

std::uint64_t toUs(Duration span)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

class Slots : public testing::Test
{
protected:
    struct Running
    {
        PeerHandle entry;
        std::uint64_t call = 0;
        std::string endpoint;
        std::string workspace;
    };

    wire::SlotAsk makeAsk(std::uint64_t call, Duration wait = Milliseconds(240)) const
    {
        wire::SlotAsk ask;
        ask.set_call(call);
        ask.set_service("plain");
        for (const auto &id : endpoints_) {
            auto &endpoint = *ask.add_endpoints();
            endpoint.set_endpoint_id(id);
            endpoint.set_slots(slotsEach);
        }
        ask.set_wait_us(toUs(wait));
        ask.set_failure_us(toUs(deadline_));
        ask.set_limit_us(toUs(deadline_));
        return ask;
    }
    void ask(std::uint64_t entry, const wire::SlotAsk &request)
    {
        table_.onAsk(PeerHandle{entry}, request, now_);
    }
    /// Requests a slot that is expected to be granted at once; returns its endpoint.
    std::string take(std::uint64_t entry, std::uint64_t call)
    {
        ask(entry, makeAsk(call));
        const auto messages = table_.takeMessages();
        EXPECT_EQ(messages.size(), 1U);
        return messages.empty() ? "" : messages.front().answer.endpoint_id();
    }
    void giveBack(std::uint64_t entry, std::uint64_t call, bool failed = false, bool full = false)
    {
        wire::SlotReturn message;
        message.set_call(call);
        message.set_failed(failed);
        message.set_full(full);
        message.set_not_sent(full);
        message.set_run_us(toUs(runTime));
        table_.onReturn(PeerHandle{entry}, message, now_);
    }
    void fill()
    {
        for (std::uint64_t call = 1; call <= slotsEach * endpoints_.size(); ++call) {
            EXPECT_NE(take(entryOne, call), "");
        }
    }
    /// Runs calls one after the other at the endpoint, of which every `failedOf`-th fails; 0: none.
    void learn(const std::string &id, int calls, int failedOf)
    {
        const auto all = std::exchange(endpoints_, {id});
        for (int i = 1; i <= calls; ++i) {
            take(entryOne, ++learned_);
            giveBack(entryOne, learned_, failedOf != 0 && i % failedOf == 0);
        }
        endpoints_ = all;
    }
    void advance(Duration span)
    {
        now_ += span;
        table_.tick(now_);
    }

    static constexpr std::uint64_t entryOne = 1;
    Duration deadline_ = Milliseconds(1500); // of each caller
    std::vector<std::string> endpoints_{"p-1", "p-2", "p-3"};
    SlotTable table_;
    TimePoint now_{Seconds(100)};
    std::uint64_t learned_ = 1000;
};

/// Entries with one or no call in flight each, which send the next call some time after the last one has ended.
class SlotFleet : public Slots
{
protected:
    struct Entry
    {
        TimePoint nextAt{};
        TimePoint askedAt{};
        TimePoint endsAt{};
        std::string endpoint; // of its running call
        bool isAsking = false;
        std::uint64_t call = 0;
        std::string workspace;
        Duration pause{};
    };
    struct Counts
    {
        std::map<std::string, int> byEndpoint;
        std::map<std::string, int> served; // by workspace
        std::map<std::string, int> refused; // by workspace
        std::uint32_t mostAtOnce = 0; // at one endpoint
        Duration longestWait{}; // for a slot
    };

    void addEntries(int count, Duration pause, const std::string &workspace = "")
    {
        for (int i = 0; i < count; ++i) {
            Entry entry;
            entry.pause = pause;
            entry.workspace = workspace;
            entry.nextAt = now_ + pause * i / count;
            entries_.push_back(entry);
        }
    }
    /// Runs the fleet in steps of a millisecond. `failsOf`: every so-manieth call at p-1 fails; 0: none.
    Counts run(Duration span, int failsOf)
    {
        Counts counts;
        for (const auto end = now_ + span; now_ < end; advance(Milliseconds(1))) {
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                step(i, counts, failsOf);
            }
            std::map<std::string, std::uint32_t> running;
            for (const auto &entry : entries_) {
                running[entry.endpoint] += entry.endpoint.empty() ? 0 : 1;
            }
            for (const auto &[id, count] : running) {
                counts.mostAtOnce = std::max(counts.mostAtOnce, count);
            }
        }
        return counts;
    }
    void step(std::size_t index, Counts &counts, int failsOf)
    {
        auto &entry = entries_[index];
        if (!entry.endpoint.empty() && now_ >= entry.endsAt) {
            const bool failed = failsOf != 0 && entry.endpoint == "p-1" && ++callsAtFirst_ % failsOf == 0;
            giveBack(index + 1, entry.call, failed);
            entry.endpoint.clear();
            entry.nextAt = now_ + entry.pause;
        } else if (entry.endpoint.empty() && !entry.isAsking && now_ >= entry.nextAt) {
            auto request = makeAsk(++entry.call);
            request.set_workspace(entry.workspace);
            entry.isAsking = true;
            entry.askedAt = now_;
            ask(index + 1, request);
        }
        for (const auto &message : table_.takeMessages()) {
            onMessage(message, counts);
        }
    }
    void onMessage(const SlotMessage &message, Counts &counts)
    {
        auto &entry = entries_.at(message.entry.value - 1);
        if (message.answer.queued()) {
            return;
        }
        entry.isAsking = false;
        counts.longestWait = std::max(counts.longestWait, now_ - entry.askedAt);
        if (message.answer.endpoint_id().empty()) {
            ++counts.refused[entry.workspace];
            entry.nextAt = now_ + entry.pause;
            return;
        }
        entry.endpoint = message.answer.endpoint_id();
        entry.endsAt = now_ + runTime;
        ++counts.byEndpoint[entry.endpoint];
        ++counts.served[entry.workspace];
    }

    std::vector<Entry> entries_;
    int callsAtFirst_ = 0;
};

// Guards against the load of a heavy day: entries with one call in flight each sent five of six calls to the endpoint
// without failures and left the other one idle. A failure costs 25 ms here, less than the wait at the other endpoints.
TEST_F(SlotFleet, EntriesShareEndpointsEvenlyAlthoughOneFailsSomeCalls)
{
    deadline_ = Milliseconds(500);
    addEntries(26, Milliseconds(15));
    run(Seconds(5), 20);
    const auto counts = run(Seconds(20), 20);
    const int all = counts.byEndpoint.at("p-1") + counts.byEndpoint.at("p-2") + counts.byEndpoint.at("p-3");
    for (const auto &[id, count] : counts.byEndpoint) {
        EXPECT_NEAR(count, all / 3.0, 0.15 * all / 3.0) << id;
    }
    EXPECT_EQ(counts.refused.count(""), 0U);
    EXPECT_LE(counts.mostAtOnce, slotsEach);
}

// Guards against calls that are late or refused at the endpoints without failures while the other one is idle. A
// failure costs 75 ms here.
TEST_F(SlotFleet, NoCallWaitsForLongerThanAFailureCosts)
{
    addEntries(26, Milliseconds(15));
    run(Seconds(5), 20);
    const auto counts = run(Seconds(20), 20);
    EXPECT_EQ(counts.refused.count(""), 0U);
    EXPECT_LE(counts.longestWait, Milliseconds(100));
    EXPECT_LE(counts.mostAtOnce, slotsEach);
}

// Guards against endpoints with free slots that are used unevenly because their measured run times differ by chance.
TEST_F(SlotFleet, EntriesShareEndpointsEvenlyBelowTheirCapacity)
{
    addEntries(26, Milliseconds(300));
    const auto counts = run(Seconds(20), 0);
    for (const auto &[id, count] : counts.byEndpoint) {
        EXPECT_NEAR(count, 20000.0 / 360 * 26 / 3, 60) << id;
    }
}

// Guards against a peak of one workspace that takes the slots of all others, or their places among the waiting calls.
TEST_F(SlotFleet, WorkspaceWithSixTimesItsCallsDoesNotDisplaceOthers)
{
    endpoints_ = {"p-1"};
    for (const auto *workspace : {"a", "b", "c"}) {
        addEntries(2, Milliseconds(60), workspace);
    }
    addEntries(12, Milliseconds(60), "peak");
    const auto counts = run(Seconds(20), 0);
    for (const auto *workspace : {"a", "b", "c"}) {
        EXPECT_EQ(counts.refused.count(workspace), 0U) << workspace;
        EXPECT_GT(counts.served.at(workspace), 2 * 20000 / 120 * 8 / 10) << workspace << ": nearly as without the peak";
    }
    EXPECT_GT(counts.served.at("peak"), 500) << "the rest of the slots is used";
}

// Guards against a penalty for failures that outweighs any wait.
TEST_F(Slots, EndpointWithSomeFailuresIsBetterThanALongWait)
{
    learn("p-1", 100, 20);
    endpoints_ = {"p-2"};
    fill();
    for (std::uint64_t call = 100; call < 160; ++call) {
        ask(entryOne, makeAsk(call, Seconds(1))); // wait for up to 600 ms at the endpoint without failures
    }
    table_.takeMessages();
    endpoints_ = {"p-1", "p-2"};
    EXPECT_EQ(take(2, 1), "p-1");
}

// Guards against calls that fail although endpoints without failures have free slots.
TEST_F(Slots, EndpointWithoutFailuresIsPreferredWhileItHasFreeSlots)
{
    learn("p-1", 100, 20);
    for (std::uint64_t call = 1; call <= slotsEach; ++call) {
        EXPECT_NE(take(entryOne, call), "p-1");
    }
}

// Guards against an endpoint that gets no calls for good after it has failed some.
TEST_F(Slots, EndpointThatHasRecoveredIsProbedAndUsedAgain)
{
    endpoints_ = {"p-1", "p-2"};
    learn("p-1", 50, 1);
    int probes = 0;
    int sentBefore = 0;
    for (std::uint64_t call = 1; call <= 6000; ++call) {
        const bool isProbe = take(entryOne, call) == "p-1";
        sentBefore += isProbe && call <= 500 ? 1 : 0;
        probes += isProbe && call > 5000 ? 1 : 0;
        giveBack(entryOne, call);
        advance(Milliseconds(10));
    }
    EXPECT_GE(sentBefore, 5) << "one of some fifty calls";
    EXPECT_LE(sentBefore, 11);
    EXPECT_GE(probes, 400) << "half of the calls after its recovery";
}

// Guards against calls that wait in the endpoint's own queue, or are refused there as full.
TEST_F(Slots, NothingIsGrantedBeyondDeclaredSlots)
{
    fill();
    ask(2, makeAsk(1));
    auto messages = table_.takeMessages();
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_TRUE(messages[0].answer.queued());
    giveBack(entryOne, 1);
    messages = table_.takeMessages();
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages[0].entry, PeerHandle{2});
    EXPECT_FALSE(messages[0].answer.endpoint_id().empty());
}

// Guards against calls that are held until their callers leave, and against refused callers that return all at once.
TEST_F(Slots, CallWithoutASlotInTimeIsRefusedAtOnceAndRetriesAreSpread)
{
    fill();
    std::uint64_t last = 0;
    for (std::uint64_t call = 1; call <= 100; ++call) {
        ask(2, makeAsk(call, Milliseconds(3)));
        const auto messages = table_.takeMessages();
        ASSERT_EQ(messages.size(), 1U);
        EXPECT_TRUE(messages[0].answer.endpoint_id().empty());
        EXPECT_FALSE(messages[0].answer.queued());
        EXPECT_GT(messages[0].answer.retry_after_us(), last) << "later than the one before";
        last = messages[0].answer.retry_after_us();
    }
    EXPECT_LT(last, toUs(Seconds(1))) << "100 calls in 18 slots of 50 ms";
}

// Guards against a call that waits for longer than it may because calls before it run longer than usual.
TEST_F(Slots, WaitingCallIsRefusedAtTheEndOfItsWait)
{
    fill();
    ask(2, makeAsk(1, Milliseconds(30)));
    table_.takeMessages();
    advance(Milliseconds(30));
    const auto messages = table_.takeMessages();
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_FALSE(messages[0].answer.queued());
    EXPECT_GT(messages[0].answer.retry_after_us(), 0U);
}

// Guards against urgent calls that are late because of calls that have time.
TEST_F(Slots, UrgentCallsAreFirst)
{
    fill();
    ask(2, makeAsk(1));
    auto urgent = makeAsk(2);
    auto lazy = makeAsk(1);
    lazy.set_call(3);
    lazy.set_priority(2);
    ask(2, lazy);
    ask(2, urgent);
    table_.takeMessages();
    for (const std::uint64_t expected : {1U, 2U, 3U}) {
        giveBack(entryOne, expected);
        const auto messages = table_.takeMessages();
        ASSERT_EQ(messages.size(), 1U);
        EXPECT_EQ(messages[0].answer.call(), expected);
    }
}

// Guards against slots that stay taken after their entry has crashed or was cut off.
TEST_F(Slots, LeasesAndWaitsOfALostEntryEnd)
{
    fill();
    ask(entryOne, makeAsk(100));
    table_.takeMessages();
    ask(2, makeAsk(1));
    table_.takeMessages();
    table_.onEntryLost(PeerHandle{entryOne}, now_);
    const auto messages = table_.takeMessages();
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages[0].entry, PeerHandle{2});
    EXPECT_EQ(table_.stats().leases, 1U);
}

// Guards against slots that stay taken because an entry is frozen or its return was lost.
TEST_F(Slots, LeasesExpireAtTheCallersDeadline)
{
    fill();
    advance(Milliseconds(1499));
    EXPECT_EQ(table_.stats().leases, 18U);
    advance(Milliseconds(1));
    EXPECT_EQ(table_.stats().leases, 0U);
    EXPECT_EQ(table_.stats().expired, 18U);
    giveBack(entryOne, 1); // a late return
    EXPECT_NE(take(entryOne, 200), "");
}

// Guards against calls to an endpoint that is full with calls of entries that use another sidecar.
TEST_F(Slots, EndpointThatRefusesAsFullGetsNoCallsForAWhile)
{
    endpoints_ = {"p-1", "p-2"};
    learn("p-1", 20, 0);
    learn("p-2", 20, 0);
    const auto first = take(entryOne, 1);
    giveBack(entryOne, 1, false, true);
    for (std::uint64_t call = 2; call <= 7; ++call) {
        EXPECT_NE(take(entryOne, call), first);
    }
    advance(runTime);
    EXPECT_EQ(take(entryOne, 8), first);
}

// Guards against a repeated or a late message that takes or frees a slot twice.
TEST_F(Slots, DuplicateAndUnknownMessagesHaveNoEffect)
{
    take(entryOne, 1);
    ask(entryOne, makeAsk(1));
    EXPECT_TRUE(table_.takeMessages().empty());
    EXPECT_EQ(table_.stats().leases, 1U);
    giveBack(entryOne, 1);
    giveBack(entryOne, 1);
    giveBack(2, 1);
    EXPECT_EQ(table_.stats().leases, 0U);
}

// Guards against a slot that is granted to a call whose entry no longer waits for it.
TEST_F(Slots, WithdrawnCallGetsNoSlot)
{
    fill();
    ask(2, makeAsk(1));
    table_.takeMessages();
    wire::SlotReturn withdrawal;
    withdrawal.set_call(1);
    withdrawal.set_not_sent(true);
    table_.onReturn(PeerHandle{2}, withdrawal, now_);
    giveBack(entryOne, 1);
    EXPECT_TRUE(table_.takeMessages().empty());
}

// Guards against a sidecar whose memory grows with each service and endpoint that has ever been named.
TEST_F(Slots, UnusedServicesAreForgotten)
{
    take(entryOne, 1);
    giveBack(entryOne, 1);
    EXPECT_EQ(table_.stats().services, 1U);
    advance(Seconds(120));
    EXPECT_EQ(table_.stats().services, 0U);
}

} // namespace

} // namespace anvilscale::test
