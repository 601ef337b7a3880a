// Fake engine and weight store in virtual time.
#include "fakes.h"

#include <algorithm>

namespace anvilscale::bench {

AdapterVersion parseAdapter(const std::string &text)
{
    const auto at = text.find('@');
    return AdapterVersion{text.substr(0, at), text.substr(at + 1)};
}

FakeWeightStore::FakeWeightStore(TimerService &timers, double rate, std::uint64_t seed)
    : timers_(timers)
    , random_(seed)
    , rate_(rate)
{
}

double FakeWeightStore::ratePerLoad() const
{
    return rate_ * rateFactor_ / static_cast<double>(std::max<std::size_t>(1, activeLoads_.size()));
}

void FakeWeightStore::updateProgress(TimePoint now)
{
    const double seconds = static_cast<double>((now - lastUpdate_).count()) * 1e-6;
    for (auto &[id, load] : activeLoads_) {
        load.remaining -= seconds * ratePerLoad();
    }
    lastUpdate_ = now;
}

void FakeWeightStore::armTimer(TimePoint now)
{
    timers_.cancel(timer_);
    if (activeLoads_.empty()) {
        return;
    }
    double minRemaining = 1.0;
    for (const auto &[id, load] : activeLoads_) {
        minRemaining = std::min(minRemaining, load.remaining);
    }
    const auto wait = Duration(static_cast<std::int64_t>(std::max(0.0, minRemaining) / ratePerLoad() * 1e6) + 1);
    timer_ = timers_.subscribe(now + wait, [this](TimePoint at) {
        updateProgress(at);
        std::vector<Callback> finished;
        for (auto &[id, load] : activeLoads_) {
            if (load.remaining <= 1e-9) {
                finished.push_back(std::move(load.done));
            }
        }
        std::erase_if(activeLoads_, [](const auto &item) { return item.second.remaining <= 1e-9; });
        armTimer(at);
        for (const auto &callback : finished) {
            callback(OrderOutcome::Done, Now{at, {}});
        }
    });
}

void FakeWeightStore::load(TimePoint now, Callback done)
{
    if (refusalShare_ > 0.0 && random_.uniform() < refusalShare_) {
        timers_.subscribe(now + Milliseconds(5), [done = std::move(done)](TimePoint at) {
            done(OrderOutcome::Refused, Now{at, {}});
        });
        return;
    }
    ++loads_;
    updateProgress(now);
    activeLoads_[++lastId_] = Load{1.0, std::move(done)};
    armTimer(now);
}

void FakeWeightStore::setDisturbance(double rateFactor, double refusalShare, TimePoint now)
{
    updateProgress(now);
    rateFactor_ = rateFactor;
    refusalShare_ = refusalShare;
    armTimer(now);
}

FakeEngine::FakeEngine(TimerService &timers, const DeploymentSpec &spec, EngineEvents events)
    : timers_(timers)
    , spec_(spec)
    , events_(std::move(events))
{
}

bool FakeEngine::hasFreeSlot() const
{
    return loaded_.size() < spec_.slots;
}

void FakeEngine::addAdapter(const std::string &adapter, TimePoint now)
{
    loaded_[adapter] = now;
}

bool FakeEngine::removeAdapter(const std::string &adapter)
{
    const auto isUser = [&](const auto &item) { return item.second.adapter == adapter; };
    if (std::any_of(running_.begin(), running_.end(), isUser)
        || std::any_of(waiting_.begin(), waiting_.end(), isUser)) {
        ++faultCount_;
        return false;
    }
    loaded_.erase(adapter);
    return true;
}

std::optional<TimePoint> FakeEngine::loadedAt(const std::string &adapter) const
{
    const auto position = loaded_.find(adapter);
    return position == loaded_.end() ? std::nullopt : std::optional(position->second);
}

void FakeEngine::start(ExecutionHandle execution, const std::string &adapter, std::uint32_t prompt,
                       std::uint32_t output, TimePoint now)
{
    if (isDown_ || !loaded_.contains(adapter)) {
        faultCount_ += isDown_ ? 0 : 1;
        timers_.subscribe(now + Milliseconds(1), [this, execution](TimePoint at) {
            events_.ended(execution, CallOutcome::Failed, FailureReason::EndpointUnreachable, 0, Now{at, {}});
        });
        return;
    }
    waiting_.emplace_back(execution, Sequence{adapter, prompt, output, 0});
    armStep(now);
}

void FakeEngine::cancel(ExecutionHandle execution, TimePoint now)
{
    running_.erase(execution);
    std::erase_if(waiting_, [&](const auto &item) { return item.first == execution; });
    timers_.subscribe(now + Milliseconds(5), [this, execution](TimePoint at) {
        events_.ended(execution, CallOutcome::Cancelled, FailureReason::CallerGone, 0, Now{at, {}});
    });
}

double FakeEngine::stepMs() const
{
    std::set<std::string_view> distinctAdapters;
    double prompt = 0.0;
    for (const auto &[execution, sequence] : running_) {
        distinctAdapters.insert(sequence.adapter);
        prompt += sequence.generated == 0 ? sequence.prompt : 0;
    }
    const auto &cost = spec_.cost;
    return cost.baseMs + cost.perSequenceMs * static_cast<double>(running_.size())
           + cost.perAdapterMs * static_cast<double>(distinctAdapters.size()) + cost.perPromptTokenMs * prompt;
}

void FakeEngine::armStep(TimePoint now)
{
    if (isStepping_ || isDown_) {
        return;
    }
    while (!waiting_.empty() && running_.size() < spec_.batch) {
        running_.insert(std::move(waiting_.front()));
        waiting_.erase(waiting_.begin());
    }
    if (running_.empty()) {
        return;
    }
    isStepping_ = true;
    currentStepMs_ = stepMs();
    stepTimer_ = timers_.subscribe(now + Duration(static_cast<std::int64_t>(currentStepMs_ * 1000.0)),
                                   [this](TimePoint at) { step(at); });
}

void FakeEngine::step(TimePoint now)
{
    isStepping_ = false;
    const double seconds = currentStepMs_ * 1e-3;
    usage_.busySeconds += seconds;
    usage_.occupiedSeconds += seconds * static_cast<double>(running_.size()) / spec_.batch;
    usage_.tokens += static_cast<double>(running_.size());
    std::vector<ExecutionHandle> withFirstToken;
    std::vector<std::pair<ExecutionHandle, std::uint32_t>> finished;
    for (auto &[execution, sequence] : running_) {
        ++sequence.generated;
        --sequence.remaining;
        if (sequence.generated == 1) {
            withFirstToken.push_back(execution);
        }
        if (sequence.remaining == 0) {
            finished.emplace_back(execution, sequence.generated);
        }
    }
    for (const auto &[execution, tokens] : finished) {
        running_.erase(execution);
    }
    for (const auto execution : withFirstToken) {
        events_.firstToken(execution, Now{now, {}});
    }
    for (const auto &[execution, tokens] : finished) {
        events_.ended(execution, CallOutcome::Complete, FailureReason::None, tokens, Now{now, {}});
    }
    armStep(now);
}

void FakeEngine::restart(TimePoint now)
{
    isDown_ = true;
    isStepping_ = false;
    timers_.cancel(stepTimer_);
    loaded_.clear();
    ++incarnation_;
    std::vector<ExecutionHandle> interrupted;
    for (const auto &[execution, sequence] : running_) {
        interrupted.push_back(execution);
    }
    for (const auto &[execution, sequence] : waiting_) {
        interrupted.push_back(execution);
    }
    running_.clear();
    waiting_.clear();
    for (const auto execution : interrupted) {
        events_.ended(execution, CallOutcome::Failed, FailureReason::EndpointRestarted, 0, Now{now, {}});
    }
}

void FakeEngine::recover()
{
    isDown_ = false;
}

EngineList FakeEngine::list() const
{
    EngineList out;
    out.incarnation = incarnation_;
    std::map<std::string, std::uint32_t> counts;
    for (const auto &[execution, sequence] : running_) {
        ++counts[sequence.adapter];
    }
    for (const auto &[adapter, at] : loaded_) {
        out.loaded.push_back(parseAdapter(adapter));
    }
    for (const auto &[adapter, count] : counts) {
        out.running.emplace_back(parseAdapter(adapter), count);
    }
    return out;
}

EngineReport FakeEngine::report() const
{
    EngineReport out;
    out.incarnation = incarnation_;
    out.running = static_cast<std::uint32_t>(running_.size());
    out.waiting = static_cast<std::uint32_t>(waiting_.size());
    out.stepFillPermille = out.running * 1000 / spec_.batch;
    return out;
}

} // namespace anvilscale::bench
