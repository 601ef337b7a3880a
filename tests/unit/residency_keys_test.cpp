// Tests of at-most-once calls with complete sidecars and a key-value service in virtual time. They check how often the
// service ran a key, and that only keys that never ran are refused as "not run".
#include "config.pb.h"
#include "support/virtual_cluster.h"

#include "anvilscale/residency.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace anvilscale::test {

namespace {

const PeerHandle entry{1};

struct Node
{
    std::unique_ptr<SidecarDecisions> decisions;
    bool paused = false;
    std::vector<StartExecution> started;
    std::vector<AttachListener> attached;
    std::vector<ReplayAnswer> replayed;
    std::vector<wire::CallRefused> refusals;
    int drained = 0;
};

class AtMostOnce : public testing::Test
{
protected:
    AtMostOnce()
    {
        config::Delta delta;
        delta.set_revision(1);
        const auto record = parseRecord(R"({"schemaVersion":2,"name":"admission","service":{"slots":16,"windowS":60,)"
                                        R"("skewMs":1000,"marginMs":4000,"deadlineMs":5000}})");
        *delta.add_changes() = *record;
        EXPECT_TRUE(config.apply(delta));
    }
    Node &add(const std::string &name, const Safeguards &safeguards = {}, std::uint32_t batchLimit = 4)
    {
        SidecarInit init;
        init.name = name;
        init.incarnation = 1;
        init.kind = EndpointKind::Service;
        init.services = {"admission"};
        init.batchLimit = batchLimit;
        init.config = &config;
        init.timers = &cluster.timers;
        init.seed = nodes.size() + 1;
        init.safeguards = safeguards;
        auto &node = nodes[name];
        node.decisions = std::make_unique<SidecarDecisions>(init);
        kvClients[name] = cluster.makeClient([&node](const KvReply &reply, Now at) {
            if (!node.paused) {
                node.decisions->onKvReply(reply, at);
            }
        });
        node.decisions->start(cluster.now());
        return node;
    }
    void announceMembers()
    {
        std::vector<Member> members;
        for (const auto &[name, node] : nodes) {
            Member member;
            member.name = name;
            member.state = MemberState::Live;
            members.push_back(member);
        }
        for (auto &[name, node] : nodes) {
            node.decisions->onMembers(members, cluster.now());
        }
        run(Seconds(15));
    }
    void run(Duration span)
    {
        const TimePoint end = cluster.now().mono + span;
        while (cluster.now().mono < end) {
            cluster.run(Milliseconds(5));
            collect();
        }
    }
    void collect()
    {
        for (auto &[name, node] : nodes) {
            for (auto &action : node.decisions->takeActions()) {
                execute(name, node, action);
            }
        }
    }
    void execute(const std::string &name, Node &node, SidecarAction &action)
    {
        std::visit(Overloaded{[&](SubmitKv &kv) { kvClients[name](std::move(kv.request)); },
                              [&](StartExecution &start) {
                                  ++runCounts[start.request.key()];
                                  node.started.push_back(std::move(start));
                              },
                              [&](AttachListener &attach) { node.attached.push_back(std::move(attach)); },
                              [&](ReplayAnswer &replay) { node.replayed.push_back(std::move(replay)); },
                              [&](SendMessage &message) { deliver(node, message); }, [&](Drained &) { ++node.drained; },
                              [](auto &) {}},
                   action);
    }
    void deliver(Node &node, const SendMessage &sent)
    {
        if (sent.message.has_call_refused()) {
            node.refusals.push_back(sent.message.call_refused());
        }
        if (!sent.member.empty()) {
            cluster.later(Milliseconds(1), [this, sent](Now at) {
                nodes.at(sent.member).decisions->onMessage(PeerHandle{9}, sent.message, at);
            });
        }
    }
    std::string newKey()
    {
        return makeKey(cluster.now().wall, random);
    }
    wire::CallRequest request(const std::string &key, std::uint32_t attempt = 1)
    {
        wire::CallRequest call;
        call.mutable_id()->set_entry_incarnation(7);
        call.mutable_id()->set_call(++lastCall);
        call.mutable_id()->set_attempt(attempt);
        call.set_service("admission");
        call.set_method("POST");
        call.set_path("/admit");
        call.set_key(key);
        call.set_config_revision(1);
        call.set_budget_us(5'000'000);
        return call;
    }
    void send(Node &node, const wire::CallRequest &call)
    {
        wire::Envelope envelope;
        envelope.set_protocol(wireProtocol);
        *envelope.mutable_call_request() = call;
        node.decisions->onMessage(entry, envelope, cluster.now());
        collect();
    }
    void end(Node &node, std::size_t index, CallOutcome outcome, FailureReason failure = FailureReason::None)
    {
        CachedAnswer answer;
        answer.outcome = outcome;
        answer.failure = failure;
        answer.status = 200;
        answer.body = "admitted";
        node.decisions->onExecutionEnded(node.started.at(index).execution, answer, 0, cluster.now());
        collect();
    }
    static std::optional<RefusalReason> lastReason(const Node &node)
    {
        return node.refusals.empty() ? std::nullopt
                                     : std::optional(fromWire(node.refusals.back().reason(), RefusalReason::Internal));
    }

