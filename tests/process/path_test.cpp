// Calls through the whole path with real processes: caller, entry, sidecar and endpoint.
#include "../standins/expected_answer.h"
#include "fleet.h"

#include <gtest/gtest.h>

namespace {

using namespace fleet;

class Path : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_NE(fleet_.configureRoutes(3), 0U);
        fleet_.startEngine("engine-1", {"--slots", "2"});
        fleet_.startEntry("entry-1");
        fleet_.publishVmList();
        ASSERT_TRUE(fleet_.waitForAnswer("entry-1", "/v1/completions", completion("route-0", "warm", 2, false)))
            << fleet_.lastAnswer.status << fleet_.lastAnswer.body << fleet_.folder();
    }

    Fleet fleet_;
};

TEST_F(Path, PlainAnswerComesFromTheRoutesAdapter)
{
    const auto answer =
        request(fleet_.httpPort("entry-1"), "POST", "/v1/completions", completion("route-1", "hello", 5, false));
    ASSERT_EQ(answer.status, 200) << answer.body;
    const auto text = parse(answer.body)->getArray("choices")->getObject(0)->getValue<std::string>("text");
    EXPECT_EQ(text, standins::expectedAnswer("adapter-1@v1", "hello", 5));
}

TEST_F(Path, StreamedAnswerIsCompleteAndEndsWithDone)
{
    const auto answer =
        request(fleet_.httpPort("entry-1"), "POST", "/v1/completions", completion("route-2", "hello", 40, true));
    ASSERT_EQ(answer.status, 200) << answer.body;
    const auto stream = readStream(answer.body);
    EXPECT_TRUE(stream.isDone);
    EXPECT_EQ(stream.text, standins::expectedAnswer("adapter-2@v1", "hello", 40));
}

// Guards against lost bytes in an answer that exceeds the socket buffers and is written in many parts.
TEST_F(Path, LongStreamIsComplete)
{
    constexpr unsigned tokens = 60000;
    const auto answer =
        request(fleet_.httpPort("entry-1"), "POST", "/v1/completions", completion("route-2", "long", tokens, true));
    ASSERT_EQ(answer.status, 200) << answer.body.substr(0, 400);
    const auto stream = readStream(answer.body);
    EXPECT_TRUE(stream.isDone) << stream.error;
    EXPECT_TRUE(stream.text == standins::expectedAnswer("adapter-2@v1", "long", tokens));
}

TEST_F(Path, UnknownRouteIsNotRun)
{
    const auto answer =
        request(fleet_.httpPort("entry-1"), "POST", "/v1/completions", completion("no-such", "hello", 5, false));
    EXPECT_EQ(answer.status, 404);
    EXPECT_EQ(errorField(answer.body, "type"), "unknown_route");
    EXPECT_EQ(errorField(answer.body, "verdict"), "not_run");
}

} // namespace
