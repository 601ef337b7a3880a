// Evidence against prompt parts, and its judgement.
#include "part_quarantine.h"

#include <algorithm>

namespace anvilscale {

namespace {

/// Number of different rounds among the crashes that `accepts`.
template<class Crashes, class Accepts>
std::size_t countRounds(const Crashes &crashes, const Accepts &accepts)
{
    std::set<std::uint32_t> rounds;
    for (const auto &[number, suspicion] : crashes) {
        if (accepts(number, suspicion)) {
            rounds.insert(suspicion.round);
        }
    }
    return rounds.size();
}

} // namespace

PartQuarantine::PartQuarantine(std::uint64_t seed)
    : seed_(seed)
{
}

std::uint64_t PartQuarantine::lastCrash() const
{
    return lastCrash_;
}

SuspectPrompt PartQuarantine::suspect(const std::vector<PartFingerprint> &parts, std::uint64_t lastCrash) const
{
    SuspectPrompt prompt;
    for (const auto id : parts) {
        std::uint32_t knownRound = 0;
        const auto found = parts_.find(id);
        if (found != parts_.end()) {
            for (const auto &[number, suspicion] : found->second.crashes) {
                if (number <= lastCrash && !suspicion.isCleared) {
                    knownRound = std::max(knownRound, suspicion.round);
                }
            }
        }
        prompt.push_back({id, knownRound + 1});
    }
    return prompt;
}

void PartQuarantine::applyCrash(ProcessFingerprint process, const std::vector<SuspectPrompt> &prompts, TimePoint now)
{
    auto &crash = findCrash(process, now);
    for (const auto &prompt : prompts) {
        if (!addPrompt(crash, prompt)) {
            continue;
        }
        for (const auto &suspect : prompt) {
            auto &suspicion = addSuspicion(crash, suspect.part);
            suspicion.round = std::max(suspicion.round, suspect.round);
            schedulePublication(suspect.part, now);
        }
    }
}

PartQuarantine::Suspicion &PartQuarantine::addSuspicion(Crash &crash, PartFingerprint id)
{
    isChanged_ = true;
    crash.parts.insert(id);
    return parts_[id].crashes[crash.number];
}

PartQuarantine::Crash &PartQuarantine::findCrash(ProcessFingerprint process, TimePoint now)
{
    const auto found = crashes_.find(process);
    if (found != crashes_.end()) {
        return found->second;
    }
    if (crashes_.size() >= maxCrashes) {
        evictOldest();
    }
    auto &crash = crashes_[process];
    crash.number = ++lastCrash_;
    crash.learnedAt = now;
    crash.countsFrom = now + judgementDelay;
    byNumber_[crash.number] = process;
    return crash;
}

/// Returns false if the crash has no room for another prompt.
bool PartQuarantine::addPrompt(Crash &crash, const SuspectPrompt &prompt)
{
    const auto samePart = [](const SuspectPart &a, const SuspectPart &b) { return a.part == b.part; };
    const auto known = std::find_if(crash.prompts.begin(), crash.prompts.end(), [&](const SuspectPrompt &other) {
        return std::equal(other.begin(), other.end(), prompt.begin(), prompt.end(), samePart);
    });
    if (known != crash.prompts.end()) {
        return true;
    }
    if (crash.prompts.size() >= maxPromptsPerCrash) {
        return false;
    }
    crash.prompts.push_back(prompt);
    return true;
}

void PartQuarantine::applyClearance(const PartClearance &clearance, TimePoint now)
{
    for (const auto process : clearance.crashes) {
        // The report of the crash may come later.
        auto &suspicion = addSuspicion(findCrash(process, now), clearance.part);
        suspicion.isCleared = true;
        suspicion.isPublished = true;
    }
}

bool PartQuarantine::isClearedByAnswer(const std::vector<PartFingerprint> &parts, std::uint64_t lastCrash) const
{
    return std::any_of(parts.begin(), parts.end(), [&](PartFingerprint id) {
        const auto found = parts_.find(id);
        return found != parts_.end()
               && std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                              [&](const auto &item) { return item.first <= lastCrash && !item.second.isCleared; });
    });
}

