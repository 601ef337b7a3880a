// Slots of plain endpoints at the sidecar that leases them.
#include "slot_fixture.h"

namespace anvilscale::test {

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

// Guards against a sidecar that uses up its memory because an endpoint that is full declares very many slots.
TEST_F(Slots, FullEndpointWithVeryManySlotsCostsLittle)
{
    endpoints_ = {"p-1"};
    auto request = makeAsk(1);
    request.mutable_endpoints(0)->set_slots(3'000'000);
    ask(entryOne, request);
    table_.takeMessages();
    giveBack(entryOne, 1, false, true);
    EXPECT_LE(table_.stats().leases, 1000U);
    request.set_call(2);
    ask(entryOne, request);
    const auto messages = table_.takeMessages();
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_TRUE(messages[0].answer.queued()) << "all slots are in use, and the first ones become free soon";
    advance(Seconds(31));
    EXPECT_EQ(table_.stats().leases, 1U) << "of the second call";
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

} // namespace anvilscale::test
