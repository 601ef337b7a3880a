// Reading turns: prompts in prefill and their expiry.
#include "reading_queue.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Time of a prompt in prefill after which its work does not count any more: its end was lost, or the call was not sent.
constexpr int expiryFactor = 3;
constexpr Duration expirySlack = Milliseconds(300);
// Memory of an expired prompt, whose end may still be reported.
constexpr Duration maxPromptTime = Seconds(60);
// Streams whose end was not reported are forgotten after this time.
constexpr Duration maxStreamTime = Seconds(120);

} // namespace

// The new prompt disturbs the streams and the measurement of the prompts in prefill.
void ReadingQueue::Impl::disturbOthers()
{
    for (auto &[key, prompt] : prompts) {
        prompt.isAlone = false;
    }
    for (auto &[key, stream] : streams) {
        stream.isUndisturbed = false;
    }
}

void ReadingQueue::Impl::startPrefill(const Key &key, const Request &request, TimePoint now)
{
    disturbOthers();
    Prompt prompt;
    prompt.request = request;
    prompt.startedAt = now;
    prompt.isAlone = prompts.empty();
    progressAt = livePrompts == 0 ? now : progressAt;
    prefillTokens += request.tokens;
    ++livePrompts;
    // The engine reads the prompts that it already has before this one.
    const auto expiry = expiryFactor * prefillTime(prefillTokens) + expirySlack;
    prompt.expiresAt = now + std::min<Duration>(expiry, maxPromptTime);
    prompts[key] = prompt;
}

void ReadingQueue::Impl::stopPrefill(const Key &key, TimePoint now)
{
    const auto found = prompts.find(key);
    if (found == prompts.end()) {
        return;
    }
    if (!found->second.isExpired) {
        prefillTokens -= found->second.request.tokens;
        --livePrompts;
    }
    prompts.erase(found);
    progressAt = now;
}

void ReadingQueue::Impl::expirePrompts(TimePoint now)
{
    for (auto &[key, prompt] : prompts) {
        if (!prompt.isExpired && now >= prompt.expiresAt) {
            prompt.isExpired = true;
            prefillTokens -= prompt.request.tokens;
            --livePrompts;
            ++stats.expired;
            progressAt = now;
        }
    }
    std::erase_if(prompts, [now](const auto &item) { return now - item.second.startedAt >= maxPromptTime; });
    std::erase_if(streams, [now](const auto &item) { return now - item.second.startedAt >= maxStreamTime; });
    shares.expire(now);
}

Duration ReadingQueue::Impl::prefillTime(std::uint64_t tokens) const
{
    return fromMilliseconds(static_cast<double>(tokens) * speed.msPerToken());
}

// The engine reads one prompt after the other: since its last progress it has read a part of one of them.
Duration ReadingQueue::Impl::timeReadSinceProgress(TimePoint now) const
{
    std::uint64_t longest = 0;
    for (const auto &[key, prompt] : prompts) {
        longest = prompt.isExpired ? longest : std::max(longest, prompt.request.tokens);
    }
    return std::min(now - progressAt, prefillTime(longest));
}

std::vector<std::uint64_t> ReadingQueue::Impl::cumulativePrefill() const
{
    std::vector<std::pair<TimePoint, std::uint64_t>> byStart;
    for (const auto &[key, prompt] : prompts) {
        if (!prompt.isExpired) {
            byStart.emplace_back(prompt.startedAt, prompt.request.tokens);
        }
    }
    std::sort(byStart.begin(), byStart.end());
    std::vector<std::uint64_t> sums;
    sums.reserve(byStart.size());
    std::uint64_t sum = 0;
    for (const auto &[startedAt, tokens] : byStart) {
        sums.push_back(sum += tokens);
    }
    return sums;
}

std::optional<TimePoint> ReadingQueue::Impl::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, prompt] : prompts) {
        const auto expiry = prompt.isExpired ? prompt.startedAt + maxPromptTime : prompt.expiresAt;
        next = std::min(next.value_or(TimePoint::max()), expiry);
    }
    return next;
}

} // namespace anvilscale