void PartQuarantine::onSurvived(const std::vector<PartFingerprint> &parts, std::uint64_t lastCrash, TimePoint now)
{
    for (const auto id : parts) {
        const auto found = parts_.find(id);
        if (found == parts_.end()) {
            continue;
        }
        for (auto &[number, suspicion] : found->second.crashes) {
            if (number <= lastCrash && !suspicion.isCleared) {
                suspicion.isCleared = true;
                isChanged_ = true;
            }
        }
        schedulePublication(id, now);
    }
}

// Entries clear the parts of most crashes by themselves, or the crashes stop. Only parts that come near a quarantine at
// entries without such answers are worth a record.
void PartQuarantine::schedulePublication(PartFingerprint id, TimePoint now)
{
    const auto &crashes = parts_.at(id).crashes;
    const auto isOpen = [](std::uint64_t, const Suspicion &suspicion) { return !suspicion.isPublished; };
    const bool hasCleared = std::any_of(crashes.begin(), crashes.end(), [](const auto &item) {
        return item.second.isCleared && !item.second.isPublished;
    });
    if (hasCleared && countRounds(crashes, isOpen) + 1 >= minRounds) {
        const auto share = hash64(id.text(), seed_) % static_cast<std::uint64_t>(publicationSpread.count());
        publications_.try_emplace(id, now + Duration(static_cast<Duration::rep>(share)));
    }
}

void PartQuarantine::publishDue(TimePoint now)
{
    std::erase_if(publications_, [&](const auto &item) {
        const auto &[id, dueAt] = item;
        if (now < dueAt) {
            return false;
        }
        PartClearance clearance{id, {}};
        const auto found = parts_.find(id);
        if (found != parts_.end()) {
            for (auto &[number, suspicion] : found->second.crashes) {
                if (suspicion.isCleared && !std::exchange(suspicion.isPublished, true)) {
                    clearance.crashes.push_back(byNumber_.at(number));
                }
            }
        }
        if (!clearance.crashes.empty()) { // or another entry has published it meanwhile
            clearances_.push_back(std::move(clearance));
        }
        return true;
    });
}

void PartQuarantine::onHistoryApplied(TimePoint now)
{
    for (auto &[process, crash] : crashes_) {
        crash.countsFrom = std::min(crash.countsFrom, now);
    }
    judge(now);
}

bool PartQuarantine::isQuarantined(const std::vector<PartFingerprint> &parts) const
{
    return quarantinedParts_ != 0 && std::any_of(parts.begin(), parts.end(), [this](PartFingerprint id) {
               const auto found = parts_.find(id);
               return found != parts_.end() && found->second.isQuarantined;
           });
}

void PartQuarantine::tick(TimePoint now)
{
    if (crashes_.empty()) {
        return;
    }
    if (now >= nextSweepAt_) {
        nextSweepAt_ = now + sweepInterval;
        forgetExpired(now);
    }
    publishDue(now);
    if ((isChanged_ || now >= judgeAt_) && now >= nextJudgementAt_) {
        nextJudgementAt_ = now + judgementInterval;
        judge(now);
    }
}

void PartQuarantine::forgetExpired(TimePoint now)
{
    for (auto it = crashes_.begin(); it != crashes_.end();) {
        const auto crash = it++;
        if (now - crash->second.learnedAt >= crashReportLifetime) {
            forget(crash);
        }
    }
}

void PartQuarantine::forget(std::map<ProcessFingerprint, Crash>::iterator crash)
{
    const auto number = crash->second.number;
    for (const auto id : crash->second.parts) {
        const auto found = parts_.find(id);
        found->second.crashes.erase(number);
        if (found->second.crashes.empty()) {
            setQuarantined(id, found->second, false);
            parts_.erase(found);
        }
    }
    byNumber_.erase(number);
    crashes_.erase(crash);
    isChanged_ = true;
}

/// Evicts the oldest crash that holds no part under quarantine, or the oldest of all.
void PartQuarantine::evictOldest()
{
    auto victim = byNumber_.begin()->second;
    for (const auto &[number, process] : byNumber_) {
        if (!supportsQuarantine(crashes_.at(process))) {
            victim = process;
            break;
        }
    }
    forget(crashes_.find(victim));
}

