// Quarantine of requests that crash the endpoints running them.
#include "direct_fixture.h"

namespace anvilscale::test {

class Quarantine : public Calls
{
protected:
    void addEndpoints(int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto number = std::to_string(i);
            calls_.applyEndpoint(endpointOf("c-" + number, plainService, "10.0.2." + number + ":80"), now_);
        }
    }
    CallHandle ask(const std::string &path, CallFingerprint fingerprint)
    {
        CallFacts facts;
        facts.requestId = "q" + std::to_string(++last_);
        facts.fingerprint = fingerprint;
        facts.host = host;
        facts.path = path;
        facts.patience = Seconds(4);
        calls_.arrive(CallHandle{last_}, facts, now_);
        return CallHandle{last_};
    }
    void crash(const std::string &path, CallFingerprint fingerprint)
    {
        ask(path, fingerprint);
        end(sent(), AttemptEnd::Broken);
        calls_.takeActions();
        now_ += Seconds(1);
    }
    void expectRefused(CallFingerprint fingerprint)
    {
        ask("/n/x", fingerprint);
        const auto actions = calls_.takeActions();
        ASSERT_EQ(actions.size(), 1U);
        ASSERT_TRUE(std::holds_alternative<RefuseCall>(actions[0]));
        EXPECT_EQ(std::get<RefuseCall>(actions[0]).status, 503U);
    }
    void expectSent(CallFingerprint fingerprint)
    {
        ask("/n/x", fingerprint);
        sent();
    }

    static constexpr CallFingerprint fatal{7};
    static constexpr CallFingerprint other{8};
};

// Guards against a request that is repeated under new ids and crashes one endpoint after another.
TEST_F(Quarantine, ARequestUnderWhichThreeEndpointsEndedReachesNoFourth)
{
    addEndpoints(5);
    for (int i = 0; i < 3; ++i) {
        crash("/n/x", fatal);
    }
    expectRefused(fatal);
    expectSent(other);
}

// Guards against a retry at a fourth endpoint by the entry itself.
TEST_F(Quarantine, ARetryStopsAtTheThirdEndpoint)
{
    addEndpoints(5);
    crash("/n/x", fatal);
    crash("/n/x", fatal);
    ask("/i/x", fatal);
    end(sent(), AttemptEnd::Broken);
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<AbandonCall>(actions[0])) << "it has run: the outcome is not known";
}

// Guards against entries that count only the crashes at their own attempts.
TEST_F(Quarantine, CrashesThatOtherEntriesSawCount)
{
    addEndpoints(3);
    crash("/n/x", fatal);
    calls_.applyCrashReport({"elsewhere-1", 0, {other, fatal}}, now_);
    expectSent(fatal);
    calls_.applyCrashReport({"elsewhere-2", 0, {fatal}}, now_);
    EXPECT_EQ(calls_.takeQuarantined(), std::vector<CallFingerprint>{fatal});
    expectRefused(fatal);
    expectSent(other);
}

// Guards against quarantining an innocent request for one crash that several attempts met or that is reported twice.
TEST_F(Quarantine, OneCrashCountsOnce)
{
    addEndpoints(1);
    const auto first = ask("/n/x", fatal);
    const auto second = ask("/n/x", fatal);
    auto sends = take<SendCall>();
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_EQ(sends[0].call, first);
    EXPECT_EQ(sends[1].call, second);
    end(sends[0], AttemptEnd::Broken);
    end(sends[1], AttemptEnd::Broken);
    const auto reports = calls_.takeCrashReports();
    ASSERT_EQ(reports.size(), 1U);
    calls_.applyCrashReport(reports[0], now_);
    calls_.applyCrashReport({"elsewhere-1", 0, {fatal}}, now_);
    calls_.takeActions();
    expectSent(fatal);
}

// Guards against counting crashes of a restarted endpoint with the same id only once.
TEST_F(Quarantine, AnEndpointThatIsBackUnderItsIdCountsAgain)
{
    addEndpoints(1);
    for (std::uint64_t born = 1; born <= 3; ++born) {
        calls_.applyCrashReport({"c-0", born, {fatal}}, now_);
    }
    expectRefused(fatal);
}

// Guards against quarantining a frequent request because it is in progress at every crash.
TEST_F(Quarantine, ARequestThatWasAnsweredIsNoSuspect)
{
    addEndpoints(5);
    ask("/n/x", fatal);
    end(sent(), AttemptEnd::Answered);
    for (int i = 0; i < 3; ++i) {
        crash("/n/x", fatal);
    }
    expectSent(fatal);
    EXPECT_TRUE(calls_.takeCrashReports().empty());
}

// Guards against clearing a request because an endpoint answered it with an error.
TEST_F(Quarantine, AFailureOfTheEndpointsOwnAcquitsNobody)
{
    addEndpoints(5);
    crash("/n/x", fatal);
    crash("/n/x", fatal);
    ask("/n/x", fatal);
    end(sent(), AttemptEnd::OwnFailure);
    calls_.takeActions();
    crash("/n/x", fatal);
    expectRefused(fatal);
}

// Guards against a quarantined call that waits for its adapter until its deadline.
TEST_F(Quarantine, AWaitingCallEndsWithTheNews)
{
    addEngine("e-1", addressOne, {});
    CallFacts facts;
    facts.requestId = "waits";
    facts.fingerprint = fatal;
    facts.host = host;
    facts.path = "/s/x";
    facts.model = modelName;
    facts.adapter = "a1";
    facts.patience = Seconds(4);
    calls_.arrive(CallHandle{77}, facts, now_);
    calls_.takeActions();
    for (const auto *id : {"elsewhere-1", "elsewhere-2", "elsewhere-3"}) {
        calls_.applyCrashReport({id, 0, {fatal}}, now_);
    }
    pass(Milliseconds(300));
    EXPECT_EQ(take<RefuseCall>().size(), 1U);
    calls_.applyState(addressOne, stateWith({"a1"}), now_);
    EXPECT_TRUE(take<SendCall>().empty());
}

// Guards against a table that grows without bound, or that evicts a quarantined request.
TEST_F(Quarantine, ManySuspectsPushOutNoneThatIsHeld)
{
    addEndpoints(1);
    for (const auto *id : {"elsewhere-1", "elsewhere-2", "elsewhere-3"}) {
        calls_.applyCrashReport({id, 0, {fatal}}, now_);
    }
    for (std::uint64_t i = 0; i < 40'000; ++i) {
        now_ += Milliseconds(1);
        calls_.applyCrashReport({"noise", 0, {CallFingerprint{1000 + i}}}, now_);
    }
    expectRefused(fatal);
}

// Guards against a quarantine without end: the request may be harmless once the fault is fixed.
TEST_F(Quarantine, ACrashCountsForALimitedTime)
{
    addEndpoints(1);
    for (const auto *id : {"elsewhere-1", "elsewhere-2", "elsewhere-3"}) {
        calls_.applyCrashReport({id, 0, {fatal}}, now_);
    }
    now_ += crashReportLife;
    expectSent(fatal);
    calls_.applyCrashReport({"elsewhere-4", 0, {fatal}}, now_);
    expectSent(fatal);
}

} // namespace anvilscale::test
