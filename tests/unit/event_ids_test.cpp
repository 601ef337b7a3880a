// Tests of the ids of events in event streams.
#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

struct Sight
{
    EventIdFinding finding = EventIdFinding::None;
    std::optional<std::uint64_t> last;
    bool operator==(const Sight &) const = default;
};

Sight read(std::string_view stream, std::string_view lastEventId = {})
{
    EventIds ids(lastEventId);
    ids.read(stream);
    return {ids.finding(), ids.last()};
}

std::string events(const std::vector<std::string> &ids)
{
    std::string stream;
    for (const auto &id : ids) {
        stream += "id: " + id + "\ndata: a\n\n";
    }
    return stream;
}

// Guards against a resumed stream that repeats or skips events of its caller unseen.
TEST(EventIdsTest, FirstIdOfAResumedStreamIsComparedWithTheCallers)
{
    EXPECT_EQ(read(events({"3", "4"}), "2"), (Sight{EventIdFinding::None, 4}));
    EXPECT_EQ(read(events({"2", "3"}), "2"), (Sight{EventIdFinding::Repeated, 3}));
    EXPECT_EQ(read(events({"1", "2"}), "2"), (Sight{EventIdFinding::Repeated, 2}));
    EXPECT_EQ(read(events({"4", "5"}), "2"), (Sight{EventIdFinding::Skipped, 5}));
    EXPECT_EQ(read("", "2"), (Sight{EventIdFinding::None, std::nullopt}));
}

// Guards against findings about streams whose caller has no event, or one without a number.
TEST(EventIdsTest, FirstIdIsFreeWithoutANumberOfTheCallers)
{
    for (const auto *callers : {"", "e-2", "-2", " 2", "2 ", "99999999999999999999"}) {
        EXPECT_EQ(read(events({"7", "8"}), callers), (Sight{EventIdFinding::None, 8})) << callers;
    }
}

// Guards against a stream that falls back or leaves events out unseen; the finding of most weight is kept.
TEST(EventIdsTest, IdsThatFallOrSkipAreFound)
{
    EXPECT_EQ(read(events({"1", "2", "3"})), (Sight{EventIdFinding::None, 3}));
    EXPECT_EQ(read(events({"1", "1"})), (Sight{EventIdFinding::Falling, 1}));
    EXPECT_EQ(read(events({"2", "1", "2"})), (Sight{EventIdFinding::Falling, 2}));
    EXPECT_EQ(read(events({"1", "3"})), (Sight{EventIdFinding::Skipped, 3}));
    EXPECT_EQ(read(events({"1", "3", "2"})), (Sight{EventIdFinding::Falling, 2}));
    EXPECT_EQ(read(events({"2", "1", "4"})), (Sight{EventIdFinding::Falling, 4}));
    EXPECT_EQ(read(events({"2", "1"}), "2"), (Sight{EventIdFinding::Repeated, 1}));
    EXPECT_EQ(read(events({"18446744073709551614", "18446744073709551615", "0"})), (Sight{EventIdFinding::Falling, 0}));
}

// Guards against comparing ids whose order is not known.
TEST(EventIdsTest, IdThatIsNoNumberEndsTheReading)
{
    for (const auto *id : {"x", "-1", "+1", "1.5", "2a", "0x2", " 2", "", "18446744073709551616"}) {
        EXPECT_EQ(read(events({"1", id, "1"})), (Sight{EventIdFinding::None, std::nullopt})) << id;
    }
    EXPECT_EQ(read("id: 1\n\nid\n\nid: 1\n\n"), (Sight{EventIdFinding::None, std::nullopt}));
}

// Guards against taking other lines for ids, and an event that has not ended for one that the caller has.
TEST(EventIdsTest, OnlyIdsOfWholeEventsCount)
{
    EXPECT_EQ(read("id: 1\n\n: id: 7\n\ndata: id: 8\n\nidx: 9\n\ni: 9\n\nid:2\n\n"), (Sight{EventIdFinding::None, 2}));
    EXPECT_EQ(read("id: 1\n\ndata: without an id\n\nid: 2\n\n"), (Sight{EventIdFinding::None, 2}));
    EXPECT_EQ(read("id: 1\n\nid: 5\nid: 2\ndata: a\n\n"), (Sight{EventIdFinding::None, 2}));
    EXPECT_EQ(read("id: 1\n\nid: 1\ndata: a\n"), (Sight{EventIdFinding::None, 1}));
    EXPECT_EQ(read("id: 1\n\nid: " + std::string(1U << 20, '0')), (Sight{EventIdFinding::None, 1}));
}

// Guards against a result that depends on the line ends or on how the bytes arrive.
TEST(EventIdsTest, ResultDependsNeitherOnPartsNorOnLineEnds)
{
    for (const std::string lineEnd : {"\n", "\r", "\r\n"}) {
        std::string stream;
        for (const auto *line : {"id: 12", ": comment", "data: a", "", "data: no id", "", "data: b", "id:11", "", ""}) {
            stream += line + lineEnd;
        }
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            EventIds ids("10");
            ids.read(std::string_view(stream).substr(0, cut));
            ids.read(std::string_view(stream).substr(cut));
            EXPECT_EQ(ids.finding(), EventIdFinding::Falling) << cut;
            EXPECT_EQ(ids.last(), 11U) << cut;
        }
        EventIds bytewise("10");
        for (const char byte : stream) {
            bytewise.read(std::string_view(&byte, 1));
        }
        EXPECT_EQ(bytewise.finding(), EventIdFinding::Falling);
        EXPECT_EQ(bytewise.last(), 11U);
    }
}

} // namespace
} // namespace anvilscale
