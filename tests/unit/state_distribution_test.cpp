// Tests of configuration writers and distribution: concurrent operators, lost replies, outages, peers.
#include "config.pb.h"
#include "support/virtual_cluster.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using test::KvFault;
using test::VirtualCluster;

config::Change adapter(int number, const std::string &version = "v1")
{
    return *parseRecord(R"({"schemaVersion":1,"kind":"adapter","name":"a)" + std::to_string(number)
                        + R"(","baseModel":"m","versions":[")" + version + R"("]})");
}

struct Operator
{
    Operator(VirtualCluster &in, const std::string &name, std::uint32_t schemaVersionOfAll = 0)
        : cluster(in)
        , writer(ConfigWriter::Init{"/t/", name, schemaVersionOfAll, 20, 2000, &store, &in.timers, hash64(name)},
                 in.makeClient([this](const KvReply &reply, Now at) { writer.onReply(reply, at); }),
                 [this](const ConfigWriter::Result &outcome, Now) { result = outcome; })
    {
    }
    void startApply(std::vector<config::Change> changes, const std::string &id,
                    std::optional<std::uint64_t> expected = std::nullopt)
    {
        result.reset();
        writer.apply(std::move(changes), id, expected, cluster.now());
    }
    ConfigWriter::Result awaitResult()
    {
        EXPECT_TRUE(cluster.runUntil(Seconds(60), [this] { return result.has_value(); }));
        return *result;
    }
    ConfigWriter::Result apply(std::vector<config::Change> changes, const std::string &id)
    {
        startApply(std::move(changes), id);
        return awaitResult();
    }
    VirtualCluster &cluster;
    ConfigStore store;
    std::optional<ConfigWriter::Result> result;
    ConfigWriter writer;
};

struct Process;

struct Cluster
{
    VirtualCluster virtualCluster;
    std::map<std::string, std::unique_ptr<Process>> processes;

    Process &add(const std::string &name, bool mayWatch);
    bool areAllAt(std::uint64_t revision) const;
    void exchangeHeartbeats();
};

struct Process
{
    Process(Cluster &cluster, const std::string &name, bool mayWatch)
    {
        ConfigDistributor::Init init;
        init.self = name;
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.keyPrefix = "/t/";
        init.mayWatch = mayWatch;
        init.store = &store;
        init.timers = &cluster.virtualCluster.timers;
        init.seed = hash64(name);
        ConfigDistributor::Callbacks callbacks;
        callbacks.submit = cluster.virtualCluster.makeClient([this](const KvReply &reply, Now at) {
            distributor->onReply(reply, at);
            maxRevision = std::max(maxRevision, store.revision());
            hasReverted = hasReverted || store.revision() < maxRevision;
        });
        callbacks.sendToPeer = [&cluster, name](const std::string &to, const wire::Envelope &envelope) {
            cluster.virtualCluster.later(Milliseconds(1), [&cluster, name, to, envelope](Now at) {
                auto &peer = *cluster.processes.at(to);
                if (peer.isDisconnected) {
                    return;
                }
                if (envelope.has_config_push()) {
                    peer.distributor->onPush(envelope.config_push(), at);
                } else {
                    peer.distributor->onFetch(name, envelope.config_fetch(), at);
                }
            });
        };
        callbacks.changed = [this](Now) { ++changes; };
        distributor = std::make_unique<ConfigDistributor>(init, callbacks);
    }
    ConfigStore store;
    std::unique_ptr<ConfigDistributor> distributor;
    std::uint64_t changes = 0;
    std::uint64_t maxRevision = 0;
    bool hasReverted = false;
    bool isDisconnected = false; // disconnected from its peers
};

Process &Cluster::add(const std::string &name, bool mayWatch)
{
    auto &process = processes[name] = std::make_unique<Process>(*this, name, mayWatch);
    process->distributor->start(virtualCluster.now());
    return *process;
}

bool Cluster::areAllAt(std::uint64_t revision) const
{
    return std::all_of(processes.begin(), processes.end(),
                       [&](const auto &entry) { return entry.second->store.revision() == revision; });
}

/// Delivers every process's revision and age to all others twice a second, as heartbeats do.
void Cluster::exchangeHeartbeats()
{
    virtualCluster.later(Milliseconds(500), [this](Now at) {
        for (const auto &[name, process] : processes) {
            for (const auto &[other, peer] : processes) {
                if (name != other && !peer->isDisconnected && !process->isDisconnected) {
                    peer->distributor->onPeerRevision(name, process->store.revision(), process->store.digest(), at,
                                                      process->distributor->confirmationAge(at.mono));
                }
            }
        }
        exchangeHeartbeats();
    });
}

