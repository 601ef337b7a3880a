// Random events against the sidecar's decisions, with an engine that keeps its own books. After each step the engine
// must have found nothing wrong, the pins must cover what runs, no call may be answered twice, and the slots must
// suffice; when all is quiet, no call may be lost.
#include "residency_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace anvilscale::test {

namespace {

enum class Step : std::uint8_t {
    Call,
    CallKeyed,
    Repeat,
    SendAgain, ///< the message comes twice
    Cancel,
    Advance,
    AdvanceLong,
    AnswerOrder,
    MakeList, ///< the engine makes the list now; its reply comes later
    LoseReply, ///< the order takes effect, its reply is lost
    LoseOrder, ///< the order takes no effect, and no reply comes
    DelayOrder, ///< no reply; the effect comes later, within the order's longest time
    LandLate,
    RefuseOrder,
    FailOrder,
    EndComplete,
    EndFailed,
    EndCancelled,
    EndBroken, ///< the connection breaks, the engine runs on
    EngineDrops, ///< a call whose connection broke comes to its end
    EngineRestart,
    EngineReport,
    EngineLost,
    SidecarRestart,
    Grant,
    PeerLost,
    Drain,
    Count
};

class World
{
public:
    explicit World(const SidecarInit &init)
        : fixture_(init)
        , orderTimeout_(init.orderTimeout)
        , slots_(init.slots)
    {
        fixture_.recover();
    }
    void step(Step step, std::uint8_t argument)
    {
        dropOverdue();
        const auto noticed = stats().engineRestarts;
        run(step, argument);
        if (stats().engineRestarts > noticed) {
            fixture_.engine.restartUnnoticed = false;
        }
        fixture_.collect();
        noteEvents();
    }
    void settle()
    {
        for (int i = 0; i < 120; ++i) {
            dropOverdue();
            fixture_.answerOrders();
            while (!open_.empty()) {
                end(open_.begin()->first, CallOutcome::Complete, FailureReason::None, true);
            }
            fixture_.engine.running.clear();
            fixture_.advance(Seconds(1));
            noteEvents();
        }
    }
    /// What is wrong now; empty if nothing is.
    std::string fault() const
    {
        if (!fixture_.engine.violations.empty()) {
            return fixture_.engine.violations.front();
        }
        if (!fault_.empty()) {
            return fault_;
        }
        std::uint32_t occupied = 0;
        std::uint32_t pins = 0;
        for (const auto &state : fixture_.sidecar.adapters()) {
            occupied += static_cast<std::uint32_t>(state.state() != 0);
            pins += state.pins();
        }
        if (occupied > slots_) {
            return "more adapters than slots";
        }
        const auto running = fixture_.sidecar.stats().running;
        if (pins < running || (pins != running && !uncounted_)) {
            return "pins do not match the open calls";
        }
        const bool twice = std::ranges::any_of(
            answers_, [](const auto &entry) { return entry.second.started + entry.second.refused > 1; });
        return twice ? "a call was answered twice" : "";
    }
    /// When all is quiet.
    std::string lastFault() const
    {
        const bool lost = std::ranges::any_of(answers_, [](const auto &entry) {
            return !entry.second.excused && entry.second.started + entry.second.refused != 1;
        });
        return lost || stats().queued != 0 ? "a call was lost" : fault();
    }
    const SidecarStats &stats() const
    {
        return fixture_.sidecar.stats();
    }

private:
    struct Answers
    {
        std::uint32_t started = 0; ///< given to the engine, or attached to what was
        std::uint32_t refused = 0;
        bool excused = false; ///< cancelled, or its sidecar or entry died: nobody waits for the answer
    };
    using Attempt = std::pair<std::uint64_t, std::uint32_t>;

