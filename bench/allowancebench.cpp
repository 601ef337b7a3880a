// Compares ways to keep a workspace within its allowance over many entries, in virtual time: equal parts, parts that
// follow demand, and pooled parts. Prints one line for each way, number of entries and pattern of arrivals.
#include "support/allowance_fleet.h"

#include <concepts>
#include <cstdio>
#include <numeric>

namespace {

using namespace anvilscale;
using test::AllowanceFleet;
using test::FleetShape;
using test::UsedAllowance;

constexpr Duration window = Seconds(8);
constexpr Duration warmUp = Seconds(3);
constexpr Duration measured = Seconds(40);

/// A way to limit one workspace at many entries.
template<class T>
concept AllowanceScheme = requires(T scheme, std::uint32_t entry, double cost, Duration span)
{
    scheme.call(entry, cost);
    scheme.advance(span);
    {
        scheme.refusals()
        } -> std::convertible_to<std::uint64_t>;
    {
        scheme.used
        } -> std::convertible_to<std::vector<UsedAllowance>>;
    {
        scheme.messages
        } -> std::convertible_to<std::uint64_t>;
};

/// Each entry has a bucket with its part of the allowance.
class Parts
{
public:
    explicit Parts(const FleetShape &shape)
        : shape_(shape)
        , buckets_(shape.entries, AllowanceBucket(now_))
        , parts_(shape.entries, 1.0 / shape.entries)
        , demand_(shape.entries, 0)
    {
    }
    void call(std::uint32_t entry, double cost)
    {
        demand_[entry] += cost;
        auto &bucket = buckets_[entry];
        bucket.refill(shape_.allowance, parts_[entry], now_);
        if (bucket.take(cost)) {
            used.push_back({now_, cost});
        } else {
            ++refusals_;
        }
    }
    void advance(Duration span)
    {
        now_ += span;
    }
    std::uint64_t refusals() const
    {
        return refusals_;
    }

