// Greedy offline policy with full knowledge of the trace.
#include "offline_bound.h"

#include <algorithm>
#include <map>
#include <set>

namespace anvilscale::bench {

namespace {

constexpr Duration noFurtherUse = Duration::max();

class OfflinePolicy
{
public:
    OfflinePolicy(const Trace &trace, bool hasPrefetch)
        : trace_(trace)
        , hasPrefetch_(hasPrefetch)
        , useTimes_(trace.spec.adapters)
        , nextUseIndex_(trace.spec.adapters, 0)
        , busyUntil_(trace.spec.adapters, Duration{})
        , loadTime_(static_cast<std::int64_t>(1e6 / trace.spec.loadRate))
        , slots_(static_cast<std::size_t>(trace.spec.engines) * trace.spec.slots)
    {
        for (const auto &call : trace.calls) {
            if (!call.isService) {
                useTimes_[call.adapter].push_back(call.at);
            }
        }
        for (std::uint32_t adapter = 0; adapter < useTimes_.size(); ++adapter) {
            if (!useTimes_[adapter].empty()) {
                absent_.emplace(useTimes_[adapter].front(), adapter);
            }
        }
    }

    std::vector<Duration> run()
    {
        for (const auto &call : trace_.calls) {
            if (call.isService) {
                continue;
            }
            loadUntil(call.at);
            serve(call);
        }
        return stalls_;
    }

private:
    Duration nextUse(std::uint32_t adapter) const
    {
        return nextUseIndex_[adapter] < useTimes_[adapter].size() ? useTimes_[adapter][nextUseIndex_[adapter]]
                                                                  : noFurtherUse;
    }

    /// Prefetches adapters while the store is idle before `until`.
    void loadUntil(Duration until)
    {
        while (hasPrefetch_ && storeFreeAt_ <= until && !absent_.empty()) {
            const auto [use, adapter] = *absent_.begin();
            if (!evictFor(use, storeFreeAt_)) {
                return;
            }
            load(adapter, storeFreeAt_);
        }
    }

    /// Frees a slot for an adapter used at `use` by evicting an idle one with a later next use. False if there is none.
    bool evictFor(Duration use, Duration now)
    {
        if (resident_.size() < slots_) {
            return true;
        }
        for (auto position = resident_.rbegin(); position != resident_.rend(); ++position) {
            const auto [residentNextUse, adapter] = *position;
            if (residentNextUse <= use) {
                return false;
            }
            if (busyUntil_[adapter] > now) {
                continue;
            }
            resident_.erase(std::next(position).base());
            readyAt_.erase(adapter);
            if (residentNextUse != noFurtherUse) {
                absent_.emplace(residentNextUse, adapter);
            }
            return true;
        }
        return false;
    }

    void load(std::uint32_t adapter, Duration at)
    {
        const auto use = nextUse(adapter);
        absent_.erase({use, adapter});
        resident_.emplace(use, adapter);
        storeFreeAt_ = at + loadTime_;
        readyAt_[adapter] = storeFreeAt_;
    }

    void serve(const TraceCall &call)
    {
        const auto adapter = call.adapter;
        if (!readyAt_.contains(adapter)) {
            const auto from = std::max(storeFreeAt_, call.at);
            // If all slots are busy, the load waits for the first one to become free.
            const auto start = evictFor(call.at, from) ? from : evictFirstFree(from);
            load(adapter, start);
        }
        const auto ready = readyAt_[adapter];
        stalls_.push_back(std::max(Duration{}, ready - call.at));
        resident_.erase({nextUse(adapter), adapter});
        ++nextUseIndex_[adapter];
        resident_.emplace(nextUse(adapter), adapter);
        busyUntil_[adapter] = std::max(busyUntil_[adapter], std::max(ready, call.at) + runTime(call));
    }

    Duration evictFirstFree(Duration from)
    {
        std::uint32_t best = resident_.begin()->second;
        for (const auto &[use, adapter] : resident_) {
            best = busyUntil_[adapter] < busyUntil_[best] ? adapter : best;
        }
        const auto use = nextUse(best);
        resident_.erase({use, best});
        readyAt_.erase(best);
        if (use != noFurtherUse) {
            absent_.emplace(use, best);
        }
        return std::max(from, busyUntil_[best]);
    }

    /// Run time of the call alone on its engine.
    Duration runTime(const TraceCall &call) const
    {
        const auto &cost = trace_.spec.cost;
        const double step = cost.baseMs + cost.perSequenceMs + cost.perAdapterMs;
        const double ms = call.outputTokens * step + call.promptTokens * cost.perPromptTokenMs;
        return Duration(static_cast<std::int64_t>(ms * 1000.0));
    }

    const Trace &trace_;
    bool hasPrefetch_;
    std::vector<std::vector<Duration>> useTimes_;
    std::vector<std::size_t> nextUseIndex_; // index of the first unserved use
    std::vector<Duration> busyUntil_;
    Duration loadTime_;
    std::size_t slots_;
    std::set<std::pair<Duration, std::uint32_t>> resident_; // sorted by next use
    std::set<std::pair<Duration, std::uint32_t>> absent_; // not resident, with a next use
    std::map<std::uint32_t, Duration> readyAt_;
    Duration storeFreeAt_{};
    std::vector<Duration> stalls_;
};

struct Summary
{
    Duration p99{};
    double total = 0.0;
};

Summary summarize(const Trace &trace, const std::vector<Duration> &stalls)
{
    std::vector<Duration> measured;
    std::size_t index = 0;
    Summary out;
    for (const auto &call : trace.calls) {
        if (call.isService) {
            continue;
        }
        const auto stall = stalls[index++];
        if (call.at >= trace.warmUpUntil) {
            measured.push_back(stall);
            out.total += static_cast<double>(stall.count()) * 1e-6;
        }
    }
    std::sort(measured.begin(), measured.end());
    if (!measured.empty()) {
        out.p99 = measured[static_cast<std::size_t>(0.99 * static_cast<double>(measured.size() - 1))];
    }
    return out;
}

} // namespace

OfflineBound offlineBound(const Trace &trace)
{
    const auto prefetching = summarize(trace, OfflinePolicy(trace, true).run());
    const auto onDemand = summarize(trace, OfflinePolicy(trace, false).run());
    // Neither is optimal with a saturated store, so the better one is used as the bound.
    return OfflineBound{std::min(prefetching.p99, onDemand.p99), std::min(prefetching.total, onDemand.total),
                        onDemand.p99, onDemand.total};
}

void printBound(std::ostream &out, const OfflineBound &bound)
{
    const auto ms = [](Duration duration) { return static_cast<double>(duration.count()) * 1e-3; };
    out << ",\"offline\":{\"stall_p99_ms\":" << ms(bound.stallP99) << ",\"stall_total_s\":" << bound.stallTotalSeconds
        << ",\"demand_only_p99_ms\":" << ms(bound.demandP99) << ",\"demand_only_total_s\":" << bound.demandTotalSeconds
        << "},\"batch_limit\":1.0";
}

} // namespace anvilscale::bench
