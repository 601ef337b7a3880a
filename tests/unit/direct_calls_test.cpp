// Call handling of an entry on the direct path: endpoint choice, waiting, retries and answers to callers.
#include "direct_fixture.h"

namespace anvilscale::test {

TEST(RouteTable, LongestPrefixOfTheHostWins)
{
    auto inner = makeRoute("/a/b/", "inner", RepeatRule::Idempotent);
    auto elsewhere = makeRoute("/a/b/c/", "elsewhere", RepeatRule::Idempotent);
    elsewhere.host = "other.example";
    const RouteTable table({makeRoute("/a/", "outer", RepeatRule::Idempotent), inner, elsewhere});
    EXPECT_EQ(table.find(host, "/a/b/c/d")->services.front().service, "inner");
    EXPECT_EQ(table.find(host, "/a/bc")->services.front().service, "outer");
    EXPECT_EQ(table.find(host, "/b/"), nullptr);
    EXPECT_EQ(table.find("third.example", "/a/"), nullptr);
}

TEST(CallFingerprint, IsTheSameForEachAttemptAtOneRequest)
{
    CallInfo info;
    info.requestId = "r1";
    info.host = host;
    info.model = modelName;
    info.adapter = "a1";
    const auto first = computeFingerprint("POST", "/s/x", "body", info);
    info.requestId = "r2";
    info.callerTimeout = Seconds(3);
    EXPECT_EQ(computeFingerprint("POST", "/s/x", "body", info), first);
    EXPECT_NE(computeFingerprint("POST", "/s/x", "other body", info), first);
    EXPECT_NE(computeFingerprint("POST", "/s/y", "body", info), first);
    EXPECT_NE(computeFingerprint("POST", "/s/", "xbody", info), first);
    info.adapter = "a2";
    EXPECT_NE(computeFingerprint("POST", "/s/x", "body", info), first);
    EXPECT_EQ(CallFingerprint{0xabc}.text(), "0000000000000abc");
}

// Guards against comparing calls by parts that no other call can have, and against lists of any length.
TEST(SharedParts, LeavesOutTheLastPartAndEndsAtALimit)
{
    EXPECT_TRUE(sharedParts({}).empty());
    EXPECT_TRUE(sharedParts({{"own", 10}}).empty());
    const auto parts = sharedParts({{"a", 10}, {"b", 20}, {"own", 30}});
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_EQ(parts, sharedParts({{"a", 1}, {"b", 2}, {"other", 3}}));
    EXPECT_EQ(PartFingerprint::read(parts[0].text()), parts[0]);
    EXPECT_EQ(sharedParts(std::vector<PromptPart>(1000, {"a", 1})).size(), maxSharedParts);
}

TEST_F(Calls, AnOlderConfigurationNeverComesBack)
{
    auto newer = makeConfig(5);
    newer.routes.pop_back();
    EXPECT_TRUE(calls_.applyConfig(newer, now_));
    EXPECT_FALSE(calls_.applyConfig(makeConfig(4), now_));
    addPlainEndpoints();
    startCall("/n/x");
    const auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 404U);
}

TEST_F(Calls, RefusesCallsWithoutConfiguration)
{
    DirectCalls fresh{init()};
    CallInfo info;
    info.host = host;
    info.path = "/i/x";
    fresh.onCall(CallHandle{1}, info, now_);
    const auto actions = fresh.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<RefuseCall>(actions[0]).status, 503U);
    EXPECT_FALSE(fresh.isReady(now_));
}

