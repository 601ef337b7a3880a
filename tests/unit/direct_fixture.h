// Fixture for one entry's calls under a virtual clock, with two routes to plain services and one to engines.
#pragma once

#include "direct/estimates.h"

#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

inline const std::string host = "h.example";
inline const std::string engineService = "engines";
inline const std::string plainService = "plain";
inline const std::string modelName = "base";
inline const std::string addressOne = "10.0.1.1:80";
inline const std::string addressTwo = "10.0.1.2:80";

inline DirectRoute makeRoute(const std::string &prefix, const std::string &service, RepeatRule repeat)
{
    DirectRoute route;
    route.name = prefix;
    route.host = host;
    route.prefix = prefix;
    route.repeat = repeat;
    route.timeout = Seconds(5);
    route.objective = Seconds(1);
    route.maxEndpoints = 2;
    route.services = {{service, 1}};
    return route;
}

inline DirectConfig makeConfig(std::uint64_t version)
{
    DirectConfig config;
    config.version = version;
    config.routes = {makeRoute("/s/", engineService, RepeatRule::Stream),
                     makeRoute("/i/", plainService, RepeatRule::Idempotent),
                     makeRoute("/n/", plainService, RepeatRule::NonIdempotent)};
    DirectService engines;
    engines.name = engineService;
    engines.engine = EngineLimits{2, 1000, {{modelName, 800, 50}}};
    DirectService plain;
    plain.name = plainService;
    config.services = {engines, plain};
    return config;
}

inline EndpointRecord makeEndpoint(const std::string &id, const std::string &service, const std::string &address)
{
    EndpointRecord record;
    record.id = id;
    record.service = service;
    record.address = address;
    record.dataCentre = "dc";
    record.slots = 4;
    return record;
}

inline wire::DirectState makeState(const std::vector<std::string> &adapters, std::uint32_t version = 1)
{
    wire::DirectState state;
    state.add_models(modelName);
    state.set_reachable(true);
    state.set_slots(2);
    state.set_room(2);
    for (const auto &adapter : adapters) {
        auto &item = *state.add_adapters();
        item.set_model(modelName);
        item.set_adapter(adapter);
        item.set_version(version);
    }
    return state;
}

class Calls : public testing::Test
{
protected:
    explicit Calls(const DirectCallsInit &settings = init())
        : calls_(settings)
    {
        calls_.applyConfig(makeConfig(1), now_);
    }
    static DirectCallsInit init()
    {
        DirectCallsInit init;
        init.dataCentre = "dc";
        return init;
    }
    static DirectCallsInit initWithout(Mechanism mechanism)
    {
        auto result = init();
        result.policy.disabled.set(static_cast<std::size_t>(mechanism));
        return result;
    }
    void addPlainEndpoints()
    {
        calls_.applyEndpoint(makeEndpoint("p-1", plainService, "10.0.0.1:80"), now_);
        calls_.applyEndpoint(makeEndpoint("p-2", plainService, "10.0.0.2:80"), now_);
    }
    void addEngine(const std::string &id, const std::string &address, const std::vector<std::string> &adapters)
    {
        calls_.applyEndpoint(makeEndpoint(id, engineService, address), now_);
        calls_.applyState(address, makeState(adapters), now_);
    }
    CallHandle startCall(const std::string &path, const std::string &adapter = "", Duration callerTimeout = Seconds(4))
    {
        CallInfo info;
        info.requestId = "r" + std::to_string(++lastCall_);
        info.host = host;
        info.path = path;
        info.callerTimeout = callerTimeout;
        info.fingerprint = fingerprint_;
        if (path.starts_with("/s/")) {
            info.model = modelName;
            info.adapter = adapter;
            info.promptTokens = 3000;
            info.parts = {{"shared", 2000}, {"own" + std::to_string(lastCall_), 1000}};
        }
        calls_.onCall(CallHandle{lastCall_}, info, now_);
        return CallHandle{lastCall_};
    }
    template<class Action>
    std::vector<Action> takeActions()
    {
        std::vector<Action> result;
        for (auto &action : calls_.takeActions()) {
            if (auto *one = std::get_if<Action>(&action)) {
                result.push_back(std::move(*one));
            }
        }
        return result;
    }
    SendCall takeSentCall()
    {
        const auto list = takeActions<SendCall>();
        EXPECT_EQ(list.size(), 1U);
        return list.empty() ? SendCall{} : list.front();
    }
    void endAttempt(const SendCall &send, AttemptEnd how, EndpointRefusal refusal = EndpointRefusal::None)
    {
        AttemptResult result;
        result.end = how;
        result.refusal = refusal;
        calls_.onAttemptEnded(send.call, send.attempt, result, now_);
    }
    void advance(Duration span)
    {
        now_ += span;
        calls_.tick(now_);
    }
    /// Runs one call at the only engine, which reads its prompt of `tokens` at this speed; the work of a token grows
    /// by `growth` for each preceding token.
    void readPrompt(const std::string &adapter, double tokens, double tokensPerMs, double growth = 0)
    {
        CallInfo info;
        info.requestId = "read" + std::to_string(++lastCall_);
        info.host = host;
        info.path = "/s/x";
        info.callerTimeout = Seconds(60);
        info.model = modelName;
        info.adapter = adapter;
        info.promptTokens = static_cast<std::uint32_t>(tokens);
        info.parts = {{"own", static_cast<std::uint32_t>(tokens)}};
        calls_.applyState("10.0.1.1:80", makeState({adapter}), now_);
        calls_.onCall(CallHandle{lastCall_}, info, now_);
        const auto send = takeSentCall();
        now_ += fromMilliseconds((tokens + growth * tokens * tokens / 2) / tokensPerMs);
        calls_.onAnswerStarted(send.call, send.attempt, now_);
        endAttempt(send, AttemptEnd::Answered);
        takeActions<SendDemand>();
    }
    /// Runs calls of this duration at the only engine.
    void runCalls(const std::string &adapter, Duration span)
    {
        for (int i = 0; i < 8; ++i) {
            calls_.applyState("10.0.1.1:80", makeState({adapter}), now_);
            startCall("/s/x", adapter);
            const auto send = takeSentCall();
            calls_.onAnswerStarted(send.call, send.attempt, now_);
            now_ += span;
            endAttempt(send, AttemptEnd::Answered);
            takeActions<SendDemand>();
        }
    }
    /// Runs enough calls for the entry to measure the reading speed of its engine.
    void measureReading(const std::string &adapter, double tokensPerMs, double growth = 0)
    {
        for (int i = 0; i < 72; ++i) {
            readPrompt(adapter, 300 + 40.0 * (i * 7 % 24), tokensPerMs, growth);
        }
    }

    TimePoint now_{Seconds(100)};
    DirectCalls calls_;
    std::uint64_t lastCall_ = 0;
    CallFingerprint fingerprint_; // of the calls to start
};

} // namespace anvilscale::test
