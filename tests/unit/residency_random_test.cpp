// Property tests of the sidecar with random events. After each step: no violation at the engine, pins cover all running
// calls, no call is answered twice, no slot is overcommitted. At the end: no call is lost.
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
    Duplicate, ///< sends the same message again
    Cancel,
    Advance,
    AdvanceLong,
    AnswerOrder,
    MakeList, ///< the engine creates the list now and replies later
    LoseReply, ///< the order takes effect, but its reply is lost
    LoseOrder, ///< the order takes no effect and has no reply
    DelayOrder, ///< no reply; the order takes effect later, within its timeout
    ApplyDelayed,
    RefuseOrder,
    FailOrder,
    EndComplete,
    EndFailed,
    EndCancelled,
    DisconnectCall, ///< the connection breaks, but the engine continues with the call
    EngineEndsOrphans, ///< the engine finishes the calls whose connections broke
    EngineRestart,
    EngineReport,
    EngineLost,
    SidecarRestart,
    Grant,
    PeerLost,
    Drain,
    Count
};

/// Applies steps to a sidecar and its engine, and checks the invariants.
class Simulation
{
public:
    explicit Simulation(const SidecarInit &init)
        : fixture_(init)
        , orderTimeout_(init.orderTimeout)
        , slots_(init.slots)
    {
        fixture_.recover();
    }
    void applyStep(Step step, std::uint8_t argument)
    {
        dropExpiredOrders();
        const auto detectedRestarts = stats().engineRestarts;
        run(step, argument);
        if (stats().engineRestarts > detectedRestarts) {
            fixture_.engine.isRestartUndetected = false;
        }
        fixture_.collect();
        recordEvents();
    }
    void settle()
    {
        for (int i = 0; i < 120; ++i) {
            dropExpiredOrders();
            fixture_.answerOrders();
            while (!openExecutions_.empty()) {
                end(openExecutions_.begin()->first, CallOutcome::Complete, FailureReason::None, true);
            }
            fixture_.engine.running.clear();
            fixture_.advance(Seconds(1));
            recordEvents();
        }
    }
    /// Returns a violated invariant, or an empty string if there is none.
    std::string findViolation() const
    {
        if (!fixture_.engine.violations.empty()) {
            return fixture_.engine.violations.front();
        }
        if (!violation_.empty()) {
            return violation_;
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
        if (pins < running || (pins != running && !hasUntrackedCalls_)) {
            return "pins do not match the open calls";
        }
        const bool isAnsweredTwice = std::ranges::any_of(
            answerCounts_, [](const auto &entry) { return entry.second.started + entry.second.refused > 1; });
        return isAnsweredTwice ? "a call was answered twice" : "";
    }
    /// As findViolation(), but also detects lost calls. For use after settle().
    std::string findFinalViolation() const
    {
        const bool isLost = std::ranges::any_of(answerCounts_, [](const auto &entry) {
            return !entry.second.mayBeUnanswered && entry.second.started + entry.second.refused != 1;
        });
        return isLost || stats().queued != 0 ? "a call was lost" : findViolation();
    }
    const SidecarStats &stats() const
    {
        return fixture_.sidecar.stats();
    }

private:
    struct AnswerCounts
    {
        std::uint32_t started = 0; ///< sent to the engine or attached to an execution
        std::uint32_t refused = 0;
        bool mayBeUnanswered = false; ///< cancelled, or its sidecar or entry was lost
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
        answerCounts_[attemptOf(request.id())];
        sentRequests_.push_back(request);
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
            if (!sentRequests_.empty()) {
                auto request = sentRequests_[argument % sentRequests_.size()];
                request.mutable_id()->set_attempt(++lastAttempt_);
                send(request);
            }
            return;
        case Step::Duplicate:
            if (!sentRequests_.empty()) {
                fixture_.send(sentRequests_[argument % sentRequests_.size()]);
            }
            return;
        case Step::Cancel:
            if (!sentRequests_.empty()) {
                const auto &id = sentRequests_[argument % sentRequests_.size()].id();
                answerCounts_[attemptOf(id)].mayBeUnanswered = true;
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
            for (auto &[attempt, counts] : answerCounts_) {
                counts.mayBeUnanswered = true;
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
        if (step == Step::ApplyDelayed) {
            if (!delayedOrders_.empty()) {
                const auto it = delayedOrders_.begin() + argument % delayedOrders_.size();
                fixture_.engine.apply(*it);
                delayedOrders_.erase(it);
            }
            return;
        }
        if (fixture_.orders.empty()) {
            return;
        }
        if (step == Step::MakeList) {
            return fixture_.prepareLists();
        }
        if (step == Step::AnswerOrder) {
            fixture_.answerOrder();
            return;
        }
        const SentOrder order = fixture_.orders.front();
        fixture_.orders.erase(fixture_.orders.begin());
        const bool hasEffect = order.kind == OrderKind::Load || order.kind == OrderKind::Unload;
        if (step == Step::LoseReply) {
            fixture_.engine.apply(order);
        }
        if (step == Step::DelayOrder && hasEffect) {
            delayedOrders_.push_back(order);
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
        case Step::DisconnectCall:
            hasUntrackedCalls_ = true;
            return endOne(argument, CallOutcome::Unknown, FailureReason::EndpointCut, false);
        case Step::EngineEndsOrphans:
            std::erase_if(fixture_.engine.running,
                          [&](const RunningCall &call) { return !openExecutions_.contains(call.execution); });
            return;
        case Step::EngineRestart:
            hasUntrackedCalls_ = true;
            delayedOrders_.clear();
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
        // The connections of the old process close, but the engine may continue with their calls.
        hasUntrackedCalls_ = true;
        for (const auto &order : std::exchange(fixture_.orders, {})) {
            if (order.kind == OrderKind::Load || order.kind == OrderKind::Unload) {
                delayedOrders_.push_back(order);
            }
        }
        for (auto &[attempt, counts] : answerCounts_) {
            counts.mayBeUnanswered = true;
        }
        openExecutions_.clear();
        ++incarnation_;
        fixture_.engine.isRestartUndetected = false;
        fixture_.restartSidecar();
        // The new process has no state for earlier messages, so they must not be sent to it again.
        sentRequests_.clear();
    }
    /// Drops orders past their timeout: the endpoint guarantees that they no longer take effect.
    void dropExpiredOrders()
    {
        const auto isExpired = [this](const SentOrder &order) {
            return order.kind != OrderKind::List && order.sentAt + orderTimeout_ <= fixture_.now.mono;
        };
        std::erase_if(delayedOrders_, isExpired);
        std::erase_if(fixture_.orders, isExpired);
    }
    void endOne(std::uint8_t argument, CallOutcome outcome, FailureReason failure, bool endsAtEngine)
    {
        if (openExecutions_.empty()) {
            return;
        }
        auto it = openExecutions_.begin();
        std::advance(it, argument % openExecutions_.size());
        end(it->first, outcome, failure, endsAtEngine);
    }
    void end(ExecutionHandle execution, CallOutcome outcome, FailureReason failure, bool endsAtEngine)
    {
        openExecutions_.erase(execution);
        fixture_.end(execution, outcome, failure, endsAtEngine);
        recordEvents();
    }
    void recordEvents()
    {
        for (const auto &start : std::exchange(fixture_.started, {})) {
            ++answerCounts_[attemptOf(start.request.id())].started;
            openExecutions_[start.execution] = true;
        }
        for (const auto &attach : std::exchange(fixture_.attached, {})) {
            ++answerCounts_[attemptOf(attach.id)].started;
        }
        for (const auto &refused : std::exchange(fixture_.refusals, {})) {
            if (!refused.proved_not_run()) {
                violation_ = "a refusal without proof";
            }
            ++answerCounts_[attemptOf(refused.id())].refused;
        }
    }

    SidecarFixture fixture_;
    Duration orderTimeout_;
    std::uint32_t slots_;
    std::map<Attempt, AnswerCounts> answerCounts_;
    std::map<ExecutionHandle, bool> openExecutions_;
    std::vector<wire::CallRequest> sentRequests_;
    std::vector<SentOrder> delayedOrders_;
    std::uint64_t lastGrant_ = 0;
    std::uint64_t incarnation_ = 50;
    std::uint32_t lastAttempt_ = 1;
    std::string violation_;
    bool hasUntrackedCalls_ = false; // calls may run for which the sidecar has no execution
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

/// Most steps are ordinary; drains and restarts are rare, so that other events occur between them.
Step stepOf(std::uint8_t number)
{
    constexpr std::array ordinary{Step::Call,
                                  Step::Call,
                                  Step::CallKeyed,
                                  Step::AnswerOrder,
                                  Step::AnswerOrder,
                                  Step::Advance,
                                  Step::AdvanceLong,
                                  Step::EndComplete,
                                  Step::MakeList,
                                  Step::DisconnectCall,
                                  Step::EngineEndsOrphans,
                                  Step::LoseReply,
                                  Step::DelayOrder,
                                  Step::ApplyDelayed,
                                  Step::Cancel,
                                  Step::Repeat};
    constexpr std::uint8_t firstRareNumber = 200;
    return number < firstRareNumber ? ordinary[number % ordinary.size()] : static_cast<Step>(number % enumCount<Step>);
}

std::string runSteps(const SidecarInit &init, const Steps &steps)
{
    Simulation simulation(init);
    for (const auto &[number, argument] : steps) {
        simulation.applyStep(stepOf(number), argument);
        if (auto violation = simulation.findViolation(); !violation.empty()) {
            return violation;
        }
    }
    simulation.settle();
    return simulation.findFinalViolation();
}

rc::Gen<Steps> genSteps()
{
    return rc::gen::resize(400, rc::gen::arbitrary<Steps>());
}

/// Returns the first violation found by random sequences, or an empty string.
std::string searchViolation(const SidecarInit &init)
{
    constexpr int sequenceCount = 3000;
    constexpr std::size_t stepCount = 120;
    Random random(20261202);
    for (int i = 0; i < sequenceCount; ++i) {
        Steps steps;
        for (std::size_t n = 0; n < stepCount; ++n) {
            const auto bits = random.next();
            steps.emplace_back(static_cast<std::uint8_t>(bits), static_cast<std::uint8_t>(bits >> 8));
        }
        if (auto violation = runSteps(init, steps); !violation.empty()) {
            return violation;
        }
    }
    return {};
}

struct DisabledSafeguard
{
    std::string_view name;
    bool Safeguards::*safeguard;
    bool checksFence;
};

class ResidencyWithoutSafeguard : public testing::TestWithParam<DisabledSafeguard>
{
};

} // namespace

RC_GTEST_PROP(ResidencyRandom, InvariantsHoldWithFencing, ())
{
    RC_ASSERT(runSteps(smallInit(true), *genSteps()) == "");
}

RC_GTEST_PROP(ResidencyRandom, InvariantsHoldWithoutFencing, ())
{
    RC_ASSERT(runSteps(smallInit(false), *genSteps()) == "");
}

// Shows that the invariant checks detect the failure that each safeguard prevents.
TEST_P(ResidencyWithoutSafeguard, ViolationIsDetected)
{
    SidecarInit init = smallInit(GetParam().checksFence);
    init.safeguards.*GetParam().safeguard = false;
    const auto violation = searchViolation(init);
    EXPECT_NE(violation, "");
    RecordProperty("fault", violation);
}

INSTANTIATE_TEST_SUITE_P(Safeguards, ResidencyWithoutSafeguard,
                         testing::Values(DisabledSafeguard{"pinBeforeSend", &Safeguards::pinBeforeSend, true},
                                         DisabledSafeguard{"evictOnlyUnpinned", &Safeguards::evictOnlyUnpinned, true},
                                         DisabledSafeguard{"unknownEndKeepsPin", &Safeguards::unknownEndKeepsPin, true},
                                         DisabledSafeguard{"unknownAfterLostReply", &Safeguards::unknownAfterLostReply,
                                                           true},
                                         DisabledSafeguard{"listAfterChange", &Safeguards::listAfterChange, true},
                                         DisabledSafeguard{"recoveryWait", &Safeguards::recoveryWait, false},
                                         DisabledSafeguard{"fenceCheck", &Safeguards::fenceCheck, true},
                                         DisabledSafeguard{"duplicateFilter", &Safeguards::duplicateFilter, true}),
                         [](const auto &test) { return std::string(test.param.name); });

} // namespace anvilscale::test
