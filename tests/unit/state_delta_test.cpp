// Deltas of engine states: what sidecars send to which entry, and what entries make of it.
#include "state_delta_fixture.h"

namespace anvilscale::test {
namespace {

class DeltaPublisher : public testing::Test
{
protected:
    DeltaPublisher()
    {
        publisher_.update(makeLearnedState(fullEngine));
    }
    /// Sends the current state to the entry, which supports deltas.
    void connect(PeerHandle entry)
    {
        publisher_.onStateAcknowledged(entry, 0, true);
        ASSERT_TRUE(publisher_.buildMessage(entry).has_direct_state());
    }
    wire::Envelope sendAfter(const wire::DirectState &state, PeerHandle entry = first)
    {
        publisher_.update(state);
        return publisher_.buildMessage(entry);
    }

    StatePublisher publisher_{startTimeMs};
};

// Guards against a whole state to every entry for each adapter that an engine loads.
TEST_F(DeltaPublisher, LoadedAdapterIsSentAsDelta)
{
    connect(first);
    const auto message = sendAfter(makeLearnedState(replaceLast(fullEngine, "a4712")));
    ASSERT_TRUE(message.has_direct_delta());
    ASSERT_EQ(message.direct_delta().adapters_size(), 1);
    EXPECT_EQ(message.direct_delta().adapters(0).adapter(), "a4712");
    ASSERT_EQ(message.direct_delta().removed_size(), 1);
    EXPECT_EQ(message.direct_delta().removed(0).adapter(), "a9");
    EXPECT_TRUE(publisher_.buildMessage(first).has_direct_heartbeat());
}

// Guards against a delta that an entry with an earlier state ignores.
TEST_F(DeltaPublisher, EntriesWithDifferentStatesGetDifferentDeltas)
{
    connect(first);
    connect(second);
    const auto toFirst = sendAfter(makeLearnedState(replaceLast(fullEngine, "b1")));
    const auto last = makeLearnedState(replaceLast(replaceLast(fullEngine, "b1"), "b2"));
    const auto again = sendAfter(last);
    const auto toSecond = publisher_.buildMessage(second);
    ASSERT_TRUE(again.has_direct_delta());
    ASSERT_TRUE(toSecond.has_direct_delta());
    EXPECT_EQ(again.direct_delta().base(), toFirst.direct_delta().sequence());
    EXPECT_EQ(toSecond.direct_delta().base(), toFirst.direct_delta().base());
    EXPECT_EQ(toSecond.direct_delta().sequence(), again.direct_delta().sequence());
}

// Guards against load figures of the time at which a delta was built for the first entry.
TEST_F(DeltaPublisher, DeltaForAnotherEntryCarriesTheCurrentLoad)
{
    connect(first);
    connect(second);
    auto state = makeLearnedState(replaceLast(fullEngine, "b1"));
    sendAfter(state);
    state.set_unread_tokens(77);
    EXPECT_EQ(sendAfter(state, second).direct_delta().load().unread_tokens(), 77U);
}

// Guards against a history that grows while an entry gets no messages.
TEST_F(DeltaPublisher, EntryWithAnOldStateGetsTheWholeOne)
{
    connect(first);
    for (int i = 0; i < 40; ++i) {
        publisher_.update(makeLearnedState(replaceLast(fullEngine, "b" + std::to_string(i))));
    }
    EXPECT_TRUE(publisher_.buildMessage(first).has_direct_state());
}

// Guards against deltas that cost more than the state.
TEST_F(DeltaPublisher, DeltaThatIsNotSmallerIsNotUsed)
{
    connect(first);
    auto others = fullEngine;
    for (auto &adapter : others) {
        adapter += "x";
    }
    EXPECT_TRUE(sendAfter(makeLearnedState(others)).has_direct_state());
}

// Guards against changes that a delta does not carry, such as a new process of the engine.
TEST_F(DeltaPublisher, ChangeOfOtherFieldsSendsTheWholeState)
{
    connect(first);
    auto state = makeLearnedState(replaceLast(fullEngine, "b1"));
    state.set_born(startTimeMs);
    const auto message = sendAfter(state);
    ASSERT_TRUE(message.has_direct_state());
    EXPECT_EQ(message.direct_state().born(), startTimeMs);
}

// Guards against deltas to an entry of an older release, which drops them as unknown.
TEST_F(DeltaPublisher, EntryOfAnOlderReleaseGetsWholeStates)
{
    publisher_.onStateAcknowledged(first, publisher_.buildMessage(first).direct_state().sequence());
    EXPECT_TRUE(sendAfter(makeLearnedState(replaceLast(fullEngine, "b1"))).has_direct_state());
}

// Guards against a comparison with and without the mechanism that has deltas in both.
TEST_F(DeltaPublisher, SwitchedOffSidecarSendsWholeStates)
{
    DirectPolicy policy;
    policy.disabled.set(static_cast<std::size_t>(Mechanism::StateDeltas));
    publisher_ = StatePublisher(startTimeMs, policy);
    publisher_.update(makeLearnedState(fullEngine));
    connect(first);
    EXPECT_TRUE(sendAfter(makeLearnedState(replaceLast(fullEngine, "b1"))).has_direct_state());
}

// Guards against a switch that leaves the rounding of deltas in the whole states.
TEST_F(DeltaPublisher, SwitchedOffSidecarPublishesEveryChangeOfALearnedTime)
{
    DirectPolicy policy;
    policy.disabled.set(static_cast<std::size_t>(Mechanism::StateDeltas));
    publisher_ = StatePublisher(startTimeMs, policy);
    publisher_.update(makeLearnedState(fullEngine));
    connect(first);
    auto state = makeLearnedState(fullEngine);
    state.set_recent_load_ms(311);
    EXPECT_EQ(sendAfter(state).direct_state().recent_load_ms(), 311U);
}

// Guards against a whole state after each demand that crossed a state on its way.
TEST_F(DeltaPublisher, DemandSentBeforeTheLastStateArrivedRequestsNothing)
{
    connect(first);
    const auto delta = sendAfter(makeLearnedState(replaceLast(fullEngine, "b1"))).direct_delta();
    publisher_.onStateAcknowledged(first, delta.base(), true);
    EXPECT_TRUE(publisher_.buildMessage(first).has_direct_heartbeat());
}

// Guards against an entry without a state until its connection is renewed.
TEST_F(DeltaPublisher, EntryThatMissedAStateGetsTheWholeOne)
{
    connect(first);
    sendAfter(makeLearnedState(replaceLast(fullEngine, "b1")));
    publisher_.onStateAcknowledged(first, 0, true);
    EXPECT_TRUE(publisher_.buildMessage(first).has_direct_state());
}

// Guards against the subscription of a lost connection, kept in memory and used for the next one.
TEST_F(DeltaPublisher, LostConnectionEndsTheSubscription)
{
    connect(first);
    const auto known = sendAfter(makeLearnedState(replaceLast(fullEngine, "b1"))).direct_delta().sequence();
    publisher_.onEntryLost(first);
    publisher_.onStateAcknowledged(first, known, true);
    EXPECT_TRUE(publisher_.buildMessage(first).has_direct_state());
}

// Guards against a delta or heartbeat of a restarted sidecar that fits a state of its previous start by its number.
TEST_F(DeltaPublisher, RestartedSidecarSendsTheWholeState)
{
    connect(first);
    const auto known = sendAfter(makeLearnedState(replaceLast(fullEngine, "b1"))).direct_delta().sequence();
    publisher_ = StatePublisher(startTimeMs + 1500);
    publisher_.update(makeLearnedState(fullEngine));
    publisher_.update(makeLearnedState(replaceLast(fullEngine, "b2")));
    publisher_.onStateAcknowledged(first, known, true); // sent before the entry noticed the restart
    const auto message = publisher_.buildMessage(first);
    ASSERT_TRUE(message.has_direct_state());
    EXPECT_NE(message.direct_state().sequence(), known);
}

// Guards against a message to all entries for a learned time that changed by a millisecond.
TEST_F(DeltaPublisher, SmallChangeOfALearnedTimeIsNotPublished)
{
    connect(first);
    auto state = makeLearnedState(fullEngine);
    state.set_recent_load_ms(311);
    EXPECT_TRUE(sendAfter(state).has_direct_heartbeat());
    state.set_recent_load_ms(320);
    EXPECT_TRUE(sendAfter(state).has_direct_heartbeat());
    state.set_recent_load_ms(330); // in small steps, but far from the published 310
    const auto message = sendAfter(state);
    ASSERT_TRUE(message.has_direct_delta()) << "and not the whole state";
    EXPECT_EQ(message.direct_delta().figures().recent_load_ms(), 330U);
}

// Guards against whole states while the sidecar learns how many loads may run concurrently.
TEST_F(DeltaPublisher, DeltaCarriesLearnedFigures)
{
    connect(first);
    auto state = makeLearnedState(fullEngine);
    state.set_loads_at_once(5);
    const auto message = sendAfter(state);
    ASSERT_TRUE(message.has_direct_delta());
    EXPECT_EQ(message.direct_delta().figures().loads_at_once(), 5U);
    state = makeLearnedState(replaceLast(fullEngine, "b1"));
    state.set_loads_at_once(5);
    const auto later = sendAfter(state);
    ASSERT_TRUE(later.has_direct_delta());
    EXPECT_FALSE(later.direct_delta().has_figures()) << "only when one has changed";
}

// Guards against whole states to all entries for each entry that connects or visits: with 32 to 62 entries connected,
// each one changes the message interval.
TEST_F(DeltaPublisher, ChangedMessageIntervalIsSentAsDelta)
{
    connect(first);
    auto state = makeLearnedState(fullEngine);
    state.set_interval_ms(264);
    const auto message = sendAfter(state);
    ASSERT_TRUE(message.has_direct_delta());
    EXPECT_EQ(message.direct_delta().figures().interval_ms(), 264U);
}

// Guards against sizes in docs/design/control-traffic.md that no message has.
TEST_F(DeltaPublisher, SizesOfMessages)
{
    const auto size = [](wire::Envelope message) {
        message.set_protocol(wireProtocol);
        return message.SerializeAsString().size();
    };
    publisher_.onStateAcknowledged(first, 0, true);
    const auto whole = size(publisher_.buildMessage(first));
    const auto loaded = size(sendAfter(makeLearnedState(replaceLast(fullEngine, "a4712"))));
    const auto heartbeat = size(publisher_.buildMessage(first));
    std::cout << "bytes: whole state " << whole << ", delta " << loaded << ", heartbeat " << heartbeat << '\n';
    EXPECT_EQ(whole, 232U);
    EXPECT_EQ(loaded, 55U);
    EXPECT_EQ(heartbeat, 19U);
}

class DeltaCalls : public Calls
{
protected:
    DeltaCalls()
    {
        calls_.applyEndpoint(makeEndpoint("e-1", engineService, addressOne), now_);
        calls_.applyState(addressOne, held({"a1"}), now_);
        takeActions<SendDemand>();
    }
    static wire::DirectState held(const std::vector<std::string> &adapters, std::uint64_t sequence = 7)
    {
        auto state = makeLearnedState(adapters);
        state.set_endpoint_id("e-1");
        state.set_sequence(sequence);
        return state;
    }
    void applyDelta(std::uint64_t base, std::uint64_t sequence, const std::string &adapter)
    {
        wire::DirectDelta delta;
        delta.set_base(base);
        delta.set_sequence(sequence);
        auto &item = *delta.add_adapters();
        item.set_model(modelName);
        item.set_adapter(adapter);
        item.set_version(1);
        calls_.applyDelta(addressOne, delta, now_);
    }
    /// State sequences of the demands sent within the span.
    std::vector<std::uint64_t> reported(Duration span)
    {
        std::vector<std::uint64_t> sequences;
        for (const auto end = now_ + span; now_ < end;) {
            advance(directTickInterval);
            for (const auto &sent : takeActions<SendDemand>()) {
                sequences.push_back(sent.demand.state_sequence());
            }
        }
        return sequences;
    }
    std::uint64_t received(StateMessage kind) const
    {
        return calls_.stats().stateMessages.of(kind);
    }
};

// Guards against a call that waits until the next whole state for an adapter that is loaded.
TEST_F(DeltaCalls, DeltaSendsTheCallsThatWaitedForTheAdapter)
{
    startCall("/s/x", "a2");
    EXPECT_TRUE(takeActions<SendCall>().empty());
    applyDelta(7, 8, "a2");
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
    EXPECT_EQ(received(StateMessage::State), 1U);
    EXPECT_EQ(received(StateMessage::Delta), 1U);
}

// Guards against a delta that is applied to a state it does not change, after a lost message or a restarted sidecar.
TEST_F(DeltaCalls, DeltaOfAnotherStateIsIgnored)
{
    startCall("/s/x", "a2");
    applyDelta(8, 9, "a2");
    EXPECT_TRUE(takeActions<SendCall>().empty());
    EXPECT_EQ(received(StateMessage::IgnoredDelta), 1U);
}

// Guards against a duplicate that adds an adapter which a later delta has removed.
TEST_F(DeltaCalls, RepeatedDeltaIsIgnored)
{
    applyDelta(7, 8, "a2");
    applyDelta(7, 8, "a2");
    EXPECT_EQ(received(StateMessage::Delta), 1U);
    EXPECT_EQ(received(StateMessage::IgnoredDelta), 1U);
}

// Guards against an entry whose state expires before it requests the one that it has missed.
TEST_F(DeltaCalls, MissedStateIsRequestedSoon)
{
    EXPECT_EQ(reported(Milliseconds(50)), std::vector<std::uint64_t>{7});
    applyDelta(8, 9, "a2");
    EXPECT_EQ(reported(Milliseconds(450)), std::vector<std::uint64_t>{0});
    calls_.applyState(addressOne, held({"a1", "a2"}, 9), now_);
    EXPECT_EQ(reported(Milliseconds(2050)), std::vector<std::uint64_t>{9});
}

// Guards against a heartbeat of a lost state that keeps an outdated one in use.
TEST_F(DeltaCalls, HeartbeatOfAMissedStateRequestsIt)
{
    reported(Milliseconds(50));
    wire::DirectHeartbeat heartbeat;
    heartbeat.set_state_sequence(8);
    calls_.applyHeartbeat(addressOne, heartbeat, now_);
    EXPECT_EQ(reported(Milliseconds(450)), std::vector<std::uint64_t>{0});
    EXPECT_EQ(received(StateMessage::IgnoredHeartbeat), 1U);
}

// Guards against a delta on a state of an earlier connection: its sidecar may have restarted.
TEST_F(DeltaCalls, LostConnectionDiscardsTheState)
{
    calls_.onSidecarLost(addressOne, now_);
    applyDelta(7, 8, "a2");
    EXPECT_EQ(received(StateMessage::IgnoredDelta), 1U);
    EXPECT_EQ(reported(Milliseconds(50)), std::vector<std::uint64_t>{0});
}

// Guards against adapters of a terminated engine process that are taken for those of its successor.
TEST_F(DeltaCalls, RestartOfTheEngineDiscardsTheState)
{
    auto record = makeEndpoint("e-1", engineService, addressOne);
    record.startTimeMs = startTimeMs - 1000;
    calls_.applyEndpoint(record, now_);
    calls_.applyState(addressOne, held({"a1"}), now_);
    record.startTimeMs = startTimeMs;
    calls_.applyEndpoint(record, now_);
    applyDelta(7, 8, "a2");
    EXPECT_EQ(received(StateMessage::IgnoredDelta), 1U);
}

// Guards against sidecars that send whole states because no entry reports its support.
TEST_F(DeltaCalls, EntryReportsThatItAcceptsDeltas)
{
    startCall("/s/x", "a1");
    const auto demands = takeActions<SendDemand>();
    ASSERT_FALSE(demands.empty());
    EXPECT_TRUE(demands.front().demand.accepts_deltas());
}

// Guards against deltas to an entry that is switched to whole states.
TEST(DeltaSwitch, EntryWithoutDeltasReportsNoSupport)
{
    DirectCallsInit init;
    init.policy.disabled.set(static_cast<std::size_t>(Mechanism::StateDeltas));
    DirectCalls calls(init);
    const TimePoint now{Seconds(100)};
    calls.applyConfig(makeConfig(1), now);
    calls.applyEndpoint(makeEndpoint("e-1", engineService, addressOne), now);
    calls.applyState(addressOne, makeLearnedState({"a1"}), now);
    calls.tick(now);
    int demands = 0;
    for (const auto &action : calls.takeActions()) {
        if (const auto *sent = std::get_if<SendDemand>(&action)) {
            ++demands;
            EXPECT_FALSE(sent->demand.accepts_deltas());
        }
    }
    EXPECT_EQ(demands, 1);
}

} // namespace
} // namespace anvilscale::test