    std::vector<UsedAllowance> used;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

protected:
    FleetShape shape_;
    TimePoint now_{Seconds(100)};
    std::vector<AllowanceBucket> buckets_;
    std::vector<double> parts_;
    std::vector<double> demand_; // since the last exchange
    std::uint64_t refusals_ = 0;
};

/// One bucket that all entries share without delay: what a perfect scheme can reach.
class Perfect : public Parts
{
public:
    explicit Perfect(FleetShape shape)
        : Parts(withOneEntry(shape))
    {
    }
    void call(std::uint32_t /*entry*/, double cost)
    {
        Parts::call(0, cost);
    }

private:
    static FleetShape withOneEntry(FleetShape shape)
    {
        shape.entries = 1;
        return shape;
    }
};

/// Entries report their demand on an interval, and one sidecar answers with parts in proportion to it. Half of the
/// allowance stays divided equally, so that an entry without recent calls can serve one.
class DemandParts : public Parts
{
public:
    using Parts::Parts;
    void advance(Duration span)
    {
        Parts::advance(span);
        if (now_ < nextExchangeAt_) {
            return;
        }
        nextExchangeAt_ = now_ + exchangeInterval;
        messages += 2ULL * shape_.entries;
        bytes += 2ULL * shape_.entries * messageBytes;
        const double total = std::accumulate(demand_.begin(), demand_.end(), 0.0);
        for (std::uint32_t i = 0; i < shape_.entries; ++i) {
            smoothed_.resize(shape_.entries, 0);
            smoothed_[i] += smoothing * ((total > 0 ? demand_[i] / total : 0) - smoothed_[i]);
            parts_[i] = equalShare / shape_.entries + (1 - equalShare) * smoothed_[i];
            buckets_[i].refill(shape_.allowance, parts_[i], now_);
            demand_[i] = 0;
        }
    }

private:
    static constexpr Duration exchangeInterval = Milliseconds(250);
    static constexpr std::uint64_t messageBytes = 40;
    static constexpr double smoothing = 0.3;
    static constexpr double equalShare = 0.5;
    TimePoint nextExchangeAt_{};
    std::vector<double> smoothed_;
};

class Pooled : public AllowanceFleet
{
public:
    using AllowanceFleet::AllowanceFleet;
    std::uint64_t refusals() const
    {
        return overAllowance + unknown;
    }
};

enum class Arrivals : std::uint8_t {
    Even,
    Skewed, ///< a few entries get most calls
    Moving, ///< skewed, and the order of the entries changes
    Count
};
constexpr std::array<const char *, enumCount<Arrivals>> arrivalNames{"even", "skewed", "moving"};

std::uint32_t pickEntry(Arrivals arrivals, std::uint32_t entries, Duration elapsed, Random &random)
{
    if (arrivals == Arrivals::Even) {
        return static_cast<std::uint32_t>(random.uniformBelow(entries));
    }
    const double point = random.uniform();
    const auto rank = static_cast<std::uint32_t>(point * point * point * entries);
    const auto shift = arrivals == Arrivals::Moving ? static_cast<std::uint32_t>(elapsed / Seconds(3)) * 7 : 0;
    return (rank + shift) % entries;
}

/// Tokens of a call: long prompts, short prompts and plain calls.
double pickCost(Random &random)
{
    const double kind = random.uniform();
    if (kind < 0.33) {
        return 1500 + random.exponential(7700);
    }
    return kind < 0.67 ? 400 + random.exponential(700) : 200;
}

template<AllowanceScheme Scheme>
void measure(const char *name, std::uint32_t entries, Arrivals arrivals, double load)
{
    FleetShape shape;
    shape.entries = entries;
    shape.allowance = {29000, 29000, AllowanceUnit::Tokens, 200};
    Scheme scheme(shape);
    Random random(entries);
    constexpr double meanCost = 0.33 * 9200 + 0.34 * 1100 + 0.33 * 200;
    const double callsPerMs = load * shape.allowance.ratePerSecond / 1000 / meanCost;
    std::uint64_t calls = 0;
    scheme.advance(warmUp);
    for (Duration elapsed{}; elapsed < measured; elapsed += Milliseconds(1)) {
        scheme.advance(Milliseconds(1));
        for (double due = callsPerMs; due > 0; due -= 1) {
            if (random.uniform() < due) {
                ++calls;
                scheme.call(pickEntry(arrivals, entries, elapsed, random), pickCost(random));
            }
        }
    }
    double used = 0;
    for (const auto &use : scheme.used) {
        used += use.cost;
    }
    const double allowed = shape.allowance.ratePerSecond * toSeconds(measured);
    const double allowedInWindow = shape.allowance.ratePerSecond * toSeconds(window) + shape.allowance.burst;
    std::printf("%-12s %4u %-7s %4.2f  %6.2f %6.3f %6.3f %9.1f\n", name, entries,
                arrivalNames[static_cast<std::size_t>(arrivals)], load,
                100.0 * static_cast<double>(scheme.refusals()) / static_cast<double>(calls), used / allowed,
                largestUse(scheme.used, window) / allowedInWindow,
                static_cast<double>(scheme.bytes) / toSeconds(measured) / entries);
}

} // namespace

int main()
{
    std::printf("way          VMs arrivals load  refused%%  used  window  bytes/s/VM\n");
    for (const std::uint32_t entries : {22U, 68U, 360U}) {
        for (std::size_t i = 0; i < enumCount<Arrivals>; ++i) {
            for (const double load : {0.55, 3.3}) {
                const auto arrivals = static_cast<Arrivals>(i);
                measure<Parts>("equal", entries, arrivals, load);
                measure<DemandParts>("by demand", entries, arrivals, load);
                measure<Perfect>("perfect", entries, arrivals, load);
                measure<Pooled>("pooled", entries, arrivals, load);
            }
        }
    }
    return 0;
}