TEST_F(Calls, WaitsForItsAdapterAndIsSentOnceItIsThere)
{
    addEngine("e-1", "10.0.1.1:80", {});
    startCall("/s/x", "a1");
    const auto demands = takeActions<SendDemand>();
    ASSERT_EQ(demands.size(), 1U);
    ASSERT_EQ(demands[0].demand.wishes_size(), 1);
    EXPECT_EQ(demands[0].demand.wishes(0).adapter(), "a1");
    EXPECT_EQ(demands[0].demand.plan().adapter_slots(), 2U);
    now_ += Milliseconds(300);
    calls_.applyState("10.0.1.1:80", makeState({"a1"}), now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against the eviction of an adapter on which a call was just sent: the sidecar would unload it and the engine
// would take no other order until the call has ended.
TEST_F(Calls, FirstCallOnAnAdapterIsReportedAtOnce)
{
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    advance(directTickInterval);
    takeActions<SendDemand>();
    startCall("/s/x", "a1");
    const auto demands = takeActions<SendDemand>();
    ASSERT_EQ(demands.size(), 1U);
    ASSERT_EQ(demands[0].demand.wishes_size(), 1);
    EXPECT_EQ(demands[0].demand.wishes(0).running(), 1U);
}

// Guards against calls at a leaving engine, including those that already wait there for an adapter.
TEST_F(Calls, WaitingCallsLeaveAnEndpointThatLeaves)
{
    addEngine("e-1", "10.0.1.1:80", {});
    startCall("/s/x", "a1");
    addEngine("e-2", "10.0.1.2:80", {"a1"});
    auto leaving = makeEndpoint("e-1", engineService, "10.0.1.1:80");
    leaving.leaving = true;
    calls_.applyEndpoint(leaving, now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
    calls_.applyState("10.0.1.1:80", makeState({"a1"}), now_);
    startCall("/s/y", "a1");
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

TEST_F(Calls, PublishedVersionIsRequestedAndOlderOnesAreIgnored)
{
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    calls_.applyVersion({modelName, "a1", 2}, now_);
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<SendCall>().empty()) << "the engine holds the first version only";
    calls_.applyState("10.0.1.1:80", makeState({"a1"}, 2), now_);
    EXPECT_EQ(takeSentCall().version, 2U);
}

// Guards against two entries sending long prompts to one engine while another engine with the adapter is free.
TEST_F(Calls, PromptsOfOtherEntriesCount)
{
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    addEngine("e-2", "10.0.1.2:80", {"a1"});
    startCall("/s/x", "a1");
    const auto usual = takeSentCall();
    endAttempt(usual, AttemptEnd::Answered);
    auto busy = makeState({"a1"});
    busy.set_unread_tokens(40'000);
    calls_.applyState(usual.address, busy, now_);
    startCall("/s/x", "a1");
    EXPECT_NE(takeSentCall().endpointId, usual.endpointId);
}

// Guards against queueing at the engine that should cache the prompt's shared parts while an idle engine holds the
// adapter: measured answer times count.
TEST_F(Calls, AnEngineThatIsSlowerThanEstimatedIsLeft)
{
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    addEngine("e-2", "10.0.1.2:80", {"a1"});
    startCall("/s/x", "a1");
    const auto usual = takeSentCall();
    now_ += Milliseconds(1500);
    calls_.onAnswerStarted(usual.call, usual.attempt, now_);
    endAttempt(usual, AttemptEnd::Answered);
    calls_.applyState("10.0.1.1:80", makeState({"a1"}), now_);
    calls_.applyState("10.0.1.2:80", makeState({"a1"}), now_);
    auto state = makeState({"a1"});
    state.set_unread_tokens(1500);
    calls_.applyState(usual.address, state, now_);
    startCall("/s/x", "a1");
    EXPECT_NE(takeSentCall().endpointId, usual.endpointId);
}

// Guards against abandoning a resumable stream that can be restarted, and against restarting one of which the caller
// has received a part.
TEST_F(Calls, ResumableStreamIsRestartedBeforeItsFirstByte)
{
    auto config = makeConfig(2);
    config.routes.front().resumable = true;
    calls_.applyConfig(config, now_);
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    addEngine("e-2", "10.0.1.2:80", {"a1"});
    startCall("/s/x", "a1");
    const auto first = takeSentCall();
    endAttempt(first, AttemptEnd::Broken);
    const auto second = takeSentCall();
    EXPECT_NE(second.endpointId, first.endpointId);
    AttemptResult cut;
    cut.end = AttemptEnd::Broken;
    cut.callerHasBytes = true;
    calls_.onAttemptEnded(second.call, second.attempt, cut, now_);
    EXPECT_TRUE(takeActions<SendCall>().empty());
}

// Guards against a retry budget that accumulates in quiet minutes and is spent in one burst of failures.
TEST_F(Calls, ABurstOfFailuresSpendsNoMoreThanItsShareOfRetries)
{
    addPlainEndpoints();
    std::size_t sentAgain = 0;
    for (int i = 0; i < 400; ++i) {
        startCall("/i/x");
        const auto first = takeSentCall();
        if (i < 300) {
            endAttempt(first, AttemptEnd::Answered);
        } else {
            endAttempt(first, AttemptEnd::OwnFailure);
            for (const auto &again : takeActions<SendCall>()) {
                ++sentAgain;
                endAttempt(again, AttemptEnd::OwnFailure);
            }
        }
        now_ += Milliseconds(100);
    }
    EXPECT_GE(sentAgain, 20U);
    EXPECT_LE(sentAgain, 23U) << "a fifth of 100 calls, and three for a lone failure";
}

TEST_F(Calls, AnIdempotentCallIsSentAgainWhenItsAnswerBreaks)
{
    addPlainEndpoints();
    startCall("/i/x");
    const auto first = takeSentCall();
    endAttempt(first, AttemptEnd::Broken);
    const auto second = takeSentCall();
    EXPECT_NE(second.endpointId, first.endpointId);
    endAttempt(second, AttemptEnd::Broken);
    EXPECT_TRUE(takeActions<SendCall>().empty()) << "the route allows two endpoints";
}

// Guards against repeating a non-idempotent call that may have run, and against reporting it as "not run".
TEST_F(Calls, NonIdempotentCallThatMayHaveRunIsAbandoned)
{
    addPlainEndpoints();
    startCall("/n/x");
    endAttempt(takeSentCall(), AttemptEnd::Broken);
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<AbandonCall>(actions[0]).reason, FailureReason::EndpointCut);
}

// Guards against a second run of a call: its caller takes these statuses of an endpoint that has run it for a promise.
TEST_F(Calls, FailureThatLooksLikeARefusalIsNotForwardedIfTheCallMustNotBeRepeated)
{
    addPlainEndpoints();
    for (const std::uint32_t status : {408U, 421U, 429U, 503U, 500U}) {
        for (const bool isRepeatable : {false, true}) {
            startCall(isRepeatable ? "/i/x" : "/n/x");
            AttemptResult result;
            result.end = AttemptEnd::OwnFailure;
            result.status = status;
            std::vector<DirectAction> actions;
            for (auto next = calls_.takeActions(); !next.empty(); next = calls_.takeActions()) {
                if (const auto *send = std::get_if<SendCall>(&next.front())) {
                    calls_.onAttemptEnded(send->call, send->attempt, result, now_);
                }
                actions = std::move(next);
            }
            ASSERT_EQ(actions.size(), 1U);
            const bool isForwarded = std::holds_alternative<ForwardAnswer>(actions.front());
            EXPECT_EQ(isForwarded, isRepeatable || status == 500U) << status;
            EXPECT_EQ(std::holds_alternative<AbandonCall>(actions.front()), !isForwarded) << status;
        }
    }
}

TEST_F(Calls, RefusedCallIsSentElsewhereUnderAnyRepeatRule)
{
    addPlainEndpoints();
    startCall("/n/x");
    const auto first = takeSentCall();
    endAttempt(first, AttemptEnd::Refused, EndpointRefusal::Full);
    const auto second = takeSentCall();
    EXPECT_NE(second.endpointId, first.endpointId);
    endAttempt(second, AttemptEnd::Refused, EndpointRefusal::Full);
    const auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 503U);
    EXPECT_GT(refused[0].retryAfter, Duration(0));
}

// Guards against reporting "not run" for a call that a first endpoint broke off and a second one refused.
TEST_F(Calls, RefusalAfterABrokenAttemptAbandonsTheCall)
{
    addPlainEndpoints();
    startCall("/i/x");
    endAttempt(takeSentCall(), AttemptEnd::Broken);
    endAttempt(takeSentCall(), AttemptEnd::Refused, EndpointRefusal::Full);
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<AbandonCall>(actions[0]));
}

// Guards against further refused calls to an address that belongs to another incarnation.
TEST_F(Calls, RemovesEndpointWhoseAddressWasReused)
{
    addPlainEndpoints();
    startCall("/n/x");
    const auto first = takeSentCall();
    endAttempt(first, AttemptEnd::Refused, EndpointRefusal::OtherIncarnation);
    EXPECT_NE(takeSentCall().endpointId, first.endpointId);
    for (const auto &id : calls_.endpointIds()) {
        EXPECT_NE(id, first.endpointId);
    }
}

// Guards against waiting for the next news of the store while endpoints have restarted under other ids.
TEST_F(Calls, AsksTheStoreWhenAnAddressWasReused)
{
    addPlainEndpoints();
    startCall("/n/x");
    endAttempt(takeSentCall(), AttemptEnd::Refused, EndpointRefusal::OtherIncarnation);
    EXPECT_EQ(takeActions<RefreshRecords>().size(), 1U);
}

// Guards against calls that keep waiting for an adapter at an address that belongs to another incarnation.
TEST_F(Calls, PlacesWaitingCallsAgainWhenAnAddressWasReused)
{
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    startCall("/s/x", "a2");
    ASSERT_EQ(calls_.stats().waitedForAdapter, 1U);
    startCall("/s/x", "a1");
    const auto refused = takeSentCall();
    addEngine("e-2", "10.0.1.2:80", {"a1", "a2"});
    endAttempt(refused, AttemptEnd::Refused, EndpointRefusal::OtherIncarnation);
    const auto again = takeActions<SendCall>();
    ASSERT_EQ(again.size(), 2U);
    EXPECT_EQ(again[0].endpointId, "e-2");
    EXPECT_EQ(again[1].endpointId, "e-2");
}

TEST_F(Calls, ACallThatCannotBeServedIsRefusedAtOnce)
{
    startCall("/i/x");
    auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U) << "no endpoint";
    EXPECT_EQ(refused[0].reason, RefusalReason::NoEndpoint);
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    measureReading("a1", 40);
    auto swamped = makeState({"a1"});
    swamped.set_unread_tokens(1'000'000);
    calls_.applyState("10.0.1.1:80", swamped, now_);
    startCall("/s/x", "a1");
    refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U) << "its answer would come after the caller has left";
    EXPECT_EQ(refused[0].reason, RefusalReason::DeadlineUnreachable);
    EXPECT_EQ(refused[0].retryAfter, Seconds(2)) << "the retry time is bounded";
}

