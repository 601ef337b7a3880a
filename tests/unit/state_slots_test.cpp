// Tests of slot ownership: fair shares, takeover after a lease expires, handover at a drain, and pauses.
#include "config.pb.h"
#include "support/virtual_cluster.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace anvilscale {
namespace {

using test::KvFault;
using test::VirtualCluster;

constexpr std::uint32_t slotCount = 64;
constexpr std::int64_t marginMs = 4000;

std::unique_ptr<ConfigStore> makeConfig()
{
    auto store = std::make_unique<ConfigStore>();
    config::Delta delta;
    delta.set_revision(1);
    *delta.add_changes() =
        *parseRecord(R"({"schemaVersion":2,"name":"admission","service":{"slots":64,"windowS":60,"skewMs":1000,)"
                     R"("marginMs":4000,"deadlineMs":5000}})");
    EXPECT_TRUE(store->apply(delta));
    return store;
}

struct Group;

/// Sidecar of the service, reduced to its slot ownership.
struct Sidecar
{
    Sidecar(Group &group, std::string name, std::uint64_t incarnation);

    Group &group;
    std::string name;
    SeenKeys seen{SeenKeys::Limits{}};
    bool isCrashed = false;
    Duration clockLag{}; // of its time of day, against that of the cluster
    bool isDisconnected = false; // disconnected from the key-value service
    std::vector<KvHandle> interruptedWatches; // watches that lost an event while disconnected
    std::unique_ptr<SlotOwner> owner;

    Now now() const;
    /// Returns a new key of a slot that this sidecar owns.
    std::string newOwnedKey() const;
    /// Decides on the key as the owner of its slot.
    KeyDecisionKind admit(const std::string &key, const ServiceView &service);
    void onReply(KvReply reply);
    void submit(const std::function<void(KvRequest)> &to, KvRequest request);
    void reconnect();
};

struct Group
{
    VirtualCluster cluster;
    std::unique_ptr<ConfigStore> config = makeConfig();
    std::map<std::string, std::unique_ptr<Sidecar>> sidecars;
    std::vector<std::unique_ptr<Sidecar>> removedSidecars; // kept alive for replies still in flight
    bool dropsHandovers = false; // drops all handover messages

    Sidecar &add(const std::string &name, std::uint64_t incarnation = 1)
    {
        removedSidecars.push_back(std::move(sidecars[name]));
        sidecars[name] = std::make_unique<Sidecar>(*this, name, incarnation);
        sidecars[name]->owner->start(sidecars[name]->now());
        return *sidecars[name];
    }
    void announceMembers()
    {
        std::vector<std::string> names;
        for (const auto &[name, sidecar] : sidecars) {
            if (!sidecar->isCrashed) {
                names.push_back(name);
            }
        }
        for (const auto &[name, sidecar] : sidecars) {
            sidecar->owner->onMembers(names, sidecar->now());
        }
    }
    void deliver(const std::string &to, const wire::Envelope &envelope)
    {
        cluster.later(Milliseconds(1), [this, to, envelope](Now) {
            const auto found = sidecars.find(to);
            if (found == sidecars.end() || found->second->isCrashed || dropsHandovers) {
                return;
            }
            if (envelope.has_slot_handover()) {
                found->second->owner->onHandover(envelope.slot_handover(), found->second->now());
            } else {
                found->second->owner->onHandoverAck(envelope.slot_handover_ack(), found->second->now());
            }
        });
    }
    /// Returns the sidecars that claim the slot; the invariant is at most one.
    std::vector<Sidecar *> ownersOf(std::uint32_t slot)
    {
        std::vector<Sidecar *> owners;
        for (const auto &[name, sidecar] : sidecars) {
            if (sidecar->owner->owns(slot, sidecar->now()).isOwned) {
                owners.push_back(sidecar.get());
            }
        }
        return owners;
    }
    /// Number of key limits stored for these incarnations of the sidecar "a".
    std::size_t storedLimits(const std::vector<std::uint64_t> &incarnations) const
    {
        constexpr std::string_view prefix = "/t/slot-owners/admission/a/000000000000000";
        return static_cast<std::size_t>(std::count_if(incarnations.begin(), incarnations.end(), [&](auto incarnation) {
            return cluster.kv.find(std::string(prefix) + std::to_string(incarnation) + "/key-limit") != nullptr;
        }));
    }
    bool allOwnedOnce()
    {
        for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
            if (ownersOf(slot).size() != 1) {
                return false;
            }
        }
        return true;
    }
};

