// Tests of the stand-ins: they must detect a wrong adapter, a duplicate execution and an eviction during a call.
#include "standins/expected_answer.h"
#include "support/standin_process.h"

#include <gtest/gtest.h>

using anvilscale::testing::http;
using anvilscale::testing::StandinProcess;

namespace {
std::string loraRequest(const std::string &name)
{
    return R"({"lora_name":")" + name + R"(","lora_path":"/w"})";
}

std::string completionRequest(const std::string &model, const std::string &prompt, bool stream = false)
{
    return R"({"model":")" + model + R"(","prompt":")" + prompt + R"(","max_tokens":5,"stream":)"
           + (stream ? "true}" : "false}");
}
} // namespace

TEST(EngineStandin, answerDependsOnAdapterAndPrompt)
{
    const StandinProcess engine("engine");
    EXPECT_EQ(http(engine.port(), "POST", "/v1/completions", completionRequest("a@1", "p")).status, 404);
    EXPECT_EQ(http(engine.port(), "POST", "/v1/load_lora_adapter", loraRequest("a@1")).status, 200);
    const auto reply = http(engine.port(), "POST", "/v1/completions", completionRequest("a@1", "p"));
    const auto text = reply.json()->getArray("choices")->getObject(0)->getValue<std::string>("text");
    EXPECT_EQ(text, standins::expectedAnswer("a@1", "p", 5));
    EXPECT_NE(text, standins::expectedAnswer("a@2", "p", 5));
    const auto stream = http(engine.port(), "POST", "/v1/completions", completionRequest("a@1", "p", true)).body;
    EXPECT_EQ(stream.substr(stream.size() - 14), "data: [DONE]\n\n");
}

TEST(EngineStandin, limitsSlotsAndLosesAdaptersOnRestart)
{
    const StandinProcess engine("engine", {"--slots", "1"});
    EXPECT_EQ(http(engine.port(), "POST", "/v1/load_lora_adapter", loraRequest("a@1")).status, 200);
    EXPECT_EQ(http(engine.port(), "POST", "/v1/load_lora_adapter", loraRequest("b@1")).status, 400);
    const auto metricsBefore = http(engine.port(), "GET", "/metrics").body;
    engine.control("{}", "/standin/restart");
    EXPECT_NE(http(engine.port(), "GET", "/metrics").body, metricsBefore);
    EXPECT_EQ(http(engine.port(), "POST", "/v1/load_lora_adapter", loraRequest("b@1")).status, 200);
}

TEST(EngineStandin, checksFencingOnlyWhenEnabled)
{
    const StandinProcess checking("engine", {"--fencing", "check"});
    const StandinProcess ignoring("engine", {"--fencing", "ignore"});
    for (const auto *engine : {&checking, &ignoring}) {
        http(engine->port(), "POST", "/v1/unload_lora_adapter", loraRequest("anvilscale-fence"),
             {{"X-Fencing-Token", "7"}});
        const auto staleLoad =
            http(engine->port(), "POST", "/v1/load_lora_adapter", loraRequest("a@1"), {{"X-Fencing-Token", "6"}});
        EXPECT_EQ(staleLoad.status, engine == &checking ? 412 : 200);
    }
}

TEST(EngineStandin, countsEvictionDuringCall)
{
    const StandinProcess engine("engine", {"--step-us", "20000"});
    http(engine.port(), "POST", "/v1/load_lora_adapter", loraRequest("a@1"));
    std::thread call([&] { http(engine.port(), "POST", "/v1/completions", completionRequest("a@1", "p")); });
    while (engine.control("{}")->getValue<int>("running") == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    http(engine.port(), "POST", "/v1/unload_lora_adapter", loraRequest("a@1"));
    call.join();
    EXPECT_EQ(engine.control("{}", "/standin/record")->getValue<int>("evictionsUnderCall"), 1);
}

TEST(ServiceStandin, countsDuplicateExecutions)
{
    const StandinProcess service("service");
    for (const char *key : {"k1", "k2", "k1"}) {
        http(service.port(), "POST", "/admissions", "{}", {{"Idempotency-Key", key}});
    }
    EXPECT_EQ(service.control("{}", "/standin/record")->getValue<int>("doubled"), 1);
}

TEST(WeightStoreStandin, refusesOnRequest)
{
    const StandinProcess store("weight-store", {"--rate", "1000"});
    const StandinProcess engine("engine", {"--weight-store", store.url()});
    store.control(R"({"failNext":1})");
    EXPECT_EQ(http(engine.port(), "POST", "/v1/load_lora_adapter", loraRequest("a@1")).status, 500);
    EXPECT_EQ(http(engine.port(), "POST", "/v1/load_lora_adapter", loraRequest("a@1")).status, 200);
}
