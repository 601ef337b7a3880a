// Quarantine of prompt parts that crash the engines answering on them.
#include "direct/part_quarantine.h"
#include "direct_fixture.h"

namespace anvilscale::test {

/// One entry and engines that crash and restart within a second.
class CrashingParts : public Calls
{
protected:
    static constexpr int engineCount = 6;

    CrashingParts()
    {
        for (int i = 0; i < engineCount; ++i) {
            auto record = makeEndpoint(engineId(i), engineService, engineAddress(i));
            record.startTimeMs = ++startTimeMs_;
            calls_.applyEndpoint(record, now_);
            reportEngine(i, true);
        }
        calls_.takeActions();
    }
    static std::string engineId(int i)
    {
        return "e-" + std::to_string(i);
    }
    static std::string engineAddress(int i)
    {
        return "10.0.1." + std::to_string(i) + ":80";
    }
    void reportEngine(int i, bool reachable)
    {
        auto state = makeState(adapters_);
        state.set_endpoint_id(engineId(i));
        state.set_reachable(reachable);
        calls_.applyState(engineAddress(i), state, now_);
    }
    /// Lets time pass, in which the sidecars of all engines but one report.
    void pass(Duration span, int silent = -1)
    {
        for (const auto end = now_ + span; now_ < end;) {
            now_ += directTickInterval;
            for (int i = 0; i < engineCount; ++i) {
                if (i != silent) {
                    reportEngine(i, true);
                }
            }
            calls_.tick(now_);
        }
    }
    CallHandle startCallOn(const std::vector<std::string> &parts)
    {
        CallInfo info;
        info.requestId = "r" + std::to_string(++lastCall_);
        info.fingerprint = repeated_.value_or(CallFingerprint{lastCall_});
        info.host = host;
        info.path = "/s/x";
        info.callerTimeout = Seconds(4);
        info.model = modelName;
        info.adapter = "a1";
        for (const auto &part : parts) {
            info.parts.push_back({part, 100});
        }
        info.parts.push_back({"own" + std::to_string(lastCall_), 100});
        calls_.onCall(CallHandle{lastCall_}, info, now_);
        return CallHandle{lastCall_};
    }
    /// Sends a call on these parts and begins its answer.
    SendCall beginAnswer(const std::vector<std::string> &parts)
    {
        startCallOn(parts);
        auto send = takeSentCall();
        now_ += Milliseconds(100);
        calls_.onAnswerStarted(send.call, send.attempt, now_);
        return send;
    }
    /// The engine of the call crashes and restarts.
    void crash(const SendCall &send)
    {
        now_ += Milliseconds(60);
        endAttempt(send, AttemptEnd::Broken);
        const int engine = send.endpointId.back() - '0';
        reportEngine(engine, false);
        pass(Milliseconds(600), engine);
        auto record = makeEndpoint(send.endpointId, engineService, send.address);
        record.startTimeMs = ++startTimeMs_;
        calls_.applyEndpoint(record, now_);
        reportEngine(engine, true);
        calls_.takeActions();
    }
    /// Returns whether the call was sent; a call that is sent ends as answered.
    bool isServed(const std::vector<std::string> &parts)
    {
        startCallOn(parts);
        const auto sends = takeActions<SendCall>();
        if (sends.empty()) {
            return false;
        }
        now_ += Milliseconds(100);
        calls_.onAnswerStarted(sends[0].call, sends[0].attempt, now_);
        endAttempt(sends[0], AttemptEnd::Answered);
        return true;
    }