Sidecar::Sidecar(Group &in, std::string givenName, std::uint64_t incarnation)
    : group(in)
    , name(std::move(givenName))
{
    SlotOwner::Init init;
    init.service = "admission";
    init.keyPrefix = "/t/";
    init.self = name;
    init.incarnation = incarnation;
    init.config = group.config.get();
    init.timers = &group.cluster.timers;
    init.seed = hash64(name) + incarnation;
    init.seen = &seen;
    init.send = [this](const std::string &to, const wire::Envelope &envelope) {
        if (!isCrashed) {
            group.deliver(to, envelope);
        }
    };
    auto client = group.cluster.makeClient([this](const KvReply &reply, Now) { onReply(reply); });
    owner =
        std::make_unique<SlotOwner>(init, [this, client](KvRequest request) { submit(client, std::move(request)); });
}

Now Sidecar::now() const
{
    auto result = group.cluster.now();
    result.wall.ms -= std::chrono::duration_cast<Milliseconds>(clockLag).count();
    return result;
}

std::string Sidecar::newOwnedKey() const
{
    Random random(5);
    std::string key;
    do {
        key = makeKey(now().wall, random);
    } while (!owner->owns(slotOf(key, slotCount), now()).isOwned);
    return key;
}

KeyDecisionKind Sidecar::admit(const std::string &key, const ServiceView &service)
{
    const auto owned = owner->owns(slotOf(key, slotCount), now());
    if (!owned.isOwned) {
        return KeyDecisionKind::Refuse;
    }
    return seen.admit(key, 1, service, owned.minKeyTime, ExecutionHandle{1}, now()).kind;
}

void Sidecar::onReply(KvReply reply)
{
    if (isDisconnected && reply.isEvent) {
        interruptedWatches.push_back(reply.id);
        return;
    }
    if (isDisconnected) {
        const KvHandle id = reply.id;
        reply = KvReply();
        reply.id = id;
        reply.status = KvStatus::Unknown;
    }
    if (!isCrashed) {
        owner->onReply(reply, now());
    }
}

void Sidecar::submit(const std::function<void(KvRequest)> &to, KvRequest request)
{
    if (isCrashed) {
        return;
    }
    if (isDisconnected) {
        KvReply reply;
        reply.id = request.id;
        reply.status = KvStatus::Unavailable;
        group.cluster.later(Milliseconds(1), [this, reply](Now) { onReply(reply); });
        return;
    }
    to(std::move(request));
}

void Sidecar::reconnect()
{
    isDisconnected = false;
    for (const auto id : std::exchange(interruptedWatches, {})) {
        KvReply reply;
        reply.id = id;
        reply.status = KvStatus::Unavailable;
        onReply(reply);
    }
}

TEST(SlotOwner, DividesSlotsEvenly)
{
    Group group;
    for (const char *name : {"a", "b", "c"}) {
        group.add(name);
    }
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    for (const auto &[name, sidecar] : group.sidecars) {
        EXPECT_NEAR(static_cast<double>(sidecar->owner->slots().size()), slotCount / 3.0, 2.0) << name;
    }
}