// Guards against refusals that rest on default values before anything is measured.
TEST_F(Calls, DefaultEstimatesRefuseNoCall)
{
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    auto swamped = makeState({"a1"});
    swamped.set_unread_tokens(1'000'000);
    swamped.set_loads_ahead(100);
    calls_.applyState("10.0.1.1:80", swamped, now_);
    startCall("/s/x", "a1");
    startCall("/s/x", "a2");
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
}

TEST_F(Calls, CallIsAbandonedAtItsDeadline)
{
    addPlainEndpoints();
    const auto call = startCall("/n/x", "", Seconds(30));
    takeSentCall();
    advance(Seconds(4));
    EXPECT_TRUE(takeActions<AbandonCall>().empty());
    advance(Milliseconds(1001));
    const auto ended = takeActions<AbandonCall>();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].call, call);
    EXPECT_EQ(ended[0].reason, FailureReason::DeadlinePassed);
}

// Guards against further calls to an unreachable endpoint, and against spending the retry budget on calls that were
// not sent.
TEST_F(Calls, AnUnreachableEndpointIsAvoided)
{
    addPlainEndpoints();
    startCall("/n/x");
    const auto first = takeSentCall();
    endAttempt(first, AttemptEnd::Unreachable);
    const auto second = takeSentCall();
    EXPECT_NE(second.endpointId, first.endpointId);
    for (int i = 0; i < 20; ++i) {
        startCall("/n/x");
        EXPECT_EQ(takeSentCall().endpointId, second.endpointId);
    }
}

