// MemoryAccount: bounds, order of waiting reservations, and what is given back.
#include "anvilscale/memory_account.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <thread>
#include <vector>

namespace {

using namespace anvilscale;

constexpr std::uint64_t limitBytes = 8U << 20;
constexpr std::uint64_t smallBytes = 64U << 10;
constexpr std::uint64_t largeBytes = 1U << 20;

MemoryAccountInit makeInit()
{
    MemoryAccountInit init;
    init.limitBytes = limitBytes;
    init.smallBytes = smallBytes;
    init.maxWaiting = 4;
    return init;
}

/// Holds that are granted one after the other.
struct Reservations
{
    explicit Reservations(MemoryAccount &holder)
        : account(holder)
    {
    }
    /// Returns whether a hold of this size is granted at once.
    bool add(std::uint64_t bytes, MemoryAccount::Group group = 0)
    {
        auto hold = account.makeHold(HeldKind::RequestBodies, group);
        const bool isGranted = account.tryGrow(hold, bytes);
        if (isGranted) {
            holds.push_back(std::move(hold));
        }
        return isGranted;
    }
    MemoryAccount &account;
    std::deque<MemoryHold> holds;
};

/// A reservation that waits.
struct Waiter
{
    Waiter(MemoryAccount &holder, std::uint64_t bytes, MemoryAccount::Group group = 0)
        : account(holder)
        , hold(holder.makeHold(HeldKind::RequestBodies, group))
        , wait(holder.waitToGrow(hold, bytes, [this] { isGranted = true; }))
    {
    }
    bool take()
    {
        return account.takeGrant(hold, wait);
    }
    MemoryAccount &account;
    bool isGranted = false;
    MemoryHold hold;
    MemoryAccount::Wait wait;
};

// Guards against room that is not given back, or given back twice.
TEST(MemoryAccountTest, HoldsGiveTheirBytesBack)
{
    MemoryAccount account(makeInit());
    {
        auto hold = account.makeHold(HeldKind::CallerOutput);
        hold.resize(300);
        auto moved = std::move(hold);
        moved.resize(100);
        EXPECT_EQ(account.stats().heldBytes[static_cast<std::size_t>(HeldKind::CallerOutput)], 100U);
        auto other = account.makeHold(HeldKind::RequestBodies, 7);
        EXPECT_TRUE(account.tryGrow(other, 50));
        other = std::move(moved);
        EXPECT_EQ(account.stats().totalBytes(), 100U);
    }
    EXPECT_EQ(account.stats().totalBytes(), 0U);
    EXPECT_EQ(account.stats().peakBytes, 300U);
}

// Guards against small calls that starve while large ones use all room and wait for more.
TEST(MemoryAccountTest, SmallReservationsFindRoomBesideLargeOnesThatWait)
{
    MemoryAccount account(makeInit());
    Reservations large(account);
    while (large.add(largeBytes)) {
    }
    EXPECT_EQ(large.holds.size(), 7U);
    const Waiter waiter(account, largeBytes);
    EXPECT_TRUE(waiter.wait);
    EXPECT_TRUE(account.isShort());
    Reservations small(account);
    EXPECT_TRUE(small.add(smallBytes));
    EXPECT_FALSE(waiter.isGranted);
}

// Guards against one workspace that takes the room of all others.
TEST(MemoryAccountTest, OneGroupLeavesRoomToOthers)
{
    MemoryAccount account(makeInit());
    Reservations first(account);
    while (first.add(largeBytes, 1)) {
    }
    EXPECT_EQ(first.holds.size(), 5U);
    const Waiter waiter(account, largeBytes, 1);
    EXPECT_FALSE(waiter.isGranted);
    Waiter other(account, largeBytes, 2);
    EXPECT_TRUE(other.isGranted) << "a group that waits for its own share does not hold up others";
    EXPECT_TRUE(other.take());
}

// Guards against callers without a key who take each piece of room that is given back before those with one.
TEST(MemoryAccountTest, AnonymousGroupGoesAfterGroupsThatHoldLess)
{
    MemoryAccount account(makeInit());
    Reservations anonymous(account);
    while (anonymous.add(largeBytes, MemoryAccount::anonymousGroup)) {
    }
    const Waiter next(account, largeBytes, MemoryAccount::anonymousGroup);
    Waiter keyed(account, largeBytes, 7);
    anonymous.holds.pop_front();
    EXPECT_TRUE(keyed.take());
    EXPECT_FALSE(next.isGranted);
}

// Guards against a large body that waits for ever because others overtake it.
TEST(MemoryAccountTest, LargeReservationsAreGrantedInOrder)
{
    MemoryAccount account(makeInit());
    Reservations held(account);
    while (held.add(largeBytes)) {
    }
    Waiter first(account, 2 * largeBytes);
    Waiter second(account, largeBytes);
    held.holds.pop_front();
    EXPECT_FALSE(held.add(largeBytes)) << "later ones wait as well";
    EXPECT_FALSE(first.isGranted);
    EXPECT_FALSE(second.isGranted);
    held.holds.pop_front();
    EXPECT_TRUE(first.isGranted);
    EXPECT_FALSE(second.isGranted);
    EXPECT_TRUE(first.take());
    EXPECT_EQ(first.hold.bytes(), 2 * largeBytes);
    first.hold = MemoryHold();
    EXPECT_TRUE(second.isGranted);
}

// Guards against a wait that ends without its room: a caller that left before or after the grant.
TEST(MemoryAccountTest, EndedWaitsKeepNothing)
{
    MemoryAccount account(makeInit());
    Reservations held(account);
    while (held.add(largeBytes)) {
    }
    const auto before = account.stats().totalBytes();
    {
        const Waiter first(account, largeBytes);
        const Waiter second(account, largeBytes);
        EXPECT_EQ(account.stats().waiting, 2U);
        held.holds.pop_front();
        EXPECT_TRUE(first.isGranted);
    }
    EXPECT_EQ(account.stats().waiting, 0U);
    EXPECT_EQ(account.stats().totalBytes(), before - largeBytes);
}

// Guards against a queue of waiting bodies without a bound.
TEST(MemoryAccountTest, NumberOfWaitsIsBounded)
{
    MemoryAccount account(makeInit());
    Reservations held(account);
    while (held.add(largeBytes)) {
    }
    std::deque<Waiter> waiters;
    for (std::size_t i = 0; i < makeInit().maxWaiting; ++i) {
        EXPECT_TRUE(waiters.emplace_back(account, largeBytes).wait);
    }
    const Waiter rejected(account, largeBytes);
    EXPECT_FALSE(rejected.wait);
    EXPECT_EQ(account.stats().rejected, 1U);
}

// Guards against sums that drift, or pass the limit, with many sizes, kinds and speeds on several threads.
TEST(MemoryAccountTest, MixOnSeveralThreadsEndsAtZero)
{
    auto init = makeInit();
    init.maxWaiting = 64;
    MemoryAccount account(init);
    const auto run = [&account](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::vector<MemoryHold> holds;
        std::deque<Waiter> waiters;
        for (int step = 0; step < 4000; ++step) {
            const auto group = random() % 3;
            const auto bytes = random() % 2 == 0 ? random() % smallBytes : random() % (2 * largeBytes);
            auto hold = account.makeHold(HeldKind::RequestBodies, group);
            if (account.tryGrow(hold, bytes)) {
                holds.push_back(std::move(hold));
            } else if (waiters.size() < 8) {
                waiters.emplace_back(account, bytes, group);
            }
            if (!waiters.empty() && (waiters.front().take() || random() % 8 == 0)) {
                waiters.pop_front();
            }
            while (!holds.empty() && random() % 2 == 0) {
                std::swap(holds[random() % holds.size()], holds.back());
                holds.pop_back();
            }
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        threads.emplace_back(run, seed);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto stats = account.stats();
    EXPECT_EQ(stats.totalBytes(), 0U);
    EXPECT_EQ(stats.waiting, 0U);
    EXPECT_LE(stats.peakBytes, limitBytes);
    EXPECT_GT(stats.granted, 0U);
}

} // namespace
