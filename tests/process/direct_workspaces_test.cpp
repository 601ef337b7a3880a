// Keys and allowances of workspaces on the direct path with real processes.
#include "direct_fleet.h"

namespace {

using namespace fleet;

class Workspaces : public Direct
{
protected:
    static std::string workspace(const std::string &name, const std::string &key, double rate)
    {
        return R"({"name":")" + name + R"(","api_keys":[")" + key + R"("],"unit":"token_stream","plain_tokens":200,)"
               + R"("rate_per_s":)" + std::to_string(rate) + R"(,"burst":)" + std::to_string(rate) + "}";
    }
    void putWorkspaces(unsigned version, const std::string &list) const
    {
        putKey("op/config", config(version, "/n/", R"(,"tenants":[)" + list + "]"));
    }
    std::string workspaceOf(const std::string &id) const
    {
        for (const auto port : plainPorts_) {
            const auto list = parse(request(port, "GET", "/standin").body)->getArray("workspaces");
            for (std::size_t i = 0; i < list->size(); ++i) {
                const auto text = list->getElement<std::string>(static_cast<unsigned>(i));
                if (text.starts_with(id + "=")) {
                    return text.substr(id.size() + 1);
                }
            }
        }
        return "not run";
    }
    bool hasReceivedKey(unsigned port) const
    {
        return parse(request(port, "GET", "/standin").body)->getValue<bool>("receivedKey");
    }

    const std::string firstKey_ = "k7b2ex5wa5xwyhks8nbk";
    const std::string secondKey_ = "asnmgkcuyj8pjbvk9m68";
    const std::string unknownKey_ = "zzz2ex5wa5xwyhks8zzz";
};

// Guards against calls that run without a key of the configuration, and against an endpoint that is told a workspace
// by the caller.
TEST_F(Workspaces, KeyDecidesTheWorkspace)
{
    putWorkspaces(1, workspace("first", firstKey_, 0));
    start();
    EXPECT_EQ(callWithKey("/n/x", "r-1", firstKey_).status, 200);
    EXPECT_EQ(workspaceOf("r-1"), "first");
    const auto unknown = callWithKey("/n/x", "r-2", unknownKey_);
    EXPECT_EQ(unknown.status, 401);
    EXPECT_EQ(unknown.headers.at("WWW-Authenticate"), "Bearer");
    EXPECT_EQ(call("/n/x", "r-3").status, 401);
    EXPECT_EQ(workspaceOf("r-2"), "not run");
    EXPECT_EQ(workspaceOf("r-3"), "not run");
}

// Guards against keys of an earlier configuration that still count, and against new ones that do not.
TEST_F(Workspaces, ChangedKeysAreInForce)
{
    putWorkspaces(1, workspace("first", firstKey_, 0));
    start();
    EXPECT_EQ(callWithKey("/n/x", "r-1", firstKey_).status, 200);
    putWorkspaces(2, workspace("first", secondKey_, 0));
    EXPECT_TRUE(eventually([&] { return callWithKey("/i/x", "r-2", secondKey_).status == 200; }));
    EXPECT_EQ(callWithKey("/n/x", "r-3", firstKey_).status, 401);
    putWorkspaces(3, workspace("second", secondKey_, 0));
    EXPECT_TRUE(eventually([&] {
        const auto id = "m-" + std::to_string(++probeCount_);
        return callWithKey("/n/x", id, secondKey_).status == 200 && workspaceOf(id) == "second";
    }));
}

// Guards against a workspace that uses more than its allowance, and against refusals without the time of return.
TEST_F(Workspaces, CallsBeyondTheAllowanceAreRefused)
{
    putWorkspaces(1, workspace("first", firstKey_, 2000) + "," + workspace("second", secondKey_, 0));
    start();
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        const auto answer = callWithKey("/n/x", "r-" + std::to_string(i), firstKey_);
        refused += answer.status == 429 ? 1 : 0;
        EXPECT_TRUE(answer.status == 200 || answer.headers.count("Retry-After")) << answer.status;
        EXPECT_EQ(callWithKey("/n/x", "s-" + std::to_string(i), secondKey_).status, 200);
    }
    EXPECT_GT(refused, 0);
    EXPECT_TRUE(
        eventually([&] { return callWithKey("/n/x", "t-" + std::to_string(++probeCount_), firstKey_).status == 200; }));
}

// Guards against keys in logs, metrics, answers and requests to endpoints. Keys are secrets of the callers.
TEST_F(Workspaces, KeysAppearInNoOutput)
{
    putWorkspaces(1, workspace("first", firstKey_, 2000));
    start();
    std::string output;
    for (const auto &key : {firstKey_, unknownKey_}) {
        for (int i = 0; i < 20; ++i) {
            const auto answer = callWithKey("/n/x", key.substr(0, 3) + "-" + std::to_string(i), key);
            output += answer.body;
            for (const auto &[name, value] : answer.headers) {
                output += name + value;
            }
        }
    }
    putWorkspaces(2, workspace("first", secondKey_, 0));
    EXPECT_TRUE(eventually([&] { return callWithKey("/i/x", "r-2", secondKey_).status == 200; }));
    controlStandin(plainPorts_[0], R"({"fault":"break","times":1})");
    controlStandin(plainPorts_[1], R"({"fault":"break","times":1})");
    callWithKey("/n/x", "r-3", secondKey_);
    output += request(metricsPort_, "GET", "/metrics").body + readLog("entry-1") + readLog("side-1");
    for (const auto &key : {firstKey_, secondKey_, unknownKey_}) {
        EXPECT_EQ(output.find(key), std::string::npos) << key;
    }
    for (const auto port : plainPorts_) {
        EXPECT_FALSE(hasReceivedKey(port));
    }
}

} // namespace
