// The fakes.
#include "fakes.h"

#include <algorithm>

namespace anvilscale::bench {

AdapterVersion parseAdapter(const std::string &text)
{
    const auto at = text.find('@');
    return AdapterVersion{text.substr(0, at), text.substr(at + 1)};
}

FakeStore::FakeStore(TimerService &timers, double rate, std::uint64_t seed)
    : timers_(timers)
    , random_(seed)
    , rate_(rate)
{
}

double FakeStore::rateNow() const
{
    return rate_ * factor_ / static_cast<double>(std::max<std::size_t>(1, active_.size()));
}

void FakeStore::progress(TimePoint now)
{
    const double seconds = static_cast<double>((now - last_).count()) * 1e-6;
    for (auto &[id, load] : active_) {
        load.left -= seconds * rateNow();
    }
    last_ = now;
}

void FakeStore::arm(TimePoint now)
{
    timers_.cancel(timer_);
    if (active_.empty()) {
        return;
    }
    double least = 1.0;
    for (const auto &[id, load] : active_) {
        least = std::min(least, load.left);
    }
    const auto wait = Duration(static_cast<std::int64_t>(std::max(0.0, least) / rateNow() * 1e6) + 1);
    timer_ = timers_.subscribe(now + wait, [this](TimePoint at) {
        progress(at);
        std::vector<Callback> done;
        for (auto &[id, load] : active_) {
            if (load.left <= 1e-9) {
                done.push_back(std::move(load.done));
            }
        }
        std::erase_if(active_, [](const auto &item) { return item.second.left <= 1e-9; });
        arm(at);
        for (const auto &callback : done) {
            callback(OrderOutcome::Done, Now{at, {}});
        }
    });
}

void FakeStore::load(TimePoint now, Callback done)
{
    if (refusals_ > 0.0 && random_.unit() < refusals_) {
        timers_.subscribe(now + Milliseconds(5), [done = std::move(done)](TimePoint at) {
            done(OrderOutcome::Refused, Now{at, {}});
        });
        return;
    }
    ++loads_;
    progress(now);
    active_[++lastId_] = Load{1.0, std::move(done)};
    arm(now);
}

void FakeStore::disturb(double factor, double refusals, TimePoint now)
{
    progress(now);
    factor_ = factor;
    refusals_ = refusals;
    arm(now);
}

FakeEngine::FakeEngine(TimerService &timers, const Site &site, EngineEvents events)
    : timers_(timers)
    , site_(site)
    , events_(std::move(events))
{
}

bool FakeEngine::hasRoom() const
{
    return loaded_.size() < site_.slots;
}

void FakeEngine::addAdapter(const std::string &adapter, TimePoint now)
{
    loaded_[adapter] = now;
}

bool FakeEngine::removeAdapter(const std::string &adapter)
{
    const auto uses = [&](const auto &item) { return item.second.adapter == adapter; };
    if (std::any_of(running_.begin(), running_.end(), uses) || std::any_of(waiting_.begin(), waiting_.end(), uses)) {
        ++faults_;
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
    if (down_ || !loaded_.contains(adapter)) {
        faults_ += down_ ? 0 : 1;
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
    std::set<std::string_view> distinct;
    double prompt = 0.0;
    for (const auto &[execution, sequence] : running_) {
        distinct.insert(sequence.adapter);
        prompt += sequence.made == 0 ? sequence.prompt : 0;
    }
    const auto &cost = site_.cost;
    return cost.baseMs + cost.perSequenceMs * static_cast<double>(running_.size())
           + cost.perAdapterMs * static_cast<double>(distinct.size()) + cost.perPromptTokenMs * prompt;
}

void FakeEngine::armStep(TimePoint now)
{
    if (stepping_ || down_) {
        return;
    }
    while (!waiting_.empty() && running_.size() < site_.batch) {
        running_.insert(std::move(waiting_.front()));
        waiting_.erase(waiting_.begin());
    }
    if (running_.empty()) {
        return;
    }
    stepping_ = true;
    currentStepMs_ = stepMs();
    stepTimer_ = timers_.subscribe(now + Duration(static_cast<std::int64_t>(currentStepMs_ * 1000.0)),
                                   [this](TimePoint at) { step(at); });
}

void FakeEngine::step(TimePoint now)
{
    stepping_ = false;
    const double seconds = currentStepMs_ * 1e-3;
    use_.busySeconds += seconds;
    use_.filledSeconds += seconds * static_cast<double>(running_.size()) / site_.batch;
    use_.tokens += static_cast<double>(running_.size());
    std::vector<ExecutionHandle> first;
    std::vector<std::pair<ExecutionHandle, std::uint32_t>> done;
    for (auto &[execution, sequence] : running_) {
        ++sequence.made;
        --sequence.left;
        if (sequence.made == 1) {
            first.push_back(execution);
        }
        if (sequence.left == 0) {
            done.emplace_back(execution, sequence.made);
        }
    }
    for (const auto &[execution, tokens] : done) {
        running_.erase(execution);
    }
    for (const auto execution : first) {
        events_.firstToken(execution, Now{now, {}});
    }
    for (const auto &[execution, tokens] : done) {
        events_.ended(execution, CallOutcome::Complete, FailureReason::None, tokens, Now{now, {}});
    }
    armStep(now);
}

void FakeEngine::restart(TimePoint now)
{
    down_ = true;
    stepping_ = false;
    timers_.cancel(stepTimer_);
    loaded_.clear();
    ++incarnation_;
    std::vector<ExecutionHandle> cut;
    for (const auto &[execution, sequence] : running_) {
        cut.push_back(execution);
    }
    for (const auto &[execution, sequence] : waiting_) {
        cut.push_back(execution);
    }
    running_.clear();
    waiting_.clear();
    for (const auto execution : cut) {
        events_.ended(execution, CallOutcome::Failed, FailureReason::EndpointRestarted, 0, Now{now, {}});
    }
}

void FakeEngine::recover()
{
    down_ = false;
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
    out.stepFillPermille = out.running * 1000 / site_.batch;
    return out;
}

} // namespace anvilscale::bench