bool PartQuarantine::supportsQuarantine(const Crash &crash) const
{
    return std::any_of(crash.parts.begin(), crash.parts.end(),
                       [this](PartFingerprint id) { return parts_.at(id).isQuarantined; });
}

void PartQuarantine::judge(TimePoint now)
{
    isChanged_ = false;
    judgeAt_ = TimePoint::max();
    const auto suspects = findSuspects(now);
    std::map<PartFingerprint, std::set<std::uint32_t>> causedRounds;
    for (const auto &[process, crash] : crashes_) {
        if (crash.countsFrom > now) {
            judgeAt_ = std::min(judgeAt_, crash.countsFrom);
        } else if (const auto cause = suspects.empty() ? std::nullopt : findCause(crash, suspects)) {
            causedRounds[*cause].insert(parts_.at(*cause).crashes.at(crash.number).round);
        }
    }
    for (auto &[id, part] : parts_) {
        const auto caused = causedRounds.find(id);
        setQuarantined(id, part, caused != causedRounds.end() && caused->second.size() >= minCausedRounds);
    }
}

PartQuarantine::Suspects PartQuarantine::findSuspects(TimePoint now) const
{
    const auto counts = [&](std::uint64_t number, const Suspicion &suspicion) {
        return !suspicion.isCleared && crashes_.at(byNumber_.at(number)).countsFrom <= now;
    };
    Suspects suspects;
    for (const auto &[id, part] : parts_) {
        if (part.crashes.size() < minRounds) {
            continue;
        }
        const auto rounds = countRounds(part.crashes, counts);
        const auto crashes =
            static_cast<std::size_t>(std::count_if(part.crashes.begin(), part.crashes.end(),
                                                   [&](const auto &item) { return counts(item.first, item.second); }));
        if (rounds >= minRounds || (rounds >= minCausedRounds && crashes >= manyCrashes)) {
            suspects[id] = crashes;
        }
    }
    return suspects;
}

// A crash has one cause. Parts at the beginning of prompts are in many of them, and are suspected with each crashing
// part behind them: a part with a suspect behind it is not the cause. Of the others it is the one in most crashes.
std::optional<PartFingerprint> PartQuarantine::findCause(const Crash &crash, const Suspects &suspects) const
{
    std::set<PartFingerprint> last; // suspects of each prompt
    std::set<PartFingerprint> earlier;
    for (const auto &prompt : crash.prompts) {
        std::optional<PartFingerprint> next;
        for (const auto &[id, round] : prompt) {
            if (suspects.count(id) == 0 || parts_.at(id).crashes.at(crash.number).isCleared) {
                continue;
            }
            if (next && *next != id) {
                earlier.insert(*next);
            }
            next = id;
        }
        if (next) {
            last.insert(*next);
        }
    }
    std::optional<PartFingerprint> cause;
    for (const auto id : last) {
        if (earlier.count(id) == 0 && (!cause || suspects.at(id) > suspects.at(*cause))) {
            cause = id;
        }
    }
    return cause;
}

void PartQuarantine::setQuarantined(PartFingerprint id, Part &part, bool isQuarantined)
{
    if (part.isQuarantined == isQuarantined) {
        return;
    }
    part.isQuarantined = isQuarantined;
    quarantinedParts_ += isQuarantined ? 1 : -1;
    const auto isOpen = [](const auto &item) { return !item.second.isCleared; };
    const auto crashes = std::count_if(part.crashes.begin(), part.crashes.end(), isOpen);
    verdicts_.push_back({id, isQuarantined, static_cast<std::size_t>(crashes)});
}

std::vector<PartClearance> PartQuarantine::takeClearances()
{
    return std::exchange(clearances_, {});
}

std::vector<PartVerdict> PartQuarantine::takeVerdicts()
{
    return std::exchange(verdicts_, {});
}

std::uint64_t PartQuarantine::quarantinedParts() const
{
    return quarantinedParts_;
}

} // namespace anvilscale
