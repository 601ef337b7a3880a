// Decides what has become of processes by the reports of their sidecars.
#include "crash_watch.h"

#include <algorithm>

namespace anvilscale {

namespace {

// A report that arrives so long after a break was made after it.
constexpr Duration reportDelay = Milliseconds(600);
// Without any report for so long the VM of the endpoint has probably ended as well.
constexpr Duration maxSilence = Seconds(2);

enum class ProcessFate : std::uint8_t {
    Unknown,
    Running,
    Ended,
    Count
};

/// What is known of the process; reports before `since` do not show that it runs.
ProcessFate fateOf(const CalledProcess &process, EndpointTable &endpoints, TimePoint since)
{
    const auto *entry = endpoints.find(process.endpointId);
    if (entry == nullptr || entry->generation != process.generation) {
        return ProcessFate::Ended;
    }
    if (!entry->state) {
        return ProcessFate::Unknown;
    }
    const auto &reportedId = entry->state->endpoint_id();
    if (!entry->state->reachable() || (!reportedId.empty() && reportedId != process.endpointId)) {
        return ProcessFate::Ended;
    }
    return entry->stateReceivedAt >= since ? ProcessFate::Running : ProcessFate::Unknown;
}

} // namespace

void CrashWatch::onBroken(const CalledProcess &process, SuspectPrompt prompt, TimePoint now)
{
    std::erase_if(begun_, [&](const BegunAnswer &begun) { return begun.process.generation == process.generation; });
    if (prompt.empty()) {
        return;
    }
    auto &broken = broken_.try_emplace(process.generation, BrokenProcess{{process, {}}, now}).first->second;
    auto &prompts = broken.calls.prompts;
    if (prompts.size() < maxPrompts && std::find(prompts.begin(), prompts.end(), prompt) == prompts.end()) {
        prompts.push_back(std::move(prompt));
    }
}

void CrashWatch::onAnswerBegan(CallHandle call, const CalledProcess &process, SurvivedAnswer answer, TimePoint now)
{
    if (begun_.size() < maxAnswers) {
        begun_.push_back({call, process, std::move(answer), now});
    }
}

void CrashWatch::onFailed(CallHandle call)
{
    std::erase_if(begun_, [call](const BegunAnswer &begun) { return begun.call == call; });
}

void CrashWatch::check(EndpointTable &endpoints, TimePoint now)
{
    std::erase_if(broken_, [&](auto &item) {
        auto &broken = item.second;
        const auto fate = fateOf(broken.calls.process, endpoints, broken.brokenAt + reportDelay);
        if (fate == ProcessFate::Unknown && now - broken.brokenAt < maxSilence) {
            return false;
        }
        if (fate == ProcessFate::Running) {
            ++brokenOnly_;
        } else {
            ended_.push_back(std::move(broken.calls));
        }
        return true;
    });
    std::erase_if(begun_, [&](BegunAnswer &begun) {
        const auto fate = fateOf(begun.process, endpoints, begun.begunAt + crashDelay);
        if (fate == ProcessFate::Unknown && now - begun.begunAt < crashDelay + maxSilence) {
            return false;
        }
        if (fate == ProcessFate::Running) {
            survived_.push_back(std::move(begun.answer));
        }
        return true;
    });
}

std::vector<EndedProcess> CrashWatch::takeEnded()
{
    return std::exchange(ended_, {});
}

std::vector<SurvivedAnswer> CrashWatch::takeSurvived()
{
    return std::exchange(survived_, {});
}

std::uint64_t CrashWatch::brokenOnly() const
{
    return brokenOnly_;
}

} // namespace anvilscale
