// Fixture for reading turns at an entry: contended engines, and the messages to and from their sidecars.
#pragma once

#include "direct_fixture.h"

#include <algorithm>

namespace anvilscale::test {

class Turns : public Calls
{
protected:
    Turns() = default;
    explicit Turns(const DirectCallsInit &init)
        : Calls(init)
    {
    }
    static constexpr std::uint64_t budget = 1500; // prompts of the fixture have 1,000 tokens besides the shared ones

    static wire::DirectState contendedState(std::uint64_t queued = 0)
    {
        auto state = makeState({"a1"});
        state.set_reading_budget(budget);
        state.set_reading_queued(queued);
        return state;
    }
    void addContended(const std::string &id, const std::string &address)
    {
        calls_.applyEndpoint(makeEndpoint(id, engineService, address), now_);
        calls_.applyState(address, contendedState(), now_);
    }
    /// Sends one call to the only engine and lets a second one ask for a turn.
    wire::ReadingRequest requestTurn()
    {
        startCall("/s/x", "a1");
        running_ = takeSentCall();
        waiting_ = startCall("/s/x", "a1");
        return takeTurnRequest();
    }
    wire::ReadingRequest takeTurnRequest()
    {
        takeAll();
        EXPECT_TRUE(sent_.empty());
        EXPECT_EQ(requests_.size(), 1U);
        auto request = requests_.empty() ? wire::ReadingRequest() : requests_.front();
        EXPECT_FALSE(request.sent());
        return request;
    }
    /// Collects the actions since the last time.
    void takeAll()
    {
        sent_.clear();
        refused_.clear();
        requests_.clear();
        ends_.clear();
        demands_.clear();
        for (const auto &action : calls_.takeActions()) {
            if (const auto *readings = std::get_if<SendReadings>(&action)) {
                requests_.insert(requests_.end(), readings->update.requests().begin(),
                                 readings->update.requests().end());
                ends_.insert(ends_.end(), readings->update.ends().begin(), readings->update.ends().end());
                readingsTo_ = readings->address;
            } else if (const auto *send = std::get_if<SendCall>(&action)) {
                sent_.push_back(*send);
            } else if (const auto *refusal = std::get_if<RefuseCall>(&action)) {
                refused_.push_back(*refusal);
            } else if (const auto *demand = std::get_if<SendDemand>(&action)) {
                demands_.push_back(demand->demand);
            }
        }
    }
    void answer(const wire::ReadingRequest &request, wire::ReadingResult result, Duration wait = Duration(0),
                const std::string &address = addressOne)
    {
        wire::ReadingAnswer message;
        message.set_call(request.call());
        message.set_result(result);
        message.set_wait_us(static_cast<std::uint64_t>(wait.count()));
        calls_.onReadingAnswer(address, message, now_);
        takeAll();
    }
    bool isWithdrawn(const wire::ReadingRequest &request) const
    {
        return std::any_of(ends_.begin(), ends_.end(), [&](const wire::ReadingEnd &end) {
            return end.call() == request.call() && end.stage() == wire::READING_WITHDRAWN;
        });
    }
    /// True if the call was sent without its turn and reported under the number of its request.
    bool isSentWithoutTurn(const wire::ReadingRequest &request) const
    {
        return sent_.size() == 1 && sent_.front().call == waiting_ && requests_.size() == 1
               && requests_.front().call() == request.call() && requests_.front().sent();
    }
    /// Measures the speed of the only engine, whose callers leave after the time to the first byte.
    void limitFirstByte(Duration limit)
    {
        auto config = makeConfig(2);
        config.routes.front().firstByteLimit = limit;
        calls_.applyConfig(config, now_);
        auto state = contendedState();
        state.set_read_ns_per_token(25'000);
        calls_.applyState(addressOne, state, now_);
    }

    SendCall running_;
    CallHandle waiting_{};
    std::vector<SendCall> sent_;
    std::vector<RefuseCall> refused_;
    std::vector<wire::ReadingRequest> requests_;
    std::vector<wire::ReadingEnd> ends_;
    std::vector<wire::DirectDemand> demands_;
    std::string readingsTo_;
};

} // namespace anvilscale::test