TEST(ConfigWriter, ConcurrentOperatorsGetConflictWithRevision)
{
    VirtualCluster cluster;
    Operator first(cluster, "one");
    Operator second(cluster, "two");
    first.startApply({adapter(1)}, "change-1");
    second.startApply({adapter(2)}, "change-2");
    const auto one = first.awaitResult();
    const auto two = second.awaitResult();
    ASSERT_TRUE(one) << one.error().detail;
    ASSERT_FALSE(two);
    EXPECT_EQ(two.error().kind, ConfigErrorKind::Conflict);
    EXPECT_EQ(two.error().revision, 1U);
    second.startApply({adapter(2)}, "change-3", 0);
    const auto late = second.awaitResult();
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, ConfigErrorKind::Conflict);
    ASSERT_TRUE(second.apply({adapter(2)}, "change-4"));
    EXPECT_EQ(second.store.revision(), 2U);
}

// A change whose reply is lost must be read back by its change id: reported as failed, it would be made a second time.
TEST(ConfigWriter, LostReplyIsReadBackAndAppliedOnce)
{
    VirtualCluster cluster;
    int writes = 0;
    cluster.faultRule = [&](const KvRequest &request) {
        return request.op == KvOp::Txn && ++writes == 1 ? KvFault::LostReply : KvFault::None;
    };
    Operator writer(cluster, "one");
    const auto made = writer.apply({adapter(1)}, "change-1");
    ASSERT_TRUE(made);
    EXPECT_EQ(*made, 1U);
    EXPECT_EQ(writes, 1);
    writes = 5;
    cluster.faultRule = [](const KvRequest &request) {
        return request.op == KvOp::Txn ? KvFault::LostRequest : KvFault::None;
    };
    const auto lost = writer.apply({adapter(2)}, "change-2");
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().kind, ConfigErrorKind::OutcomeUnknown);
    cluster.faultRule = [](const KvRequest &) { return KvFault::Down; };
    const auto down = writer.apply({adapter(2)}, "change-3");
    ASSERT_FALSE(down);
    EXPECT_EQ(down.error().kind, ConfigErrorKind::Unavailable);
}

TEST(ConfigWriter, RejectsRecordUnreadableForLiveProcess)
{
    VirtualCluster cluster;
    Operator writer(cluster, "one", 1);
    const auto refused =
        writer.apply({*parseRecord(R"({"schemaVersion":2,"name":"p","service":{"idempotent":true}})")}, "change-1");
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, ConfigErrorKind::UnknownSchemaVersion);
    EXPECT_TRUE(writer.apply({adapter(1)}, "change-2"));
}

TEST(ConfigWriter, CompactionBoundsHistoryForNewReaders)
{
    VirtualCluster cluster;
    Operator writer(cluster, "one");
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(writer.apply({adapter(i)}, "change-" + std::to_string(i)));
        writer.result.reset();
        writer.writer.compact(cluster.now());
        ASSERT_TRUE(writer.awaitResult());
    }
    EXPECT_EQ(cluster.kv.find("/t/config/delta/00000000000000000010"), nullptr);
    EXPECT_NE(cluster.kv.find("/t/config/delta/00000000000000000050"), nullptr);
    EXPECT_EQ(cluster.kv.find("/t/config/snapshot/00000000000000000020/00000"), nullptr);
    EXPECT_NE(cluster.kv.find("/t/config/snapshot/00000000000000000040/00001"), nullptr);
    Operator newcomer(cluster, "two");
    ASSERT_TRUE(newcomer.apply({adapter(99)}, "change-new"));
    EXPECT_EQ(newcomer.store.adapterCount(), 51U);
}

TEST(ConfigDistributor, ChangeReachesAllProcessesWithinSeconds)
{
    Cluster cluster;
    for (int i = 0; i < 3; ++i) {
        cluster.add("entry-" + std::to_string(i), true);
    }
    for (int i = 0; i < 12; ++i) {
        cluster.add("sidecar-" + std::to_string(i), false);
    }
    cluster.exchangeHeartbeats();
    cluster.virtualCluster.run(Seconds(10));
    Operator writer(cluster.virtualCluster, "one");
    ASSERT_TRUE(writer.apply({adapter(1)}, "change-1"));
    const TimePoint accepted = cluster.virtualCluster.now().mono;
    ASSERT_TRUE(cluster.virtualCluster.runUntil(Seconds(12), [&] { return cluster.areAllAt(1); }));
    EXPECT_LT(cluster.virtualCluster.now().mono - accepted, Seconds(2));
    int watching = 0;
    for (const auto &[name, process] : cluster.processes) {
        watching += process->distributor->isWatching() ? 1 : 0;
    }
    EXPECT_LE(watching, 2);
    EXPECT_GE(watching, 1);
    // When idle, no process becomes stale, and only watchers and candidates read from the service.
    cluster.virtualCluster.run(Seconds(60));
    cluster.virtualCluster.requests = 0;
    cluster.virtualCluster.run(Seconds(60));
    EXPECT_LT(static_cast<double>(cluster.virtualCluster.requests) / 60, 4.0);
    for (const auto &[name, process] : cluster.processes) {
        EXPECT_FALSE(process->distributor->isStale()) << name;
    }
}