    VirtualCluster cluster;
    ConfigStore config;
    Random random{1};
    std::map<std::string, Node> nodes;
    std::map<std::string, std::function<void(KvRequest)>> kvClients;
    std::map<std::string, int> runCounts;
    std::uint64_t lastCall = 0;
};

} // namespace

TEST_F(AtMostOnce, KeysAreChecked)
{
    auto &node = add("desk-1");
    announceMembers();
    send(node, request(""));
    EXPECT_EQ(lastReason(node), RefusalReason::KeyMissing);
    send(node, request("not-a-key"));
    EXPECT_EQ(lastReason(node), RefusalReason::KeyInvalid);
    send(node, request(makeKey(WallTime{cluster.now().wall.ms + 60'000}, random)));
    EXPECT_EQ(lastReason(node), RefusalReason::KeyFromFuture);
    send(node, request(makeKey(WallTime{cluster.now().wall.ms - 120'000}, random)));
    EXPECT_EQ(lastReason(node), RefusalReason::KeyTooOld);
    EXPECT_FALSE(node.refusals.back().proved_not_run());
    EXPECT_TRUE(runCounts.empty());
}

TEST_F(AtMostOnce, RepeatAttachesOrGetsKeptAnswer)
{
    // Guards against a second execution when a caller repeats its call during the first one and after its end.
    auto &node = add("desk-1");
    announceMembers();
    const auto key = newKey();
    send(node, request(key));
    ASSERT_EQ(node.started.size(), 1U);
    EXPECT_TRUE(node.started[0].keepAnswer);
    send(node, request(key, 2));
    EXPECT_EQ(node.attached.size(), 1U);
    end(node, 0, CallOutcome::Complete);
    send(node, request(key, 3));
    ASSERT_EQ(node.replayed.size(), 1U);
    EXPECT_EQ(node.replayed[0].answer->body, "admitted");
    EXPECT_EQ(runCounts[key], 1);
}

TEST_F(AtMostOnce, EndpointCrashLeavesOutcomeUnknown)
{
    // After a crash during a call its effect is unknown: it must neither run again nor be refused as "not run".
    auto &node = add("desk-1");
    announceMembers();
    const auto key = newKey();
    send(node, request(key));
    end(node, 0, CallOutcome::Unknown, FailureReason::EndpointCut);
    send(node, request(key, 2));
    EXPECT_FALSE(node.replayed.empty() && node.refusals.empty());
    for (const auto &refused : node.refusals) {
        EXPECT_FALSE(refused.proved_not_run());
    }
    for (const auto &replay : node.replayed) {
        EXPECT_EQ(replay.answer->outcome, CallOutcome::Unknown);
    }
    EXPECT_EQ(runCounts[key], 1);
}

TEST_F(AtMostOnce, KeyIsReleasedIfNothingWasSent)
{
    auto &node = add("desk-1");
    announceMembers();
    const auto key = newKey();
    send(node, request(key));
    end(node, 0, CallOutcome::Failed, FailureReason::EndpointUnreachable);
    send(node, request(key, 2));
    EXPECT_EQ(node.started.size(), 2U);
}

TEST_F(AtMostOnce, OnlySlotOwnerWithSameFenceRuns)
{
    auto &first = add("desk-1", {}, 64);
    auto &second = add("desk-2", {}, 64);
    announceMembers();
    for (int i = 0; i < 20; ++i) {
        const auto key = newKey();
        send(first, request(key));
        send(second, request(key));
        EXPECT_EQ(runCounts[key], 1);
    }
    EXPECT_FALSE(first.started.empty());
    EXPECT_FALSE(second.started.empty());
    EXPECT_EQ(lastReason(first), RefusalReason::NotSlotOwner);
    auto stale = request(newKey());
    stale.set_slot_fence(999);
    const auto before = first.started.size();
    send(first, stale);
    EXPECT_EQ(first.started.size(), before);
    EXPECT_EQ(lastReason(first), RefusalReason::NotSlotOwner);
}

TEST_F(AtMostOnce, CallIsNotSentAfterLeaseExpired)
{
    // Guards against sending a queued call after a pause past the lease, while a new slot owner runs the repeat.
    auto &node = add("desk-1", {}, 1);
    announceMembers();
    send(node, request(newKey()));
    const auto key = newKey();
    auto waiting = request(key);
    waiting.set_budget_us(120'000'000);
    send(node, waiting);
    ASSERT_EQ(node.started.size(), 1U);
    cluster.faultRule = [](const KvRequest &) { return KvFault::Down; };
    run(Seconds(20)); // the lease expires by the sidecar's own clock
    end(node, 0, CallOutcome::Complete);
    EXPECT_EQ(runCounts[key], 0);
    EXPECT_EQ(lastReason(node), RefusalReason::NotSlotOwner);
    EXPECT_TRUE(node.refusals.back().proved_not_run());
}

// Shows that the lease check before the send is what prevents the execution in the test above.
TEST_F(AtMostOnce, CallIsSentAfterLeaseExpiredWithoutRecheck)
{
    Safeguards safeguards;
    safeguards.leaseRecheck = false;
    auto &node = add("desk-1", safeguards, 1);
    announceMembers();
    send(node, request(newKey()));
    const auto key = newKey();
    auto waiting = request(key);
    waiting.set_budget_us(120'000'000);
    send(node, waiting);
    cluster.faultRule = [](const KvRequest &) { return KvFault::Down; };
    run(Seconds(20));
    end(node, 0, CallOutcome::Complete);
    EXPECT_EQ(runCounts[key], 1);
}

TEST_F(AtMostOnce, RefusalOfExecutedKeyDoesNotProveNotRun)
{
    // Guards against refusing the repeat of an executed call as "not run" for another reason, such as its deadline.
    auto &node = add("desk-1");
    announceMembers();
    const auto key = newKey();
    send(node, request(key));
    node.decisions->onEngineLost(cluster.now());
    auto repeat = request(key, 2);
    repeat.set_budget_us(0);
    send(node, repeat);
    ASSERT_EQ(lastReason(node), RefusalReason::DeadlinePassed);
    EXPECT_FALSE(node.refusals.back().proved_not_run());
    send(node, request(key, 3));
    EXPECT_EQ(node.attached.size(), 1U);
    const auto fresh = newKey();
    send(node, request(fresh));
    EXPECT_EQ(lastReason(node), RefusalReason::EndpointDown);
    EXPECT_TRUE(node.refusals.back().proved_not_run());
    EXPECT_EQ(runCounts[fresh], 0);
}

TEST_F(AtMostOnce, CallThatExpiredInQueueMayRunLater)
{
    auto &node = add("desk-1", {}, 1);
    announceMembers();
    send(node, request(newKey()));
    const auto key = newKey();
    send(node, request(key));
    run(Seconds(6));
    EXPECT_EQ(lastReason(node), RefusalReason::DeadlinePassed);
    end(node, 0, CallOutcome::Complete);
    send(node, request(key, 2));
    EXPECT_EQ(runCounts[key], 1);
}

TEST_F(AtMostOnce, DrainTransfersKeys)
{
    // After a drain the new owner must replay kept answers, and run new keys without waiting for the key window.
    auto &first = add("desk-1");
    announceMembers();
    const auto key = newKey();
    send(first, request(key));
    end(first, 0, CallOutcome::Complete);
    auto &second = add("desk-2");
    announceMembers();
    first.decisions->drain(cluster.now());
    run(Seconds(20));
    EXPECT_EQ(first.drained, 1);
    send(second, request(key, 2));
    ASSERT_EQ(second.replayed.size(), 1U);
    EXPECT_EQ(second.replayed[0].answer->body, "admitted");
    const auto fresh = newKey();
    send(second, request(fresh));
    EXPECT_EQ(runCounts[fresh], 1);
    EXPECT_EQ(runCounts[key], 1);
}

TEST_F(AtMostOnce, DrainEndsWhileKeyValueServiceIsDown)
{
    auto &node = add("desk-1");
    announceMembers();
    cluster.faultRule = [](const KvRequest &) { return KvFault::Down; };
    node.decisions->drain(cluster.now());
    run(Seconds(40));
    EXPECT_EQ(node.drained, 1);
}

} // namespace anvilscale::test
