// Tests of configuration writers and distribution: concurrent operators, lost replies, outages, peers.
#include "config.pb.h"
#include "support/virtual_world.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using test::KvFault;
using test::VirtualWorld;

config::Change adapter(int number, const std::string &version = "v1")
{
    return *parseRecord(R"({"schemaVersion":1,"kind":"adapter","name":"a)" + std::to_string(number)
                        + R"(","baseModel":"m","versions":[")" + version + R"("]})");
}

struct Operator
{
    Operator(VirtualWorld &in, const std::string &name, std::uint32_t schemaVersionOfAll = 0)
        : world(in)
        , writer(ConfigWriter::Init{"/t/", name, schemaVersionOfAll, 20, 2000, &store, &in.timers, hash64(name)},
                 in.client([this](const KvReply &reply, Now at) { writer.onReply(reply, at); }),
                 [this](const ConfigWriter::Result &told, Now) { result = told; })
    {
    }
    void begin(std::vector<config::Change> changes, const std::string &id,
               std::optional<std::uint64_t> expected = std::nullopt)
    {
        result.reset();
        writer.apply(std::move(changes), id, expected, world.now());
    }
    ConfigWriter::Result end()
    {
        EXPECT_TRUE(world.runUntil(Seconds(60), [this] { return result.has_value(); }));
        return *result;
    }
    ConfigWriter::Result apply(std::vector<config::Change> changes, const std::string &id)
    {
        begin(std::move(changes), id);
        return end();
    }
    VirtualWorld &world;
    ConfigStore store;
    std::optional<ConfigWriter::Result> result;
    ConfigWriter writer;
};

struct Process;

struct Site
{
    VirtualWorld world;
    std::map<std::string, std::unique_ptr<Process>> processes;

    Process &add(const std::string &name, bool mayWatch);
    bool allAt(std::uint64_t revision) const;
    void gossip();
};

struct Process
{
    Process(Site &site, const std::string &name, bool mayWatch)
    {
        ConfigSpread::Init init;
        init.self = name;
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.keyPrefix = "/t/";
        init.mayWatch = mayWatch;
        init.store = &store;
        init.timers = &site.world.timers;
        init.seed = hash64(name);
        ConfigSpread::Callbacks callbacks;
        callbacks.submit = site.world.client([this](const KvReply &reply, Now at) {
            spread->onReply(reply, at);
            highest = std::max(highest, store.revision());
            wentBack = wentBack || store.revision() < highest;
        });
        callbacks.sendToPeer = [&site, name](const std::string &to, const wire::Envelope &envelope) {
            site.world.later(Milliseconds(1), [&site, name, to, envelope](Now at) {
                auto &peer = *site.processes.at(to);
                if (peer.cut) {
                    return;
                }
                if (envelope.has_config_push()) {
                    peer.spread->onPush(envelope.config_push(), at);
                } else {
                    peer.spread->onFetch(name, envelope.config_fetch(), at);
                }
            });
        };
        callbacks.changed = [this](Now) { ++changes; };
        spread = std::make_unique<ConfigSpread>(init, callbacks);
    }
    ConfigStore store;
    std::unique_ptr<ConfigSpread> spread;
    std::uint64_t changes = 0;
    std::uint64_t highest = 0;
    bool wentBack = false;
    bool cut = false; // disconnected from its peers
};

Process &Site::add(const std::string &name, bool mayWatch)
{
    auto &process = processes[name] = std::make_unique<Process>(*this, name, mayWatch);
    process->spread->start(world.now());
    return *process;
}

bool Site::allAt(std::uint64_t revision) const
{
    return std::all_of(processes.begin(), processes.end(),
                       [&](const auto &entry) { return entry.second->store.revision() == revision; });
}

/// Delivers every process's revision and age to all others twice a second, as heartbeats do.
void Site::gossip()
{
    world.later(Milliseconds(500), [this](Now at) {
        for (const auto &[name, process] : processes) {
            for (const auto &[other, peer] : processes) {
                if (name != other && !peer->cut && !process->cut) {
                    peer->spread->onPeerRevision(name, process->store.revision(), process->store.digest(), at,
                                                 process->spread->age(at.mono));
                }
            }
        }
        gossip();
    });
}

