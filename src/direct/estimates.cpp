// Robust estimators of a few parameters over recent samples.
#include "estimates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace anvilscale {

namespace {

constexpr std::size_t refreshes = 8; // sorts per full replacement of the samples

// ReadingSpeed.
constexpr std::size_t fitSamples = 64;
constexpr std::size_t leastSamples = 16;
constexpr std::size_t fitEvery = 8;
constexpr double leastGap = 100; // minimum difference in tokens between two samples of a slope
constexpr double longFactor = 6; // ratio to the median length from which prompts show the growth
constexpr double alone = 0.8; // minimum share of the prompt's own tokens among those read
constexpr std::size_t growthSamples = 16;
constexpr double mostGrowth = 1e-3;
// Used until measured; orders endpoints, but refuses no call.
constexpr double guessedMsPerToken = 1.0 / 20;

// ServiceEstimates.
constexpr std::size_t leastForSilence = 32;
constexpr double silenceQuantile = 0.95;
constexpr double silenceFactor = 4;
constexpr Duration leastSilence = Milliseconds(300);
constexpr Duration mostSilence = Milliseconds(3000);
constexpr Duration silenceBeforeMeasured = Milliseconds(1500);

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

RecentSamples::RecentSamples(std::size_t most)
    : most_(most)
{
}

void RecentSamples::add(double value)
{
    if (ring_.size() < most_) {
        ring_.push_back(value);
    } else {
        ring_[next_] = value;
        next_ = (next_ + 1) % most_;
    }
    ++unsorted_;
    if (ring_.size() < most_ || unsorted_ * refreshes >= most_) {
        refresh();
    }
}

void RecentSamples::refresh()
{
    sorted_ = ring_;
    std::sort(sorted_.begin(), sorted_.end());
    unsorted_ = 0;
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
    : growths_(growthSamples)
    , msPerToken_(guessedMsPerToken)
{
}

void ReadingSpeed::add(double tokens, double ownTokens, Duration took)
{
    const double ms = milliseconds(took);
    const Sample sample{tokens, ms};
    if (measured_ && ownTokens > alone * tokens && samples_.size() == fitSamples) {
        if (ownTokens > longFactor * usualTokens()) {
            const double linear = baseMs_ + tokens * msPerToken_;
            growths_.add((ms - linear) / (msPerToken_ * ownTokens * ownTokens / 2));
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
    if (++added_ % fitEvery == 0 && samples_.size() >= leastSamples) {
        fit();
    }
}

double ReadingSpeed::usualTokens() const
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
        if (gap >= leastGap) {
            slopes.push_back((sorted[i + half].ms - sorted[i].ms) / gap);
        }
    }
    if (slopes.size() < leastSamples / 2) {
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
    measured_ = true;
}

void ReadingSpeed::fitGrowth()
{
    growth_ = std::clamp(growths_.quantile(0.5), 0.0, mostGrowth);
}

bool ReadingSpeed::measured() const
{
    return measured_;
}

double ReadingSpeed::baseMs() const
{
    return baseMs_;
}

double ReadingSpeed::msPerToken() const
{
    return msPerToken_;
}

double ReadingSpeed::aloneMs(double work) const
{
    return baseMs_ + work * msPerToken_;
}

// Attention makes each token depend on all preceding ones.
double ReadingSpeed::work(double fresh, double kept) const
{
    return fresh + growth_ * fresh * (kept + fresh / 2);
}

Duration ServiceEstimates::silence() const
{
    if (firstByteMs.count() < leastForSilence) {
        return silenceBeforeMeasured;
    }
    const auto late = fromMilliseconds(silenceFactor * firstByteMs.quantile(silenceQuantile));
    return std::clamp<Duration>(late, leastSilence, mostSilence);
}

} // namespace anvilscale
