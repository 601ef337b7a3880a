// Tests of version resolution: older and newer revisions, version switches and prefetch.
#include "config.pb.h"
#include "residency_fixture.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

config::Change recordOf(const std::string &json)
{
    const auto parsed = parseRecord(json);
    EXPECT_TRUE(parsed) << parsed.error().path << ": " << parsed.error().detail;
    return parsed ? *parsed : config::Change();
}

const AdapterVersion loungeV2{"lounge", "v2"};

/// Sidecar with a configuration at revision 1 in which `route-lounge` names lounge@v1.
class Versions : public testing::Test
{
protected:
    Versions()
        : fixture(makeInit())
    {
        fixture.recover();
    }
    void setRoute(const std::string &version, const std::string &next = "")
    {
        const std::string nextVersionField = next.empty() ? "" : R"(,"nextVersion":")" + next + "\"";
        applyChange({R"({"schemaVersion":2,"name":"route-lounge","route":{"adapter":"lounge","version":")" + version
                     + "\"" + nextVersionField + "}}"});
    }
    void applyChange(const std::vector<std::string> &records)
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
    wire::CallRequest requestAt(const AdapterVersion &adapterVersion, std::uint64_t revision,
                                Duration budget = Seconds(30))
    {
        auto request = fixture.request(adapterVersion, budget);
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

TEST_F(Versions, StaleEntryCannotRunOldVersion)
{
    // Guards against answers of a replaced version when an entry missed the change.
    setRoute("v2");
    const auto request = requestAt(lounge, 1);
    fixture.send(request);
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::StaleRevision);
    EXPECT_TRUE(fixture.refusals.back().proved_not_run());
    EXPECT_EQ(fixture.refusals.back().config_revision(), 2U);
    EXPECT_TRUE(fixture.orders.empty());
}

TEST_F(Versions, OlderRevisionWithSameVersionRuns)
{
    applyChange({R"({"schemaVersion":2,"name":"other","route":{"adapter":"lounge","version":"v2"}})"});
    const auto request = requestAt(lounge, 1);
    fixture.send(request);
    EXPECT_FALSE(fixture.refusalOf(request.id().call()));
}

TEST_F(Versions, SidecarBehindFetchesConfigurationFirst)
{
    // A sidecar with an older revision must fetch the newer one from the entry before it runs the call.
    const auto request = requestAt(loungeV2, 2);
    fixture.send(request);
    ASSERT_EQ(fixture.otherMessages.size(), 1U);
    EXPECT_EQ(fixture.otherMessages[0].to, entry);
    EXPECT_EQ(fixture.otherMessages[0].message.config_fetch().have_revision(), 1U);
    EXPECT_TRUE(fixture.orders.empty());
    fixture.advance(Milliseconds(300));
    EXPECT_EQ(fixture.otherMessages.size(), 2U) << "requested again: the first request may be lost";
    setRoute("v2");
    EXPECT_FALSE(fixture.refusalOf(request.id().call()));
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].adapterVersion, loungeV2);
}

TEST_F(Versions, HeldCallIsRefusedIfConfigurationDoesNotArrive)
{
    const auto request = requestAt(loungeV2, 2, Seconds(2));
    fixture.send(request);
    fixture.advance(Milliseconds(600));
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::RevisionBehind);
    EXPECT_TRUE(fixture.refusals.back().proved_not_run());
    setRoute("v2");
    EXPECT_TRUE(fixture.orders.empty());
}

TEST_F(Versions, WaitingCallOfOldVersionIsRefusedAtSwitch)
{
    const auto request = requestAt(lounge, 1);
    fixture.send(request);
    setRoute("v2");
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::StaleRevision);
    fixture.answerOrders();
    EXPECT_TRUE(fixture.started.empty());
}

TEST_F(Versions, OldAndNewVersionRunSideBySide)
{
    fixture.send(requestAt(lounge, 1));
    fixture.answerOrders();
    setRoute("v2");
    fixture.send(requestAt(loungeV2, 2));
    fixture.advance(Seconds(1));
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 2U);
    EXPECT_EQ(fixture.state(lounge).pins(), 1U);
    EXPECT_EQ(fixture.state(loungeV2).pins(), 1U);
    EXPECT_TRUE(fixture.cancelled.empty());
}

TEST_F(Versions, NextVersionIsPrefetchedIntoFreeSlot)
{
    fixture.send(requestAt(lounge, 1));
    fixture.answerOrders();
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    setRoute("v1", "v2");
    fixture.advance(Seconds(1));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(loungeV2), ResidencyState::Resident);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    setRoute("v2");
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