TEST(ConfigWriter, RacingOperatorsGetAConflictWithTheRevision)
{
    VirtualWorld world;
    Operator first(world, "one");
    Operator second(world, "two");
    first.begin({adapter(1)}, "change-1");
    second.begin({adapter(2)}, "change-2");
    const auto one = first.end();
    const auto two = second.end();
    ASSERT_TRUE(one) << one.error().detail;
    ASSERT_FALSE(two);
    EXPECT_EQ(two.error().kind, ConfigErrorKind::Conflict);
    EXPECT_EQ(two.error().revision, 1U);
    second.begin({adapter(2)}, "change-3", 0);
    const auto late = second.end();
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, ConfigErrorKind::Conflict);
    ASSERT_TRUE(second.apply({adapter(2)}, "change-4"));
    EXPECT_EQ(second.store.revision(), 2U);
}

// A change whose reply is lost must be read back by its change id: reported as failed, it would be made a second time.
TEST(ConfigWriter, LostReplyIsReadBackAndTheChangeIsMadeOnce)
{
    VirtualWorld world;
    int writes = 0;
    world.rule = [&](const KvRequest &request) {
        return request.op == KvOp::Txn && ++writes == 1 ? KvFault::LostReply : KvFault::None;
    };
    Operator writer(world, "one");
    const auto made = writer.apply({adapter(1)}, "change-1");
    ASSERT_TRUE(made);
    EXPECT_EQ(*made, 1U);
    EXPECT_EQ(writes, 1);
    writes = 5;
    world.rule = [](const KvRequest &request) {
        return request.op == KvOp::Txn ? KvFault::LostRequest : KvFault::None;
    };
    const auto lost = writer.apply({adapter(2)}, "change-2");
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().kind, ConfigErrorKind::OutcomeUnknown);
    world.rule = [](const KvRequest &) { return KvFault::Down; };
    const auto down = writer.apply({adapter(2)}, "change-3");
    ASSERT_FALSE(down);
    EXPECT_EQ(down.error().kind, ConfigErrorKind::Unavailable);
}

TEST(ConfigWriter, RecordThatALiveProcessCannotReadIsRefused)
{
    VirtualWorld world;
    Operator writer(world, "one", 1);
    const auto refused =
        writer.apply({*parseRecord(R"({"schemaVersion":2,"name":"p","service":{"idempotent":true}})")}, "change-1");
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, ConfigErrorKind::UnknownSchemaVersion);
    EXPECT_TRUE(writer.apply({adapter(1)}, "change-2"));
}

TEST(ConfigWriter, CompactionKeepsTheHistoryShortAndNewcomersReadIt)
{
    VirtualWorld world;
    Operator writer(world, "one");
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(writer.apply({adapter(i)}, "change-" + std::to_string(i)));
        writer.result.reset();
        writer.writer.compact(world.now());
        ASSERT_TRUE(writer.end());
    }
    EXPECT_EQ(world.kv.find("/t/config/delta/00000000000000000010"), nullptr);
    EXPECT_NE(world.kv.find("/t/config/delta/00000000000000000050"), nullptr);
    EXPECT_EQ(world.kv.find("/t/config/snapshot/00000000000000000020/00000"), nullptr);
    EXPECT_NE(world.kv.find("/t/config/snapshot/00000000000000000040/00001"), nullptr);
    Operator newcomer(world, "two");
    ASSERT_TRUE(newcomer.apply({adapter(99)}, "change-new"));
    EXPECT_EQ(newcomer.store.adapterCount(), 51U);
}

