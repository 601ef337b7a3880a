// Injection of faults and their effects.
#include "simulation.h"

namespace anvilscale::faults {

namespace {

constexpr Duration longDelay = Seconds(3);
constexpr Duration reorderDelay = Milliseconds(4);
constexpr Duration pauseDuration = Seconds(6); // outlasts a lease
constexpr Duration kvOutageDuration = Seconds(7);
constexpr Duration partitionDuration = Seconds(7);

} // namespace

Simulation::FaultEffect Simulation::injectFaults(Step step, Node &actor)
{
    FaultEffect effect;
    if (!isInjecting_ || step == Step::Other) {
        return effect;
    }
    const auto number = ++passCounts_[step];
    for (const auto &injection : injections_) {
        if (injection.step == step && injection.pass == number) {
            ++injectedCount_;
            trace("fault " + std::string(toString(injection.fault)) + " at " + std::string(toString(step)) + " of "
                  + actor.name);
            applyFault(injection.fault, actor, effect);
        }
    }
    return effect;
}

void Simulation::applyFault(Fault fault, Node &actor, FaultEffect &effect)
{
    Node &engine = actor.isSidecar() && actor.endpoint.isEngine ? actor : node("s1");
    switch (fault) {
    case Fault::MessageLost:
        effect.isLost = true;
        break;
    case Fault::MessageDoubled:
        effect.isDuplicated = true;
        break;
    case Fault::MessageDelayed:
        effect.delay = longDelay;
        break;
    case Fault::MessageReordered:
        effect.delay = reorderDelay;
        break;
    case Fault::ReplyLost:
        effect.isReplyLost = true;
        break;
    case Fault::ProcessKilled:
        kill(actor);
        break;
    case Fault::ProcessPaused:
        actor.isPaused = true;
        schedule(pauseDuration, [this, &actor] { resume(actor); });
        break;
    case Fault::KeyValueDown:
        isKvDown_ = true;
        kv_.breakWatches();
        schedule(kvOutageDuration, [this] { isKvDown_ = false; });
        break;
    case Fault::KeyValueSlow:
        isKvSlow_ = true;
        schedule(kvOutageDuration, [this] { isKvSlow_ = false; });
        break;
    case Fault::EngineRestarted:
        restartEngine(engine);
        break;
    case Fault::LoadFailed:
        engine.endpoint.failNextLoad = true;
        break;
    case Fault::EndpointLeaving:
        startLeaving(actor.isSidecar() ? actor : node("s1"), false);
        break;
    case Fault::RacingOperator:
        applyChange("rival", "r1", "v2");
        break;
    case Fault::DataCentresParted:
        isPartitioned_ = true;
        schedule(partitionDuration, [this] { isPartitioned_ = false; });
        break;
    case Fault::Count:
        break;
    }
}

/// Marks the node as leaving in the VM list and, if `byOrder`, sends it a drain order from an entry as well.
void Simulation::startLeaving(Node &leaving, bool byOrder)
{
    if (leaving.leavingSince || leaving.process == nullptr) {
        return;
    }
    leaving.leavingSince = time_;
    const std::string name = leaving.name;
    if (byOrder) {
        wire::Envelope message;
        message.set_protocol(wireProtocol);
        auto &target = *message.mutable_drain_order()->mutable_target();
        target.set_name(name);
        target.set_incarnation(leaving.incarnation);
        Node &entry = node("e1");
        sendMessage(entry, name, message);
    }
    // The platform's stop signal arrives after the VM list in both cases.
    post(name, Milliseconds(700), [this, &leaving] { leaving.process->sidecar->drain(nowOf(leaving)); });
}

void Simulation::restartEngine(Node &engine)
{
    ++engine.endpoint.incarnation;
    engine.endpoint.restartedAt = time_;
    engine.endpoint.loaded.clear();
    engine.endpoint.highestFence = 0;
    for (auto &run : runs_) {
        run.isRunning = run.isRunning && run.endpoint != engine.name;
    }
    if (engine.process == nullptr) {
        return;
    }
    for (const auto &[execution, openExecution] : engine.process->openExecutions) {
        const auto executionHandle = execution;
        post(engine.name, Milliseconds(1), [this, name = engine.name, executionHandle] {
            endExecution(name, executionHandle, CallOutcome::Unknown, FailureReason::EndpointCut);
        });
    }
}

void Simulation::clearFaults()
{
    isKvDown_ = false;
    isKvSlow_ = false;
    isPartitioned_ = false;
    droppedLinks_.clear();
    for (auto &[name, other] : nodes_) {
        resume(*other);
        other->endpoint.failNextLoad = false;
    }
}

} // namespace anvilscale::faults
