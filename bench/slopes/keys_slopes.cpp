// Idempotency key slopes: memory per key and CPU time per decision.
#include "slopes.h"

#include "anvilscale/state.h"

namespace anvilscale::slopes {

void measureKeys(Report &report)
{
    constexpr std::int64_t startMs = 1'800'000'000'000;
    const ServiceView service;
    for (const std::size_t count : report.keySizes) {
        Random random(3);
        const Now now{TimePoint(Seconds(10)), WallTime{startMs}};
        std::vector<std::string> generatedKeys(count);
        for (auto &key : generatedKeys) {
            key = makeKey(now.wall, random);
        }
        const std::size_t before = heapBytes();
        SeenKeys keys({.keys = count, .answerBytes = 0});
        const double meanMicros = meanCpuMicros(count, [&](std::size_t i) {
            const KeyDecision decision =
                keys.admit(generatedKeys[i], i, service, WallTime{startMs - 1000}, ExecutionHandle{i + 1}, now);
            if (decision.kind == KeyDecisionKind::Run) {
                keys.finish(generatedKeys[i], CachedAnswer{CallOutcome::Complete, FailureReason::None, 200, {}, ""},
                            now);
            }
        });
        const auto size = static_cast<double>(count);
        report.addPoint("keys.state", "bytes", "keys", {size, static_cast<double>(heapBytes() - before)});
        report.addCost("keys.admit_and_finish", "us", "keys", {size, meanMicros});
    }
}

} // namespace anvilscale::slopes
