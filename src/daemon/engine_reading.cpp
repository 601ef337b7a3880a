// Messages and log lines of the reading turns of one engine.
#include "engine_reading.h"

#include "anvilscale/telemetry.h"

namespace anvilscale {

namespace {

// Weight of a budget that begins or stops to apply among changes of work: entries decide by it for every call.
constexpr std::uint64_t budgetChangeTokens = 24'000;

} // namespace

EngineReading::EngineReading(const DirectPolicy &policy, Send send)
    : queue_(policy)
    , send_(std::move(send))
{
}

void EngineReading::onUpdate(PeerHandle peer, const wire::ReadingUpdate &update, TimePoint now)
{
    queue_.applyUpdate(peer, update, now);
}

void EngineReading::onPeerLost(PeerHandle peer, TimePoint now)
{
    queue_.onPeerLost(peer, now);
}

void EngineReading::applyEngine(const AdapterController &controller, TimePoint now)
{
    queue_.applyPlan(controller.plan(), now);
    if (std::exchange(engineRestarts_, controller.engineRestarts()) != controller.engineRestarts()) {
        queue_.onEngineRestarted(now);
    }
}

void EngineReading::afterEvents(TimePoint now)
{
    queue_.tick(now);
    for (auto &[peer, answer] : queue_.takeAnswers()) {
        wire::Envelope message;
        *message.mutable_reading_answer() = std::move(answer);
        send_(peer, message);
    }
    logBudget();
}

void EngineReading::logBudget()
{
    const bool isLimited = queue_.budget() != 0;
    if (std::exchange(wasLimited_, isLimited) == isLimited) {
        return;
    }
    logEvent(Event::ReadingTurns, {{"budgetTokens", queue_.budget()},
                                   {"queuedTokens", queue_.queuedTokens()},
                                   {"msPerToken", queue_.msPerToken()},
                                   {"shareBeyondPause", queue_.shareBeyondPause()}});
}

std::optional<TimePoint> EngineReading::nextDueAt() const
{
    return queue_.nextDueAt();
}

void EngineReading::addTo(wire::DirectState &state) const
{
    queue_.addTo(state);
}

std::uint64_t EngineReading::changedWork() const
{
    if ((queue_.budget() != 0) != sentLimited_) {
        return budgetChangeTokens;
    }
    const auto queued = queue_.queuedTokens();
    return queued > sentQueued_ ? queued - sentQueued_ : sentQueued_ - queued;
}

void EngineReading::onStateSent()
{
    sentLimited_ = queue_.budget() != 0;
    sentQueued_ = queue_.queuedTokens();
}

void EngineReading::logCounters()
{
    const auto &stats = queue_.stats();
    if (stats == loggedStats_) {
        return;
    }
    loggedStats_ = stats;
    logEvent(Event::ReadingMeasured, {{"budgetTokens", queue_.budget()},
                                      {"prefillTokens", queue_.prefillTokens()},
                                      {"queuedTokens", queue_.queuedTokens()},
                                      {"msPerToken", queue_.msPerToken()},
                                      {"shareBeyondPause", queue_.shareBeyondPause()},
                                      {"sentWithoutTurn", stats.sentWithoutTurn},
                                      {"granted", stats.granted},
                                      {"queued", stats.queued},
                                      {"refused", stats.refused},
                                      {"expired", stats.expired},
                                      {"untracked", stats.untracked},
                                      {"speedSamples", stats.speedSamples}});
}

} // namespace anvilscale
