// Fixture of a slot table under a virtual clock, with three endpoints.
#pragma once

#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

inline constexpr Duration runTime = Milliseconds(60);
inline constexpr std::uint32_t slotsEach = 6;

inline std::uint64_t toUs(Duration span)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

class Slots : public testing::Test
{
protected:
    struct Running
    {
        PeerHandle entry;
        std::uint64_t call = 0;
        std::string endpoint;
        std::string workspace;
    };

    wire::SlotAsk makeAsk(std::uint64_t call, Duration wait = Milliseconds(240)) const
    {
        wire::SlotAsk ask;
        ask.set_call(call);
        ask.set_service("plain");
        for (const auto &id : endpoints_) {
            auto &endpoint = *ask.add_endpoints();
            endpoint.set_endpoint_id(id);
            endpoint.set_slots(slotsEach);
        }
        ask.set_wait_us(toUs(wait));
        ask.set_failure_us(toUs(deadline_));
        ask.set_limit_us(toUs(deadline_));
        return ask;
    }
    void ask(std::uint64_t entry, const wire::SlotAsk &request)
    {
        table_.onAsk(PeerHandle{entry}, request, now_);
    }
    /// Requests a slot that is expected to be granted at once; returns its endpoint.
    std::string take(std::uint64_t entry, std::uint64_t call)
    {
        ask(entry, makeAsk(call));
        const auto messages = table_.takeMessages();
        EXPECT_EQ(messages.size(), 1U);
        return messages.empty() ? "" : messages.front().answer.endpoint_id();
    }
    void giveBack(std::uint64_t entry, std::uint64_t call, bool failed = false, bool full = false)
    {
        wire::SlotReturn message;
        message.set_call(call);
        message.set_failed(failed);
        message.set_full(full);
        message.set_not_sent(full);
        message.set_run_us(toUs(runTime));
        table_.onReturn(PeerHandle{entry}, message, now_);
    }
    void fill()
    {
        for (std::uint64_t call = 1; call <= slotsEach * endpoints_.size(); ++call) {
            EXPECT_NE(take(entryOne, call), "");
        }
    }
    /// Runs calls one after the other at the endpoint, of which every `failedOf`-th fails; 0: none.
    void learn(const std::string &id, int calls, int failedOf)
    {
        const auto all = std::exchange(endpoints_, {id});
        for (int i = 1; i <= calls; ++i) {
            take(entryOne, ++learned_);
            giveBack(entryOne, learned_, failedOf != 0 && i % failedOf == 0);
        }
        endpoints_ = all;
    }
    void advance(Duration span)
    {
        now_ += span;
        table_.tick(now_);
    }

    static constexpr std::uint64_t entryOne = 1;
    Duration deadline_ = Milliseconds(1500); // of each caller
    std::vector<std::string> endpoints_{"p-1", "p-2", "p-3"};
    SlotTable table_;
    TimePoint now_{Seconds(100)};
    std::uint64_t learned_ = 1000;
};

} // namespace anvilscale::test
