// Tests of leases and watched keys under lost replies, outages and pauses.
#include "support/virtual_world.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using test::KvFault;
using test::VirtualWorld;

struct Holder
{
    Holder(VirtualWorld &world, const std::string &name, std::uint64_t seed)
        : keeper(LeaseKeeper::Init{"/t/scheduler", name, 1, "127.0.0.1:1", Timing(), &world.timers, seed},
                 world.client([this](const KvReply &reply, Now at) {
                     if (!paused) {
                         keeper.onReply(reply, at);
                     } else {
                         missed.push_back(reply);
                     }
                 }))
    {
        keeper.start(world.now());
    }
    void wake(Now now)
    {
        paused = false;
        for (const auto &reply : std::exchange(missed, {})) {
            keeper.onReply(reply, now);
        }
    }
    bool paused = false;
    std::vector<KvReply> missed;
    LeaseKeeper keeper;
};

TEST(LeaseKeeper, OneHoldsAndTheFenceGrowsAtEachTakeOver)
{
    VirtualWorld world;
    Holder first(world, "e1", 1);
    world.run(Seconds(1));
    Holder second(world, "e2", 2);
    world.run(Seconds(60));
    EXPECT_TRUE(first.keeper.mayAct(world.now().mono));
    EXPECT_FALSE(second.keeper.mayAct(world.now().mono));
    const auto fence = first.keeper.fence();
    first.keeper.stop(world.now());
    EXPECT_FALSE(first.keeper.mayAct(world.now().mono));
    ASSERT_TRUE(world.runUntil(Seconds(30), [&] { return second.keeper.mayAct(world.now().mono); }));
    EXPECT_GT(second.keeper.fence(), fence);
}

// Guards against two active holders: a holder that was paused past its lease must not act, even before it has read any
// queued reply.
TEST(LeaseKeeper, HolderThatWasPausedMayNotActWhenItWakes)
{
    VirtualWorld world;
    Holder first(world, "e1", 1);
    Holder second(world, "e2", 2);
    world.run(Seconds(5));
    ASSERT_TRUE(first.keeper.mayAct(world.now().mono));
    first.paused = true;
    ASSERT_TRUE(world.runUntil(Seconds(60), [&] { return second.keeper.mayAct(world.now().mono); }));
    EXPECT_FALSE(first.keeper.mayAct(world.now().mono));
    first.wake(world.now());
    world.run(Seconds(1));
    EXPECT_FALSE(first.keeper.mayAct(world.now().mono));
}

// A write that took effect without a reply must be read back; repeated blindly it would conflict with the holder's own
// key forever.
TEST(LeaseKeeper, LostReplyOfTheAcquisitionIsReadBack)
{
    VirtualWorld world;
    int lost = 0;
    world.rule = [&](const KvRequest &request) {
        return request.op == KvOp::Txn && lost++ == 0 ? KvFault::LostReply : KvFault::None;
    };
    Holder holder(world, "e1", 1);
    ASSERT_TRUE(world.runUntil(Seconds(2), [&] { return holder.keeper.mayAct(world.now().mono); }));
    EXPECT_EQ(lost, 1);
    EXPECT_EQ(static_cast<std::int64_t>(holder.keeper.fence()), world.kv.find("/t/scheduler")->modRevision);
}

RC_GTEST_PROP(LeaseKeeper, NeverTwoHoldersWhateverTheServiceDoes, ())
{
    VirtualWorld world;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t rate = 0;
    world.rule = [&](const KvRequest &) {
        const std::array faults{KvFault::Down, KvFault::LostRequest, KvFault::LostReply};
        return random.below(100) < rate ? faults[random.below(faults.size())] : KvFault::None;
    };
    Holder first(world, "e1", random.next());
    Holder second(world, "e2", random.next());
    std::uint64_t highest = 0;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        rate = *rc::gen::element<std::uint64_t>(0, 20, 60, 100);
        first.paused = *rc::gen::inRange(0, 4) == 0;
        if (!first.paused) {
            first.wake(world.now());
        }
        world.run(Milliseconds(*rc::gen::inRange(1, 8000)));
        const bool one = first.keeper.mayAct(world.now().mono);
        const bool two = second.keeper.mayAct(world.now().mono);
        RC_ASSERT(!(one && two));
        if (one || two) {
            const auto fence = one ? first.keeper.fence() : second.keeper.fence();
            RC_ASSERT(fence >= highest);
            highest = fence;
        }
    }
}

// Guards against a thundering herd: after an outage only a small share of many holders may retry within the first
// second.
TEST(LeaseKeeper, NoHerdAfterAnOutage)
{
    VirtualWorld world;
    std::vector<std::unique_ptr<Holder>> holders;
    holders.reserve(400);
    for (int i = 0; i < 400; ++i) {
        holders.push_back(std::make_unique<Holder>(world, "e" + std::to_string(i), 7 + i));
    }
    world.run(Seconds(30));
    world.rule = [](const KvRequest &) { return KvFault::Down; };
    world.run(Seconds(120));
    world.rule = nullptr;
    world.requests = 0;
    world.run(Seconds(1));
    EXPECT_LT(world.requests, 200U);
}

struct Followed
{
    explicit Followed(VirtualWorld &world)
        : follower(KeyFollower::Init{"/t/k/", "/t/k0", &world.timers, Seconds(2), 3},
                   world.client([this](const KvReply &reply, Now at) { follower.onReply(reply, at); }),
                   [this](const std::vector<KvEntry> &entries, bool full, Now) {
                       if (full) {
                           seen.clear();
                       }
                       for (const auto &entry : entries) {
                           if (entry.deleted) {
                               seen.erase(entry.key);
                           } else {
                               seen[entry.key] = entry.value;
                           }
                       }
                   })
    {
    }
    std::map<std::string, std::string> seen;
    KeyFollower follower;
};

// Under broken watches, compaction and lost replies, the watched state must converge to that of the service without
// missing changes.
RC_GTEST_PROP(KeyFollower, AgreesWithTheServiceInTheEnd, ())
{
    VirtualWorld world;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t rate = 0;
    world.rule = [&](const KvRequest &request) {
        return request.op != KvOp::Txn && random.below(100) < rate ? KvFault::Down : KvFault::None;
    };
    Followed followed(world);
    followed.follower.start(world.now());
    auto writer = world.client([](const KvReply &, Now) {});
    std::map<std::string, std::string> truth;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        rate = *rc::gen::element<std::uint64_t>(0, 50, 100);
        KvRequest request;
        request.op = KvOp::Txn;
        const std::string key = "/t/k/" + std::to_string(*rc::gen::inRange(0, 5));
        if (*rc::gen::arbitrary<bool>()) {
            request.puts.push_back({key, std::to_string(step), 0});
            truth[key] = std::to_string(step);
        } else {
            request.deletes.push_back(key);
            truth.erase(key);
        }
        writer(request);
        const int what = *rc::gen::inRange(0, 6);
        if (what == 0) {
            world.kv.breakWatches();
        } else if (what == 1) {
            world.kv.compactHistory();
        }
        world.run(Milliseconds(*rc::gen::inRange(0, 1500)));
    }
    rate = 0;
    world.run(Seconds(10));
    RC_ASSERT(followed.seen == truth);
}

} // namespace
} // namespace anvilscale
