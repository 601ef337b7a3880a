// Quarantine of prompt parts on which endpoints crash.
#pragma once

#include "anvilscale/direct.h"

namespace anvilscale {

/// Endpoints that crash on a part of a prompt end within this time after they have begun an answer on it.
constexpr Duration crashDelay = Seconds(1);

/// Finds the parts of prompts on which endpoints crash as they begin to answer, among sound parts of the same prompts,
/// and holds back calls on them. A part is suspected in rounds: a crash belongs to a later round than another if the
/// entry knew of that one when it sent the call. Endpoints that crash at the same time, from whatever cause, are one
/// round. A part that is answered on by a call that was sent after a crash is cleared of it; an earlier answer proves
/// nothing, since parts may turn bad.
/// Memory is bounded: it grows with crashes, of which the last maxCrashes are kept.
class PartQuarantine
{
public:
    /// `seed`: differs between entries, so that they do not publish the same clearances at the same time.
    explicit PartQuarantine(std::uint64_t seed);

    /// Number of the last crash that this entry has learned of; kept with each call that is sent.
    std::uint64_t lastCrash() const;
    /// The prompt of a call that a crash may be due to. `lastCrash`: when the call was sent.
    SuspectPrompt suspect(const std::vector<PartFingerprint> &parts, std::uint64_t lastCrash) const;
    /// Applies a crash as reported by any entry, including this one.
    void applyCrash(ProcessFingerprint process, const std::vector<SuspectPrompt> &prompts, TimePoint now);
    /// Applies a clearance published by any entry, including this one.
    void applyClearance(const PartClearance &clearance, TimePoint now);
    /// True if an answer to a call that was sent after `lastCrash` would clear one of the parts.
    bool isClearedByAnswer(const std::vector<PartFingerprint> &parts, std::uint64_t lastCrash) const;
    /// An endpoint has survived answering on these parts. `lastCrash`: when the call was sent.
    void onSurvived(const std::vector<PartFingerprint> &parts, std::uint64_t lastCrash, TimePoint now);
    /// The crashes that the store knew at this entry's start have been applied: they are judged at once.
    void onHistoryApplied(TimePoint now);
    bool isQuarantined(const std::vector<PartFingerprint> &parts) const;
    /// Judges and forgets crashes as time passes.
    void tick(TimePoint now);
    std::vector<PartClearance> takeClearances();
    /// Parts put under quarantine or released since the last call.
    std::vector<PartVerdict> takeVerdicts();
    std::uint64_t quarantinedParts() const;

private:
    // A sound part is cleared before as many rounds: it is answered on between them.
    static constexpr std::size_t minRounds = 3;
    // With as many crashes, minCausedRounds are enough.
    static constexpr std::size_t manyCrashes = 5;
    // Rounds of a suspect of which it is the likeliest cause.
    static constexpr std::size_t minCausedRounds = 2;
    // Time from learning of a crash until it counts: answers that have begun by then show whether they survive.
    static constexpr Duration judgementDelay = crashDelay;
    static constexpr std::size_t maxCrashes = 256;
    static constexpr std::size_t maxPromptsPerCrash = 32;
    // Clearances wait up to this long, in case another entry publishes the same.
    static constexpr Duration publicationSpread = Milliseconds(500);
    static constexpr Duration sweepInterval = Seconds(1);
    // Bounds the time spent on judging while many engines crash.
    static constexpr Duration judgementInterval = Milliseconds(200);

    using Suspects = std::map<PartFingerprint, std::size_t>; // with the number of their crashes

    struct Crash
    {
        std::uint64_t number = 0; // in the order in which this entry has learned of them
        TimePoint learnedAt;
        TimePoint countsFrom;
        std::vector<SuspectPrompt> prompts; // each once
        std::set<PartFingerprint> parts; // of the prompts and of clearances; invariant: each has a suspicion
    };
    struct Suspicion
    {
        std::uint32_t round = 0;
        bool isCleared = false;
        bool isPublished = false; // the clearance
    };
    struct Part
    {
        std::map<std::uint64_t, Suspicion> crashes; // by number
        bool isQuarantined = false;
    };

    Crash &findCrash(ProcessFingerprint process, TimePoint now);
    static bool addPrompt(Crash &crash, const SuspectPrompt &prompt);
    Suspicion &addSuspicion(Crash &crash, PartFingerprint id);
    void schedulePublication(PartFingerprint id, TimePoint now);
    void publishDue(TimePoint now);
    void forgetExpired(TimePoint now);
    void forget(std::map<ProcessFingerprint, Crash>::iterator crash);
    void evictOldest();
    bool supportsQuarantine(const Crash &crash) const;
    void judge(TimePoint now);
    /// Parts that are suspected of enough crashes to be their cause.
    Suspects findSuspects(TimePoint now) const;
    std::optional<PartFingerprint> findCause(const Crash &crash, const Suspects &suspects) const;
    void setQuarantined(PartFingerprint id, Part &part, bool isQuarantined);

    std::uint64_t seed_;
    std::map<ProcessFingerprint, Crash> crashes_;
    std::map<std::uint64_t, ProcessFingerprint> byNumber_; // invariant: one for each crash
    std::map<PartFingerprint, Part> parts_; // invariant: each has a crash
    std::uint64_t lastCrash_ = 0;
    std::uint64_t quarantinedParts_ = 0;
    bool isChanged_ = false; // since the last judgement
    TimePoint judgeAt_ = TimePoint::max(); // when the next crash begins to count
    TimePoint nextSweepAt_{};
    TimePoint nextJudgementAt_{};
    std::map<PartFingerprint, TimePoint> publications_; // of clearances, when they are due
    std::vector<PartClearance> clearances_;
    std::vector<PartVerdict> verdicts_;
};

} // namespace anvilscale
