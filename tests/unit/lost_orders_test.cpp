// Orders without an answer that an engine carries out late, perhaps after it has restarted under the same id.
#include "anvilscale/direct.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace anvilscale {
namespace {

constexpr std::uint32_t modelMb = 800;
constexpr std::uint32_t adapterMb = 50;
constexpr auto stepTime = Milliseconds(10);
constexpr auto playTime = Seconds(60);
constexpr auto loadTime = Milliseconds(250);
constexpr auto answerTime = Milliseconds(10);
constexpr auto lossPeriod = Seconds(16);
constexpr auto lossTime = Seconds(6); // of each period
constexpr int lossPercent = 30;
constexpr std::uint32_t adapterNames = 30;
constexpr std::uint32_t seeds = 300;
const std::string modelName = "base";
const std::string endpointId = "i-1";

struct EngineLimits
{
    std::uint32_t slots = 2;
    std::uint32_t adaptersInMemory = 2; // beside the model

    std::uint32_t adapters() const
    {
        return std::min(slots, adaptersInMemory);
    }
};

wire::DirectDemand emptyDemand(const EngineLimits &limits)
{
    wire::DirectDemand demand;
    demand.set_endpoint_id(endpointId);
    auto &plan = *demand.mutable_plan();
    plan.set_config_version(1);
    plan.set_adapter_slots(limits.slots);
    plan.set_weights_mb(modelMb + limits.adaptersInMemory * adapterMb);
    auto &model = *plan.add_models();
    model.set_name(modelName);
    model.set_weights_mb(modelMb);
    model.set_adapter_mb(adapterMb);
    return demand;
}

void addWish(wire::DirectDemand &demand, const std::string &adapter, std::uint32_t waiting, std::uint32_t version = 0)
{
    auto &wish = *demand.add_wishes();
    wish.set_model(modelName);
    wish.set_adapter(adapter);
    wish.set_waiting(waiting);
    wish.set_least_version(version);
}

/// Engine in virtual time. Carries out each order that expects its sequence, also beyond its limits.
class Engine
{
public:
    explicit Engine(const EngineLimits &limits)
        : limits_(limits)
    {
    }
    EngineOrderResult carryOut(const EngineOrder &order, std::uint32_t newestVersion, TimePoint now)
    {
        if (order.expectedSequence != sequence_) {
            return EngineOrderResult::Conflict;
        }
        const bool isLoad = order.kind == EngineOrderKind::Load;
        if (!order.adapter.empty() && !hasModel_) {
            return EngineOrderResult::Rejected;
        }
        ++sequence_;
        if (order.adapter.empty()) {
            hasModel_ = true;
        } else if (isLoad) {
            adapters_[order.adapter] = {newestVersion, now + loadTime};
            ++loads_;
        } else {
            adapters_.erase(order.adapter);
        }
        isOverfull_ = isOverfull_ || adapters_.size() > limits_.adapters();
        return EngineOrderResult::Accepted;
    }
    void restart()
    {
        adapters_.clear();
        hasModel_ = false;
        sequence_ = 0;
        ++startTimeMs_;
    }
    EngineStateReport report(TimePoint now) const
    {
        EngineStateReport report;
        report.startTimeMs = startTimeMs_;
        report.sequence = sequence_;
        if (hasModel_) {
            report.models = {modelName};
        }
        for (const auto &[name, adapter] : adapters_) {
            auto &list = adapter.readyAt <= now ? report.adapters : report.pending;
            list.push_back({modelName, name, adapter.version});
        }
        return report;
    }
    bool isOverfull() const
    {
        return isOverfull_;
    }
    std::uint64_t loads() const
    {
        return loads_;
    }

private:
    struct Adapter
    {
        std::uint32_t version = 1;
        TimePoint readyAt{};
    };
    EngineLimits limits_;
    std::map<std::string, Adapter> adapters_;
    bool hasModel_ = true;
    std::uint64_t sequence_ = 0;
    std::uint64_t startTimeMs_ = 1;
    std::uint64_t loads_ = 0;
    bool isOverfull_ = false;
};

/// One play: a controller and an engine whose answers get lost, whose orders come late, and which restarts.
class Play
{
public:
    explicit Play(std::uint32_t seed)
        : random_(seed)
        , limits_{between(2, 8), between(2, 10)}
        , engine_(limits_)
    {
        controller_.setFencingNumber(1);
    }
    void run()
    {
        const auto end = now_ + playTime;
        for (; now_ < end; now_ += stepTime) {
            carryOutLate();
            restartWhenDue();
            nameVersionWhenDue();
            changeDemand();
            deliverReports();
            deliverAnswer();
            sendOrder();
        }
    }
    const Engine &engine() const
    {
        return engine_;
    }

private:
    struct Late
    {
        EngineOrder order;
        TimePoint at{};
    };

