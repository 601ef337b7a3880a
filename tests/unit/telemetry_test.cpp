// Tests of log events and metrics.
#include "anvilscale/telemetry.h"

#include <gtest/gtest.h>

#include <set>

namespace anvilscale {
namespace {

TEST(Events, NumbersAndNamesAreUnique)
{
    std::set<std::uint16_t> numbers;
    std::set<std::string_view> names;
    for (const EventInfo &info : eventTable) {
        EXPECT_TRUE(numbers.insert(info.number).second) << info.name;
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
        EXPECT_FALSE(info.text.empty());
    }
}

TEST(Events, EscapesFieldsForJson)
{
    const auto line =
        formatEvent(Event::CallFailed, {{"caller", std::string("a\"b\n")}, {"attempts", std::uint64_t(2)}});
    EXPECT_NE(line.find("\"caller\":\"a\\\"b\\u000a\",\"attempts\":2"), std::string::npos) << line;
    EXPECT_EQ(line.find("\"event\":500"), 0U);
}

TEST(Metrics, HistogramBucketsAreCumulative)
{
    HistogramMetric metric("stall_seconds", "time", {0.0, 0.1, 1.0});
    metric.record(0.05);
    metric.record(0.5);
    metric.record(7.0);
    MetricsText text;
    text.add(metric);
    EXPECT_NE(text.text().find("stall_seconds_bucket{le=\"0.1\"} 1\n"), std::string::npos) << text.text();
    EXPECT_NE(text.text().find("stall_seconds_bucket{le=\"1\"} 2\n"), std::string::npos);
    EXPECT_NE(text.text().find("stall_seconds_bucket{le=\"+Inf\"} 3\n"), std::string::npos);
    EXPECT_NE(text.text().find("stall_seconds_sum 7.55\n"), std::string::npos);
}

TEST(Metrics, WritesOneLinePerEnumValue)
{
    Counters<RefusalReason> refusals;
    refusals.add(RefusalReason::QueueFull, 3);
    MetricsText text;
    text.counters("refusals_total", "by reason", "reason", refusals);
    EXPECT_NE(text.text().find("refusals_total{reason=\"queue_full\"} 3\n"), std::string::npos);
    EXPECT_NE(text.text().find("refusals_total{reason=\"leaving\"} 0\n"), std::string::npos);
}

} // namespace
} // namespace anvilscale
