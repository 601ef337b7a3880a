// Tests of idempotency keys and the table of seen keys.
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace anvilscale {
namespace {

constexpr std::int64_t start = 1'764'700'000'000;
constexpr std::uint64_t sameRequest = 7;

Now at(std::int64_t ms)
{
    return Now{TimePoint(Milliseconds(ms)), WallTime{start + ms}};
}

std::string keyAt(std::int64_t ms)
{
    static Random random(1);
    return makeKey(WallTime{start + ms}, random);
}

struct KeyTable
{
    SeenKeys seen{SeenKeys::Limits{4, 1000}};
    ServiceView service;
    WallTime minKeyTime{0};
    std::uint64_t lastExecution = 0;

    KeyDecision admit(const std::string &key, Now now, std::uint64_t fingerprint = sameRequest)
    {
        return seen.admit(key, fingerprint, service, minKeyTime, ExecutionHandle{++lastExecution}, now);
    }
};

CachedAnswer answerOf(const std::string &body)
{
    CachedAnswer answer;
    answer.outcome = CallOutcome::Complete;
    answer.status = 200;
    answer.body = body;
    return answer;
}

RC_GTEST_PROP(Key, RoundTripsTimestamp, ())
{
    const WallTime time{*rc::gen::inRange<std::int64_t>(0, std::int64_t(1) << 48)};
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const std::string key = makeKey(time, random);
    RC_ASSERT(parseKeyTime(key) == time);
    std::string upper = key;
    std::transform(upper.begin(), upper.end(), upper.begin(), [](unsigned char c) { return std::toupper(c); });
    RC_ASSERT(slotOf(key, 1024) == slotOf(upper, 1024));
    const auto position = *rc::gen::inRange<std::size_t>(0, key.size());
    std::string broken = key;
    broken[position] = 'x';
    RC_ASSERT(!parseKeyTime(broken));
}

TEST(SeenKeys, RepeatAttachesThenReplays)
{
    KeyTable keys;
    const auto key = keyAt(0);
    EXPECT_EQ(keys.admit(key, at(0)).kind, KeyDecisionKind::Run);
    EXPECT_EQ(keys.admit(key, at(1)).execution, ExecutionHandle{1});
    EXPECT_EQ(keys.admit(key, at(1), 8).reason, RefusalReason::KeyReused);
    keys.seen.finish(key, answerOf("admitted"), at(2));
    const auto again = keys.admit(key, at(3));
    ASSERT_EQ(again.kind, KeyDecisionKind::Replay);
    EXPECT_EQ(again.answer->body, "admitted");
}

TEST(SeenKeys, ReleasedKeyRunsAgain)
{
    KeyTable keys;
    const auto key = keyAt(0);
    keys.admit(key, at(0));
    keys.seen.release(key);
    EXPECT_EQ(keys.admit(key, at(1)).kind, KeyDecisionKind::Run);
}

// A full table that evicted a key within its window would run that key's repeat a second time.
TEST(SeenKeys, FullTableRefusesInsteadOfEvicting)
{
    KeyTable keys;
    std::vector<std::string> first;
    for (int i = 0; i < 4; ++i) {
        first.push_back(keyAt(i));
        EXPECT_EQ(keys.admit(first.back(), at(i)).kind, KeyDecisionKind::Run);
        keys.seen.finish(first.back(), answerOf(std::string(300, 'x')), at(i));
    }
    const auto refused = keys.admit(keyAt(5), at(5));
    EXPECT_EQ(refused.reason, RefusalReason::KeyTableFull);
    EXPECT_TRUE(refused.isProvenNotRun);
    EXPECT_LE(keys.seen.answerBytes(), 1000U);
    EXPECT_EQ(keys.admit(first[0], at(6)).kind, KeyDecisionKind::Refuse) << "its answer was dropped to free memory";
    EXPECT_FALSE(keys.admit(first[0], at(6)).isProvenNotRun);
    EXPECT_EQ(keys.admit(first[3], at(6)).kind, KeyDecisionKind::Replay);
    const auto later = std::chrono::duration_cast<Milliseconds>(keys.service.window).count() + 10;
    EXPECT_EQ(keys.admit(keyAt(later), at(later)).kind, KeyDecisionKind::Run);
    EXPECT_EQ(keys.seen.size(), 1U);
    EXPECT_EQ(keys.admit(first[3], at(later)).reason, RefusalReason::KeyTooOld);
}

TEST(SeenKeys, RefusesKeysOutsideWindowOrOwnershipTime)
{
    KeyTable keys;
    keys.minKeyTime = WallTime{start + 5000};
    const auto early = keys.admit(keyAt(4999), at(6000));
    EXPECT_EQ(early.reason, RefusalReason::KeyTooOld);
    EXPECT_FALSE(early.isProvenNotRun);
    EXPECT_EQ(keys.admit(keyAt(5000), at(6000)).kind, KeyDecisionKind::Run);
    const auto future = keys.admit(keyAt(7001), at(6000));
    EXPECT_EQ(future.reason, RefusalReason::KeyFromFuture);
    EXPECT_TRUE(future.isProvenNotRun);
    EXPECT_EQ(keys.admit("not-a-key", at(6000)).reason, RefusalReason::KeyInvalid);
    EXPECT_EQ(keys.admit("", at(6000)).reason, RefusalReason::KeyMissing);
}

// A removed key must not become valid again when the wall clock is set back or the window is lengthened.
TEST(SeenKeys, RemovedKeyStaysRemovedAfterClockOrWindowChange)
{
    KeyTable keys;
    keys.service.window = Seconds(60);
    const auto key = keyAt(0);
    keys.admit(key, at(0));
    keys.seen.finish(key, answerOf("counted"), at(1));
    keys.seen.expire(keys.service, at(61'000));
    EXPECT_EQ(keys.seen.size(), 0U);
    Now setBack = at(62'000);
    setBack.wall = WallTime{start + 30'000};
    EXPECT_EQ(keys.admit(key, setBack).kind, KeyDecisionKind::Refuse);
    keys.service.window = std::chrono::minutes(10);
    const auto longer = keys.admit(key, at(62'000));
    EXPECT_EQ(longer.reason, RefusalReason::KeyTooOld);
    EXPECT_FALSE(longer.isProvenNotRun);
}

// Under random repeats, completions, releases, handovers and passing time, no key runs twice unless it was released.
RC_GTEST_PROP(SeenKeys, NoKeyRunsTwiceAcrossHandovers, ())
{
    std::array<SeenKeys, 2> owners{SeenKeys(SeenKeys::Limits{1000, 2000}), SeenKeys(SeenKeys::Limits{1000, 2000})};
    std::size_t owner = 0;
    ServiceView service;
    service.window = Seconds(60);
    std::vector<std::string> keys;
    std::set<std::string> running;
    std::set<std::string> ran;
    std::int64_t now = 0;
    std::uint64_t lastExecution = 0;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(10, 200);
    for (int step = 0; step < steps; ++step) {
        now += *rc::gen::inRange(0, 5000);
        if (keys.empty() || *rc::gen::inRange(0, 3) == 0) {
            keys.push_back(makeKey(WallTime{start + now - *rc::gen::inRange(0, 70'000)}, random));
        }
        const std::string key = keys[*rc::gen::inRange<std::size_t>(0, keys.size())];
        const int action = *rc::gen::inRange(0, 6);
        if (action < 3) {
            const auto decision =
                owners[owner].admit(key, sameRequest, service, WallTime{0}, ExecutionHandle{++lastExecution}, at(now));
            if (decision.kind == KeyDecisionKind::Run) {
                RC_ASSERT(ran.insert(key).second);
                running.insert(key);
            }
        } else if (action == 3 && running.erase(key) != 0) {
            owners[owner].finish(key, answerOf("done"), at(now));
        } else if (action == 4 && running.erase(key) != 0) {
            owners[owner].release(key);
            ran.erase(key);
        } else if (action == 5) {
            wire::SlotHandover part;
            owners[owner].exportSlot(0, 1, at(now), part);
            owner = 1 - owner;
            RC_ASSERT(owners[owner].importPart(part, at(now)));
            running.clear();
        }
    }
}

} // namespace
} // namespace anvilscale