    std::uint64_t startTimeMs_ = 1000;
    std::vector<std::string> adapters_{"a1"}; // that all engines hold
    std::optional<CallFingerprint> repeated_; // of the next calls; empty: all differ
};

// Guards against requests that are all different and crash one engine after another by a prompt part that they share.
TEST_F(CrashingParts, DifferentRequestsOnACrashingPartReachFewEngines)
{
    int crashes = 0;
    for (int i = 0; i < 12; ++i) {
        startCallOn({"first", "bad"});
        const auto sends = takeActions<SendCall>();
        if (sends.empty()) {
            continue;
        }
        now_ += Milliseconds(100);
        calls_.onAnswerStarted(sends[0].call, sends[0].attempt, now_);
        crash(sends[0]);
        ++crashes;
    }
    EXPECT_LE(crashes, 5);
    EXPECT_TRUE(isServed({"first", "sound"}));
}

// Guards against holding back the parts of a request that crashes engines by itself, each time that it is repeated.
TEST_F(CrashingParts, ARepeatedRequestIsTheCauseAndNotItsParts)
{
    repeated_ = CallFingerprint{77};
    for (int i = 0; i < 3; ++i) {
        crash(beginAnswer({"first", "caller"}));
    }
    EXPECT_FALSE(isServed({"first", "caller"})) << "the request";
    repeated_.reset();
    pass(Seconds(2));
    EXPECT_TRUE(isServed({"first", "caller"})) << "others on its parts";
}

// Guards against calls that wait for their adapter and are sent although their prompt came under quarantine.
TEST_F(CrashingParts, AWaitingCallEndsWithTheQuarantine)
{
    adapters_.clear();
    pass(directTickInterval);
    startCallOn({"first", "bad"});
    EXPECT_TRUE(takeActions<SendCall>().empty());
    for (std::uint32_t round = 1; round <= 3; ++round) {
        const auto bad = sharedParts({{"bad", 1}, {"own", 1}}).front();
        calls_.applyCrashReport({"elsewhere", round, {}, {{{bad, round}}}}, now_);
    }
    pass(Milliseconds(1200));
    const auto refusals = takeActions<RefuseCall>();
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals[0].reason, RefusalReason::PromptPartQuarantined);
    EXPECT_EQ(refusals[0].status, 503U);
}

// Guards against reports of crashes for calls that an engine garbles or cuts while it goes on.
TEST_F(CrashingParts, ABrokenAnswerOfARunningEngineIsNotReported)
{
    const auto send = beginAnswer({"first", "sound"});
    endAttempt(send, AttemptEnd::Broken);
    pass(Seconds(3));
    for (const auto &report : calls_.takeCrashReports()) {
        EXPECT_TRUE(report.prompts.empty());
    }
    EXPECT_EQ(calls_.stats().crashingParts.crashes, 0U);
    EXPECT_EQ(calls_.stats().crashingParts.brokenOnly, 1U);
}

// Guards against crashes that are never reported because the VM with the sidecar has stopped along with the engine.
TEST_F(CrashingParts, ACrashIsReportedThoughItsSidecarIsSilent)
{
    const auto send = beginAnswer({"first", "bad"});
    endAttempt(send, AttemptEnd::Broken);
    pass(Seconds(3), send.endpointId.back() - '0');
    EXPECT_EQ(calls_.stats().crashingParts.crashes, 1U);
}

// Guards against blaming calls whose answers had begun long before the crash.
TEST_F(CrashingParts, AnAnswerThatGoesOnForLongIsNoSuspect)
{
    const auto old = beginAnswer({"first", "old"});
    pass(Seconds(2));
    const auto young = beginAnswer({"first", "young"});
    now_ += Milliseconds(60);
    endAttempt(old, AttemptEnd::Broken);
    endAttempt(young, AttemptEnd::Broken);
    for (int i = 0; i < engineCount; ++i) {
        reportEngine(i, false);
    }
    calls_.tick(now_ + directTickInterval);
    const auto oldPart = sharedParts({{"old", 1}, {"own", 1}}).front();
    int prompts = 0;
    for (const auto &report : calls_.takeCrashReports()) {
        for (const auto &prompt : report.prompts) {
            ++prompts;
            EXPECT_TRUE(std::none_of(prompt.begin(), prompt.end(),
                                     [oldPart](const SuspectPart &suspect) { return suspect.part == oldPart; }));
        }
    }
    EXPECT_EQ(prompts, 1);
}

// Guards against taking the planned end of an engine for a crash.
TEST_F(CrashingParts, AnEngineThatLeavesHasNotCrashed)
{
    const auto send = beginAnswer({"first", "sound"});
    auto record = makeEndpoint(send.endpointId, engineService, send.address);
    record.startTimeMs = 1001 + static_cast<std::uint64_t>(send.endpointId.back() - '0');
    record.leaving = true;
    calls_.applyEndpoint(record, now_);
    endAttempt(send, AttemptEnd::Broken);
    calls_.removeEndpoint(send.endpointId, now_);
    pass(Seconds(3));
    EXPECT_EQ(calls_.stats().crashingParts.crashes, 0U);
}

