// Distribution of calls over engines by many entries with the same outdated state.
#include "direct_fixture.h"

namespace anvilscale::test {

class Herd : public Calls
{
protected:
    static constexpr int engines = 40;
    static constexpr int entries = 30;
    static constexpr std::uint64_t busyTokens = 20'000; // one second of reading
    static inline const std::string freeEngine = "10.0.1.7:80";

    /// Number of calls by engine address, when each entry places one call for an absent adapter of its own.
    static std::map<std::string, int> placed(const DirectPolicy &policy, TimePoint now)
    {
        std::map<std::string, int> result;
        for (int entry = 0; entry < entries; ++entry) {
            DirectCallsInit init;
            init.dataCentre = "dc";
            init.policy = policy;
            DirectCalls calls(init);
            calls.applyConfig(makeConfig(1), now);
            for (int i = 0; i < engines; ++i) {
                const auto address = "10.0.1." + std::to_string(i) + ":80";
                calls.applyEndpoint(makeEndpoint("e-" + std::to_string(i), engineService, address), now);
                auto state = makeState({});
                state.set_unread_tokens(address == freeEngine ? 0 : busyTokens);
                calls.applyState(address, state, now);
            }
            CallInfo info;
            info.requestId = "entry" + std::to_string(entry);
            info.host = host;
            info.path = "/s/x";
            info.callerTimeout = Seconds(60);
            info.model = modelName;
            info.adapter = "a" + std::to_string(entry);
            info.promptTokens = 600;
            calls.onCall(CallHandle{1}, info, now);
            for (const auto &action : calls.takeActions()) {
                const auto *sentDemand = std::get_if<SendDemand>(&action);
                if (sentDemand != nullptr && sentDemand->demand.waiting_tokens() != 0) {
                    ++result[sentDemand->address];
                }
            }
        }
        return result;
    }
};

// Guards against all entries sending their calls to the engine that was idle in the last state, until the next
// update.
TEST_F(Herd, EntriesDoNotAllChooseTheEngineThatLookedFree)
{
    const auto spread = placed(DirectPolicy{}, now_);
    const auto atFree = spread.find(freeEngine);
    const int count = atFree == spread.end() ? 0 : atFree->second;
    EXPECT_GT(count, 0) << "it is free, and some choose it";
    EXPECT_LE(count, entries / 2);
    DirectPolicy all;
    all.disabled = *parseMechanisms("sampling");
    EXPECT_EQ(placed(all, now_)[freeEngine], entries) << "without sampling, all choose the idle engine";
}

} // namespace anvilscale::test
