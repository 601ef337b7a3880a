// Tests of leases and watched keys under lost replies, outages and pauses.
#include "support/virtual_cluster.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using test::KvFault;
using test::VirtualCluster;

struct Holder
{
    Holder(VirtualCluster &cluster, const std::string &name, std::uint64_t seed)
        : lease(LeaseHolder::Init{"/t/scheduler", name, 1, "127.0.0.1:1", Timing(), &cluster.timers, seed},
                cluster.makeClient([this](const KvReply &reply, Now at) {
                    if (!isPaused) {
                        lease.onReply(reply, at);
                    } else {
                        queuedReplies.push_back(reply);
                    }
                }))
    {
        lease.start(cluster.now());
    }
    void resume(Now now)
    {
        isPaused = false;
        for (const auto &reply : std::exchange(queuedReplies, {})) {
            lease.onReply(reply, now);
        }
    }
    bool isPaused = false;
    std::vector<KvReply> queuedReplies;
    LeaseHolder lease;
};

TEST(LeaseHolder, OneHolderAndFenceIncreasesOnTakeover)
{
    VirtualCluster cluster;
    Holder first(cluster, "e1", 1);
    cluster.run(Seconds(1));
    Holder second(cluster, "e2", 2);
    cluster.run(Seconds(60));
    EXPECT_TRUE(first.lease.mayAct(cluster.now().mono));
    EXPECT_FALSE(second.lease.mayAct(cluster.now().mono));
    const auto fence = first.lease.fence();
    first.lease.stop(cluster.now());
    EXPECT_FALSE(first.lease.mayAct(cluster.now().mono));
    ASSERT_TRUE(cluster.runUntil(Seconds(30), [&] { return second.lease.mayAct(cluster.now().mono); }));
    EXPECT_GT(second.lease.fence(), fence);
}

// Guards against two active holders: a holder that was paused past its lease must not act, even before it has read any
// queued reply.
TEST(LeaseHolder, PausedHolderMayNotActAfterResume)
{
    VirtualCluster cluster;
    Holder first(cluster, "e1", 1);
    Holder second(cluster, "e2", 2);
    cluster.run(Seconds(5));
    ASSERT_TRUE(first.lease.mayAct(cluster.now().mono));
    first.isPaused = true;
    ASSERT_TRUE(cluster.runUntil(Seconds(60), [&] { return second.lease.mayAct(cluster.now().mono); }));
    EXPECT_FALSE(first.lease.mayAct(cluster.now().mono));
    first.resume(cluster.now());
    cluster.run(Seconds(1));
    EXPECT_FALSE(first.lease.mayAct(cluster.now().mono));
}

// A write that took effect without a reply must be read back; repeated blindly it would conflict with the holder's own
// key forever.
TEST(LeaseHolder, LostAcquisitionReplyIsReadBack)
{
    VirtualCluster cluster;
    int writes = 0;
    cluster.faultRule = [&](const KvRequest &request) {
        return request.op == KvOp::Txn && writes++ == 0 ? KvFault::LostReply : KvFault::None;
    };
    Holder holder(cluster, "e1", 1);
    ASSERT_TRUE(cluster.runUntil(Seconds(2), [&] { return holder.lease.mayAct(cluster.now().mono); }));
    EXPECT_EQ(writes, 1);
    EXPECT_EQ(static_cast<std::int64_t>(holder.lease.fence()), cluster.kv.find("/t/scheduler")->modRevision);
}

