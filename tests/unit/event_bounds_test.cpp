// Tests of the bounds of events in event streams.
#include "anvilscale/net.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

bool endsInsideEvent(std::string_view stream)
{
    EventBounds bounds;
    bounds.read(stream);
    return bounds.isInsideEvent();
}

TEST(EventBoundsTest, EmptyLineEndsEvent)
{
    EXPECT_FALSE(endsInsideEvent(""));
    EXPECT_FALSE(endsInsideEvent("id: 1\ndata: a\n\n"));
    EXPECT_FALSE(endsInsideEvent("id: 1\r\ndata: a\r\n\r\n"));
    EXPECT_FALSE(endsInsideEvent("id: 1\rdata: a\r\r"));
    EXPECT_FALSE(endsInsideEvent("data: a\n\n\n\n"));
    EXPECT_FALSE(endsInsideEvent("data: a\n\n: comment\n"));
}

// Guards against taking a truncated event for a complete one, wherever it ends.
TEST(EventBoundsTest, EveryPrefixOfAnEventIsInsideIt)
{
    for (const std::string_view event : {"id: 1\ndata: a: b\n\n", "data: a\r\n: comment\r\nid: 1\r\n\r\n"}) {
        const auto lineEnd = event.ends_with("\r\n") ? 2U : 1U;
        for (std::size_t length = 1; length + lineEnd <= event.size(); ++length) {
            EXPECT_TRUE(endsInsideEvent(event.substr(0, length))) << event.substr(0, length);
        }
    }
    EXPECT_TRUE(endsInsideEvent("data: a\n\n: comm"));
}

RC_GTEST_PROP(EventBoundsTest, ResultDoesNotDependOnParts, ())
{
    const auto stream = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("a:\r\n")));
    const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
    EventBounds bounds;
    bounds.read(std::string_view(stream).substr(0, cut));
    bounds.read(std::string_view(stream).substr(cut));
    RC_ASSERT(bounds.isInsideEvent() == endsInsideEvent(stream));
    EventBounds whole;
    whole.read(stream);
    RC_ASSERT(bounds.hasEvent() == whole.hasEvent());
}

} // namespace
} // namespace anvilscale
