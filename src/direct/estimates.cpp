// Robust estimators of a few parameters over recent samples.
#include "estimates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace anvilscale {

namespace {

constexpr std::size_t sortsPerReplacement = 8; // sorts per full replacement of the samples

// ReadingSpeed.
constexpr std::size_t fitSamples = 64;
constexpr std::size_t minFitSamples = 16;
constexpr std::size_t fitEvery = 8;
constexpr double minTokenGap = 100; // minimum difference in tokens between two samples of a slope
constexpr double longPromptFactor = 6; // ratio to the median length from which prompts show the growth
constexpr double minOwnShare = 0.8; // minimum share of the prompt's own tokens among those read
constexpr std::size_t growthSamples = 16;
constexpr double maxGrowth = 1e-3;
// Used until measured; orders endpoints, but refuses no call.
constexpr double defaultMsPerToken = 1.0 / 20;

// ServiceEstimates.
constexpr std::size_t minSilenceSamples = 32;
constexpr double silenceQuantile = 0.95;
constexpr double silenceFactor = 4;
constexpr Duration minSilence = Milliseconds(300);
constexpr Duration maxSilence = Milliseconds(3000);
constexpr Duration defaultSilence = Milliseconds(1500);

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

RecentSamples::RecentSamples(std::size_t capacity)
    : capacity_(capacity)
{
}

void RecentSamples::add(double value)
{
    if (ring_.size() < capacity_) {
        ring_.push_back(value);
    } else {
        ring_[next_] = value;
        next_ = (next_ + 1) % capacity_;
    }
    ++addedSinceSort_;
    if (ring_.size() < capacity_ || addedSinceSort_ * sortsPerReplacement >= capacity_) {
        refresh();
    }
}

void RecentSamples::refresh()
{
    sorted_ = ring_;
    std::sort(sorted_.begin(), sorted_.end());
    addedSinceSort_ = 0;
}

std::size_t RecentSamples::count() const
{
    return ring_.size();
}

double RecentSamples::quantile(double share) const
{
    if (sorted_.empty()) {
        return 0;
    }
    return sorted_[static_cast<std::size_t>(share * static_cast<double>(sorted_.size() - 1))];
}

double RecentSamples::mean() const
{
    return sorted_.empty() ? 0
                           : std::accumulate(sorted_.begin(), sorted_.end(), 0.0) / static_cast<double>(sorted_.size());
}

ReadingSpeed::ReadingSpeed()
    : growthSamples_(growthSamples)
    , msPerToken_(defaultMsPerToken)
{
}

void ReadingSpeed::add(double tokens, double ownTokens, Duration elapsed)
{
    const double ms = milliseconds(elapsed);
    const Sample sample{tokens, ms};
    if (isMeasured_ && ownTokens > minOwnShare * tokens && samples_.size() == fitSamples) {
        if (ownTokens > longPromptFactor * medianTokens()) {
            const double linear = baseMs_ + tokens * msPerToken_;
            growthSamples_.add((ms - linear) / (msPerToken_ * ownTokens * ownTokens / 2));
            fitGrowth();
            return;
        }
    }
    if (samples_.size() < fitSamples) {
        samples_.push_back(sample);
    } else {
        samples_[next_] = sample;
        next_ = (next_ + 1) % fitSamples;
    }
    if (++addedCount_ % fitEvery == 0 && samples_.size() >= minFitSamples) {
        fit();
    }
}

double ReadingSpeed::medianTokens() const
{
    std::vector<double> lengths;
    lengths.reserve(samples_.size());
    for (const auto &sample : samples_) {
        lengths.push_back(sample.tokens);
    }
    return median(lengths);
}

// The slope is the median of the slopes between short and long prompts, which is robust against busy engines and
// missing cached parts. The base is the median of the residuals.
void ReadingSpeed::fit()
{
    auto sorted = samples_;
    std::sort(sorted.begin(), sorted.end(), [](const Sample &a, const Sample &b) { return a.tokens < b.tokens; });
    const auto half = sorted.size() / 2;
    std::vector<double> slopes;
    for (std::size_t i = 0; i < half; ++i) {
        const double gap = sorted[i + half].tokens - sorted[i].tokens;
        if (gap >= minTokenGap) {
            slopes.push_back((sorted[i + half].ms - sorted[i].ms) / gap);
        }
    }
    if (slopes.size() < minFitSamples / 2) {
        return;
    }
    const double slope = median(slopes);
    if (slope <= 0) {
        return;
    }
    std::vector<double> rests;
    rests.reserve(sorted.size());
    for (const auto &sample : sorted) {
        rests.push_back(sample.ms - slope * sample.tokens);
    }
    msPerToken_ = slope;
    baseMs_ = std::max(0.0, median(rests));
    isMeasured_ = true;
}

void ReadingSpeed::fitGrowth()
{
    growth_ = std::clamp(growthSamples_.quantile(0.5), 0.0, maxGrowth);
}

bool ReadingSpeed::isMeasured() const
{
    return isMeasured_;
}

double ReadingSpeed::baseMs() const
{
    return baseMs_;
}

double ReadingSpeed::msPerToken() const
{
    return msPerToken_;
}

double ReadingSpeed::idleEngineMs(double work) const
{
    return baseMs_ + work * msPerToken_;
}

// Attention makes each token depend on all preceding ones.
double ReadingSpeed::work(double uncached, double cached) const
{
    return uncached + growth_ * uncached * (cached + uncached / 2);
}

Duration ServiceEstimates::silenceTimeout() const
{
    if (firstByteMs.count() < minSilenceSamples) {
        return defaultSilence;
    }
    const auto late = fromMilliseconds(silenceFactor * firstByteMs.quantile(silenceQuantile));
    return std::clamp<Duration>(late, minSilence, maxSilence);
}

} // namespace anvilscale
