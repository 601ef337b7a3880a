// Endpoints that restart under the same id: state and counters of the old process must not affect the new one.
#include "direct_fixture.h"

namespace anvilscale::test {

class Restarts : public Calls
{
protected:
    static constexpr std::uint64_t firstBirth = 1'767'883'170'000;
    static constexpr std::uint64_t secondBirth = firstBirth + 9000;

    static EndpointRecord recordOf(std::uint64_t born, const std::string &id = "e-1",
                                   const std::string &address = "10.0.1.1:80")
    {
        auto record = endpointOf(id, engineService, address);
        record.born = born;
        return record;
    }
    static wire::DirectState stateOf(std::uint64_t born, const std::vector<std::string> &adapters)
    {
        auto state = stateWith(adapters);
        state.set_endpoint_id("e-1");
        state.set_born(born);
        return state;
    }
    void tell(const wire::DirectState &state)
    {
        calls_.applyState("10.0.1.1:80", state, now_);
    }
};

// Guards against calls sent to a restarted engine for an adapter that only its previous process held.
TEST_F(Restarts, WhatTheProcessBeforeHeldIsForgotten)
{
    calls_.applyEndpoint(recordOf(firstBirth), now_);
    tell(stateOf(firstBirth, {"a1"}));
    EXPECT_TRUE(calls_.applyEndpoint(recordOf(secondBirth), now_));
    arrive("/s/x", "a1");
    EXPECT_TRUE(take<SendCall>().empty());
    tell(stateOf(firstBirth, {"a1"})); // in transit when the engine terminated
    EXPECT_TRUE(take<SendCall>().empty());
    tell(stateOf(secondBirth, {"a1"}));
    EXPECT_EQ(sent().endpointId, "e-1");
}

// Guards against ignoring a restart reported by the sidecar, and against an outdated record that reverts it.
TEST_F(Restarts, TheSidecarsWordOfARestartCounts)
{
    calls_.applyEndpoint(recordOf(firstBirth), now_);
    tell(stateOf(firstBirth, {"a1"}));
    tell(stateOf(secondBirth, {}));
    auto late = recordOf(firstBirth);
    late.models = {modelName};
    late.adapters = {{modelName, "a1", 1}};
    EXPECT_FALSE(calls_.applyEndpoint(late, now_));
    arrive("/s/x", "a1");
    EXPECT_TRUE(take<SendCall>().empty());
}

// Guards against counting broken calls of the previous process against the new one.
TEST_F(Restarts, EndsOfCallsBeforeDoNotCountForTheNewProcess)
{
    calls_.applyEndpoint(recordOf(firstBirth), now_);
    calls_.applyEndpoint(recordOf(firstBirth, "e-2", "10.0.1.2:80"), now_);
    tell(stateOf(firstBirth, {"a1"}));
    std::vector<SendCall> before;
    for (int i = 0; i < 4; ++i) {
        arrive("/s/x", "a1");
        before.push_back(sent());
    }
    tell(stateOf(secondBirth, {"a1"}));
    for (const auto &send : before) {
        EXPECT_EQ(send.endpointId, "e-1");
        end(send, AttemptEnd::Broken);
    }
    arrive("/s/x", "a1");
    EXPECT_EQ(sent().endpointId, "e-1");
}

// Guards against calls that keep waiting for a load that was lost with the previous process.
TEST_F(Restarts, CallsThatWaitThereAreThoughtOver)
{
    calls_.applyEndpoint(recordOf(firstBirth), now_);
    tell(stateOf(firstBirth, {}));
    arrive("/s/x", "a1");
    calls_.applyEndpoint(recordOf(firstBirth, "e-2", "10.0.1.2:80"), now_);
    calls_.applyState("10.0.1.2:80", stateWith({"a1"}), now_);
    EXPECT_TRUE(take<SendCall>().empty()) << "nothing has happened to the engine it waits at";
    calls_.applyEndpoint(recordOf(secondBirth), now_);
    EXPECT_EQ(sent().endpointId, "e-2");
}

// Guards against sending a call on an idle connection to the terminated process.
TEST_F(Restarts, KeptConnectionsAreDropped)
{
    calls_.applyEndpoint(recordOf(firstBirth), now_);
    EXPECT_TRUE(take<DropConnections>().empty());
    calls_.applyEndpoint(recordOf(secondBirth), now_);
    const auto drops = take<DropConnections>();
    ASSERT_EQ(drops.size(), 1U);
    EXPECT_EQ(drops.front().address, "10.0.1.1:80");
}

// Guards against a record of an unconfigured service that hides the engine at the same address.
TEST_F(Restarts, ARecordOfAnUnknownServiceHidesNoEndpoint)
{
    calls_.applyEndpoint(recordOf(firstBirth), now_);
    tell(stateOf(firstBirth, {"a1"}));
    auto foreign = endpointOf("x-1", "nobody's", "10.0.1.1:80");
    foreign.created = 1000;
    foreign.born = secondBirth;
    calls_.applyEndpoint(foreign, now_);
    arrive("/s/x", "a1");
    EXPECT_EQ(sent().endpointId, "e-1");
    tell(stateOf(firstBirth, {"a1", "a2"}));
    arrive("/s/x", "a2");
    EXPECT_EQ(sent().endpointId, "e-1") << "the sidecar at this address still speaks for the engine";
}

// Guards against calls to a replaced endpoint after a store restore, which creates the new record under a lower
// revision.
TEST_F(Restarts, OfTwoRecordsOfOneAddressTheOneOfTheLaterEraCounts)
{
    auto before = endpointOf("e-1", engineService, addressOne);
    before.era = 1;
    before.created = 100;
    auto present = endpointOf("e-2", engineService, addressOne);
    present.era = 2;
    present.created = 95;
    calls_.applyEndpoint(before, now_);
    calls_.applyEndpoint(present, now_);
    calls_.applyState(addressOne, stateWith({"a1"}), now_);
    arrive("/s/x", "a1");
    EXPECT_EQ(sent().endpointId, "e-2");
}

} // namespace anvilscale::test
