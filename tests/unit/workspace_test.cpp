// Tests of workspace keys and of single steps of allowances.
#include "anvilscale/workspace.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

Workspace makeWorkspace(const std::string &name, const std::vector<std::string> &keys)
{
    Workspace workspace;
    workspace.name = name;
    for (const auto &key : keys) {
        workspace.keys.push_back(digestKey(key));
    }
    workspace.allowance = {1000, 1000, AllowanceUnit::Tokens, 200};
    return workspace;
}

TEST(WorkspaceTable, FindsTheWorkspaceOfAKey)
{
    const WorkspaceTable table({makeWorkspace("a", {"k1", "k2"}), makeWorkspace("b", {"k3"})});
    ASSERT_NE(table.findByKey(digestKey("k2")), nullptr);
    EXPECT_EQ(table.findByKey(digestKey("k2"))->name, "a");
    EXPECT_EQ(table.findByKey(digestKey("k3"))->name, "b");
    EXPECT_EQ(table.findByKey(digestKey("K3")), nullptr);
    EXPECT_EQ(table.findByKey(digestKey("")), nullptr);
}

TEST(KeyDigest, IsTheStandardDigestAndReadsItsText)
{
    const auto digest = digestKey("abc");
    EXPECT_EQ(digest.text(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(KeyDigest::read(digest.text()), digest);
    EXPECT_EQ(KeyDigest::read("ba78"), std::nullopt);
    EXPECT_EQ(KeyDigest::read(std::string(64, 'x')), std::nullopt);
}

TEST(Allowance, CountsCallsOrTokens)
{
    Allowance allowance{10, 10, AllowanceUnit::Calls, 200};
    EXPECT_EQ(allowance.cost(5000), 1);
    allowance.unit = AllowanceUnit::Tokens;
    EXPECT_EQ(allowance.cost(5000), 5000);
    EXPECT_EQ(allowance.cost(std::nullopt), 200);
}

class Accounts : public testing::Test
{
protected:
    Accounts()
    {
        for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
            accounts_.setPoolAddress(group, address_, now_);
        }
    }
    /// Passes messages in both directions until there are none.
    void exchange()
    {
        for (auto requests = accounts_.takeRequests(now_); !requests.empty(); requests = accounts_.takeRequests(now_)) {
            for (const auto &request : requests) {
                accounts_.onAnswer(request.address, pools_.answer(request.ask, now_), now_);
            }
        }
    }
    void advance(Duration span)
    {
        for (const auto end = now_ + span; now_ < end;) {
            now_ += Milliseconds(50);
            accounts_.tick(now_);
            exchange();
        }
    }
    std::vector<AllowanceDecision> chargeAndDecide(double cost)
    {
        const CallHandle call{++lastCall_};
        const auto charge = accounts_.charge(workspace_, call, cost, now_);
        if (charge.result != ChargeResult::Pending) {
            return {{call, charge.refusal, charge.retryAfter, charge.creditUntil}};
        }
        exchange();
        return accounts_.takeDecisions();
    }
    bool isGranted(double cost)
    {
        const auto decisions = chargeAndDecide(cost);
        return decisions.size() == 1 && decisions.front().refusal == RefusalReason::None;
    }

    const std::string address_ = "10.0.0.1:80";
    const AllowanceTimes times_ = allowanceTimes(Seconds(8), 0.1);
    TimePoint now_{Seconds(100)};
    AllowanceAccounts accounts_{"entry-1", times_};
    AllowancePools pools_{times_};
    Workspace workspace_ = makeWorkspace("w", {});
    std::uint64_t lastCall_ = 0;
};

TEST_F(Accounts, RefusesBeyondTheAllowanceWithTheTimeOfReturn)
{
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(900));
    const auto decisions = chargeAndDecide(600);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().refusal, RefusalReason::OverAllowance);
    EXPECT_EQ(decisions.front().retryAfter, Milliseconds(500));
    advance(Milliseconds(550));
    EXPECT_TRUE(isGranted(600));
}

// Guards against refusing a small call because a large one did not fit.
TEST_F(Accounts, SmallCallPassesWhereALargeOneIsRefused)
{
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(900));
    EXPECT_FALSE(isGranted(600));
    EXPECT_TRUE(isGranted(50));
}

