// The clairvoyant's run.
#include "offline_bound.h"

#include <algorithm>
#include <map>
#include <set>

namespace anvilscale::bench {

namespace {

constexpr Duration never = Duration::max();

class Clairvoyant
{
public:
    Clairvoyant(const Trace &trace, bool prefetch)
        : trace_(trace)
        , prefetch_(prefetch)
        , uses_(trace.site.adapters)
        , next_(trace.site.adapters, 0)
        , busyUntil_(trace.site.adapters, Duration{})
        , loadTime_(static_cast<std::int64_t>(1e6 / trace.site.loadRate))
        , slots_(static_cast<std::size_t>(trace.site.engines) * trace.site.slots)
    {
        for (const auto &call : trace.calls) {
            if (!call.service) {
                uses_[call.adapter].push_back(call.at);
            }
        }
        for (std::uint32_t adapter = 0; adapter < uses_.size(); ++adapter) {
            if (!uses_[adapter].empty()) {
                absent_.emplace(uses_[adapter].front(), adapter);
            }
        }
    }

    std::vector<Duration> run()
    {
        for (const auto &call : trace_.calls) {
            if (call.service) {
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
        return next_[adapter] < uses_[adapter].size() ? uses_[adapter][next_[adapter]] : never;
    }

    /// Loads ahead of need while the store is free before `until`.
    void loadUntil(Duration until)
    {
        while (prefetch_ && storeFree_ <= until && !absent_.empty()) {
            const auto [use, adapter] = *absent_.begin();
            if (!makeRoom(use, storeFree_)) {
                return;
            }
            load(adapter, storeFree_);
        }
    }

    /// A slot for an adapter that is used at `use`; an idle one with a later next use goes.
    bool makeRoom(Duration use, Duration now)
    {
        if (resident_.size() < slots_) {
            return true;
        }
        for (auto place = resident_.rbegin(); place != resident_.rend(); ++place) {
            const auto [nextUseOf, adapter] = *place;
            if (nextUseOf <= use) {
                return false;
            }
            if (busyUntil_[adapter] > now) {
                continue;
            }
            resident_.erase(std::next(place).base());
            readyAt_.erase(adapter);
            if (nextUseOf != never) {
                absent_.emplace(nextUseOf, adapter);
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
        storeFree_ = at + loadTime_;
        readyAt_[adapter] = storeFree_;
    }

    void serve(const TraceCall &call)
    {
        const auto adapter = call.adapter;
        if (!readyAt_.contains(adapter)) {
            const auto from = std::max(storeFree_, call.at);
            // If all slots are busy the load waits for the first to come free.
            const auto start = makeRoom(call.at, from) ? from : firstFree(from);
            load(adapter, start);
        }
        const auto ready = readyAt_[adapter];
        stalls_.push_back(std::max(Duration{}, ready - call.at));
        resident_.erase({nextUse(adapter), adapter});
        ++next_[adapter];
        resident_.emplace(nextUse(adapter), adapter);
        busyUntil_[adapter] = std::max(busyUntil_[adapter], std::max(ready, call.at) + runTime(call));
    }

    Duration firstFree(Duration from)
    {
        std::uint32_t best = resident_.begin()->second;
        for (const auto &[use, adapter] : resident_) {
            best = busyUntil_[adapter] < busyUntil_[best] ? adapter : best;
        }
        const auto use = nextUse(best);
        resident_.erase({use, best});
        readyAt_.erase(best);
        if (use != never) {
            absent_.emplace(use, best);
        }
        return std::max(from, busyUntil_[best]);
    }

    /// Alone on its engine.
    Duration runTime(const TraceCall &call) const
    {
        const auto &cost = trace_.site.cost;
        const double step = cost.baseMs + cost.perSequenceMs + cost.perAdapterMs;
        const double ms = call.outputTokens * step + call.promptTokens * cost.perPromptTokenMs;
        return Duration(static_cast<std::int64_t>(ms * 1000.0));
    }

    const Trace &trace_;
    bool prefetch_;
    std::vector<std::vector<Duration>> uses_;
    std::vector<std::size_t> next_; // first use that has not been served
    std::vector<Duration> busyUntil_;
    Duration loadTime_;
    std::size_t slots_;
    std::set<std::pair<Duration, std::uint32_t>> resident_; // by next use
    std::set<std::pair<Duration, std::uint32_t>> absent_; // that have a next use
    std::map<std::uint32_t, Duration> readyAt_;
    Duration storeFree_{};
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
        if (call.service) {
            continue;
        }
        const auto stall = stalls[index++];
        if (call.at >= trace.measureFrom) {
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
    const auto ahead = summarize(trace, Clairvoyant(trace, true).run());
    const auto demand = summarize(trace, Clairvoyant(trace, false).run());
    // Neither is optimal under a saturated store: the better one is the bound.
    return OfflineBound{std::min(ahead.p99, demand.p99), std::min(ahead.total, demand.total), demand.p99, demand.total};
}

void printBound(std::ostream &out, const OfflineBound &bound)
{
    const auto ms = [](Duration duration) { return static_cast<double>(duration.count()) * 1e-3; };
    out << ",\"offline\":{\"stall_p99_ms\":" << ms(bound.stallP99) << ",\"stall_total_s\":" << bound.stallTotalSeconds
        << ",\"demand_only_p99_ms\":" << ms(bound.demandP99) << ",\"demand_only_total_s\":" << bound.demandTotalSeconds
        << "},\"batch_limit\":1.0";
}

} // namespace anvilscale::bench