// Guards against refusing calls because the only endpoint is being avoided.
TEST_F(Calls, AnAvoidedEndpointIsBetterThanNone)
{
    calls_.applyEndpoint(makeEndpoint("p-1", plainService, "10.0.0.1:80"), now_);
    startCall("/n/x");
    endAttempt(takeSentCall(), AttemptEnd::Broken);
    startCall("/n/x");
    EXPECT_EQ(takeSentCall().endpointId, "p-1");
}

// Guards against a new entry that counts as ready before sidecars have reported, or never without them.
TEST_F(Calls, ReadyOnceSidecarsHaveReported)
{
    calls_.applyEndpoint(makeEndpoint("e-1", engineService, "10.0.1.1:80"), now_);
    EXPECT_FALSE(calls_.isReady(now_));
    EXPECT_TRUE(calls_.isReady(now_ + Seconds(2)));
    calls_.applyState("10.0.1.1:80", makeState({}), now_);
    EXPECT_TRUE(calls_.isReady(now_));
}

// Guards against calls to the older of two incarnations at one address while the store holds both records.
TEST_F(Calls, TheYoungestRecordOfAnAddressCounts)
{
    auto young = makeEndpoint("a-young", plainService, "10.0.0.1:80");
    young.createRevision = 20;
    auto old = makeEndpoint("z-old", plainService, "10.0.0.1:80");
    old.createRevision = 10;
    calls_.applyEndpoint(young, now_);
    calls_.applyEndpoint(old, now_);
    for (int i = 0; i < 5; ++i) {
        startCall("/n/x");
        EXPECT_EQ(takeSentCall().endpointId, "a-young");
    }
    calls_.removeEndpoint("z-old", now_);
    startCall("/n/x");
    EXPECT_EQ(takeSentCall().endpointId, "a-young");
}

