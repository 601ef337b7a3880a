// Fixture of an entry whose calls to a plain service request slots.
#pragma once

#include "direct_fixture.h"

namespace anvilscale::test {

class SlotCalls : public Calls
{
protected:
    explicit SlotCalls(const DirectCallsInit &settings = init())
        : Calls(settings)
    {
        addPlainEndpoints();
        refreshSidecars();
        measureRuns();
    }
    /// Sidecars report every 250 ms, here for 26 entries.
    void refreshSidecars()
    {
        for (const auto &[id, address] : {std::pair(std::string("e-1"), addressOne), {"e-2", addressTwo}}) {
            calls_.applyEndpoint(makeEndpoint(id, engineService, address), now_);
            auto state = makeState({"a"});
            state.set_entries(26);
            calls_.applyState(address, state, now_);
        }
    }
    void wait(Duration span)
    {
        for (const auto end = now_ + span; now_ < end;) {
            advance(std::min<Duration>(end - now_, Milliseconds(50)));
            refreshSidecars();
        }
    }
    /// Runs calls of 60 ms, so that the entry knows their duration, and ends contention by a pause.
    void measureRuns()
    {
        for (int i = 0; i < 8; ++i) {
            startCall("/i/x");
            const auto send = takeSentCall();
            now_ += Milliseconds(60);
            calls_.onAnswerStarted(send.call, send.attempt, now_);
            endAttempt(send, AttemptEnd::Answered);
            wait(Seconds(2));
        }
        calls_.takeActions();
    }
    /// Sends calls at this rate, answering requests for slots, until it is the average rate.
    void sendCalls(double callsPerSecond, Duration span)
    {
        for (const auto end = now_ + span; now_ < end; wait(fromMilliseconds(1000 / callsPerSecond))) {
            startCall("/i/x");
            calls_.takeActions();
            calls_.onCallerGone(CallHandle{lastCall_}, now_);
        }
        calls_.takeActions();
    }
    /// 3 calls per second from each of 26 entries: 0.59 of the 8 slots.
    void makeContended()
    {
        sendCalls(3, Seconds(15));
    }
    AskSlot askSlot(const std::string &path = "/i/x", Duration callerTimeout = Milliseconds(1500))
    {
        startCall(path, "", callerTimeout);
        return takeAsk();
    }
    AskSlot takeAsk()
    {
        const auto asks = takeActions<AskSlot>();
        EXPECT_EQ(asks.size(), 1U);
        return asks.empty() ? AskSlot{} : asks.front();
    }
    void answer(const AskSlot &ask, const std::string &endpointId, Duration retryAfter = Duration(0))
    {
        wire::SlotAnswer message;
        message.set_call(ask.ask.call());
        message.set_endpoint_id(endpointId);
        message.set_retry_after_us(static_cast<std::uint64_t>(toMilliseconds(retryAfter)) * 1000);
        calls_.onSlotAnswer(ask.address, message, now_);
    }
    void queue(const AskSlot &ask)
    {
        wire::SlotAnswer message;
        message.set_call(ask.ask.call());
        message.set_queued(true);
        calls_.onSlotAnswer(ask.address, message, now_);
    }
    SendCall grant(const AskSlot &ask, const std::string &endpointId)
    {
        answer(ask, endpointId);
        return takeSentCall();
    }
    void expectReturned(const AskSlot &ask, bool notSent)
    {
        const auto returns = takeActions<ReturnSlot>();
        ASSERT_EQ(returns.size(), 1U);
        EXPECT_EQ(returns[0].address, ask.address);
        EXPECT_EQ(returns[0].message.call(), ask.ask.call());
        EXPECT_EQ(returns[0].message.not_sent(), notSent);
    }
    void checkAnswers()
    {
        now_ = calls_.nextAnswerCheckAt().value_or(now_);
        calls_.checkAnswers(now_);
    }
};

} // namespace anvilscale::test
