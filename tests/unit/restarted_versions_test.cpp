// Endpoints that restart under their id and address with another software version, and the streams around the restart.
#include "direct_fixture.h"

namespace anvilscale::test {

class RestartedVersions : public Calls
{
protected:
    static constexpr std::uint64_t firstStartMs = 1'767'883'170'000;
    static constexpr std::uint64_t secondStartMs = firstStartMs + 9000;

    RestartedVersions()
    {
        auto config = makeConfig(2);
        config.routes.front().resumable = true;
        calls_.applyConfig(config, now_);
        calls_.onStoreRead(now_);
        calls_.onStoreAnswered(now_);
        applyRecord(firstStartMs, "v1");
        applyState(firstStartMs);
    }
    void applyRecord(std::uint64_t startTimeMs, const std::string &version, const std::string &id = "e-1",
                     const std::string &address = addressOne)
    {
        auto record = makeEndpoint(id, engineService, address);
        record.startTimeMs = startTimeMs;
        record.softwareVersion = version;
        calls_.applyEndpoint(record, now_);
    }
    void applyState(std::uint64_t startTimeMs, const std::string &id = "e-1", const std::string &address = addressOne)
    {
        auto state = makeState({"a1"});
        state.set_endpoint_id(id);
        state.set_born(startTimeMs);
        calls_.applyState(address, state, now_);
    }
    SendCall sendStream()
    {
        startCall("/s/x", "a1");
        return takeSentCall();
    }
    void startStream(const SendCall &send)
    {
        calls_.onAnswerStarted(send.call, send.attempt, now_);
        calls_.onStreamStarted(send.call, send.origin, now_);
    }
    void breakStream(const SendCall &send)
    {
        AttemptResult result;
        result.end = AttemptEnd::Broken;
        result.callerHasBytes = true;
        calls_.onAttemptEnded(send.call, send.attempt, result, now_);
    }
    /// Begins a stream, which then breaks off; returns the request id of its call.
    std::string beginStream()
    {
        const auto send = sendStream();
        startStream(send);
        breakStream(send);
        return "r" + std::to_string(send.call.value);
    }
    /// Returns the endpoint at which the stream goes on, or the reason of its refusal.
    std::string resumeStream(const std::string &firstId)
    {
        CallInfo info;
        info.requestId = "again" + std::to_string(++lastCall_);
        info.host = host;
        info.path = "/s/x";
        info.callerTimeout = Seconds(4);
        info.model = modelName;
        info.adapter = "a1";
        info.resumed = ResumedStream{"2", firstId};
        calls_.onCall(CallHandle{lastCall_}, info, now_);
        auto outcome = performActions();
        for (auto due = calls_.nextAnswerCheckAt(); outcome.empty() && due; due = calls_.nextAnswerCheckAt()) {
            now_ = std::max(now_, *due);
            calls_.checkAnswers(now_);
            outcome = performActions();
        }
        return outcome;
    }
    /// Returns the endpoint to which a call is sent, or the reason of a refusal; empty if there is neither.
    std::string performActions()
    {
        std::string outcome;
        for (auto actions = calls_.takeActions(); !actions.empty(); actions = calls_.takeActions()) {
            for (const auto &action : actions) {
                if (const auto *send = std::get_if<SendCall>(&action)) {
                    outcome = send->endpointId;
                } else if (const auto *refusal = std::get_if<RefuseCall>(&action)) {
                    outcome = toString(refusal->reason);
                } else if (const auto *confirmation = std::get_if<ConfirmStore>(&action)) {
                    calls_.onStoreConfirmed(confirmation->number, true, now_);
                }
            }
        }
        return outcome;
    }
    std::uint64_t reportedOrigins() const
    {
        return calls_.stats().origins.reported;
    }
};

// Guards against a stream that goes on at a restarted endpoint, whose record of before names the stream's version.
TEST_F(RestartedVersions, NoStreamIsResumedThereBeforeItsRecordIsRead)
{
    const auto stream = beginStream();
    applyState(secondStartMs);
    EXPECT_EQ(resumeStream(stream), toString(RefusalReason::NoEndpoint));
    applyRecord(firstStartMs, "v1"); // read late
    EXPECT_EQ(resumeStream(stream), toString(RefusalReason::NoEndpoint));
    applyRecord(secondStartMs, "v2");
    EXPECT_EQ(resumeStream(stream), toString(RefusalReason::SoftwareVersionGone));
}

// Guards against a stream that goes on at a version that is taken for the only one, while a record of another one is
// not applied yet: the endpoint's clock was set back, and its sidecar has not reported the new process.
TEST_F(RestartedVersions, VersionOfARecordWithAnEarlierStartCounts)
{
    calls_.applySoftwareVersion({"v1", engineService, "v1", 1}, now_);
    calls_.onStoreCurrent(now_);
    EXPECT_EQ(resumeStream("unknown"), "e-1");
    applyRecord(firstStartMs - 9000, "v2");
    EXPECT_EQ(resumeStream("unknown"), toString(RefusalReason::OriginUnknown));
    calls_.removeEndpoint("e-1", now_);
    applyRecord(secondStartMs, "v1", "e-2", addressTwo);
    EXPECT_EQ(resumeStream("unknown"), toString(RefusalReason::OriginUnknown));
}

// Guards against refusing resumed streams at an endpoint that has restarted with its version.
TEST_F(RestartedVersions, StreamsAreResumedThereAgainOnceItsRecordIsRead)
{
    const auto stream = beginStream();
    applyState(secondStartMs);
    applyRecord(secondStartMs, "v1");
    applyState(secondStartMs);
    EXPECT_EQ(resumeStream(stream), "e-1");
}

// Guards against a record of a still later process that leaves the version unknown.
TEST_F(RestartedVersions, RecordOfALaterProcessMakesTheVersionKnown)
{
    const auto stream = beginStream();
    applyState(secondStartMs);
    applyRecord(secondStartMs + 1000, "v1");
    applyState(secondStartMs + 1000);
    EXPECT_EQ(resumeStream(stream), "e-1");
}

// Guards against a resumed stream that is refused while another endpoint of its version serves.
TEST_F(RestartedVersions, StreamsAreResumedElsewhereMeanwhile)
{
    const auto stream = beginStream();
    applyState(secondStartMs);
    applyRecord(firstStartMs, "v1", "e-2", addressTwo);
    applyState(firstStartMs, "e-2", addressTwo);
    EXPECT_EQ(resumeStream(stream), "e-2");
}

// Guards against refusing as gone a version that a restarted endpoint may run.
TEST_F(RestartedVersions, VersionIsNotGoneWhileAnEndpointMayRunIt)
{
    const auto stream = beginStream();
    applyRecord(secondStartMs, "v2");
    applyState(secondStartMs + 1000);
    EXPECT_EQ(resumeStream(stream), toString(RefusalReason::NoEndpoint));
}

// Guards against a stream reported under the version of the process before.
TEST_F(RestartedVersions, NewCallsArePlacedThereAndTheirStreamsAreNotReported)
{
    applyState(secondStartMs);
    const auto send = sendStream();
    EXPECT_EQ(send.endpointId, "e-1");
    startStream(send);
    EXPECT_EQ(reportedOrigins(), 0U);
    breakStream(send);
    applyRecord(secondStartMs, "v2");
    applyState(secondStartMs);
    beginStream();
    EXPECT_EQ(reportedOrigins(), 1U);
}

// Guards against a call that was sent before the restart was seen and answered by the new process: its stream would
// count for the version before.
TEST_F(RestartedVersions, StreamIsNotReportedIfItsEndpointHasRestartedSinceItWasSent)
{
    const auto bySidecar = sendStream();
    applyState(secondStartMs);
    startStream(bySidecar);
    EXPECT_EQ(reportedOrigins(), 0U);
    applyRecord(secondStartMs, "v2");
    applyState(secondStartMs);
    const auto byRecord = sendStream();
    applyRecord(secondStartMs + 1000, "v3");
    startStream(byRecord);
    EXPECT_EQ(reportedOrigins(), 0U);
}

// Guards against dropping the origin of a stream whose endpoint has left since: its process has not been replaced.
TEST_F(RestartedVersions, StreamOfAnEndpointThatIsGoneIsReported)
{
    const auto send = sendStream();
    calls_.removeEndpoint("e-1", now_);
    startStream(send);
    EXPECT_EQ(reportedOrigins(), 1U);
}

} // namespace anvilscale::test
