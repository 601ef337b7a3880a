// A reading queue with a simulated clock, and short forms of the messages of its entries.
#pragma once

#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

constexpr PeerHandle entryA{1};
constexpr PeerHandle entryB{2};
constexpr double usualTokensPerMs = 38.4;
constexpr std::uint64_t longTokens = 9190;
constexpr std::uint64_t shortTokens = 830;
constexpr Duration callerTimeout = Seconds(20);

struct ReadingCall
{
    std::uint64_t call = 0;
    std::uint64_t tokens = longTokens;
    Duration slack = Seconds(10);
    Duration limit = callerTimeout;
    std::uint32_t priority = 0;
    std::string workspace{};
    Duration pause = Milliseconds(300);
};

class ReadingQueueTest : public testing::Test
{
protected:
    void applyPlan(Duration shortest, Duration longest, Duration pause)
    {
        wire::EnginePlan plan;
        plan.set_shortest_objective_us(static_cast<std::uint64_t>(shortest.count()));
        plan.set_longest_objective_us(static_cast<std::uint64_t>(longest.count()));
        plan.set_shortest_pause_us(static_cast<std::uint64_t>(pause.count()));
        queue_.applyPlan(plan, now_);
    }
    void request(const ReadingCall &call, bool sent = false, PeerHandle peer = entryA)
    {
        wire::ReadingUpdate update;
        auto &message = *update.add_requests();
        message.set_call(call.call);
        message.set_tokens(call.tokens);
        message.set_slack_us(static_cast<std::uint64_t>(call.slack.count()));
        message.set_limit_us(static_cast<std::uint64_t>(call.limit.count()));
        message.set_priority(call.priority);
        message.set_workspace(call.workspace);
        message.set_pause_us(static_cast<std::uint64_t>(call.pause.count()));
        message.set_sent(sent);
        apply(peer, update);
    }
    void send(const ReadingCall &call, PeerHandle peer = entryA)
    {
        request(call, true, peer);
    }
    void end(std::uint64_t call, wire::ReadingStage stage, Duration time = {}, PeerHandle peer = entryA)
    {
        wire::ReadingUpdate update;
        auto &message = *update.add_ends();
        message.set_call(call);
        message.set_stage(stage);
        if (stage == wire::READING_READ) {
            message.set_elapsed_us(static_cast<std::uint64_t>(time.count()));
        } else {
            message.set_longest_pause_us(static_cast<std::uint64_t>(time.count()));
        }
        apply(peer, update);
    }
    void finish(std::uint64_t call, PeerHandle peer = entryA)
    {
        end(call, wire::READING_READ, {}, peer);
        end(call, wire::READING_ENDED, {}, peer);
    }
    void advance(Duration span)
    {
        now_ += span;
        queue_.tick(now_);
        collect();
    }
    /// Lets time pass while this prompt stays in prefill: it is reported again before it expires.
    void passTime(Duration span, std::uint64_t call)
    {
        for (const auto until = now_ + span; now_ < until;) {
            advance(Milliseconds(700));
            send({.call = call});
        }
    }
    /// A prompt that has the engine to itself, and the whole stream of its answer.
    void runAlone(std::uint64_t tokens, double tokensPerMs, Duration longestPause = {})
    {
        const auto call = ++lastCall_;
        const auto elapsed = fromMilliseconds(12 + static_cast<double>(tokens) / tokensPerMs);
        send({.call = call, .tokens = tokens});
        advance(elapsed);
        end(call, wire::READING_READ, elapsed);
        end(call, wire::READING_ENDED, longestPause);
    }
    void runPrompts(int count, double tokensPerMs, Duration longestPause = {})
    {
        for (int i = 0; i < count; ++i) {
            runAlone(500 + 400 * (static_cast<std::uint64_t>(i) * 7 % 16), tokensPerMs, longestPause);
        }
    }
    /// An engine of known speed whose routes have objectives of 500 and 2,000 ms: 250 ms of prefill are permitted.
    void measureWithDifferentObjectives(double tokensPerMs = usualTokensPerMs)
    {
        applyPlan(Milliseconds(500), Seconds(2), Duration(0));
        runPrompts(32, tokensPerMs);
    }
    /// True if the last answer to the call is this one.
    bool has(std::uint64_t call, wire::ReadingResult result, PeerHandle peer = entryA) const
    {
        const auto found = lastAnswers_.find({peer, call});
        return found != lastAnswers_.end() && found->second.result() == result;
    }
    bool isGranted(std::uint64_t call, PeerHandle peer = entryA) const
    {
        return has(call, wire::READING_GRANTED, peer);
    }
    wire::DirectState state() const
    {
        wire::DirectState state;
        queue_.addTo(state);
        return state;
    }

    ReadingQueue queue_;
    TimePoint now_{Seconds(100)};
    std::map<std::pair<PeerHandle, std::uint64_t>, wire::ReadingAnswer> lastAnswers_;
    std::vector<std::uint64_t> grants_; // calls in the order of their turns

private:
    void apply(PeerHandle peer, const wire::ReadingUpdate &update)
    {
        queue_.applyUpdate(peer, update, now_);
        collect();
    }
    void collect()
    {
        for (auto &[peer, answer] : queue_.takeAnswers()) {
            if (answer.result() == wire::READING_GRANTED) {
                grants_.push_back(answer.call());
            }
            lastAnswers_[{peer, answer.call()}] = answer;
        }
    }

    std::uint64_t lastCall_ = 1'000'000; // of prompts that measure the engine
};

} // namespace anvilscale::test
