// Properties of a deployment, learned from calls. Robust against outliers and bounded in memory. Values are defaults
// until measured; callers that refuse calls by them check isMeasured().
#pragma once

#include "anvilscale/base.h"

#include <vector>

namespace anvilscale {

/// Limit of an engine on concurrent adapter loads.
constexpr std::uint32_t maxEngineLoads = 4;

/// Quantiles of the most recent samples. Half of them may be wrong without moving the median out of the good ones.
class RecentSamples
{
public:
    explicit RecentSamples(std::size_t capacity);
    void add(double value);
    std::size_t count() const;
    /// 0 without samples.
    double quantile(double share) const;
    double mean() const;

private:
    void refresh();

    std::size_t capacity_;
    std::size_t next_ = 0; // index of the oldest sample once the ring is full
    std::vector<double> ring_; // invariant: at most capacity_ samples
    std::vector<double> sorted_; // sorted copy, refreshed only every few samples
    std::size_t addedSinceSort_ = 0; // samples added since the last sort
};

/// Time to the first token of a prompt: a base, and a time per token that grows with the prompt length.
class ReadingSpeed
{
public:
    ReadingSpeed();
    /// Adds a sample: `tokens` were read until the first byte, `ownTokens` of them for one prompt.
    void add(double tokens, double ownTokens, Duration elapsed);
    bool isMeasured() const;
    double baseMs() const;
    double msPerToken() const;
    /// Time in ms to the first byte of a prompt of this much work at an idle engine.
    double idleEngineMs(double work) const;
    /// Work of reading `uncached` tokens after `cached` ones, in tokens of a short prompt.
    double work(double uncached, double cached) const;

private:
    struct Sample
    {
        double tokens = 0;
        double ms = 0;
    };
    double medianTokens() const;
    void fit();
    void fitGrowth();

    std::vector<Sample> samples_; // ring
    std::size_t next_ = 0;
    std::size_t addedCount_ = 0;
    RecentSamples growthSamples_; // samples from long prompts
    double baseMs_ = 0;
    double msPerToken_;
    double growth_ = 0; // additional share of the work of a token per preceding token
    bool isMeasured_ = false;
};

/// Estimates for all endpoints of one service; differences between endpoints are kept in EndpointEntry.
struct ServiceEstimates
{
    ReadingSpeed reading; // engines
    RecentSamples runMs{64}; // from the start of an attempt to the end of its answer
    RecentSamples plainRunMs{64}; // plain endpoints: duration of calls without other calls of this entry
    RecentSamples firstByteMs{128};
    double loadMs = 0; // adapter load from the weight store, as last reported by a sidecar; 0 if unknown

    /// Time without a byte after which an endpoint with unanswered calls counts as silent.
    Duration silenceTimeout() const;
};

} // namespace anvilscale