// Guards against a workspace whose calls are larger than its burst and that would never be served.
TEST_F(Accounts, CallBeyondTheBurstPassesAFullPoolAndIsPaidOff)
{
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(3000));
    advance(Milliseconds(2500));
    EXPECT_FALSE(isGranted(600));
    advance(Milliseconds(700));
    EXPECT_TRUE(isGranted(600));
}

TEST_F(Accounts, CallThatWasNotRunGivesItsCreditBack)
{
    advance(Seconds(2));
    const auto decisions = chargeAndDecide(900);
    ASSERT_EQ(decisions.size(), 1U);
    accounts_.refund("w", 900, decisions.front().creditUntil, now_);
    EXPECT_TRUE(isGranted(950));
}

// Guards against unused credit that is lost to the workspace.
TEST_F(Accounts, LapsedCreditReturnsToThePool)
{
    advance(Seconds(2));
    const auto decisions = chargeAndDecide(1000);
    ASSERT_EQ(decisions.size(), 1U);
    accounts_.refund("w", 1000, decisions.front().creditUntil, now_);
    now_ += times_.creditLifetime;
    accounts_.tick(now_);
    EXPECT_TRUE(isGranted(1000));
}

// Guards against credit of an earlier period that a paused entry adds to that of a later one.
TEST_F(Accounts, LapsedCreditIsNotSpent)
{
    advance(Seconds(2));
    const auto decisions = chargeAndDecide(900);
    ASSERT_EQ(decisions.size(), 1U);
    accounts_.refund("w", 900, decisions.front().creditUntil, now_);
    now_ = decisions.front().creditUntil;
    EXPECT_EQ(accounts_.charge(workspace_, CallHandle{99}, 10, now_).result, ChargeResult::Pending);
}

// Guards against refusals below the allowance right after all processes were restarted.
TEST_F(Accounts, NewPoolServesWithinTheSlack)
{
    pools_ = AllowancePools(allowanceTimes(Seconds(8), 0.1, 4000));
    EXPECT_TRUE(isGranted(600));
    EXPECT_TRUE(isGranted(400));
    EXPECT_FALSE(isGranted(400));
}

// Guards against calls that wait forever for a sidecar that does not answer.
TEST_F(Accounts, SilentPoolIsReportedAndItsCallsAskTheNextOne)
{
    advance(Seconds(2));
    accounts_.charge(workspace_, CallHandle{77}, 100, now_);
    accounts_.takeRequests(now_);
    for (int i = 0; i < 9; ++i) {
        now_ += Milliseconds(50);
        accounts_.tick(now_);
    }
    EXPECT_EQ(accounts_.takeSilentPools(), std::vector<std::string>{address_});
    AllowancePools next(times_);
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        accounts_.setPoolAddress(group, "10.0.0.2:80", now_);
    }
    const auto requests = accounts_.takeRequests(now_);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests.front().address, "10.0.0.2:80");
    ASSERT_EQ(requests.front().ask.needs_size(), 1);
    EXPECT_EQ(requests.front().ask.needs(0).costs(0), 100);
}

// Guards against refusals under a limit that has been raised since.
TEST_F(Accounts, RefusalEndsWithTheLimitItRestsOn)
{
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(900));
    EXPECT_FALSE(isGranted(600));
    workspace_.allowance.ratePerSecond = 100000;
    const auto charge = accounts_.charge(workspace_, CallHandle{++lastCall_}, 600, now_);
    EXPECT_EQ(charge.result, ChargeResult::Pending);
}

// Guards against callers that are told to return after those who were refused under a lower limit.
TEST_F(Accounts, PromisesEndWithTheLimitTheyRestOn)
{
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(900));
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(isGranted(1000));
        advance(Milliseconds(50));
    }
    workspace_.allowance.ratePerSecond = 10000;
    workspace_.allowance.burst = 10000;
    const auto decisions = chargeAndDecide(3000);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().refusal, RefusalReason::OverAllowance);
    EXPECT_LT(decisions.front().retryAfter, Seconds(1));
}