    std::uint32_t between(std::uint32_t least, std::uint32_t most)
    {
        return least + static_cast<std::uint32_t>(random_() % (most - least + 1));
    }
    Milliseconds timeBetween(std::uint32_t least, std::uint32_t most)
    {
        return Milliseconds(between(least, most));
    }
    std::string anyAdapter()
    {
        // A few are wanted often.
        return "a" + std::to_string(std::min(between(0, adapterNames), between(0, adapterNames)));
    }
    std::uint32_t newestVersion(const std::string &adapter) const
    {
        const auto found = versions_.find(adapter);
        return found == versions_.end() ? 1 : found->second;
    }
    void carryOutLate()
    {
        for (auto late = late_.begin(); late != late_.end();) {
            if (late->at > now_) {
                ++late;
                continue;
            }
            engine_.carryOut(late->order, newestVersion(late->order.adapter), now_);
            late = late_.erase(late);
        }
    }
    void restartWhenDue()
    {
        if (now_ >= restartAt_) {
            engine_.restart();
            restartAt_ = now_ + timeBetween(2'000, 9'000);
        }
    }
    void nameVersionWhenDue()
    {
        if (now_ >= nextVersionAt_) {
            const auto adapter = anyAdapter();
            versions_[adapter] = newestVersion(adapter) + 1;
            nextVersionAt_ = now_ + timeBetween(100, 800);
        }
    }
    void changeDemand()
    {
        if (now_ < nextDemandAt_) {
            return;
        }
        nextDemandAt_ = now_ + timeBetween(50, 200);
        auto demand = emptyDemand(limits_);
        const auto waiting = between(0, 4);
        for (std::uint32_t i = 0; i < waiting; ++i) {
            const auto adapter = anyAdapter();
            addWish(demand, adapter, between(1, 3), newestVersion(adapter));
        }
        for (const auto &[adapter, version] : versions_) {
            addWish(demand, adapter, 0, version);
        }
        controller_.applyDemand(PeerHandle{1}, demand, now_);
    }
    void deliverReports()
    {
        reports_.emplace_back(now_ + timeBetween(0, 140), engine_.report(now_));
        while (!reports_.empty() && reports_.front().first <= now_) {
            controller_.applyReport(reports_.front().second, now_);
            reports_.pop_front();
        }
    }
    void deliverAnswer()
    {
        if (order_ && now_ >= answerAt_) {
            controller_.onOrderEnded(std::exchange(order_, std::nullopt)->id, answer_, "", now_);
        }
    }
    void sendOrder()
    {
        const auto order = order_ ? std::nullopt : controller_.nextOrder(now_);
        if (!order) {
            return;
        }
        order_ = order;
        const bool isLost = now_.time_since_epoch() % lossPeriod < lossTime && between(1, 100) <= lossPercent;
        if (!isLost) {
            answer_ = engine_.carryOut(*order, newestVersion(order->adapter), now_);
            answerAt_ = now_ + answerTime;
            return;
        }
        answer_ = EngineOrderResult::NoAnswer;
        answerAt_ = now_ + controller_.orderTimeout();
        late_.push_back({*order, between(0, 3) == 0 ? now_ : now_ + timeBetween(2'000, 12'000)});
    }

