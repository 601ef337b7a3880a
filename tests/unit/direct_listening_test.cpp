// Tests of the engines that entries of a large fleet listen to.
#include "direct/listened_engines.h"
#include "direct_fixture.h"

namespace anvilscale::test {

namespace {

constexpr int dataCentres = 5;

std::string centreOf(int index)
{
    return "dc" + std::to_string(index % dataCentres);
}

std::vector<EngineSite> makeEngines(int count)
{
    std::vector<EngineSite> engines;
    engines.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        engines.push_back({"10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":80", centreOf(i)});
    }
    return engines;
}

EntrySite makeEntry(int index)
{
    return {"entry-" + std::to_string(index), centreOf(index)};
}

std::size_t countMissing(const std::set<std::string> &from, const std::set<std::string> &in)
{
    return static_cast<std::size_t>(
        std::count_if(from.begin(), from.end(), [&](const auto &address) { return in.count(address) == 0; }));
}

} // namespace

// Guards against a cost of an entry that grows with the fleet.
TEST(ListenedEngines, AreAsManyInALargerFleet)
{
    const ListeningLimits limits;
    for (const int count : {300, 625, 1250, 3900}) {
        const auto selected = selectListenedEngines(makeEngines(count), makeEntry(1), limits);
        EXPECT_GE(selected.size(), limits.engines) << count;
        EXPECT_LE(selected.size(), limits.engines + 2 * allowanceGroups) << count;
    }
    EXPECT_EQ(selectListenedEngines(makeEngines(160), makeEntry(1), limits).size(), 160U);
}

// Guards against engines that few entries know, which would stay idle while others queue.
TEST(ListenedEngines, EveryEngineHasListeners)
{
    for (const int scale : {1, 2}) {
        const auto engines = makeEngines(625 * scale);
        std::map<std::string, int> listeners;
        for (int i = 0; i < 356 * scale; ++i) {
            for (const auto &address : selectListenedEngines(engines, makeEntry(i), {})) {
                ++listeners[address];
            }
        }
        const double mean = 356.0 * 160 / 625;
        for (const auto &engine : engines) {
            EXPECT_GE(listeners[engine.address], mean / 2) << engine.address << " of " << engines.size();
        }
    }
}

// Guards against entries of a data centre that load an adapter into different engines.
TEST(ListenedEngines, EntriesOfADataCentreAgreeOnTheNearOnes)
{
    const auto engines = makeEngines(600);
    const auto first = selectListenedEngines(engines, makeEntry(0), {});
    const auto second = selectListenedEngines(engines, makeEntry(dataCentres), {});
    for (const auto &engine : engines) {
        if (engine.dataCentre == centreOf(0)) {
            EXPECT_EQ(first.count(engine.address), 1U);
            EXPECT_EQ(second.count(engine.address), 1U);
        }
    }
}

// Guards against an entry without engines after its data centre has lost all of them.
TEST(ListenedEngines, FarEnginesReplaceALostDataCentre)
{
    auto engines = makeEngines(1000);
    std::erase_if(engines, [](const EngineSite &engine) { return engine.dataCentre == centreOf(0); });
    EXPECT_GE(selectListenedEngines(engines, makeEntry(0), {}).size(), ListeningLimits{}.engines);
}

// Guards against all connections of the fleet being replaced when one engine comes or goes.
TEST(ListenedEngines, OneEngineChangesOneConnection)
{
    const auto before = makeEngines(1250);
    for (std::size_t lost = 0; lost < before.size(); lost += 25) {
        auto after = before;
        after.erase(after.begin() + static_cast<std::ptrdiff_t>(lost));
        const auto entry = makeEntry(static_cast<int>(lost));
        const auto old = selectListenedEngines(before, entry, {});
        const auto current = selectListenedEngines(after, entry, {});
        EXPECT_LE(countMissing(old, current), 2U);
        EXPECT_LE(countMissing(current, old), 2U);
    }
}

// Guards against pools of allowances and counts of entries that are divided among sidecars.
TEST(ListenedEngines, AllEntriesShareSomeEngines)
{
    const auto engines = makeEngines(1250);
    auto common = selectListenedEngines(engines, makeEntry(0), {});
    for (int i = 1; i < 100; ++i) {
        const auto selected = selectListenedEngines(engines, makeEntry(i), {});
        std::erase_if(common, [&](const auto &address) { return selected.count(address) == 0; });
    }
    EXPECT_GE(common.size(), allowanceGroups);
}

class Listening : public Calls
{
protected:
    static constexpr std::uint32_t limit = 4;

