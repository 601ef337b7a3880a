// State updates and heartbeats between sidecars and entries, and routing around silent sidecars.
#include "direct_fixture.h"

namespace anvilscale {
namespace {

using test::addressOne;
using test::addressTwo;
using test::stateWith;

constexpr PeerHandle entry{1};

class News : public testing::Test
{
protected:
    News()
    {
        news_.update(stateWith({"a"}));
    }
    /// The entry has received the current state and acknowledges it.
    void acknowledge()
    {
        const auto message = news_.messageFor(entry);
        ASSERT_TRUE(message.has_direct_state());
        news_.entryHas(entry, message.direct_state().sequence());
    }

    StateNews news_;
};

TEST_F(News, AnEntryThatHasTheStateHearsOnlyOfTheLoad)
{
    acknowledge();
    auto state = stateWith({"a"});
    state.set_unread_tokens(500);
    state.set_room(1);
    news_.update(state);
    const auto message = news_.messageFor(entry);
    ASSERT_TRUE(message.has_direct_heartbeat());
    EXPECT_EQ(message.direct_heartbeat().unread_tokens(), 500U);
    EXPECT_EQ(message.direct_heartbeat().room(), 1U);
    EXPECT_LT(5 * message.ByteSizeLong(), 200U) << "a fifth of what a state of a full engine takes";
}

TEST_F(News, AChangeIsToldWhole)
{
    acknowledge();
    news_.update(stateWith({"a", "b"}));
    EXPECT_TRUE(news_.messageFor(entry).has_direct_state());
    EXPECT_TRUE(news_.messageFor(entry).has_direct_heartbeat()) << "and only once";
}

// Guards against heartbeats that are applied to a state the entry never received.
TEST_F(News, ALostStateIsToldAgain)
{
    acknowledge();
    news_.update(stateWith({"a", "b"}));
    const auto lost = news_.messageFor(entry).direct_state().sequence();
    news_.entryHas(entry, lost - 1);
    const auto again = news_.messageFor(entry);
    ASSERT_TRUE(again.has_direct_state());
    EXPECT_EQ(again.direct_state().sequence(), lost);
}

TEST_F(News, AnEntryThatNeverNamesAStateGetsWholeOnes)
{
    news_.entryHas(entry, 0);
    EXPECT_TRUE(news_.messageFor(entry).has_direct_state());
    EXPECT_TRUE(news_.messageFor(entry).has_direct_state());
}

class HeardEngines : public test::Calls
{
protected:
    HeardEngines()
    {
        for (const auto &[id, address] : {std::pair("e-1", addressOne), std::pair("e-2", addressTwo)}) {
            calls_.applyEndpoint(test::endpointOf(id, test::engineService, address), now_);
            calls_.applyState(address, told(id, {"a", "b"}), now_);
        }
        take<SendWishes>();
    }
    static wire::DirectState told(const std::string &id, const std::vector<std::string> &adapters)
    {
        auto state = stateWith(adapters);
        state.set_sequence(7);
        state.set_endpoint_id(id);
        state.set_interval_ms(250);
        return state;
    }
    void hear(const std::string &address, std::uint64_t sequence = 7)
    {
        wire::DirectHeartbeat heartbeat;
        heartbeat.set_state_sequence(sequence);
        calls_.applyHeartbeat(address, heartbeat, now_);
    }
    /// Ids of the engines that receive the next calls.
    std::set<std::string> chosen()
    {
        std::set<std::string> ids;
        for (int i = 0; i < 24; ++i) {
            arrive("/s/x", i % 2 == 0 ? "a" : "b");
            for (const auto &send : take<SendCall>()) {
                ids.insert(send.endpointId);
            }
        }
        return ids;
    }
};

TEST_F(HeardEngines, HeartbeatsKeepAStateAlive)
{
    for (int i = 0; i < 20; ++i) {
        pass(Milliseconds(250));
        hear(addressOne);
        hear(addressTwo);
    }
    EXPECT_EQ(chosen(), (std::set<std::string>{"e-1", "e-2"}));
}

// Guards against calls to an engine on a stopped VM, which would read them after resuming, when their callers have
// left.
TEST_F(HeardEngines, AnEngineWhoseSidecarFallsSilentGetsNoMoreCalls)
{
    for (int i = 0; i < 2; ++i) {
        pass(Milliseconds(250));
        hear(addressOne);
    }
    EXPECT_EQ(chosen(), std::set<std::string>{"e-1"});
}

TEST_F(HeardEngines, AHeartbeatOfAnotherStateIsNoNews)
{
    for (int i = 0; i < 2; ++i) {
        pass(Milliseconds(250));
        hear(addressOne);
        hear(addressTwo, 8);
    }
    EXPECT_EQ(chosen(), std::set<std::string>{"e-1"});
}

// Guards against a paused entry that takes all sidecars for silent and sends every call to an engine without one.
TEST_F(HeardEngines, AnEntryThatWasHeldUpTakesNobodyForSilent)
{
    auto unheard = test::endpointOf("e-3", test::engineService, "10.0.1.3:80");
    unheard.models = {test::modelName};
    unheard.adapters = {{test::modelName, "a", 1}, {test::modelName, "b", 1}};
    calls_.applyEndpoint(unheard, now_);
    now_ += Milliseconds(1200);
    EXPECT_EQ(chosen(), (std::set<std::string>{"e-1", "e-2", "e-3"}));
}

// Guards against avoiding an engine whose sidecar process has terminated.
TEST_F(HeardEngines, AnEngineWhoseSidecarHasEndedKeepsItsCalls)
{
    pass(Milliseconds(250));
    hear(addressOne);
    calls_.sidecarLost(addressTwo);
    pass(Milliseconds(250));
    hear(addressOne);
    EXPECT_EQ(chosen(), (std::set<std::string>{"e-1", "e-2"}));
}

} // namespace
} // namespace anvilscale