RC_GTEST_PROP(LeaseHolder, NeverTwoHoldersUnderFaults, ())
{
    VirtualCluster cluster;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t faultPercent = 0;
    cluster.faultRule = [&](const KvRequest &) {
        const std::array faults{KvFault::Down, KvFault::LostRequest, KvFault::LostReply};
        return random.uniformBelow(100) < faultPercent ? faults[random.uniformBelow(faults.size())] : KvFault::None;
    };
    Holder first(cluster, "e1", random.next());
    Holder second(cluster, "e2", random.next());
    std::uint64_t maxFence = 0;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        faultPercent = *rc::gen::element<std::uint64_t>(0, 20, 60, 100);
        first.isPaused = *rc::gen::inRange(0, 4) == 0;
        if (!first.isPaused) {
            first.resume(cluster.now());
        }
        cluster.run(Milliseconds(*rc::gen::inRange(1, 8000)));
        const bool one = first.lease.mayAct(cluster.now().mono);
        const bool two = second.lease.mayAct(cluster.now().mono);
        RC_ASSERT(!(one && two));
        if (one || two) {
            const auto fence = one ? first.lease.fence() : second.lease.fence();
            RC_ASSERT(fence >= maxFence);
            maxFence = fence;
        }
    }
}

// Guards against a thundering herd: in the first second after an outage 400 holders send fewer than 200 requests.
TEST(LeaseHolder, NoThunderingHerdAfterOutage)
{
    VirtualCluster cluster;
    std::vector<std::unique_ptr<Holder>> holders;
    holders.reserve(400);
    for (int i = 0; i < 400; ++i) {
        holders.push_back(std::make_unique<Holder>(cluster, "e" + std::to_string(i), 7 + i));
    }
    cluster.run(Seconds(30));
    cluster.faultRule = [](const KvRequest &) { return KvFault::Down; };
    cluster.run(Seconds(120));
    cluster.faultRule = nullptr;
    cluster.requests = 0;
    cluster.run(Seconds(1));
    EXPECT_LT(cluster.requests, 200U);
}

struct WatchedRange
{
    explicit WatchedRange(VirtualCluster &cluster)
        : watcher(KeyWatcher::Init{"/t/k/", "/t/k0", &cluster.timers, Seconds(2), 3},
                  cluster.makeClient([this](const KvReply &reply, Now at) { watcher.onReply(reply, at); }),
                  [this](const std::vector<KvEntry> &entries, bool full, Now) {
                      if (full) {
                          seen.clear();
                      }
                      for (const auto &entry : entries) {
                          if (entry.isDeleted) {
                              seen.erase(entry.key);
                          } else {
                              seen[entry.key] = entry.value;
                          }
                      }
                  })
    {
    }
    std::map<std::string, std::string> seen;
    KeyWatcher watcher;
};

// Under broken watches, compaction and lost replies, the watched state must converge to that of the service without
// missing changes.
RC_GTEST_PROP(KeyWatcher, ConvergesToServiceState, ())
{
    VirtualCluster cluster;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t faultPercent = 0;
    cluster.faultRule = [&](const KvRequest &request) {
        return request.op != KvOp::Txn && random.uniformBelow(100) < faultPercent ? KvFault::Down : KvFault::None;
    };
    WatchedRange watchedRange(cluster);
    watchedRange.watcher.start(cluster.now());
    auto writer = cluster.makeClient([](const KvReply &, Now) {});
    std::map<std::string, std::string> expected;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        faultPercent = *rc::gen::element<std::uint64_t>(0, 50, 100);
        KvRequest request;
        request.op = KvOp::Txn;
        const std::string key = "/t/k/" + std::to_string(*rc::gen::inRange(0, 5));
        if (*rc::gen::arbitrary<bool>()) {
            request.puts.push_back({key, std::to_string(step), 0});
            expected[key] = std::to_string(step);
        } else {
            request.deletes.push_back(key);
            expected.erase(key);
        }
        writer(request);
        const int fault = *rc::gen::inRange(0, 6);
        if (fault == 0) {
            cluster.kv.breakWatches();
        } else if (fault == 1) {
            cluster.kv.compactHistory();
        }
        cluster.run(Milliseconds(*rc::gen::inRange(0, 1500)));
    }
    faultPercent = 0;
    cluster.run(Seconds(10));
    RC_ASSERT(watchedRange.seen == expected);
}

} // namespace
} // namespace anvilscale