    Listening()
    {
        DirectCallsInit init;
        init.entryName = "entry";
        init.dataCentre = "dc";
        init.listening = {limit, 1};
        large_.emplace(init);
        large_->applyConfig(makeConfig(1), now_);
    }
    static std::string address(int index)
    {
        return "10.0.2." + std::to_string(index) + ":80";
    }
    void addEngines(int first, int last)
    {
        for (int i = first; i < last; ++i) {
            large_->applyEndpoint(makeEndpoint("e-" + std::to_string(i), engineService, address(i)), now_);
        }
        listened_ = large_->takeListenedEngines(now_).value_or(listened_);
    }
    SendCall sendCall(const std::string &adapter)
    {
        CallInfo info;
        info.requestId = "r" + std::to_string(++lastCall_);
        info.host = host;
        info.path = "/s/x";
        info.callerTimeout = Seconds(4);
        info.model = modelName;
        info.adapter = adapter;
        info.promptTokens = 100;
        large_->onCall(CallHandle{lastCall_}, info, now_);
        for (const auto &action : large_->takeActions()) {
            if (const auto *send = std::get_if<SendCall>(&action)) {
                return *send;
            }
        }
        return {};
    }

    std::optional<DirectCalls> large_;
    std::vector<std::string> listened_;
};

// Guards against calls to engines whose sidecars do not hear of them and may unload their adapters.
TEST_F(Listening, CallsGoToListenedEnginesOnly)
{
    addEngines(0, 40);
    ASSERT_LT(listened_.size(), 20U);
    for (int i = 0; i < 40; ++i) {
        large_->applyState(address(i), makeState({"a1"}), now_);
    }
    for (int i = 0; i < 20; ++i) {
        const auto send = sendCall("a1");
        EXPECT_EQ(std::count(listened_.begin(), listened_.end(), send.address), 1) << send.address;
    }
}

// Guards against an adapter that is unloaded under a call because its entry has disconnected from the sidecar.
TEST_F(Listening, EngineWithARunningCallStaysConnected)
{
    addEngines(0, 1);
    large_->applyState(address(0), makeState({"a1"}), now_);
    const auto send = sendCall("a1");
    ASSERT_EQ(send.address, address(0));
    addEngines(1, 200);
    EXPECT_EQ(std::count(listened_.begin(), listened_.end(), address(0)), 1);
    AttemptResult result;
    result.end = AttemptEnd::Answered;
    large_->onAttemptEnded(send.call, send.attempt, result, now_);
    now_ += Seconds(2);
    const auto after = large_->takeListenedEngines(now_);
    ASSERT_TRUE(after.has_value());
    EXPECT_EQ(std::count(after->begin(), after->end(), address(0)), 0);
}

// Guards against a turn whose grant cannot arrive because its entry has disconnected from the sidecar.
TEST_F(Listening, EngineWithACallThatWaitsForATurnStaysConnected)
{
    addEngines(0, 1);
    auto state = makeState({"a1"});
    state.set_reading_budget(50);
    state.set_unread_tokens(50);
    large_->applyState(address(0), state, now_);
    ASSERT_TRUE(sendCall("a1").address.empty());
    ASSERT_EQ(large_->stats().turnRequests, 1U);
    addEngines(1, 200);
    EXPECT_EQ(std::count(listened_.begin(), listened_.end(), address(0)), 1);
    large_->onCallerGone(CallHandle{lastCall_}, now_);
    now_ += Seconds(2);
    const auto after = large_->takeListenedEngines(now_);
    ASSERT_TRUE(after.has_value());
    EXPECT_EQ(std::count(after->begin(), after->end(), address(0)), 0);
}

class Visiting : public Listening
{
protected:
    static constexpr int engineCount = 60;

