// Reading turns of one engine: starvation bound and shares of workspaces.
#include "reading_fixture.h"

namespace anvilscale::test {

// Guards against starvation: late calls of the lowest priority while urgent calls keep the engine busy.
TEST_F(ReadingQueueTest, NobodyStarves)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    const auto startedAt = now_;
    request({.call = 2, .slack = Duration(0), .limit = Seconds(4), .priority = 9});
    for (std::uint64_t call = 3; !isGranted(2) && call < 40; ++call) {
        request({.call = call, .slack = Milliseconds(800)});
        advance(Milliseconds(240));
        finish(call - (call == 3 ? 2 : 1));
    }
    EXPECT_TRUE(isGranted(2));
    EXPECT_GE(now_ - startedAt, Seconds(2)) << "in time calls go first until half of the limit has passed";
    EXPECT_LE(now_ - startedAt, Milliseconds(2500));
}

// Guards against urgent calls that wait behind a long queue of late ones: all of those have waited for half of their
// limit.
TEST_F(ReadingQueueTest, StarvingCallsGetAtMostHalfOfTheWork)
{
    measureWithDifferentObjectives();
    for (std::uint64_t call = 600; call < 620; ++call) {
        // Turns without starving calls give these no claim.
        send({.call = 500});
        request({.call = call});
        finish(500);
        finish(call);
    }
    grants_.clear();
    send({.call = 500});
    for (std::uint64_t call = 1; call <= 20; ++call) {
        request({.call = call, .slack = Duration(0), .limit = Seconds(40), .priority = 1});
    }
    passTime(Seconds(21), 500);
    for (std::uint64_t call = 101; call <= 110; ++call) {
        request({.call = call, .slack = Seconds(9), .limit = Seconds(18)});
    }
    finish(500);
    for (std::size_t i = 0; i < 10; ++i) {
        ASSERT_EQ(grants_.size(), i + 1);
        finish(grants_[i]);
    }
    const auto isUrgent = [](std::uint64_t call) { return call > 100; };
    EXPECT_EQ(std::count_if(grants_.begin(), grants_.begin() + 10, isUrgent), 5);
}

// Guards against a workspace that gets more than its share because its many calls have waited for so long.
TEST_F(ReadingQueueTest, StarvingCallsOfOneWorkspaceGetItsShareOnly)
{
    measureWithDifferentObjectives();
    send({.call = 500});
    for (std::uint64_t call = 1; call <= 20; ++call) {
        request({.call = call, .slack = Duration(0), .limit = Seconds(40), .workspace = "large"});
    }
    passTime(Seconds(21), 500);
    for (std::uint64_t call = 101; call <= 110; ++call) {
        request({.call = call, .slack = Seconds(9), .limit = Seconds(18), .workspace = call % 2 == 0 ? "b" : "c"});
    }
    finish(500);
    for (std::size_t i = 0; i < 9; ++i) {
        ASSERT_EQ(grants_.size(), i + 1);
        finish(grants_[i]);
    }
    const auto isOfLarge = [](std::uint64_t call) { return call < 100; };
    EXPECT_EQ(std::count_if(grants_.begin(), grants_.begin() + 9, isOfLarge), 3);
}

// Guards against one workspace that sends six times its usual load and displaces the calls of another.
TEST_F(ReadingQueueTest, AWorkspaceWithSixTimesItsLoadGetsItsShareOnly)
{
    measureWithDifferentObjectives();
    send({.call = 500, .workspace = "large"});
    for (std::uint64_t call = 1; call <= 60; ++call) {
        request({.call = call, .slack = Seconds(60), .limit = Seconds(120), .workspace = "large"});
    }
    for (std::uint64_t call = 101; call <= 110; ++call) {
        request({.call = call, .slack = Seconds(60), .limit = Seconds(120), .workspace = "small"});
    }
    finish(500);
    std::int64_t difference = 0;
    for (std::size_t i = 0; i < 20; ++i) {
        ASSERT_EQ(grants_.size(), i + 1);
        difference += grants_[i] > 100 ? -1 : 1;
        EXPECT_LE(std::abs(difference), 1) << "more than one prompt's work after " << i + 1 << " turns";
        finish(grants_[i]);
    }
}

// Guards against credit for idleness: a workspace that returns would displace all others until it has caught up.
TEST_F(ReadingQueueTest, AWorkspaceThatReturnsFromIdlenessGetsNoCredit)
{
    measureWithDifferentObjectives();
    send({.call = 500, .workspace = "busy"});
    for (std::uint64_t call = 1; call <= 20; ++call) {
        request({.call = call, .slack = Seconds(60), .limit = Seconds(120), .workspace = "busy"});
    }
    finish(500);
    for (std::size_t i = 0; i < 9; ++i) {
        finish(grants_[i]);
    }
    for (std::uint64_t call = 101; call <= 105; ++call) {
        request({.call = call, .slack = Seconds(60), .limit = Seconds(120), .workspace = "idle"});
    }
    const auto before = grants_.size();
    for (std::size_t i = before - 1; i < before + 5; ++i) {
        finish(grants_[i]);
    }
    const auto isOfIdle = [](std::uint64_t call) { return call > 100; };
    EXPECT_EQ(std::count_if(grants_.begin() + static_cast<std::ptrdiff_t>(before), grants_.end(), isOfIdle), 3);
}

// Guards against claims from work that took nothing from anybody: of prompts while no call waited, or of turns while
// only one workspace waited.
TEST_F(ReadingQueueTest, WorkWithoutOtherWaitingCallsGivesNoClaim)
{
    measureWithDifferentObjectives();
    for (int i = 0; i < 10; ++i) {
        send({.call = 501, .workspace = "a"});
        request({.call = 502, .workspace = "a"});
        finish(501);
        finish(502);
    }
    for (int i = 0; i < 10; ++i) {
        send({.call = 500, .workspace = "a"});
        finish(500);
    }
    grants_.clear();
    send({.call = 503, .workspace = "c"});
    for (std::uint64_t call = 101; call <= 104; ++call) {
        request({.call = call, .slack = Seconds(60), .limit = Seconds(120), .workspace = "b"});
        request({.call = call - 100, .slack = Seconds(60), .limit = Seconds(120), .workspace = "a"});
    }
    finish(503);
    for (std::size_t i = 0; i < 3; ++i) {
        finish(grants_[i]);
    }
    const auto isOfA = [](std::uint64_t call) { return call < 100; };
    EXPECT_EQ(std::count_if(grants_.begin(), grants_.end(), isOfA), 2) << "of four turns";
}

} // namespace anvilscale::test
