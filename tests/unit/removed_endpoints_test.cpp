// Tests of RemovedEndpoints.
#include "daemon/removed_endpoints.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

// Guards against reporting a withheld record after a later record of the same endpoint.
TEST(RemovedEndpoints, DiscardsWithheldRecordAfterLaterRecord)
{
    RemovedEndpoints removedEndpoints;
    const TimePoint start{Seconds(100)};
    EndpointRecord record;
    record.id = "a";
    record.era = 2;
    record.revision = 5;
    removedEndpoints.add("a", 1, start);
    ASSERT_TRUE(removedEndpoints.withhold(record, start + Seconds(58)));
    removedEndpoints.add("b", 2, start + Seconds(61));
    record.revision = 9;
    EXPECT_FALSE(removedEndpoints.withhold(record, start + Seconds(61)));
    EXPECT_TRUE(removedEndpoints.takeDue(start + Seconds(63)).empty());
}

} // namespace anvilscale::test