    Visiting()
    {
        addEngines(0, engineCount);
        publishSelected({});
    }
    void publishSelected(const std::vector<std::string> &adapters)
    {
        for (const auto &address : listened_) {
            large_->applyState(address, makeState(adapters), now_);
        }
    }
    /// Calls for the adapter; returns the engines that the entry is connected to since.
    std::set<std::string> callAndListNew(const std::string &adapter)
    {
        sendCall(adapter);
        const auto current = large_->takeListenedEngines(now_).value_or(listened_);
        std::set<std::string> added(current.begin(), current.end());
        for (const auto &address : listened_) {
            added.erase(address);
        }
        return added;
    }
    /// Adapter whose home is not among the selected engines.
    std::pair<std::string, std::string> findVisit()
    {
        for (int i = 0; i < 50; ++i) {
            const auto adapter = "rare" + std::to_string(i);
            const auto added = callAndListNew(adapter);
            if (!added.empty()) {
                return {adapter, *added.begin()};
            }
        }
        return {};
    }
};

// Guards against each entry paying for a load of an adapter that the fleet already holds.
TEST_F(Visiting, EntriesVisitTheSameEngineForARareAdapter)
{
    const auto [adapter, home] = findVisit();
    ASSERT_FALSE(home.empty());
    DirectCallsInit init;
    init.entryName = "other";
    init.dataCentre = "dc";
    init.listening = {limit, 1};
    large_.emplace(init);
    large_->applyConfig(makeConfig(1), now_);
    addEngines(0, engineCount);
    publishSelected({});
    sendCall(adapter);
    const auto connected = large_->takeListenedEngines(now_).value_or(listened_);
    EXPECT_EQ(std::count(connected.begin(), connected.end(), home), 1);
}

TEST_F(Visiting, CallIsSentOnceTheVisitedSidecarReportsTheAdapter)
{
    const auto [adapter, home] = findVisit();
    ASSERT_FALSE(home.empty());
    large_->applyState(home, makeState({adapter}), now_);
    const auto actions = large_->takeActions();
    const auto isSentHome = [home = home](const DirectAction &action) {
        const auto *send = std::get_if<SendCall>(&action);
        return send != nullptr && send->address == home;
    };
    EXPECT_EQ(std::count_if(actions.begin(), actions.end(), isSentHome), 1);
}

// Guards against a call that waits until its deadline for an engine whose VM has stopped.
TEST_F(Visiting, CallLeavesAVisitedEngineThatIsNotHeard)
{
    const auto [adapter, home] = findVisit();
    ASSERT_FALSE(home.empty());
    large_->takeActions();
    std::set<std::string> demanded;
    for (int i = 0; i < 20; ++i) {
        now_ += Milliseconds(50);
        publishSelected({});
        large_->tick(now_);
        for (const auto &action : large_->takeActions()) {
            const auto *demand = std::get_if<SendDemand>(&action);
            if (demand != nullptr && demand->demand.waiting_tokens() != 0 && demand->address != home) {
                demanded.insert(demand->address);
            }
        }
    }
    EXPECT_FALSE(demanded.empty());
}

// Guards against connections that grow with the number of adapters that an entry has been asked for.
TEST_F(Visiting, VisitsAreFewAndEnd)
{
    for (int i = 0; i < 200; ++i) {
        sendCall("rare" + std::to_string(i));
    }
    const auto during = large_->takeListenedEngines(now_).value_or(listened_);
    EXPECT_LE(during.size(), listened_.size() + 1) << "farEngines is 1";
    EXPECT_EQ(large_->stats().listenedEngines, during.size());
    EXPECT_EQ(large_->stats().visits, 1U);
    for (int i = 0; i < 300; ++i) {
        now_ += Milliseconds(50);
        large_->tick(now_);
    }
    EXPECT_EQ(large_->takeListenedEngines(now_).value_or(during), listened_);
}

// Guards against visits of popular adapters, which the entry finds at engines that it listens to.
TEST_F(Visiting, AdapterOfASelectedEngineNeedsNoVisit)
{
    publishSelected({"a1"});
    EXPECT_TRUE(callAndListNew("a1").empty());
}

} // namespace anvilscale::test