// Guards against an entry without sidecars that drops an idle account with its debt or its savings.
TEST_F(Accounts, OwnPartIsPaidOffWhileIdle)
{
    workspace_.allowance = {100, 100, AllowanceUnit::Tokens, 0};
    accounts_.applyConfig(1, true);
    accounts_.setPoolAddress(allowanceGroup(workspace_.name), "", now_);
    chargeAndDecide(30000);
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(30000));
    advance(Seconds(90));
    EXPECT_FALSE(isGranted(30000)) << "paid off after 300 s";
    advance(Seconds(220));
    EXPECT_TRUE(isGranted(30000));
}

// Guards against a large call whose debt is forgotten with an idle pool.
TEST_F(Accounts, PoolIsPaidOffWhileIdle)
{
    workspace_.allowance = {10, 10, AllowanceUnit::Tokens, 0};
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(30000));
    advance(Seconds(700));
    workspace_.name = "another"; // a new pool is the occasion to drop idle ones
    chargeAndDecide(1);
    workspace_.name = "w";
    EXPECT_FALSE(isGranted(30000)) << "paid off after 3,000 s";
}

// Guards against a debt in tokens of an entry that has not got the new configuration yet.
TEST_F(Accounts, EntryWithOldTermsLeavesNoDebtInTheirUnit)
{
    AllowanceAccounts behind("entry-2", times_);
    behind.setPoolAddress(allowanceGroup(workspace_.name), address_, now_);
    behind.applyConfig(1, false);
    const auto oldTerms = workspace_;
    workspace_.allowance = {10, 10, AllowanceUnit::Calls, 0};
    accounts_.applyConfig(2, false);
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(1));
    advance(Seconds(2));
    behind.charge(oldTerms, CallHandle{1}, 900, now_);
    for (const auto &request : behind.takeRequests(now_)) {
        pools_.answer(request.ask, now_);
    }
    advance(Seconds(5));
    EXPECT_TRUE(isGranted(1));
}

// Guards against a debt in tokens that is paid off in calls after the unit of a limit has changed.
TEST_F(Accounts, DebtEndsWithTheUnitItIsCountedIn)
{
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(30000));
    workspace_.allowance = {10, 10, AllowanceUnit::Calls, 0};
    accounts_.applyConfig(2, false);
    chargeAndDecide(1); // the pool learns the new terms
    advance(Seconds(2));
    EXPECT_TRUE(isGranted(1));
}

TEST_F(Accounts, UnlimitedWorkspaceNeedsNoCredit)
{
    workspace_.allowance.ratePerSecond = 0;
    EXPECT_TRUE(isGranted(1e9));
    EXPECT_EQ(accounts_.stats().waits, 0U);
}

// Guards against an entry that lets all calls through, or none, while it reaches no sidecar.
TEST_F(Accounts, EntryWithoutPoolUsesItsOwnPart)
{
    wire::AllowanceAsk other;
    for (int i = 2; i <= 10; ++i) {
        other.set_entry("entry-" + std::to_string(i));
        pools_.answer(other, now_);
    }
    advance(Seconds(1));
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        accounts_.setPoolAddress(group, "", now_);
    }
    EXPECT_EQ(chargeAndDecide(50).front().refusal, RefusalReason::AllowanceUnknown);
    now_ += Seconds(2);
    EXPECT_TRUE(isGranted(90));
    EXPECT_EQ(chargeAndDecide(50).front().refusal, RefusalReason::AllowanceUnknown);
}

// Guards against calls that wait to no purpose when the connection to the only sidecar is lost.
TEST_F(Accounts, PendingCallUsesTheOwnPartWhenThePoolIsLost)
{
    advance(Seconds(2));
    ASSERT_EQ(accounts_.charge(workspace_, CallHandle{77}, 100, now_).result, ChargeResult::Pending);
    accounts_.onPoolLost(address_);
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        accounts_.setPoolAddress(group, "", now_);
    }
    EXPECT_EQ(accounts_.takeDecisions().size(), 1U);
}

// Guards against calls that wait for a pool which no sidecar can hold any more.
TEST_F(Accounts, PendingCallOfAStandaloneEntryUsesTheWholeAllowance)
{
    ASSERT_EQ(accounts_.charge(workspace_, CallHandle{77}, 100, now_).result, ChargeResult::Pending);
    accounts_.applyConfig(2, true);
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        accounts_.setPoolAddress(group, "", now_);
    }
    EXPECT_EQ(accounts_.takeDecisions().size(), 1U);
}

} // namespace
} // namespace anvilscale