    static AdapterVersion adapterOf(std::uint8_t argument)
    {
        return {"adapter-" + std::to_string(argument % 5), "v1"};
    }
    static Attempt attemptOf(const wire::AttemptId &id)
    {
        return {id.call(), id.attempt()};
    }
    void send(const wire::CallRequest &request)
    {
        answers_[attemptOf(request.id())];
        sent_.push_back(request);
        fixture_.send(request);
    }
    void run(Step step, std::uint8_t argument)
    {
        switch (step) {
        case Step::Call:
        case Step::CallKeyed: {
            auto request = fixture_.request(adapterOf(argument), Seconds(5 + argument % 20));
            request.set_call_class(argument % enumCount<CallClass>);
            request.set_key(step == Step::CallKeyed ? "key-" + std::to_string(request.id().call()) : "");
            return send(request);
        }
        case Step::Repeat:
            if (!sent_.empty()) {
                auto request = sent_[argument % sent_.size()];
                request.mutable_id()->set_attempt(++lastAttempt_);
                send(request);
            }
            return;
        case Step::SendAgain:
            if (!sent_.empty()) {
                fixture_.send(sent_[argument % sent_.size()]);
            }
            return;
        case Step::Cancel:
            if (!sent_.empty()) {
                const auto &id = sent_[argument % sent_.size()].id();
                answers_[attemptOf(id)].excused = true;
                fixture_.cancel(id);
            }
            return;
        case Step::Advance:
            return fixture_.advance(Milliseconds(10 * (1 + argument)));
        case Step::AdvanceLong:
            return fixture_.advance(Seconds(1 + argument % 8));
        case Step::Grant:
            return grant(argument);
        case Step::PeerLost:
            for (auto &[attempt, answers] : answers_) {
                answers.excused = true;
            }
            return fixture_.sidecar.onPeerLost(entry, fixture_.now);
        case Step::Drain:
            return argument < 20 ? fixture_.sidecar.drain(fixture_.now) : void();
        case Step::SidecarRestart:
            return restartSidecar();
        default:
            return step < Step::EndComplete ? runOrder(step, argument) : runEngine(step, argument);
        }
    }
    void runOrder(Step step, std::uint8_t argument)
    {
        if (step == Step::LandLate) {
            if (!late_.empty()) {
                const auto place = late_.begin() + argument % late_.size();
                fixture_.engine.apply(*place);
                late_.erase(place);
            }
            return;
        }
        if (fixture_.orders.empty()) {
            return;
        }
        if (step == Step::MakeList) {
            return fixture_.makeLists();
        }
        if (step == Step::AnswerOrder) {
            fixture_.answerOrder();
            return;
        }
        const SentOrder order = fixture_.orders.front();
        fixture_.orders.erase(fixture_.orders.begin());
        const bool effective = order.kind == OrderKind::Load || order.kind == OrderKind::Unload;
        if (step == Step::LoseReply) {
            fixture_.engine.apply(order);
        }
        if (step == Step::DelayOrder && effective) {
            late_.push_back(order);
        }
        if (step == Step::RefuseOrder || step == Step::FailOrder) {
            return fixture_.reply(order, step == Step::RefuseOrder ? OrderOutcome::Refused : OrderOutcome::Failed);
        }
        if (argument % 2 == 0) {
            fixture_.reply(order, OrderOutcome::Unknown);
        }
    }
    void runEngine(Step step, std::uint8_t argument)
    {
        switch (step) {
        case Step::EndComplete:
            return endOne(argument, CallOutcome::Complete, FailureReason::None, true);
        case Step::EndFailed:
            return endOne(argument, CallOutcome::Failed, FailureReason::EndpointError, true);
        case Step::EndCancelled:
            return endOne(argument, CallOutcome::Cancelled, FailureReason::CallerGone, true);
        case Step::EndBroken:
            uncounted_ = true;
            return endOne(argument, CallOutcome::Unknown, FailureReason::EndpointCut, false);
        case Step::EngineDrops:
            std::erase_if(fixture_.engine.running,
                          [&](const RunningCall &call) { return !open_.contains(call.execution); });
            return;
        case Step::EngineRestart:
            uncounted_ = true;
            late_.clear();
            fixture_.orders.clear();
            return fixture_.engine.restart();
        case Step::EngineReport:
            return fixture_.sidecar.onEngineReport({fixture_.engine.incarnation, 0, 0, 0, {}}, fixture_.now);
        default:
            return fixture_.sidecar.onEngineLost(fixture_.now);
        }
    }
    void grant(std::uint8_t argument)
    {
        wire::Envelope envelope;
        auto &grant = *envelope.mutable_load_grant();
        grant.set_fence(1);
        grant.set_grant(++lastGrant_);
        grant.set_adapter(adapterOf(argument).adapter);
        grant.set_version("v1");
        grant.set_valid_us(2'000'000);
        grant.set_target_incarnation(incarnation_);
        fixture_.message(entry, envelope);
    }
    void restartSidecar()
    {
        // Connections of the old process close; the engine may run their calls on for a while.
        uncounted_ = true;
        for (const auto &order : std::exchange(fixture_.orders, {})) {
            if (order.kind == OrderKind::Load || order.kind == OrderKind::Unload) {
                late_.push_back(order);
            }
        }
        for (auto &[attempt, answers] : answers_) {
            answers.excused = true;
        }
        open_.clear();
        ++incarnation_;
        fixture_.engine.restartUnnoticed = false;
        fixture_.restartSidecar();
        // The new process knows nothing of earlier messages: they are not sent to it again.
        sent_.clear();
    }
    /// The endpoint promises that an order takes effect within its longest time or not at all.
    void dropOverdue()
    {
        const auto overdue = [this](const SentOrder &order) {
            return order.kind != OrderKind::List && order.sentAt + orderTimeout_ <= fixture_.now.mono;
        };
        std::erase_if(late_, overdue);
        std::erase_if(fixture_.orders, overdue);
    }
    void endOne(std::uint8_t argument, CallOutcome outcome, FailureReason failure, bool atEngine)
    {
        if (open_.empty()) {
            return;
        }
        auto place = open_.begin();
        std::advance(place, argument % open_.size());
        end(place->first, outcome, failure, atEngine);
    }
    void end(ExecutionHandle execution, CallOutcome outcome, FailureReason failure, bool atEngine)
    {
        open_.erase(execution);
        fixture_.end(execution, outcome, failure, atEngine);
        noteEvents();
    }
    void noteEvents()
    {
        for (const auto &start : std::exchange(fixture_.started, {})) {
            ++answers_[attemptOf(start.request.id())].started;
            open_[start.execution] = true;
        }
        for (const auto &attach : std::exchange(fixture_.attached, {})) {
            ++answers_[attemptOf(attach.id)].started;
        }
        for (const auto &refused : std::exchange(fixture_.refusals, {})) {
            if (!refused.proved_not_run()) {
                fault_ = "a refusal without proof";
            }
            ++answers_[attemptOf(refused.id())].refused;
        }
    }

