// Shares of endpoints and workspaces, with many entries whose calls request slots of one sidecar.
#include "slot_fixture.h"

namespace anvilscale::test {

namespace {

/// Entries with one or no call in flight each, which send the next call some time after the last one has ended.
class SlotFleet : public Slots
{
protected:
    struct Entry
    {
        TimePoint nextAt{};
        TimePoint askedAt{};
        TimePoint endsAt{};
        std::string endpoint; // of its running call
        bool isAsking = false;
        std::uint64_t call = 0;
        std::string workspace;
        Duration pause{};
    };
    struct Counts
    {
        std::map<std::string, int> byEndpoint;
        std::map<std::string, int> served; // by workspace
        std::map<std::string, int> refused; // by workspace
        std::uint32_t mostAtOnce = 0; // at one endpoint
        Duration longestWait{}; // for a slot
    };

    void addEntries(int count, Duration pause, const std::string &workspace = "")
    {
        for (int i = 0; i < count; ++i) {
            Entry entry;
            entry.pause = pause;
            entry.workspace = workspace;
            entry.nextAt = now_ + pause * i / count;
            entries_.push_back(entry);
        }
    }
    /// Runs the fleet in steps of a millisecond. `failsOf`: every so-manieth call at p-1 fails; 0: none.
    Counts run(Duration span, int failsOf)
    {
        Counts counts;
        for (const auto end = now_ + span; now_ < end; advance(Milliseconds(1))) {
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                step(i, counts, failsOf);
            }
            std::map<std::string, std::uint32_t> running;
            for (const auto &entry : entries_) {
                running[entry.endpoint] += entry.endpoint.empty() ? 0 : 1;
            }
            for (const auto &[id, count] : running) {
                counts.mostAtOnce = std::max(counts.mostAtOnce, count);
            }
        }
        return counts;
    }
    void step(std::size_t index, Counts &counts, int failsOf)
    {
        auto &entry = entries_[index];
        if (!entry.endpoint.empty() && now_ >= entry.endsAt) {
            const bool failed = failsOf != 0 && entry.endpoint == "p-1" && ++callsAtFirst_ % failsOf == 0;
            giveBack(index + 1, entry.call, failed);
            entry.endpoint.clear();
            entry.nextAt = now_ + entry.pause;
        } else if (entry.endpoint.empty() && !entry.isAsking && now_ >= entry.nextAt) {
            auto request = makeAsk(++entry.call);
            request.set_workspace(entry.workspace);
            entry.isAsking = true;
            entry.askedAt = now_;
            ask(index + 1, request);
        }
        for (const auto &message : table_.takeMessages()) {
            onMessage(message, counts);
        }
    }
    void onMessage(const SlotMessage &message, Counts &counts)
    {
        auto &entry = entries_.at(message.entry.value - 1);
        if (message.answer.queued()) {
            return;
        }
        entry.isAsking = false;
        counts.longestWait = std::max(counts.longestWait, now_ - entry.askedAt);
        if (message.answer.endpoint_id().empty()) {
            ++counts.refused[entry.workspace];
            entry.nextAt = now_ + entry.pause;
            return;
        }
        entry.endpoint = message.answer.endpoint_id();
        entry.endsAt = now_ + runTime;
        ++counts.byEndpoint[entry.endpoint];
        ++counts.served[entry.workspace];
    }

    std::vector<Entry> entries_;
    int callsAtFirst_ = 0;
};

// Guards against the load of a heavy day: entries with one call in flight each sent five of six calls to the endpoint
// without failures and left the other one idle. A failure costs 25 ms here, less than the wait at the other endpoints.
TEST_F(SlotFleet, EntriesShareEndpointsEvenlyAlthoughOneFailsSomeCalls)
{
    deadline_ = Milliseconds(500);
    addEntries(26, Milliseconds(15));
    run(Seconds(5), 20);
    const auto counts = run(Seconds(20), 20);
    const int all = counts.byEndpoint.at("p-1") + counts.byEndpoint.at("p-2") + counts.byEndpoint.at("p-3");
    for (const auto &[id, count] : counts.byEndpoint) {
        EXPECT_NEAR(count, all / 3.0, 0.15 * all / 3.0) << id;
    }
    EXPECT_EQ(counts.refused.count(""), 0U);
    EXPECT_LE(counts.mostAtOnce, slotsEach);
}

// Guards against calls that are late or refused at the endpoints without failures while the other one is idle. A
// failure costs 75 ms here.
TEST_F(SlotFleet, NoCallWaitsForLongerThanAFailureCosts)
{
    addEntries(26, Milliseconds(15));
    run(Seconds(5), 20);
    const auto counts = run(Seconds(20), 20);
    EXPECT_EQ(counts.refused.count(""), 0U);
    EXPECT_LE(counts.longestWait, Milliseconds(100));
    EXPECT_LE(counts.mostAtOnce, slotsEach);
}

// Guards against late and refused calls on a heavy day, after one of three endpoints has left and another one fails a
// quarter of its calls: 85 calls per second for 12 slots.
TEST_F(SlotFleet, CallsAreInTimeAtTheOnlyEndpointWithoutFailures)
{
    endpoints_ = {"p-1", "p-2"};
    addEntries(26, Milliseconds(246));
    run(Seconds(5), 4);
    const auto counts = run(Seconds(20), 4);
    EXPECT_EQ(counts.refused.count(""), 0U);
    EXPECT_LE(counts.longestWait, Milliseconds(240)) << "the objective minus the run time";
    EXPECT_LE(counts.byEndpoint.at("p-1"), 1700 / 20) << "probes";
}

// Guards against endpoints with free slots that are used unevenly because their measured run times differ by chance.
TEST_F(SlotFleet, EntriesShareEndpointsEvenlyBelowTheirCapacity)
{
    addEntries(26, Milliseconds(300));
    const auto counts = run(Seconds(20), 0);
    for (const auto &[id, count] : counts.byEndpoint) {
        EXPECT_NEAR(count, 20000.0 / 360 * 26 / 3, 60) << id;
    }
}

// Guards against a peak of one workspace that takes the slots of all others, or their places among the waiting calls.
TEST_F(SlotFleet, WorkspaceWithSixTimesItsCallsDoesNotDisplaceOthers)
{
    endpoints_ = {"p-1"};
    for (const auto *workspace : {"a", "b", "c"}) {
        addEntries(2, Milliseconds(60), workspace);
    }
    addEntries(12, Milliseconds(60), "peak");
    const auto counts = run(Seconds(20), 0);
    for (const auto *workspace : {"a", "b", "c"}) {
        EXPECT_EQ(counts.refused.count(workspace), 0U) << workspace;
        EXPECT_GT(counts.served.at(workspace), 2 * 20000 / 120 * 8 / 10) << workspace << ": nearly as without the peak";
    }
    EXPECT_GT(counts.served.at("peak"), 500) << "the rest of the slots is used";
}

} // namespace

} // namespace anvilscale::test