TEST(ConfigSpread, ChangeIsInForceEverywhereWithinSeconds)
{
    Site site;
    for (int i = 0; i < 3; ++i) {
        site.add("entry-" + std::to_string(i), true);
    }
    for (int i = 0; i < 12; ++i) {
        site.add("sidecar-" + std::to_string(i), false);
    }
    site.gossip();
    site.world.run(Seconds(10));
    Operator writer(site.world, "one");
    ASSERT_TRUE(writer.apply({adapter(1)}, "change-1"));
    const TimePoint accepted = site.world.now().mono;
    ASSERT_TRUE(site.world.runUntil(Seconds(12), [&] { return site.allAt(1); }));
    EXPECT_LT(site.world.now().mono - accepted, Seconds(2));
    int watching = 0;
    for (const auto &[name, process] : site.processes) {
        watching += process->spread->watching() ? 1 : 0;
    }
    EXPECT_LE(watching, 2);
    EXPECT_GE(watching, 1);
    // When idle, no process becomes stale, and only watchers and candidates read from the service.
    site.world.run(Seconds(60));
    site.world.requests = 0;
    site.world.run(Seconds(60));
    EXPECT_LT(static_cast<double>(site.world.requests) / 60, 4.0);
    for (const auto &[name, process] : site.processes) {
        EXPECT_FALSE(process->spread->stale()) << name;
    }
}

// A process that starts during an outage of the service must fetch the configuration from a peer, and become stale if
// it stays unconfirmed.
TEST(ConfigSpread, StartDuringAnOutageTakesTheConfigurationFromAPeer)
{
    Site site;
    auto &old = site.add("entry-0", true);
    Operator writer(site.world, "one");
    for (int i = 0; i < 600; ++i) {
        ASSERT_TRUE(writer.apply({adapter(i)}, "change-" + std::to_string(i)));
    }
    ASSERT_TRUE(site.world.runUntil(Seconds(20), [&] { return old.store.revision() == 600; }));
    site.world.rule = [](const KvRequest &) { return KvFault::Down; };
    auto &fresh = site.add("entry-1", true);
    site.world.run(Seconds(1));
    EXPECT_TRUE(fresh.spread->empty());
    EXPECT_TRUE(fresh.spread->stale());
    site.gossip();
    ASSERT_TRUE(site.world.runUntil(Seconds(10), [&] { return fresh.store.revision() == 600; }));
    EXPECT_EQ(fresh.store.digest(), old.store.digest());
    site.world.run(Seconds(60));
    EXPECT_TRUE(old.spread->stale());
    EXPECT_TRUE(fresh.spread->stale()) << "two processes cannot confirm one another";
    site.world.rule = nullptr;
    EXPECT_TRUE(site.world.runUntil(Seconds(60), [&] { return !old.spread->stale() && !fresh.spread->stale(); }));
}

// Under random faults no store may go back or diverge, and all must reach the head afterwards.
RC_GTEST_PROP(ConfigSpread, NeverGoesBackAndConverges, ())
{
    Site site;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t rate = 0;
    site.world.rule = [&](const KvRequest &) {
        const std::array faults{KvFault::Down, KvFault::LostRequest, KvFault::LostReply};
        return random.below(100) < rate ? faults[random.below(faults.size())] : KvFault::None;
    };
    for (const char *name : {"e0", "e1", "s0", "s1"}) {
        site.add(name, name[0] == 'e');
    }
    site.gossip();
    Operator writer(site.world, "one");
    Operator rival(site.world, "two");
    std::uint64_t accepted = 0;
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
        rate = *rc::gen::element<std::uint64_t>(0, 0, 30, 100);
        site.processes["s0"]->cut = *rc::gen::inRange(0, 3) == 0;
        writer.begin({adapter(step)}, "w" + std::to_string(step));
        rival.begin({adapter(1000 + step)}, "r" + std::to_string(step));
        const auto one = writer.end();
        const auto two = rival.end();
        accepted += (one ? 1 : 0) + (two ? 1 : 0);
        site.world.run(Milliseconds(*rc::gen::inRange(1, 9000)));
    }
    rate = 0;
    site.processes["s0"]->cut = false;
    ASSERT_TRUE(writer.apply({adapter(5000)}, "last"));
    ++accepted;
    const auto head = writer.store.revision();
    RC_ASSERT(head >= accepted);
    RC_ASSERT(site.world.runUntil(Seconds(90), [&] { return site.allAt(head); }));
    for (const auto &[name, process] : site.processes) {
        RC_ASSERT(!process->wentBack);
        RC_ASSERT(process->store.digest() == writer.store.digest());
    }
}

} // namespace
} // namespace anvilscale
