// Rate limits that endpoints announce for all entries together.
#include "direct_fixture.h"
#include "support/limited_fleet.h"

namespace anvilscale::test {

namespace {

struct LimitCase
{
    std::uint32_t entries;
    double limit;
    double callsPerSecond; // of which the limited endpoint would get a third
};

void PrintTo(const LimitCase &limitCase, std::ostream *out) // NOLINT(readability-identifier-naming): GoogleTest's name
{
    *out << limitCase.entries << " entries, " << limitCase.limit << " of " << limitCase.callsPerSecond << " calls/s";
}

class Limits : public testing::TestWithParam<LimitCase>
{
protected:
    static LimitedFleetShape shape(std::uint64_t seed)
    {
        LimitedFleetShape shape;
        shape.entries = GetParam().entries;
        shape.callsPerSecond = GetParam().callsPerSecond;
        shape.seed = seed;
        return shape;
    }
    static constexpr std::uint64_t seeds = 12;
};

// Guards against a limit that each entry uses for itself, and against calls sent before all entries know of it.
TEST_P(Limits, SumOfAllEntriesStaysWithinTheLimit)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitedFleet fleet(shape(seed));
        fleet.advance(Seconds(8));
        fleet.setLimit(GetParam().limit);
        fleet.advance(Seconds(12));
        EXPECT_EQ(fleet.worstExcess, 0U) << "seed " << seed;
        EXPECT_EQ(fleet.refusals, 0U) << "seed " << seed << ": the other endpoints have no limit";
        EXPECT_EQ(fleet.notAnswered, 0U) << "seed " << seed;
    }
}

// Guards against an endpoint that gets hardly any calls because its limit is divided between entries.
TEST_P(Limits, LimitIsUsed)
{
    std::size_t arrivals = 0;
    constexpr auto span = Seconds(10);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitedFleet fleet(shape(seed));
        fleet.setLimit(GetParam().limit);
        fleet.advance(Seconds(5) + span);
        arrivals += fleet.arrivalsWithin(span);
    }
    constexpr double usedShare = 0.5;
    EXPECT_GE(static_cast<double>(arrivals), usedShare * GetParam().limit * toSeconds(span) * seeds);
}

// Guards against entries that keep to a limit which has ended.
TEST_P(Limits, EndpointIsUsedFullyAfterItsLimit)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitedFleet fleet(shape(seed));
        fleet.setLimit(GetParam().limit);
        fleet.advance(Seconds(10));
        fleet.setLimit(std::nullopt);
        constexpr auto span = Seconds(10);
        fleet.advance(Seconds(5) + span);
        EXPECT_GT(5 * fleet.arrivalsWithin(span), fleet.callsWithin(span)) << "seed " << seed << ": a third is even";
    }
}

// Guards against entries that exceed the limit together after the sidecar with its pool has stopped.
TEST_P(Limits, LimitHoldsWhenSidecarsStop)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitedFleet fleet(shape(seed));
        fleet.setLimit(GetParam().limit);
        for (std::uint32_t sidecar = 0; sidecar < LimitedFleetShape().sidecars; ++sidecar) {
            fleet.advance(Seconds(5));
            fleet.stopSidecar(sidecar);
        }
        fleet.advance(Seconds(5));
        EXPECT_EQ(fleet.worstExcess, 0U) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, Limits,
                         testing::Values(LimitCase{3, 1, 6}, LimitCase{6, 1, 6}, LimitCase{6, 1.6, 10},
                                         LimitCase{6, 5, 45}, LimitCase{22, 1, 9}, LimitCase{22, 5, 30},
                                         LimitCase{22, 5, 45}, LimitCase{6, 1.6, 19}, LimitCase{22, 5, 60},
                                         LimitCase{68, 1, 6}, LimitCase{68, 10, 60}));

} // namespace

class Limited : public Calls
{
protected:
    void limit(const std::string &id, std::optional<double> requestsPerSecond)
    {
        EndpointNotice notice;
        notice.requestsPerSecond = requestsPerSecond;
        notice.endsLimit = !requestsPerSecond;
        calls_.onEndpointNotice(id, notice, now_);
    }
    /// Passes requests for credit to the pools until there are none; returns all other actions.
    std::vector<DirectAction> exchange()
    {
        std::vector<DirectAction> others;
        for (auto actions = calls_.takeActions(); !actions.empty(); actions = calls_.takeActions()) {
            for (auto &action : actions) {
                if (const auto *ask = std::get_if<AskAllowance>(&action)) {
                    calls_.onAllowanceAnswer(ask->address, pools_.answer(ask->ask, now_), now_);
                } else {
                    others.push_back(std::move(action));
                }
            }
        }
        return others;
    }
    template<class Action>
    static std::vector<Action> pick(const std::vector<DirectAction> &actions)
    {
        std::vector<Action> result;
        for (const auto &action : actions) {
            if (const auto *found = std::get_if<Action>(&action)) {
                result.push_back(*found);
            }
        }
        return result;
    }

    AllowancePools pools_{endpointLimitTimes()};
};

