// The limits of an engine that entries send to its sidecar.
#include "direct_fixture.h"

namespace anvilscale::test {

// Guards against reading turns by objectives of other services, of calls without streams, or of routes without a limit.
TEST_F(Calls, ThePlanHasTheLimitsOfTheStreamsOfItsService)
{
    auto config = makeConfig(2);
    config.routes[1].objective = Milliseconds(10);
    config.routes[1].services.push_back({engineService, 1});
    for (const auto &[objective, pause] : {std::pair(2000, 0), std::pair(500, 400), std::pair(800, 300)}) {
        auto route = makeRoute("/t" + std::to_string(objective) + "/", "other", RepeatRule::Stream);
        route.services.push_back({engineService, 1});
        route.objective = Milliseconds(objective);
        route.pauseLimit = Milliseconds(pause);
        config.routes.push_back(route);
    }
    config.routes.push_back(makeRoute("/o/", "other", RepeatRule::Stream));
    config.routes.back().objective = Milliseconds(20);
    config.routes.back().pauseLimit = Milliseconds(20);
    calls_.applyConfig(config, now_);
    addEngine("e-1", addressOne, {});
    advance(Seconds(3));
    const auto demands = takeActions<SendDemand>();
    ASSERT_FALSE(demands.empty());
    const auto &plan = demands.front().demand.plan();
    EXPECT_EQ(plan.shortest_objective_us(), 500'000U);
    EXPECT_EQ(plan.longest_objective_us(), 2'000'000U);
    EXPECT_EQ(plan.shortest_pause_us(), 300'000U);
}

} // namespace anvilscale::test
