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
            calls_.applyEndpoint(makeEndpoint("c-" + number, plainService, "10.0.2." + number + ":80"), now_);
        }
    }
    CallHandle startCallWith(const std::string &path, CallFingerprint fingerprint)
    {
        CallInfo info;
        info.requestId = "q" + std::to_string(++lastCall_);
        info.fingerprint = fingerprint;
        info.host = host;
        info.path = path;
        info.callerTimeout = Seconds(4);
        calls_.onCall(CallHandle{lastCall_}, info, now_);
        return CallHandle{lastCall_};
    }
    void crash(const std::string &path, CallFingerprint fingerprint)
    {
        startCallWith(path, fingerprint);
        endAttempt(takeSentCall(), AttemptEnd::Broken);
        calls_.takeActions();
        now_ += Seconds(1);
    }
    void expectRefused(CallFingerprint fingerprint)
    {
        startCallWith("/n/x", fingerprint);
        const auto actions = calls_.takeActions();
        ASSERT_EQ(actions.size(), 1U);
        ASSERT_TRUE(std::holds_alternative<RefuseCall>(actions[0]));
        EXPECT_EQ(std::get<RefuseCall>(actions[0]).status, 503U);
    }
    void expectSent(CallFingerprint fingerprint)
    {
        startCallWith("/n/x", fingerprint);
        takeSentCall();
    }

    static constexpr CallFingerprint fatal{7};
    static constexpr CallFingerprint other{8};
};

// Guards against a request that is repeated under new ids and crashes one endpoint after another.
TEST_F(Quarantine, RequestThatCrashedThreeEndpointsReachesNoFourth)
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
    startCallWith("/i/x", fatal);
    endAttempt(takeSentCall(), AttemptEnd::Broken);
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
    const auto first = startCallWith("/n/x", fatal);
    const auto second = startCallWith("/n/x", fatal);
    auto sends = takeActions<SendCall>();
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_EQ(sends[0].call, first);
    EXPECT_EQ(sends[1].call, second);
    endAttempt(sends[0], AttemptEnd::Broken);
    endAttempt(sends[1], AttemptEnd::Broken);
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
    for (std::uint64_t startTimeMs = 1; startTimeMs <= 3; ++startTimeMs) {
        calls_.applyCrashReport({"c-0", startTimeMs, {fatal}}, now_);
    }
    expectRefused(fatal);
}

// Guards against quarantining a frequent request because it is in progress at every crash.
TEST_F(Quarantine, ARequestThatWasAnsweredIsNoSuspect)
{
    addEndpoints(5);
    startCallWith("/n/x", fatal);
    endAttempt(takeSentCall(), AttemptEnd::Answered);
    for (int i = 0; i < 3; ++i) {
        crash("/n/x", fatal);
    }
    expectSent(fatal);
    EXPECT_TRUE(calls_.takeCrashReports().empty());
}

// Guards against clearing a request because an endpoint answered it with an error.
TEST_F(Quarantine, EndpointErrorDoesNotClearASuspect)
{
    addEndpoints(5);
    crash("/n/x", fatal);
    crash("/n/x", fatal);
    startCallWith("/n/x", fatal);
    endAttempt(takeSentCall(), AttemptEnd::OwnFailure);
    calls_.takeActions();
    crash("/n/x", fatal);
    expectRefused(fatal);
}

// Guards against a quarantined call that waits for its adapter until its deadline.
TEST_F(Quarantine, QuarantineEndsAWaitingCall)
{
    addEngine("e-1", addressOne, {});
    CallInfo info;
    info.requestId = "waits";
    info.fingerprint = fatal;
    info.host = host;
    info.path = "/s/x";
    info.model = modelName;
    info.adapter = "a1";
    info.callerTimeout = Seconds(4);
    calls_.onCall(CallHandle{77}, info, now_);
    calls_.takeActions();
    for (const auto *id : {"elsewhere-1", "elsewhere-2", "elsewhere-3"}) {
        calls_.applyCrashReport({id, 0, {fatal}}, now_);
    }
    advance(Milliseconds(300));
    EXPECT_EQ(takeActions<RefuseCall>().size(), 1U);
    calls_.applyState(addressOne, makeState({"a1"}), now_);
    EXPECT_TRUE(takeActions<SendCall>().empty());
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
    now_ += crashReportLifetime;
    expectSent(fatal);
    calls_.applyCrashReport({"elsewhere-4", 0, {fatal}}, now_);
    expectSent(fatal);
}

} // namespace anvilscale::test
