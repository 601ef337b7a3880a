// Which version runs: calls resolved at older and newer revisions, a switch while calls wait and run, loading ahead.
#include "config.pb.h"
#include "residency_fixture.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

config::Change recordOf(const std::string &json)
{
    const auto change = parseRecord(json);
    EXPECT_TRUE(change) << change.error().path << ": " << change.error().detail;
    return change ? *change : config::Change();
}

const AdapterVersion loungeV2{"lounge", "v2"};

/// A sidecar with a configuration in which `route-lounge` names lounge@v1, at revision 1.
class Versions : public testing::Test
{
protected:
    Versions()
        : fixture(makeInit())
    {
        fixture.recover();
    }
    void route(const std::string &version, const std::string &next = "")
    {
        const std::string tail = next.empty() ? "" : R"(,"nextVersion":")" + next + "\"";
        change({R"({"schemaVersion":2,"name":"route-lounge","route":{"adapter":"lounge","version":")" + version + "\""
                + tail + "}}"});
    }
    void change(const std::vector<std::string> &records)
    {
        config::Delta delta;
        delta.set_revision(store.revision() + 1);
        for (const auto &record : records) {
            *delta.add_changes() = recordOf(record);
        }
        const auto applied = store.apply(delta);
        ASSERT_TRUE(applied) << applied.error().path << ": " << applied.error().detail;
        fixture.sidecar.onConfigChanged(fixture.now);
        fixture.collect();
    }
    wire::CallRequest requestAt(const AdapterVersion &which, std::uint64_t revision, Duration budget = Seconds(30))
    {
        auto request = fixture.request(which, budget);
        request.set_config_revision(revision);
        return request;
    }

    ConfigStore store;
    SidecarFixture fixture;

private:
    SidecarInit makeInit()
    {
        config::Delta delta;
        delta.set_revision(1);
        *delta.add_changes() =
            recordOf(R"({"schemaVersion":1,"kind":"adapter","name":"lounge","baseModel":"base","versions":["v1","v2"],)"
                     R"("weights":"store://lounge/{version}"})");
        *delta.add_changes() =
            recordOf(R"({"schemaVersion":2,"name":"route-lounge","route":{"adapter":"lounge","version":"v1"}})");
        EXPECT_TRUE(store.apply(delta));
        SidecarInit init;
        init.config = &store;
        init.baseModel = "base";
        return init;
    }
};

} // namespace

TEST_F(Versions, LoadsTheWeightsOfTheConfiguredVersion)
{
    fixture.send(requestAt(lounge, 1));
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].weights, "store://lounge/v1");
}

TEST_F(Versions, StaleEntryCannotHaveTheOldVersionRun)
{
    // The operators switch lounge to v2. An entry that missed the change resolves at revision 1 and asks for v1: its
    // caller would get a ruling of the old version long after the change was in force elsewhere.
    route("v2");
    const auto request = requestAt(lounge, 1);
    fixture.send(request);
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::StaleRevision);
    EXPECT_TRUE(fixture.refusals.back().proved_not_run());
    EXPECT_EQ(fixture.refusals.back().config_revision(), 2U);
    EXPECT_TRUE(fixture.orders.empty());
}

TEST_F(Versions, OlderRevisionThatNamesTheSameVersionRuns)
{
    change({R"({"schemaVersion":2,"name":"other","route":{"adapter":"lounge","version":"v2"}})"});
    const auto request = requestAt(lounge, 1);
    fixture.send(request);
    EXPECT_FALSE(fixture.refusalOf(request.id().call()));
}

TEST_F(Versions, SidecarThatIsBehindFetchesFirst)
{
    // The entry knows revision 2, the sidecar does not yet. It must not run the call by its own older configuration;
    // it asks the entry, and the call goes on as soon as the answer is there.
    const auto request = requestAt(loungeV2, 2);
    fixture.send(request);
    ASSERT_EQ(fixture.others.size(), 1U);
    EXPECT_EQ(fixture.others[0].to, entry);
    EXPECT_EQ(fixture.others[0].message.config_fetch().have_revision(), 1U);
    EXPECT_TRUE(fixture.orders.empty());
    fixture.advance(Milliseconds(300));
    EXPECT_EQ(fixture.others.size(), 2U) << "asked again: the first question may be lost";
    route("v2");
    EXPECT_FALSE(fixture.refusalOf(request.id().call()));
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].which, loungeV2);
}

TEST_F(Versions, HeldCallIsRefusedWhenTheConfigurationDoesNotCome)
{
    const auto request = requestAt(loungeV2, 2, Seconds(2));
    fixture.send(request);
    fixture.advance(Milliseconds(600));
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::RevisionBehind);
    EXPECT_TRUE(fixture.refusals.back().proved_not_run());
    route("v2");
    EXPECT_TRUE(fixture.orders.empty());
}

TEST_F(Versions, WaitingCallOfTheOldVersionIsHandedBackAtTheSwitch)
{
    const auto request = requestAt(lounge, 1);
    fixture.send(request);
    route("v2");
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::StaleRevision);
    fixture.answerOrders();
    EXPECT_TRUE(fixture.started.empty());
}

TEST_F(Versions, OldAndNewVersionRunSideBySide)
{
    fixture.send(requestAt(lounge, 1));
    fixture.answerOrders();
    route("v2");
    fixture.send(requestAt(loungeV2, 2));
    fixture.advance(Seconds(1));
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 2U);
    EXPECT_EQ(fixture.state(lounge).pins(), 1U);
    EXPECT_EQ(fixture.state(loungeV2).pins(), 1U);
    EXPECT_TRUE(fixture.cancelled.empty());
}

TEST_F(Versions, NextVersionIsLoadedAheadIntoAFreeSlot)
{
    fixture.send(requestAt(lounge, 1));
    fixture.answerOrders();
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    route("v1", "v2");
    fixture.advance(Seconds(1));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(loungeV2), ResidencyState::Resident);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    route("v2");
    fixture.send(requestAt(loungeV2, 3));
    EXPECT_EQ(fixture.started.size(), 2U) << "no stall at the switch";
}

TEST_F(Versions, UnknownRouteIsRefused)
{
    auto request = requestAt(lounge, 1);
    request.set_route("nowhere");
    fixture.send(request);
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::UnknownRoute);
}

} // namespace anvilscale::test