// After a crash the slots may be claimed only when the lease has expired, and keys that the previous owner may have
// accepted are refused.
TEST(SlotOwner, ClaimsOnlyAfterLeaseExpiryAndOnlyNewerKeys)
{
    Group group;
    auto &a = group.add("a");
    group.add("b");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    const auto slot = a.owner->slots().front();
    const auto fence = a.owner->owns(slot, group.cluster.now()).fence;
    a.isCrashed = true;
    group.announceMembers();
    group.cluster.run(Seconds(6));
    const auto before = group.sidecars["b"]->owner->owns(slot, group.cluster.now());
    EXPECT_FALSE(before.isOwned) << "the lease of the crashed sidecar may still be valid";
    auto &successor = *group.sidecars["b"]->owner;
    ASSERT_TRUE(group.cluster.runUntil(Seconds(60), [&] { return successor.slots().size() == slotCount; }));
    const auto after = successor.owns(slot, group.cluster.now());
    EXPECT_TRUE(after.isOwned);
    EXPECT_GT(after.fence, fence);
    EXPECT_NEAR(static_cast<double>(after.minKeyTime.ms), static_cast<double>(group.cluster.now().wall.ms + marginMs),
                20.0);
}

// Guards against a second run of a key by a new owner whose time of day is behind by more than operators promise: its
// take-over time is before the key, which it accepts once its clock has reached it.
TEST(SlotOwner, KeyOfTheOwnerBeforeIsNotRunByOneWhoseClockIsBehind)
{
    Group group;
    auto &a = group.add("a");
    auto &b = group.add("b");
    b.clockLag = Seconds(40);
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    const auto service = *group.config->service("admission");
    group.cluster.run(Seconds(20));
    const auto key = a.newOwnedKey();
    const auto slot = slotOf(key, slotCount);
    const auto minKeyTime = a.owner->owns(slot, group.cluster.now()).minKeyTime;
    ASSERT_EQ(a.seen.admit(key, 1, service, minKeyTime, ExecutionHandle{1}, group.cluster.now()).kind,
              KeyDecisionKind::Run);
    a.isCrashed = true;
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(60), [&] { return b.owner->owns(slot, b.now()).isOwned; }));
    for (int i = 0; i < 50; ++i) {
        group.cluster.run(Seconds(1));
        const auto owned = b.owner->owns(slot, b.now());
        const auto repeat = b.seen.admit(key, 1, service, owned.minKeyTime, ExecutionHandle{2}, b.now());
        ASSERT_NE(repeat.kind, KeyDecisionKind::Run) << "after " << i << " s";
    }
}

// Guards against a second run after two take-overs: the limit of the first owner must outlast that of the second, whose
// clock is behind.
TEST(SlotOwner, KeyIsNotRunAfterTwoTakeOversByClocksThatAreBehind)
{
    Group group;
    auto &a = group.add("a");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    const auto service = *group.config->service("admission");
    group.cluster.run(Seconds(20));
    const auto key = a.newOwnedKey();
    const auto slot = slotOf(key, slotCount);
    ASSERT_EQ(a.admit(key, service), KeyDecisionKind::Run);
    a.isCrashed = true;
    for (const char *name : {"b", "c"}) {
        auto &next = group.add(name);
        next.clockLag = Seconds(40);
        group.announceMembers();
        ASSERT_TRUE(group.cluster.runUntil(Seconds(60), [&] { return next.owner->owns(slot, next.now()).isOwned; }));
        for (int i = 0; i < 50; ++i) {
            ASSERT_NE(next.admit(key, service), KeyDecisionKind::Run) << name << " after " << i << " s";
            group.cluster.run(Seconds(1));
        }
        next.isCrashed = true;
    }
}

