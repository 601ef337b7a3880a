// Popularity shifts: an adapter that hardly anybody asked for is wanted by half of the fleet's callers within seconds.
// How many engines come to hold it, and whether entries that know nothing of each other choose the same ones.
#include "direct_fixture.h"

namespace anvilscale::test {

class PopularAdapter : public Calls
{
protected:
    static constexpr std::size_t engines = 12;
    static constexpr std::uint32_t slots = 8;

    /// `holders` of the engines hold the adapter, with so many calls each in the last seconds and prompts to be read.
    void addFleet(std::size_t holders, std::uint32_t recentCalls, std::uint64_t unreadTokens)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            const auto number = std::to_string(i);
            const auto address = "10.0.1." + number + ":80";
            calls_.applyEndpoint(endpointOf("e-" + number, engineService, address), now_);
            auto state = stateWith(i < holders ? std::vector<std::string>{"a"} : std::vector<std::string>{});
            state.set_slots(slots);
            state.set_room(slots);
            if (i < holders) {
                state.mutable_adapters(0)->set_recent_calls(recentCalls);
                state.set_unread_tokens(unreadTokens);
            }
            calls_.applyState(address, state, now_);
        }
        take<SendWishes>();
    }
    /// True if the next call waits for a load into a further engine; it is sent to a holder otherwise.
    bool nextCallIsLoadedFor()
    {
        arrive("/s/x", "a");
        return take<SendCall>().empty();
    }
};

// Callers wait for a second and more beside engines that have nothing to do: all calls on the adapter are read one
// after the other at the one engine that holds it, since each single call was to be worth the price of a load.
TEST_F(PopularAdapter, GetsAFurtherCopyOnceItsCallsQueue)
{
    addFleet(1, 64, 12'000); // some 600 ms of reading
    EXPECT_TRUE(nextCallIsLoadedFor());
}

TEST_F(PopularAdapter, IsNotCopiedWhileItsEnginesHaveTime)
{
    addFleet(1, 64, 2'000);
    EXPECT_FALSE(nextCallIsLoadedFor());
}

// The same queue, made of other adapters' calls: a copy would be paid for and serve one call.
TEST_F(PopularAdapter, AnAdapterThatFewAskForWaitsItsTurn)
{
    addFleet(1, 0, 12'000);
    EXPECT_FALSE(nextCallIsLoadedFor());
}

TEST_F(PopularAdapter, EntriesChooseTheSameEngineForTheNextCopy)
{
    std::set<std::string> chosen;
    for (int entry = 0; entry < 8; ++entry) {
        DirectCallsInit other = init();
        other.dataCentre = "dc";
        DirectCalls calls(other);
        calls.applyConfig(configOf(1), now_);
        for (std::size_t i = 0; i < engines; ++i) {
            const auto number = std::to_string(i);
            const auto address = "10.0.1." + number + ":80";
            calls.applyEndpoint(endpointOf("e-" + number, engineService, address), now_);
            auto state = stateWith(i == 0 ? std::vector<std::string>{"a"} : std::vector<std::string>{});
            if (i == 0) {
                state.mutable_adapters(0)->set_recent_calls(64);
                state.set_unread_tokens(12'000);
            }
            calls.applyState(address, state, now_);
        }
        CallFacts facts;
        facts.requestId = "entry" + std::to_string(entry);
        facts.host = host;
        facts.path = "/s/x";
        facts.patience = Seconds(4);
        facts.model = modelName;
        facts.adapter = "a";
        facts.promptTokens = 3000;
        calls.arrive(CallHandle{1}, facts, now_);
        for (const auto &action : calls.takeActions()) {
            if (const auto *wishes = std::get_if<SendWishes>(&action);
                wishes != nullptr && wishes->demand.waiting_tokens() != 0) {
                chosen.insert(wishes->address);
            }
        }
    }
    EXPECT_EQ(chosen.size(), 1U);
}

} // namespace anvilscale::test
