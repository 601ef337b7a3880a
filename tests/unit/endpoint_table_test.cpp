// Tests of the table of endpoints at the size of a fleet.
#include "direct/endpoint_table.h"
#include "direct_fixture.h"

namespace anvilscale::test {

// Guards against a first read of the fleet whose cost grows with the square of the number of endpoints.
TEST(EndpointTableSize, ARecordExaminesTheRecordsOfItsAddressOnly)
{
    constexpr int endpoints = 12'000;
    EndpointTable table;
    table.setServices({engineService});
    for (int i = 0; i < endpoints; ++i) {
        const auto id = std::to_string(i);
        table.applyRecord(makeEndpoint(id, engineService, "10." + id + ":80"), TimePoint{});
        EXPECT_NE(table.findByAddress("10." + id + ":80"), nullptr);
    }
    EXPECT_EQ(table.examinedRecords(), static_cast<std::uint64_t>(endpoints));
    for (int i = 0; i < endpoints; ++i) {
        table.remove(std::to_string(i), TimePoint{});
    }
    EXPECT_EQ(table.examinedRecords(), static_cast<std::uint64_t>(endpoints));
    EXPECT_EQ(table.findByAddress("10.1:80"), nullptr);
}

// Guards against calls to the earlier of two incarnations after endpoints have moved between addresses.
TEST(EndpointTableSize, TheYoungestRecordOfAnAddressHidesTheOthers)
{
    EndpointTable table;
    auto older = makeEndpoint("older", engineService, addressOne);
    older.createRevision = 1;
    auto younger = makeEndpoint("younger", engineService, addressOne);
    younger.createRevision = 2;
    table.applyRecord(younger, TimePoint{});
    table.applyRecord(older, TimePoint{});
    EXPECT_TRUE(table.find("older")->isSuperseded);
    EXPECT_EQ(table.findByAddress(addressOne), table.find("younger"));
    younger.address = addressTwo;
    table.applyRecord(younger, TimePoint{});
    EXPECT_FALSE(table.find("older")->isSuperseded);
    EXPECT_EQ(table.findByAddress(addressOne), table.find("older"));
    EXPECT_EQ(table.findByAddress(addressTwo), table.find("younger"));
}

} // namespace anvilscale::test