/// Evidence of one entry, without calls.
class PartEvidence : public testing::Test
{
protected:
    static constexpr PartFingerprint bad{7};
    static constexpr PartFingerprint other{8};

    /// A crash as reported by another entry.
    void crash(std::uint64_t process, const SuspectPrompt &prompt)
    {
        quarantine_.applyCrash({process}, {prompt}, now_);
    }
    void crashInRounds(std::uint32_t rounds)
    {
        for (std::uint32_t round = 1; round <= rounds; ++round) {
            crash(round, {{bad, round}});
        }
    }
    bool isQuarantinedLater(PartFingerprint part)
    {
        now_ += 2 * crashDelay;
        quarantine_.tick(now_);
        return quarantine_.isQuarantined({part});
    }
    void forgetAll()
    {
        now_ += crashReportLifetime;
        quarantine_.tick(now_);
    }

    TimePoint now_{Seconds(100)};
    PartQuarantine quarantine_{1};
};

// Guards against taking crashes at the same time, of whatever cause, for repeated ones.
TEST_F(PartEvidence, AnyNumberOfCrashesOfOneRoundQuarantinesNothing)
{
    for (std::uint64_t process = 1; process <= 40; ++process) {
        crash(process, {{bad, 1}});
    }
    EXPECT_FALSE(isQuarantinedLater(bad));
}

// Guards against an answer that began before the part turned bad and clears it.
TEST_F(PartEvidence, OnlyAnswersToCallsSentAfterACrashClearAPartOfIt)
{
    const auto before = quarantine_.lastCrash();
    crashInRounds(2);
    const auto between = quarantine_.lastCrash();
    crash(3, {{bad, 3}});
    EXPECT_FALSE(quarantine_.isClearedByAnswer({bad}, before));
    quarantine_.onSurvived({bad}, before, now_);
    EXPECT_TRUE(isQuarantinedLater(bad));
    EXPECT_TRUE(quarantine_.isClearedByAnswer({other, bad}, between));
    quarantine_.onSurvived({bad}, between, now_);
    EXPECT_FALSE(isQuarantinedLater(bad)) << "one round is left";
    EXPECT_FALSE(quarantine_.isClearedByAnswer({bad}, between));
}

// Guards against rounds that go on counting from crashes of which the part has been cleared.
TEST_F(PartEvidence, AClearedPartBeginsWithTheFirstRound)
{
    crashInRounds(2);
    EXPECT_EQ(quarantine_.suspect({bad}, quarantine_.lastCrash()), (SuspectPrompt{{bad, 3}}));
    EXPECT_EQ(quarantine_.suspect({bad}, 0), (SuspectPrompt{{bad, 1}})) << "sent before the crashes were known";
    quarantine_.onSurvived({bad}, quarantine_.lastCrash(), now_);
    EXPECT_EQ(quarantine_.suspect({bad}, quarantine_.lastCrash()), (SuspectPrompt{{bad, 1}}));
}

// Guards against blaming a first part for the crashes of the part behind it, and against missing it if it is bad
// itself.
TEST_F(PartEvidence, OfOnePromptTheLastSuspectIsTheCause)
{
    for (std::uint32_t round = 1; round <= 3; ++round) {
        crash(round, {{other, round}, {bad, round}});
    }
    EXPECT_TRUE(isQuarantinedLater(bad));
    EXPECT_FALSE(quarantine_.isQuarantined({other}));
    for (std::uint32_t round = 4; round <= 6; ++round) {
        crash(round, {{other, round}, {PartFingerprint{100 + round}, 1}});
    }
    EXPECT_TRUE(isQuarantinedLater(other));
}

