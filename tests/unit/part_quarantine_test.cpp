// Quarantine of prompt parts that crash the engines answering on them.
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
        auto state = makeState({"a1"});
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
        info.fingerprint = {lastCall_};
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
        const auto send = takeSentCall();
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

} // namespace anvilscale::test