// Guards against a second run after a hand-over whose receiver fails: the limit of the giver, whose clock is ahead,
// must reach the owner after the receiver.
TEST(SlotOwner, KeyOfTheGiverIsNotRunByTheOwnerAfterTheReceiver)
{
    Group group;
    auto &a = group.add("a");
    a.clockLag = -Seconds(40);
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    const auto service = *group.config->service("admission");
    group.cluster.run(Seconds(20));
    const auto key = a.newOwnedKey();
    const auto slot = slotOf(key, slotCount);
    ASSERT_EQ(a.admit(key, service), KeyDecisionKind::Run);
    auto &b = group.add("b");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return b.owner->slots().empty(); }));
    a.owner->drain(a.now());
    ASSERT_TRUE(group.cluster.runUntil(Seconds(20), [&] { return b.owner->owns(slot, b.now()).isOwned; }));
    a.isCrashed = true;
    b.isCrashed = true;
    auto &c = group.add("c");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(60), [&] { return c.owner->owns(slot, c.now()).isOwned; }));
    for (int i = 0; i < 60; ++i) {
        ASSERT_NE(c.admit(key, service), KeyDecisionKind::Run) << "after " << i << " s";
        group.cluster.run(Seconds(1));
    }
}

// Guards against an owner that admits keys which its successor cannot know of: its limit is not stored.
TEST(SlotOwner, OwnerWithoutAStoredLimitAdmitsNothing)
{
    Group group;
    bool isFailing = true;
    group.cluster.faultRule = [&](const KvRequest &request) {
        const bool writesLimit = !request.puts.empty() && request.puts.front().key.ends_with("/key-limit");
        return isFailing && writesLimit ? KvFault::LostRequest : KvFault::None;
    };
    auto &a = group.add("a");
    group.announceMembers();
    group.cluster.run(Seconds(5));
    ASSERT_EQ(a.owner->slots().size(), slotCount);
    EXPECT_TRUE(group.ownersOf(0).empty());
    isFailing = false;
    EXPECT_TRUE(group.cluster.runUntil(Seconds(10), [&] { return group.allOwnedOnce(); }));
}

// Guards against a slot that refuses all keys for an hour after a take-over: its owner's clock was an hour ahead and
// was set right before the owner failed.
TEST(SlotOwner, LimitFollowsAClockThatIsSetRight)
{
    Group group;
    auto &a = group.add("a");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    a.clockLag = -Seconds(3600);
    EXPECT_TRUE(group.ownersOf(0).empty()) << "the stored limit does not reach this far";
    ASSERT_TRUE(group.cluster.runUntil(Seconds(10), [&] { return group.allOwnedOnce(); }));
    a.clockLag = {};
    group.cluster.run(Seconds(10));
    a.isCrashed = true;
    auto &b = group.add("b");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(60), [&] { return group.allOwnedOnce(); }));
    EXPECT_LT(b.owner->owns(0, b.now()).minKeyTime.ms, b.now().wall.ms + 2 * marginMs);
}

// Guards against limits that pile up in the key-value service, one for each restart.
TEST(SlotOwner, LimitsOfOwnersThatAreGoneAreDeleted)
{
    Group group;
    for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
        auto &a = group.add("a", incarnation);
        group.announceMembers();
        ASSERT_TRUE(group.cluster.runUntil(Seconds(60), [&] { return group.allOwnedOnce(); }));
        a.isCrashed = true;
    }
    EXPECT_EQ(group.storedLimits({1, 2, 3, 4, 5}), 1U);
    auto &a = group.add("a", 6);
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(60), [&] { return group.allOwnedOnce(); }));
    a.owner->drain(a.now());
    ASSERT_TRUE(group.cluster.runUntil(Seconds(20), [&] { return a.owner->isDrained(); }));
    a.owner->stop(a.now());
    group.cluster.run(Milliseconds(100));
    EXPECT_EQ(group.storedLimits({1, 2, 3, 4, 5, 6}), 0U);
}