// A process that starts during an outage of the service must fetch the configuration from a peer, and become stale if
// it stays unconfirmed.
TEST(ConfigDistributor, StartDuringOutageFetchesConfigurationFromPeer)
{
    Cluster cluster;
    auto &old = cluster.add("entry-0", true);
    Operator writer(cluster.virtualCluster, "one");
    for (int i = 0; i < 600; ++i) {
        ASSERT_TRUE(writer.apply({adapter(i)}, "change-" + std::to_string(i)));
    }
    ASSERT_TRUE(cluster.virtualCluster.runUntil(Seconds(20), [&] { return old.store.revision() == 600; }));
    cluster.virtualCluster.faultRule = [](const KvRequest &) { return KvFault::Down; };
    auto &fresh = cluster.add("entry-1", true);
    cluster.virtualCluster.run(Seconds(1));
    EXPECT_TRUE(fresh.distributor->isEmpty());
    EXPECT_TRUE(fresh.distributor->isStale());
    cluster.exchangeHeartbeats();
    ASSERT_TRUE(cluster.virtualCluster.runUntil(Seconds(10), [&] { return fresh.store.revision() == 600; }));
    EXPECT_EQ(fresh.store.digest(), old.store.digest());
    cluster.virtualCluster.run(Seconds(60));
    EXPECT_TRUE(old.distributor->isStale());
    EXPECT_TRUE(fresh.distributor->isStale()) << "peers cannot confirm one another";
    cluster.virtualCluster.faultRule = nullptr;
    EXPECT_TRUE(cluster.virtualCluster.runUntil(
        Seconds(60), [&] { return !old.distributor->isStale() && !fresh.distributor->isStale(); }));
}

// Under random faults no store may go back or diverge, and all must reach the head afterwards.
RC_GTEST_PROP(ConfigDistributor, NeverRevertsAndConverges, ())
{
    Cluster cluster;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t faultPercent = 0;
    cluster.virtualCluster.faultRule = [&](const KvRequest &) {
        const std::array faults{KvFault::Down, KvFault::LostRequest, KvFault::LostReply};
        return random.uniformBelow(100) < faultPercent ? faults[random.uniformBelow(faults.size())] : KvFault::None;
    };
    for (const char *name : {"e0", "e1", "s0", "s1"}) {
        cluster.add(name, name[0] == 'e');
    }
    cluster.exchangeHeartbeats();
    Operator writer(cluster.virtualCluster, "one");
    Operator rival(cluster.virtualCluster, "two");
    std::uint64_t accepted = 0;
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
        faultPercent = *rc::gen::element<std::uint64_t>(0, 0, 30, 100);
        cluster.processes["s0"]->isDisconnected = *rc::gen::inRange(0, 3) == 0;
        writer.startApply({adapter(step)}, "w" + std::to_string(step));
        rival.startApply({adapter(1000 + step)}, "r" + std::to_string(step));
        const auto one = writer.awaitResult();
        const auto two = rival.awaitResult();
        accepted += (one ? 1 : 0) + (two ? 1 : 0);
        cluster.virtualCluster.run(Milliseconds(*rc::gen::inRange(1, 9000)));
    }
    faultPercent = 0;
    cluster.processes["s0"]->isDisconnected = false;
    ASSERT_TRUE(writer.apply({adapter(5000)}, "last"));
    ++accepted;
    const auto head = writer.store.revision();
    RC_ASSERT(head >= accepted);
    RC_ASSERT(cluster.virtualCluster.runUntil(Seconds(90), [&] { return cluster.areAllAt(head); }));
    for (const auto &[name, process] : cluster.processes) {
        RC_ASSERT(!process->hasReverted);
        RC_ASSERT(process->store.digest() == writer.store.digest());
    }
}

} // namespace
} // namespace anvilscale
