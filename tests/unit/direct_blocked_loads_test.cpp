// Calls at engines whose sidecars report that they cannot order loads, as they get no fencing number.
#include "direct_fixture.h"

namespace anvilscale::test {

class BlockedLoads : public Calls
{
protected:
    void setBlocked(const std::string &address, bool isBlocked, const std::vector<std::string> &adapters = {})
    {
        auto state = makeState(adapters);
        state.set_orders_blocked(isBlocked);
        calls_.applyState(address, state, now_);
    }
    void expectRefusedAtOnce()
    {
        const auto refused = takeActions<RefuseCall>();
        ASSERT_EQ(refused.size(), 1U);
        EXPECT_EQ(refused.front().reason, RefusalReason::DeadlineUnreachable);
        EXPECT_GT(refused.front().retryAfter, Duration(0));
    }
};

// Guards against waiting for a load at an engine that gets no orders while another one could load the adapter.
TEST_F(BlockedLoads, CallGoesToAnEngineThatLoads)
{
    addEngine("e-1", addressOne, {});
    addEngine("e-2", addressTwo, {});
    setBlocked(addressOne, true);
    for (int i = 0; i < 20; ++i) {
        startCall("/s/x", "a" + std::to_string(i));
        const auto demands = takeActions<SendDemand>();
        ASSERT_FALSE(demands.empty());
        EXPECT_EQ(demands.front().address, addressTwo);
    }
}

// Guards against callers who wait until their deadline for a load that nobody can order.
TEST_F(BlockedLoads, CallIsRefusedAtOnceIfNoEngineLoads)
{
    addEngine("e-1", addressOne, {});
    setBlocked(addressOne, true);
    startCall("/s/x", "a1");
    expectRefusedAtOnce();
}

// Guards against callers who go on waiting at an engine whose sidecar has restarted and gets no fencing number.
TEST_F(BlockedLoads, WaitingCallIsRefusedOnceTheEngineIsBlocked)
{
    addEngine("e-1", addressOne, {});
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
    setBlocked(addressOne, true);
    advance(Milliseconds(300));
    expectRefusedAtOnce();
}

// Guards against refusing calls that need no load, and against an engine that stays blocked.
TEST_F(BlockedLoads, ResidentAdapterIsServedAndLoadsResume)
{
    addEngine("e-1", addressOne, {});
    setBlocked(addressOne, true, {"a1"});
    startCall("/s/x", "a1");
    takeSentCall();
    setBlocked(addressOne, false, {"a1"});
    startCall("/s/x", "a2");
    const auto actions = takeActions<RefuseCall>();
    EXPECT_TRUE(actions.empty());
}

} // namespace anvilscale::test