// Guards against calls that are held while all endpoints of their service have reached their limits.
TEST_F(Limited, CallBeyondTheLimitOfAllEndpointsIsRefusedAtOnce)
{
    addEngine("e-1", addressOne, {"a1"});
    limit("e-1", 1);
    std::vector<RefuseCall> refusals;
    for (int i = 0; i < 5; ++i) {
        startCall("/s/x", "a1");
        for (const auto &refusal : pick<RefuseCall>(exchange())) {
            refusals.push_back(refusal);
        }
    }
    ASSERT_GE(refusals.size(), 4U);
    EXPECT_EQ(refusals.back().reason, RefusalReason::EndpointLimit);
    EXPECT_EQ(refusals.back().status, 503U);
    EXPECT_GT(refusals.back().retryAfter, Duration(0));
}

// Guards against a call that waits for a permit after the limit that it waits for has ended.
TEST_F(Limited, WaitingCallIsSentWhenTheLimitEnds)
{
    addEngine("e-1", addressOne, {"a1"});
    limit("e-1", 1);
    takeActions<SendCall>();
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<SendCall>().empty());
    limit("e-1", std::nullopt);
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against refusals under a limit that has been raised or has ended since a pool last denied credit.
TEST_F(Limited, DenialEndsWithTheLimit)
{
    addEngine("e-1", addressOne, {"a1"});
    limit("e-1", 1);
    for (int i = 0; i < 3; ++i) {
        startCall("/s/x", "a1");
        exchange();
    }
    startCall("/s/x", "a1");
    EXPECT_EQ(takeActions<RefuseCall>().size(), 1U);
    limit("e-1", std::nullopt);
    startCall("/s/x", "a1");
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against a call that waits for a permit of an endpoint that leaves or is removed.
TEST_F(Limited, WaitingCallGoesElsewhereWhenItsEndpointLeaves)
{
    addEngine("e-1", addressOne, {"a1"});
    limit("e-1", 1);
    startCall("/s/x", "a1");
    addEngine("e-2", addressTwo, {"a1"});
    takeActions<SendCall>();
    calls_.removeEndpoint("e-1", now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

// Guards against a call that waits for a permit of a process that has been replaced.
TEST_F(Limited, NextProcessUnderTheIdHasNoLimit)
{
    auto record = makeEndpoint("e-1", engineService, addressOne);
    record.startTimeMs = 1000;
    calls_.applyEndpoint(record, now_);
    calls_.applyState(addressOne, makeState({"a1"}), now_);
    limit("e-1", 1);
    startCall("/s/x", "a1");
    addEngine("e-2", addressTwo, {"a1"});
    takeActions<SendCall>();
    record.startTimeMs = 2000;
    calls_.applyEndpoint(record, now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
    EXPECT_EQ(calls_.stats().permitDenials, 0U);
}

// Guards against a call that is held for the pool of a sidecar that does not answer.
TEST_F(Limited, CallGoesElsewhereWhenThePoolIsSilent)
{
    addEngine("e-1", addressOne, {"a1"});
    limit("e-1", 1);
    startCall("/s/x", "a1");
    takeActions<SendCall>();
    addEngine("e-2", addressTwo, {"a1"});
    constexpr int ticks = 5;
    std::vector<SendCall> sent;
    for (int i = 0; i < ticks && sent.empty(); ++i) {
        advance(directTickInterval);
        sent = takeActions<SendCall>();
    }
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().endpointId, "e-2");
}

// Guards against calls that use a limit unknown to any pool, with neither sidecars nor a known number of entries.
TEST_F(Limited, LimitedEndpointGetsNoCallsWithoutAPool)
{
    addPlainEndpoints();
    limit("p-1", 100);
    for (int i = 0; i < 12; ++i) {
        startCall("/n/x");
        EXPECT_EQ(takeSentCall().endpointId, "p-2");
    }
}

// Guards against a limit that ends with an answer to a call sent before the limit was known.
TEST_F(Limited, AnswerToACallSentBeforeDoesNotEndTheLimit)
{
    addPlainEndpoints();
    startCall("/n/x");
    EXPECT_FALSE(takeSentCall().isLimited);
    addEngine("e-1", addressOne, {"a1"});
    limit("p-1", 2);
    EndpointNotice leaving;
    leaving.leaving = true;
    calls_.onEndpointNotice("p-1", leaving, now_);
    EXPECT_EQ(calls_.stats().limitedEndpoints, 1U);
}

// Guards against other entries that learn of a limit only from answers of their own.
TEST_F(Limited, ChangesAreReportedToTheOtherEntries)
{
    addEngine("e-1", addressOne, {"a1"});
    limit("e-1", 2.5);
    limit("e-1", 2.5);
    limit("e-1", std::nullopt);
    const auto reports = takeActions<ReportLimit>();
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports[0].address, addressOne);
    EXPECT_EQ(reports[0].limit.endpoint_id(), "e-1");
    EXPECT_TRUE(reports[0].limit.limited());
    EXPECT_EQ(reports[0].limit.requests_per_second(), 2.5);
    EXPECT_FALSE(reports[1].limit.limited());
    calls_.applyEndpointLimit(reports[0].limit, now_);
    EXPECT_TRUE(takeActions<ReportLimit>().empty()) << "an entry does not repeat what another one has reported";
    EXPECT_EQ(calls_.stats().limitedEndpoints, 1U);
}

} // namespace anvilscale::test