    SidecarFixture fixture_;
    Duration orderTimeout_;
    std::uint32_t slots_;
    std::map<Attempt, Answers> answers_;
    std::map<ExecutionHandle, bool> open_;
    std::vector<wire::CallRequest> sent_;
    std::vector<SentOrder> late_;
    std::uint64_t lastGrant_ = 0;
    std::uint64_t incarnation_ = 50;
    std::uint32_t lastAttempt_ = 1;
    std::string fault_;
    bool uncounted_ = false; // calls may run that the decisions can't count by executions
};

using Steps = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

SidecarInit smallInit(bool checksFence)
{
    SidecarInit init;
    init.slots = 2;
    init.batchLimit = 3;
    init.endpointChecksFence = checksFence;
    init.orderTimeout = Seconds(10);
    return init;
}

/// Most steps are ordinary work; a drain or a restart is rare enough that something happens in between.
Step stepOf(std::uint8_t number)
{
    constexpr std::array ordinary{Step::Call,        Step::Call,      Step::CallKeyed,   Step::AnswerOrder,
                                  Step::AnswerOrder, Step::Advance,   Step::AdvanceLong, Step::EndComplete,
                                  Step::MakeList,    Step::EndBroken, Step::EngineDrops, Step::LoseReply,
                                  Step::DelayOrder,  Step::LandLate,  Step::Cancel,      Step::Repeat};
    constexpr std::uint8_t rare = 200;
    return number < rare ? ordinary[number % ordinary.size()] : static_cast<Step>(number % enumCount<Step>);
}

std::string runSteps(const SidecarInit &init, const Steps &steps)
{
    World world(init);
    for (const auto &[number, argument] : steps) {
        world.step(stepOf(number), argument);
        if (auto fault = world.fault(); !fault.empty()) {
            return fault;
        }
    }
    world.settle();
    return world.lastFault();
}

rc::Gen<Steps> genSteps()
{
    return rc::gen::resize(400, rc::gen::arbitrary<Steps>());
}

/// The first fault that random sequences find; empty if they find none.
std::string searchFault(const SidecarInit &init)
{
    constexpr int sequences = 3000;
    constexpr std::size_t length = 120;
    Random random(20261202);
    for (int i = 0; i < sequences; ++i) {
        Steps steps;
        for (std::size_t n = 0; n < length; ++n) {
            const auto bits = random.next();
            steps.emplace_back(static_cast<std::uint8_t>(bits), static_cast<std::uint8_t>(bits >> 8));
        }
        if (auto fault = runSteps(init, steps); !fault.empty()) {
            return fault;
        }
    }
    return {};
}

struct Disabled
{
    std::string_view name;
    bool Safeguards::*safeguard;
    bool checksFence;
};

class ResidencyWithout : public testing::TestWithParam<Disabled>
{
};

} // namespace

RC_GTEST_PROP(ResidencyRandom, HoldsOnAnEndpointThatChecksFences, ())
{
    RC_ASSERT(runSteps(smallInit(true), *genSteps()) == "");
}

RC_GTEST_PROP(ResidencyRandom, HoldsOnAnEndpointThatIgnoresFences, ())
{
    RC_ASSERT(runSteps(smallInit(false), *genSteps()) == "");
}

// The checks above can fail: with a safeguard off, random sequences find the fault that it prevents.
TEST_P(ResidencyWithout, IsFoundOut)
{
    SidecarInit init = smallInit(GetParam().checksFence);
    init.safeguards.*GetParam().safeguard = false;
    const auto fault = searchFault(init);
    EXPECT_NE(fault, "");
    RecordProperty("fault", fault);
}

INSTANTIATE_TEST_SUITE_P(Safeguards, ResidencyWithout,
                         testing::Values(Disabled{"pinBeforeSend", &Safeguards::pinBeforeSend, true},
                                         Disabled{"evictOnlyUnpinned", &Safeguards::evictOnlyUnpinned, true},
                                         Disabled{"unknownEndKeepsPin", &Safeguards::unknownEndKeepsPin, true},
                                         Disabled{"unknownAfterLostReply", &Safeguards::unknownAfterLostReply, true},
                                         Disabled{"listAfterChange", &Safeguards::listAfterChange, true},
                                         Disabled{"recoveryWait", &Safeguards::recoveryWait, false},
                                         Disabled{"fenceCheck", &Safeguards::fenceCheck, true},
                                         Disabled{"duplicateFilter", &Safeguards::duplicateFilter, true}),
                         [](const auto &test) { return std::string(test.param.name); });

} // namespace anvilscale::test
