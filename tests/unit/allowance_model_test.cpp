// Search over message orders, losses, restarts, freezes and configuration changes for use beyond an allowance.
#include "support/allowance_fleet.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

using test::AllowanceFleet;
using test::FleetShape;
using test::largestUse;

constexpr Duration window = Seconds(8);
constexpr double overage = 0.1;
constexpr double maxCost = 600;

enum class Fault : std::uint8_t {
    None,
    RestartEntry,
    RestartSidecar,
    FreezeEntry,
    FreezeSidecar,
    CutSome,
    RestartAll,
    Count
};

void strike(AllowanceFleet &fleet, const FleetShape &shape)
{
    auto &random = fleet.random();
    const auto entry = static_cast<std::uint32_t>(random.uniformBelow(shape.entries));
    const auto sidecar = static_cast<std::uint32_t>(random.uniformBelow(shape.sidecars));
    const Duration span = Milliseconds(200 + random.uniformBelow(5000));
    switch (static_cast<Fault>(random.uniformBelow(enumCount<Fault>))) {
    case Fault::RestartEntry:
        fleet.restartEntry(entry);
        return;
    case Fault::RestartSidecar:
        fleet.restartSidecar(sidecar);
        return;
    case Fault::FreezeEntry:
        fleet.freezeEntry(entry, span);
        return;
    case Fault::FreezeSidecar:
        fleet.freezeSidecar(sidecar, span);
        return;
    case Fault::CutSome:
        for (std::uint32_t i = 0; i <= entry; ++i) {
            fleet.cut(i, sidecar, span);
        }
        return;
    case Fault::RestartAll:
        for (std::uint32_t i = 0; i < shape.sidecars; ++i) {
            fleet.restartSidecar(i);
        }
        for (std::uint32_t i = 0; i < shape.entries; ++i) {
            fleet.restartEntry(i);
        }
        return;
    case Fault::None:
    case Fault::Count:
        return;
    }
}

/// Sends `load` times the allowance at random entries.
void sendFor(AllowanceFleet &fleet, const FleetShape &shape, Duration span, double load)
{
    const double callsPerMs = load * shape.allowance.ratePerSecond / 1000 / (maxCost / 2);
    const auto end = fleet.now() + span;
    auto &random = fleet.random();
    while (fleet.now() < end) {
        fleet.advance(Milliseconds(1));
        for (double due = callsPerMs; due > 0; due -= 1) {
            if (random.uniform() < due) {
                const auto entry = static_cast<std::uint32_t>(random.uniformBelow(shape.entries));
                fleet.call(entry, 1 + static_cast<double>(random.uniformBelow(static_cast<std::uint64_t>(maxCost))));
            }
        }
    }
}

/// Runs a random plan of faults against a workspace that sends far too much; returns its largest use in a window.
double largestUseUnderFaults(const FleetShape &shape)
{
    AllowanceFleet fleet(shape);
    sendFor(fleet, shape, Seconds(3), 0.2);
    for (int i = 0; i < 12; ++i) {
        strike(fleet, shape);
        sendFor(fleet, shape, Milliseconds(200 + fleet.random().uniformBelow(3000)), 5);
    }
    return largestUse(fleet.used, window);
}

// Rate, burst and tolerance over one window, and one call that a pool grants beyond its savings, for each sidecar.
double allowedUse(const FleetShape &shape)
{
    const auto &allowance = shape.allowance;
    return (allowance.ratePerSecond * 8 + allowance.burst) * (1 + overage) + shape.sidecars * maxCost;
}

// Guards against a workspace that gets its allowance twice when entries, sidecars or links fail.
TEST(AllowanceModel, UseStaysWithinTheAllowanceUnderFaults)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        FleetShape shape;
        shape.seed = seed;
        EXPECT_LE(largestUseUnderFaults(shape), allowedUse(shape)) << "seed " << seed;
    }
}

// Guards against savings of new pools that add up beyond the slack of the deployment.
TEST(AllowanceModel, NewPoolsStayWithinTheSlack)
{
    constexpr double slack = 2000;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        FleetShape shape;
        shape.seed = seed;
        shape.times = allowanceTimes(window, overage, slack);
        AllowanceFleet fleet(shape);
        sendFor(fleet, shape, Seconds(3), 0.2);
        for (int i = 0; i < 6; ++i) {
            for (std::uint32_t sidecar = 0; sidecar < shape.sidecars; ++sidecar) {
                fleet.restartSidecar(sidecar);
            }
            sendFor(fleet, shape, Milliseconds(2700 + fleet.random().uniformBelow(2000)), 5);
        }
        EXPECT_LE(largestUse(fleet.used, window), allowedUse(shape) + slack) << "seed " << seed;
    }
}

/// True if some seed exceeds the allowance without the safeguard.
bool isNeeded(AllowanceSafeguard safeguard)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        FleetShape shape;
        shape.seed = seed;
        shape.times.disabled.set(static_cast<std::size_t>(safeguard));
        if (largestUseUnderFaults(shape) > allowedUse(shape)) {
            return true;
        }
    }
    return false;
}

TEST(AllowanceModel, EachSafeguardIsNeeded)
{
    for (std::size_t i = 0; i < enumCount<AllowanceSafeguard>; ++i) {
        const auto safeguard = static_cast<AllowanceSafeguard>(i);
        EXPECT_TRUE(isNeeded(safeguard)) << toString(safeguard);
    }
}

// Guards against refusals below the allowance while nothing fails.
TEST(AllowanceModel, NothingIsRefusedBelowTheAllowance)
{
    for (const std::uint32_t entries : {1U, 6U, 22U}) {
        FleetShape shape;
        shape.entries = entries;
        AllowanceFleet fleet(shape);
        fleet.advance(Seconds(2));
        sendFor(fleet, shape, Seconds(20), 0.5);
        EXPECT_EQ(fleet.overAllowance, 0U) << entries;
        EXPECT_EQ(fleet.unknown, 0U) << entries;
        EXPECT_GT(fleet.used.size(), 20U);
    }
}

// Guards against a workspace that stays locked out after faults have ended.
TEST(AllowanceModel, TheWholeAllowanceIsUsableAfterFaults)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetShape shape;
        shape.seed = seed;
        AllowanceFleet fleet(shape);
        for (int i = 0; i < 8; ++i) {
            strike(fleet, shape);
            sendFor(fleet, shape, Milliseconds(500), 3);
        }
        fleet.advance(Seconds(9));
        const auto before = fleet.used.size();
        sendFor(fleet, shape, Seconds(10), 4);
        double used = 0;
        for (std::size_t i = before; i < fleet.used.size(); ++i) {
            used += fleet.used[i].cost;
        }
        EXPECT_GE(used, 0.9 * shape.allowance.ratePerSecond * 10) << "seed " << seed;
    }
}

// Guards against a limit that was lowered and still counts with its old rate.
TEST(AllowanceModel, LoweredAllowanceBindsAfterTheConfigurationIsApplied)
{
    FleetShape shape;
    AllowanceFleet fleet(shape);
    sendFor(fleet, shape, Seconds(5), 4);
    auto lower = shape.allowance;
    lower.ratePerSecond = 200;
    lower.burst = 200;
    fleet.setAllowance(lower);
    fleet.advance(Seconds(1));
    fleet.used.clear();
    sendFor(fleet, shape, Seconds(20), 4);
    EXPECT_LE(largestUse(fleet.used, window), (200 * 8 + 200) * (1 + overage) + maxCost);
}

} // namespace
} // namespace anvilscale
