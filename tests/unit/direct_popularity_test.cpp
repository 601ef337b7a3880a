// Copies of an adapter whose popularity rises within seconds, and agreement of independent entries on their engines.
#include "direct_fixture.h"

namespace anvilscale::test {

class PopularAdapter : public Calls
{
protected:
    static constexpr std::size_t engines = 12;
    static constexpr std::uint32_t slots = 8;

    /// The first `holders` engines hold the adapter, each with these recent calls and unread prompt tokens.
    void addFleet(std::size_t holders, std::uint32_t recentCalls, std::uint64_t unreadTokens)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            const auto number = std::to_string(i);
            const auto address = "10.0.1." + number + ":80";
            calls_.applyEndpoint(makeEndpoint("e-" + number, engineService, address), now_);
            auto state = makeState(i < holders ? std::vector<std::string>{"a"} : std::vector<std::string>{});
            state.set_slots(slots);
            state.set_room(slots);
            if (i < holders) {
                state.mutable_adapters(0)->set_recent_calls(recentCalls);
                state.set_unread_tokens(unreadTokens);
            }
            calls_.applyState(address, state, now_);
        }
        takeActions<SendDemand>();
    }
    /// True if the next call waits for a load into another engine, false if it is sent to a holder.
    bool nextCallWaitsForLoad()
    {
        startCall("/s/x", "a");
        return takeActions<SendCall>().empty();
    }
};

// Guards against calls that queue at the only holder of a popular adapter while other engines are idle.
TEST_F(PopularAdapter, GetsAFurtherCopyOnceItsCallsQueue)
{
    addFleet(1, 64, 12'000); // about 600 ms of reading
    EXPECT_TRUE(nextCallWaitsForLoad());
}

TEST_F(PopularAdapter, IsNotCopiedWhileItsEnginesHaveTime)
{
    addFleet(1, 64, 2'000);
    EXPECT_FALSE(nextCallWaitsForLoad());
}

// Guards against a further copy for a single call when other adapters' calls make up the queue.
TEST_F(PopularAdapter, RarelyCalledAdapterGetsNoFurtherCopy)
{
    addFleet(1, 0, 12'000);
    EXPECT_FALSE(nextCallWaitsForLoad());
}

TEST_F(PopularAdapter, EntriesChooseTheSameEngineForTheNextCopy)
{
    std::set<std::string> chosen;
    for (int entry = 0; entry < 8; ++entry) {
        DirectCallsInit other = init();
        other.dataCentre = "dc";
        DirectCalls calls(other);
        calls.applyConfig(makeConfig(1), now_);
        for (std::size_t i = 0; i < engines; ++i) {
            const auto number = std::to_string(i);
            const auto address = "10.0.1." + number + ":80";
            calls.applyEndpoint(makeEndpoint("e-" + number, engineService, address), now_);
            auto state = makeState(i == 0 ? std::vector<std::string>{"a"} : std::vector<std::string>{});
            if (i == 0) {
                state.mutable_adapters(0)->set_recent_calls(64);
                state.set_unread_tokens(12'000);
            }
            calls.applyState(address, state, now_);
        }
        CallInfo info;
        info.requestId = "entry" + std::to_string(entry);
        info.host = host;
        info.path = "/s/x";
        info.callerTimeout = Seconds(4);
        info.model = modelName;
        info.adapter = "a";
        info.promptTokens = 3000;
        calls.onCall(CallHandle{1}, info, now_);
        for (const auto &action : calls.takeActions()) {
            if (const auto *sentDemand = std::get_if<SendDemand>(&action);
                sentDemand != nullptr && sentDemand->demand.waiting_tokens() != 0) {
                chosen.insert(sentDemand->address);
            }
        }
    }
    EXPECT_EQ(chosen.size(), 1U);
}

} // namespace anvilscale::test