// Guards against entries that depend on answers of their own, in a fleet where each has few calls on a part.
TEST_F(PartEvidence, ClearancesOfOtherEntriesRelease)
{
    crashInRounds(3);
    EXPECT_TRUE(isQuarantinedLater(bad));
    quarantine_.applyClearance({bad, {{1}, {2}}}, now_);
    EXPECT_FALSE(isQuarantinedLater(bad));
    const auto verdicts = quarantine_.takeVerdicts();
    ASSERT_EQ(verdicts.size(), 2U);
    EXPECT_TRUE(verdicts[0].isQuarantined);
    EXPECT_FALSE(verdicts[1].isQuarantined);
}

// Guards against a clearance that is lost because it is read before the crash.
TEST_F(PartEvidence, AClearanceMayComeBeforeItsCrash)
{
    quarantine_.applyClearance({bad, {{1}, {2}}}, now_);
    crashInRounds(3);
    EXPECT_FALSE(isQuarantinedLater(bad));
}

// Guards against a record in the store for each answer, and for what another entry has published already.
TEST_F(PartEvidence, OnlyPartsNearAQuarantineAreClearedForOthers)
{
    crash(1, {{bad, 1}, {other, 1}});
    quarantine_.onSurvived({bad, other}, quarantine_.lastCrash(), now_);
    now_ += Seconds(1);
    quarantine_.tick(now_);
    EXPECT_TRUE(quarantine_.takeClearances().empty());
    crash(2, {{bad, 2}, {other, 2}});
    quarantine_.applyClearance({other, {{1}, {2}}}, now_);
    now_ += Seconds(1);
    quarantine_.tick(now_);
    const auto clearances = quarantine_.takeClearances();
    ASSERT_EQ(clearances.size(), 1U);
    EXPECT_EQ(clearances[0].part, bad);
    EXPECT_EQ(clearances[0].crashes, std::vector<ProcessFingerprint>{{1}});
    now_ += Seconds(1);
    quarantine_.tick(now_);
    EXPECT_TRUE(quarantine_.takeClearances().empty());
}

// Guards against an entry that starts during the crashes and sends calls until it has judged them itself.
TEST_F(PartEvidence, WhatTheStoreKnewAtTheStartCountsAtOnce)
{
    crashInRounds(3);
    EXPECT_FALSE(quarantine_.isQuarantined({bad}));
    quarantine_.onHistoryApplied(now_);
    EXPECT_TRUE(quarantine_.isQuarantined({bad}));
}

// Guards against a quarantine without end: the part may be harmless once the fault is fixed.
TEST_F(PartEvidence, CrashesAreForgotten)
{
    crashInRounds(3);
    EXPECT_TRUE(isQuarantinedLater(bad));
    forgetAll();
    EXPECT_FALSE(quarantine_.isQuarantined({bad}));
    EXPECT_EQ(quarantine_.quarantinedParts(), 0U);
}

// Guards against memory that grows with crashes, and against crashes that push out a quarantine.
TEST_F(PartEvidence, ManyCrashesPushOutNoQuarantine)
{
    crashInRounds(3);
    EXPECT_TRUE(isQuarantinedLater(bad));
    for (std::uint64_t process = 10; process < 3000; ++process) {
        crash(process, {{PartFingerprint{process}, 1}, {PartFingerprint{process + 10'000}, 1}});
    }
    EXPECT_TRUE(isQuarantinedLater(bad));
}

// Guards against reports and lists of any length, as callers may forge them.
TEST_F(PartEvidence, ACrashTakesALimitedNumberOfPrompts)
{
    std::vector<SuspectPrompt> prompts;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        prompts.push_back({{PartFingerprint{i + 100}, 1}});
    }
    prompts.push_back({{bad, 1}});
    quarantine_.applyCrash({1}, prompts, now_);
    EXPECT_FALSE(quarantine_.isClearedByAnswer({bad}, quarantine_.lastCrash()));
    EXPECT_TRUE(quarantine_.isClearedByAnswer({PartFingerprint{100}}, quarantine_.lastCrash()));
}

// Guards against a part that a prompt lists twice and that hides itself behind itself.
TEST_F(PartEvidence, ARepeatedPartIsFound)
{
    for (std::uint32_t round = 1; round <= 3; ++round) {
        crash(round, {{bad, round}, {bad, round}});
    }
    EXPECT_TRUE(isQuarantinedLater(bad));
}

} // namespace anvilscale::test