    std::mt19937 random_;
    EngineLimits limits_;
    Engine engine_;
    AdapterController controller_;
    TimePoint now_{Seconds(100)};
    TimePoint restartAt_ = now_ + Seconds(8);
    TimePoint nextVersionAt_ = now_;
    TimePoint nextDemandAt_ = now_;
    std::map<std::string, std::uint32_t> versions_; // newest ones, from 2
    std::vector<Late> late_;
    std::deque<std::pair<TimePoint, EngineStateReport>> reports_; // on their way
    std::optional<EngineOrder> order_; // in progress
    EngineOrderResult answer_ = EngineOrderResult::NoAnswer; // of it
    TimePoint answerAt_{};
};

/// Controller of an engine whose reports a test gives. All adapters are of version 1.
class LostOrders : public testing::Test
{
protected:
    LostOrders()
    {
        controller_.setFencingNumber(1);
    }
    void setLimits(std::uint32_t slots, std::uint32_t adaptersInMemory)
    {
        limits_ = {slots, adaptersInMemory};
    }
    void report(std::uint64_t sequence, const std::vector<std::string> &adapters)
    {
        EngineStateReport report;
        report.startTimeMs = startTimeMs_;
        report.sequence = sequence;
        report.models = {modelName};
        for (const auto &adapter : adapters) {
            report.adapters.push_back({modelName, adapter, 1});
        }
        controller_.applyReport(report, now_);
        now_ += Seconds(1); // adapters that have settled may be evicted
    }
    std::optional<EngineOrder> orderFor(const std::string &adapter, std::uint32_t version = 0)
    {
        auto demand = emptyDemand(limits_);
        addWish(demand, adapter, 1, version);
        controller_.applyDemand(PeerHandle{1}, demand, now_);
        return controller_.nextOrder(now_);
    }
    /// An order at this sequence gets no answer.
    void loseOrder(std::uint64_t sequence, const std::vector<std::string> &adapters, const std::string &wanted,
                   EngineOrderKind kind = EngineOrderKind::Load, std::uint32_t version = 0)
    {
        report(sequence, adapters);
        const auto order = orderFor(wanted, version);
        ASSERT_TRUE(order);
        ASSERT_EQ(order->kind, kind);
        controller_.onOrderEnded(order->id, EngineOrderResult::NoAnswer, "", now_);
    }
    void restart()
    {
        ++startTimeMs_;
    }
    /// What is ordered at a report; "load NAME", "unload NAME" or "none".
    std::string ordered(std::uint64_t sequence, const std::vector<std::string> &adapters, const std::string &wanted,
                        std::uint32_t version = 0)
    {
        report(sequence, adapters);
        const auto order = orderFor(wanted, version);
        if (!order) {
            return "none";
        }
        controller_.onOrderEnded(order->id, EngineOrderResult::Conflict, "", now_);
        now_ += Seconds(1);
        return std::string(toString(order->kind)) + " " + order->adapter;
    }

    EngineLimits limits_{3, 10};
    std::uint64_t startTimeMs_ = 1000;
    TimePoint now_{Seconds(100)};
    AdapterController controller_;
};

} // namespace

// Guards against a version that is replaced in a full engine: the order moves the sequence on to a lost load of before
// a restart, which takes one slot too many.
TEST_F(LostOrders, ReplacedVersionKeepsASlotFreeForALostLoad)
{
    loseOrder(11, {"a", "b"}, "c");
    restart();
    EXPECT_EQ(ordered(10, {"a", "b", "d"}, "a", 2), "unload b");
    EXPECT_EQ(ordered(11, {"a", "d"}, "a", 2), "load a") << "it excludes the lost one";
    EXPECT_EQ(ordered(12, {"a", "b", "d"}, "a", 2), "load a");
}

// Guards against lost loads of before a restart that follow one another in a nearly full engine.
TEST_F(LostOrders, SlotsAreFreeForLostLoadsThatFollowOneAnother)
{
    limits_.slots = 4;
    loseOrder(9, {"a", "b"}, "c");
    loseOrder(10, {"a", "b", "c"}, "d");
    restart();
    EXPECT_EQ(ordered(8, {"e", "f"}, "g"), "unload e") << "two may follow";
    EXPECT_EQ(ordered(8, {"e"}, "g"), "load g");
    EXPECT_EQ(ordered(9, {"e", "f", "h"}, "g"), "unload e") << "one may follow";
    EXPECT_EQ(ordered(9, {"e", "f"}, "g"), "load g");
    EXPECT_EQ(ordered(10, {"e", "f", "h"}, "g"), "load g");
}

