// Slopes of the seen keys: bytes per key, time per decision.
#include "slopes.h"

#include "anvilscale/state.h"

namespace anvilscale::slopes {

void measureKeys(Report &report)
{
    constexpr std::int64_t start = 1'800'000'000'000;
    const ServiceView service;
    for (const std::size_t count : report.keySizes) {
        Random random(3);
        const Now now{TimePoint(Seconds(10)), WallTime{start}};
        std::vector<std::string> made(count);
        for (auto &key : made) {
            key = makeKey(now.wall, random);
        }
        const std::size_t before = heapBytes();
        SeenKeys keys({.keys = count, .answerBytes = 0});
        const double each = microsEach(count, [&](std::size_t i) {
            const KeyDecision decision =
                keys.admit(made[i], i, service, WallTime{start - 1000}, ExecutionHandle{i + 1}, now);
            if (decision.kind == KeyDecisionKind::Run) {
                keys.finish(made[i], KeptAnswer{CallOutcome::Complete, FailureReason::None, 200, {}, ""}, now);
            }
        });
        const auto size = static_cast<double>(count);
        report.add("keys.state", "bytes", "keys", {size, static_cast<double>(heapBytes() - before)});
        report.addCost("keys.admit_and_finish", "us", "keys", {size, each});
    }
}

} // namespace anvilscale::slopes