// Guards against a second run of a key by sidecars whose clocks are minutes apart and are set to and fro, under lost
// requests, lost replies, crashes and drains.
TEST(SlotOwner, NoKeyIsAdmittedTwiceWithClocksApart)
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Group group;
        Random random(seed);
        std::uint64_t faultRate = 0;
        group.cluster.faultRule = [&](const KvRequest &) {
            const bool isFaulty = random.uniformBelow(100) < faultRate;
            return isFaulty
                       ? std::array{KvFault::Down, KvFault::LostRequest, KvFault::LostReply}[random.uniformBelow(3)]
                       : KvFault::None;
        };
        const std::vector<std::string> names{"a", "b", "c"};
        for (const auto &name : names) {
            group.add(name);
        }
        group.announceMembers();
        group.cluster.run(Seconds(15));
        const auto service = *group.config->service("admission");
        std::vector<std::string> keys;
        std::map<std::string, int> admitted;
        std::uint64_t incarnation = 1;
        for (int step = 0; step < 60; ++step) {
            const auto &name = names[random.uniformBelow(names.size())];
            auto *sidecar = group.sidecars[name].get();
            const auto action = random.uniformBelow(10);
            if (action == 0) {
                sidecar->isCrashed = true;
            } else if (action <= 2 && sidecar->isCrashed) {
                sidecar = &group.add(name, ++incarnation);
            } else if (action == 3) {
                sidecar->owner->drain(sidecar->now());
            } else if (action == 4) {
                faultRate = 10 * random.uniformBelow(4);
            }
            if (action <= 2 || action == 5) {
                sidecar->clockLag = Seconds(static_cast<int>(random.uniformBelow(240)) - 120);
            }
            group.announceMembers();
            group.cluster.run(Milliseconds(random.uniformBelow(6000) + 1));
            const auto ahead = static_cast<std::int64_t>(random.uniformBelow(240'000)) - 120'000;
            keys.push_back(makeKey(WallTime{group.cluster.now().wall.ms + ahead}, random));
            keys.push_back(makeKey(group.cluster.now().wall, random));
            for (const auto &key : keys) {
                for (auto *owner : group.ownersOf(slotOf(key, slotCount))) {
                    const bool runsNow = !owner->isCrashed && owner->admit(key, service) == KeyDecisionKind::Run;
                    runs += runsNow ? 1 : 0;
                    ASSERT_LE(admitted[key] += runsNow ? 1 : 0, 1) << "seed " << seed << ", step " << step;
                }
            }
        }
    }
    EXPECT_GT(runs, 100U);
}

// A drain must transfer the keys before the table names the new owner, so that a repeat gets the first answer.
TEST(SlotOwner, DrainTransfersKeysWithoutRefusedWindow)
{
    Group group;
    auto &a = group.add("a");
    auto &b = group.add("b");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    const auto service = *group.config->service("admission");
    group.cluster.run(Seconds(20));
    const auto key = a.newOwnedKey();
    const auto slot = slotOf(key, slotCount);
    const auto minKeyTime = a.owner->owns(slot, group.cluster.now()).minKeyTime;
    ASSERT_EQ(a.seen.admit(key, 1, service, minKeyTime, ExecutionHandle{1}, group.cluster.now()).kind,
              KeyDecisionKind::Run);
    CachedAnswer answer;
    answer.outcome = CallOutcome::Complete;
    answer.body = "admitted";
    a.seen.finish(key, answer, group.cluster.now());
    a.owner->drain(group.cluster.now());
    ASSERT_TRUE(group.cluster.runUntil(Seconds(10), [&] { return a.owner->isDrained(); }));
    group.cluster.run(Milliseconds(100));
    EXPECT_TRUE(group.allOwnedOnce());
    const auto owned = b.owner->owns(slot, group.cluster.now());
    EXPECT_EQ(owned.minKeyTime, minKeyTime) << "the key window is preserved";
    const auto repeat = b.seen.admit(key, 1, service, owned.minKeyTime, ExecutionHandle{2}, group.cluster.now());
    ASSERT_EQ(repeat.kind, KeyDecisionKind::Replay);
    EXPECT_EQ(repeat.answer->body, "admitted");
}