// Guards against an engine that is filled so far that no order is left which makes room for a chain of lost loads.
TEST_F(LostOrders, RoomForAChainIsMadeBeforeItBegins)
{
    for (std::uint64_t sequence = 10; sequence < 13; ++sequence) {
        loseOrder(sequence, {"a", "b"}, "c" + std::to_string(sequence));
    }
    restart();
    EXPECT_EQ(ordered(6, {"e", "f"}, "g"), "load g") << "three orders are left to free three slots";
    EXPECT_EQ(ordered(7, {"e", "f"}, "g"), "unload e");
    EXPECT_EQ(ordered(7, {"e"}, "g"), "load g");
    EXPECT_EQ(ordered(8, {"e"}, "g"), "unload e");
}

// Guards against a chain that is not seen, as one of its orders is an unload.
TEST_F(LostOrders, LostUnloadContinuesAChain)
{
    loseOrder(9, {"a", "b"}, "c");
    loseOrder(10, {"a", "b", "c"}, "d", EngineOrderKind::Unload);
    loseOrder(11, {"b", "c"}, "d");
    restart();
    EXPECT_EQ(ordered(8, {"e", "f"}, "g"), "unload e");
}

// Guards against a lost order of before two restarts.
TEST_F(LostOrders, LostLoadCountsAfterASecondRestart)
{
    loseOrder(9, {"a", "b"}, "c");
    restart();
    EXPECT_EQ(ordered(3, {"a"}, "b"), "load b");
    restart();
    EXPECT_EQ(ordered(8, {"e", "f"}, "g"), "unload e");
}

// Guards against lost loads that overfill the memory of an engine with free slots.
TEST_F(LostOrders, MemoryIsFreeForLostLoadsThatFollowOneAnother)
{
    limits_ = {10, 3};
    loseOrder(9, {"a", "b"}, "c");
    loseOrder(10, {"a", "b"}, "d");
    restart();
    EXPECT_EQ(ordered(8, {"e"}, "g"), "unload e");
    EXPECT_EQ(ordered(8, {}, "g"), "load g");
    EXPECT_EQ(ordered(9, {"e", "f"}, "e", 2), "load e");
    EXPECT_EQ(ordered(9, {"e", "f", "h"}, "e", 2), "unload f");
}

// Guards against slots that stay empty for orders which the engine refuses: they name another incarnation.
TEST_F(LostOrders, OrdersToAnEarlierIdKeepNoSlotFree)
{
    loseOrder(9, {"a", "b"}, "c");
    auto demand = emptyDemand(limits_);
    demand.set_endpoint_id("i-2");
    const auto refused = orderFor("c");
    ASSERT_TRUE(refused);
    controller_.onOrderEnded(refused->id, EngineOrderResult::OtherIncarnation, "i-2", now_);
    restart();
    EXPECT_EQ(ordered(8, {"e", "f"}, "g"), "load g");
}

// Guards against an engine that gets no order any more after its plan has shrunk.
TEST_F(LostOrders, EngineAboveItsLimitIsEmptied)
{
    EXPECT_EQ(ordered(8, {"a", "b", "c", "d", "e"}, "g"), "unload a");
}

// Guards against any other way in which late orders overfill an engine, over restarts, versions, full slots and full
// memory.
TEST(LostOrdersPlay, EngineIsNeverOverfull)
{
    std::uint64_t loads = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        Play play(seed);
        play.run();
        EXPECT_FALSE(play.engine().isOverfull()) << "seed " << seed;
        loads += play.engine().loads();
    }
    RecordProperty("loads", std::to_string(loads));
    std::printf("%llu loads\n", static_cast<unsigned long long>(loads));
}

} // namespace anvilscale