// Guards against refusing a call because the engine's sidecar has not sent its state yet.
TEST_F(Calls, CallWaitsForFirstStateOfTheSidecar)
{
    calls_.applyEndpoint(makeEndpoint("e-1", engineService, "10.0.1.1:80"), now_);
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
    calls_.applyState("10.0.1.1:80", makeState({"a1"}), now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against counters that wrap around when calls end at an endpoint whose record was removed and created again.
TEST_F(Calls, AnEndpointThatComesBackCountsFromZero)
{
    calls_.applyEndpoint(makeEndpoint("p-1", plainService, "10.0.0.1:80"), now_);
    startCall("/n/x");
    const auto before = takeSentCall();
    calls_.removeEndpoint("p-1", now_);
    calls_.applyEndpoint(makeEndpoint("p-1", plainService, "10.0.0.1:80"), now_);
    endAttempt(before, AttemptEnd::Answered);
    addPlainEndpoints();
    std::set<std::string> used;
    for (int i = 0; i < 4; ++i) {
        startCall("/n/x");
        used.insert(takeSentCall().endpointId);
    }
    EXPECT_EQ(used.size(), 2U);
}

TEST_F(Calls, EndedCallRecordsOutcomeEndpointAndTimes)
{
    addPlainEndpoints();
    startCall("/n/x");
    const auto send = takeSentCall();
    now_ += Milliseconds(20);
    calls_.onAnswerStarted(send.call, send.attempt, now_);
    now_ += Milliseconds(5);
    endAttempt(send, AttemptEnd::Answered);
    const auto ended = calls_.takeEnded();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].requestId, "r1");
    EXPECT_EQ(ended[0].outcome, EndedOutcome::Answered);
    EXPECT_EQ(ended[0].endpointId, send.endpointId);
    EXPECT_EQ(ended[0].firstByte, std::optional<Duration>(Milliseconds(20)));
    EXPECT_EQ(ended[0].total, Milliseconds(25));
    EXPECT_EQ(ended[0].configVersion, 1U);
}

// Guards against log lines from which calls at crashed engines cannot be compared.
TEST_F(Calls, FailedAttemptNamesItsPartsAndHowLongItWasAnswered)
{
    addEngine("e-1", addressOne, {"a1"});
    startCall("/s/x", "a1");
    const auto send = takeSentCall();
    calls_.onAnswerStarted(send.call, send.attempt, now_);
    now_ += Milliseconds(70);
    endAttempt(send, AttemptEnd::Broken);
    const auto failed = calls_.takeFailedAttempts();
    ASSERT_EQ(failed.size(), 1U);
    EXPECT_EQ(failed[0].parts, sharedParts({{"shared", 2000}, {"own", 1000}}));
    EXPECT_EQ(failed[0].answeredFor, Duration(Milliseconds(70)));
    const auto ended = calls_.takeEnded();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].parts, failed[0].parts);
}

// Guards against calls that are refused as hopeless because all measured runs of their endpoints span pauses of the
// entry.
TEST_F(Calls, PauseOfTheEntryIsNotPartOfARun)
{
    addPlainEndpoints();
    for (const bool isTickFirst : {false, true}) {
        advance(directTickInterval);
        startCall("/i/x");
        const auto send = takeSentCall();
        now_ += Seconds(3);
        if (isTickFirst) {
            calls_.tick(now_);
        }
        calls_.onAnswerStarted(send.call, send.attempt, now_);
        endAttempt(send, AttemptEnd::Answered);
    }
    advance(directTickInterval);
    for (int i = 0; i < 12; ++i) {
        startCall("/i/x");
    }
    EXPECT_EQ(takeActions<SendCall>().size(), 12U);
}

} // namespace anvilscale::test