TEST(SlotOwner, DrainWithoutAcknowledgementsFreesSlots)
{
    Group group;
    auto &a = group.add("a");
    group.add("b");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    group.dropsHandovers = true;
    a.owner->drain(group.cluster.now());
    a.isCrashed = false;
    EXPECT_TRUE(group.cluster.runUntil(Seconds(20), [&] { return a.owner->isDrained(); }));
}

TEST(SlotOwner, NewMemberReceivesShareByHandover)
{
    Group group;
    auto &a = group.add("a");
    group.announceMembers();
    ASSERT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
    auto &b = group.add("b");
    group.announceMembers();
    EXPECT_TRUE(group.cluster.runUntil(Seconds(40), [&] {
        return a.owner->slots().size() <= slotCount / 2 + 2 && b.owner->slots().size() >= slotCount / 2 - 2;
    }));
    EXPECT_TRUE(group.cluster.runUntil(Seconds(5), [&] { return group.allOwnedOnce(); }));
}

// Guards against a key that runs twice after a takeover, and against two owners of a slot, under lost requests, lost
// replies, outages, crashes and restarts.
RC_GTEST_PROP(SlotOwner, NoKeyIsAdmittedTwiceUnderFaults, ())
{
    Group group;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    int faultRate = 0;
    group.cluster.faultRule = [&](const KvRequest &) {
        if (static_cast<int>(random.uniformBelow(100)) >= faultRate) {
            return KvFault::None;
        }
        return std::array{KvFault::Down, KvFault::LostRequest, KvFault::LostReply}[random.uniformBelow(3)];
    };
    for (const char *name : {"a", "b", "c"}) {
        group.add(name);
    }
    group.announceMembers();
    group.cluster.run(Seconds(15));
    const auto service = *group.config->service("admission");
    std::vector<std::string> keys;
    std::map<std::string, int> admitted;
    const int steps = *rc::gen::inRange(5, 80);
    std::uint64_t incarnation = 1;
    for (int step = 0; step < steps; ++step) {
        const int action = *rc::gen::inRange(0, 12);
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
        if (action == 0) {
            group.sidecars[name]->isCrashed = true;
            group.announceMembers();
        } else if (action == 1 && group.sidecars[name]->isCrashed) {
            group.add(name, ++incarnation);
            group.announceMembers();
        } else if (action == 2) {
            group.sidecars[name]->owner->drain(group.cluster.now());
        } else if (action == 3) {
            faultRate = *rc::gen::element(0, 10, 50, 100);
        } else if (action == 4) {
            group.cluster.kv.breakWatches();
        } else if (action == 5) {
            group.sidecars[name]->isDisconnected = true;
        } else if (action == 6) {
            group.sidecars[name]->reconnect();
        }
        group.cluster.run(Milliseconds(*rc::gen::inRange(1, 6000)));
        for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
            RC_ASSERT(group.ownersOf(slot).size() <= 1);
        }
        // Stamps reach as far ahead as the skew allows, which the margin has to cover.
        keys.push_back(makeKey(WallTime{group.cluster.now().wall.ms + *rc::gen::inRange(-4000, 1000)}, random));
        for (std::size_t i = keys.size() > 12 ? keys.size() - 12 : 0; i < keys.size(); ++i) {
            const auto slot = slotOf(keys[i], slotCount);
            for (auto *owner : group.ownersOf(slot)) {
                const auto owned = owner->owner->owns(slot, group.cluster.now());
                const auto decision =
                    owner->seen.admit(keys[i], 1, service, owned.minKeyTime, ExecutionHandle{1}, group.cluster.now());
                if (decision.kind == KeyDecisionKind::Run) {
                    RC_ASSERT(++admitted[keys[i]] == 1);
                }
            }
        }
    }
    RC_TAG(!admitted.empty());
}

} // namespace
} // namespace anvilscale
