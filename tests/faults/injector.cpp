// Faults: which one strikes at a pass of a step, and what it does.
#include "world.h"

namespace anvilscale::faults {

namespace {

constexpr Duration longDelay = Seconds(3);
constexpr Duration overtaken = Milliseconds(4);
constexpr Duration pauseTime = Seconds(6); // longer than a lease
constexpr Duration outage = Seconds(7);
constexpr Duration parting = Seconds(7);

} // namespace

World::Fate World::pass(Step step, Node &actor)
{
    Fate fate;
    if (!armed_ || step == Step::Other) {
        return fate;
    }
    const auto number = ++passes_[step];
    for (const auto &injection : injections_) {
        if (injection.step == step && injection.pass == number) {
            ++reached_;
            trace("fault " + std::string(toString(injection.fault)) + " at " + std::string(toString(step)) + " of "
                  + actor.name);
            inflict(injection.fault, actor, fate);
        }
    }
    return fate;
}

void World::inflict(Fault fault, Node &actor, Fate &fate)
{
    Node &engine = actor.sidecar() && actor.endpoint.engine ? actor : node("s1");
    switch (fault) {
    case Fault::MessageLost:
        fate.lost = true;
        break;
    case Fault::MessageDoubled:
        fate.doubled = true;
        break;
    case Fault::MessageDelayed:
        fate.delay = longDelay;
        break;
    case Fault::MessageReordered:
        fate.delay = overtaken;
        break;
    case Fault::ReplyLost:
        fate.replyLost = true;
        break;
    case Fault::ProcessKilled:
        kill(actor);
        break;
    case Fault::ProcessPaused:
        actor.paused = true;
        at(pauseTime, [this, &actor] { wake(actor); });
        break;
    case Fault::KeyValueDown:
        kvDown_ = true;
        kv_.breakWatches();
        at(outage, [this] { kvDown_ = false; });
        break;
    case Fault::KeyValueSlow:
        kvSlow_ = true;
        at(outage, [this] { kvSlow_ = false; });
        break;
    case Fault::EngineRestarted:
        restartEngine(engine);
        break;
    case Fault::LoadFailed:
        engine.endpoint.failNextLoad = true;
        break;
    case Fault::EndpointLeaving:
        leave(actor.sidecar() ? actor : node("s1"), false);
        break;
    case Fault::RacingOperator:
        applyChange("rival", "r1", "v2");
        break;
    case Fault::DataCentresParted:
        parted_ = true;
        at(parting, [this] { parted_ = false; });
        break;
    case Fault::Count:
        break;
    }
}

/// By the VM list alone, or by an order from an entry as well. The VM is replaced once its process has drained.
void World::leave(Node &leaving, bool byOrder)
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
        link(entry, name, message);
    }
    // The platform's signal comes in every case, after the list.
    post(name, Milliseconds(700), [this, &leaving] { leaving.process->sidecar->drain(nowOf(leaving)); });
}

void World::restartEngine(Node &engine)
{
    ++engine.endpoint.incarnation;
    engine.endpoint.restartedAt = time_;
    engine.endpoint.loaded.clear();
    engine.endpoint.highestFence = 0;
    for (auto &run : runs_) {
        run.running = run.running && run.endpoint != engine.name;
    }
    if (engine.process == nullptr) {
        return;
    }
    for (const auto &[execution, traffic] : engine.process->traffic) {
        const auto cut = execution;
        post(engine.name, Milliseconds(1), [this, name = engine.name, cut] {
            endTraffic(name, cut, CallOutcome::Unknown, FailureReason::EndpointCut);
        });
    }
}

void World::heal()
{
    kvDown_ = false;
    kvSlow_ = false;
    parted_ = false;
    muted_.clear();
    for (auto &[name, other] : nodes_) {
        wake(*other);
        other->endpoint.failNextLoad = false;
    }
}

} // namespace anvilscale::faults
