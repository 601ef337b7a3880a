// Entries whose calls crash engines by a part of their prompts, in virtual time: engines that begin answers late,
// crash, restart and serve sound calls, sidecars that report them, and a store through which entries exchange reports.
#pragma once

#include "unit/direct_fixture.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace anvilscale::test {

struct CrashFleetInit
{
    std::uint64_t seed = 1;
    std::size_t entries = 6;
    std::size_t engines = 18;
    double soundPerSecond = 40; ///< calls of the whole fleet
    Duration maxStoreDelay = Seconds(1); ///< from a report to the last entry that has it
};

class CrashFleet
{
public:
    using Parts = std::vector<std::string>;

    explicit CrashFleet(const CrashFleetInit &init)
        : init_(init)
        , random_(init.seed)
        , engines_(init.engines)
    {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            engines_[i].startTimeMs = ++lastStartTimeMs_;
        }
        for (std::size_t i = 0; i < init.entries; ++i) {
            entries_.push_back(makeEntry(i));
        }
        reportEngines();
    }

    /// Parts on which engines crash now.
    std::set<std::string> badParts;
    /// Prompts of bad calls; one of them is selected for each call. Empty: no bad calls.
    std::vector<Parts> badPrompts;
    double badPerSecond = 1;
    /// Further crashes of single engines, from another cause.
    double otherCrashesPerSecond = 0;
    /// Broken answers of engines that go on, as a share of all answers.
    double brokenShare = 0;
    /// Entries that exchange no reports with the store.
    std::set<std::size_t> entriesWithoutStore;

    void run(Duration span)
    {
        for (const auto end = now_ + span; now_ < end; now_ += step) {
            deliverRecords();
            restartEngines();
            if (now_ >= nextReportAt_) {
                nextReportAt_ = now_ + Milliseconds(200);
                reportEngines();
            }
            startCalls();
            progressCalls();
            if (random_.uniform() < otherCrashesPerSecond * seconds(step)) {
                crash(random_.uniformBelow(engines_.size()));
            }
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                entries_[i]->tick(now_);
                perform(i);
                publish(i);
            }
        }
    }
    /// All engines of this share end at the same moment.
    void crashTogether(double share)
    {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            if (random_.uniform() < share) {
                crash(i);
            }
        }
    }
    /// The entry loses all that it knows, and reads the store before it takes calls.
    void restartEntry(std::size_t index)
    {
        std::erase_if(running_, [index](const Running &call) { return call.entry == index; });
        entries_[index] = makeEntry(index);
        for (const auto &record : records_) {
            apply(index, record.content);
        }
        entries_[index]->onStoreRead(now_);
        reportEngines();
    }
    TimePoint now() const
    {
        return now_;
    }
    /// Times at which engines crashed on a bad part.
    std::vector<TimePoint> crashes;
    /// Times at which bad calls were sent to engines.
    std::vector<TimePoint> badSends;

    struct Counts
    {
        int served = 0;
        int quarantined = 0; // refused for a part
        int refused = 0; // for other reasons
        int broken = 0;
    };
    /// Sound calls by the first part of their prompts, since the last reset.
    std::map<std::string, Counts> sound;

    std::size_t sentAfter(TimePoint time) const
    {
        return static_cast<std::size_t>(
            std::count_if(badSends.begin(), badSends.end(), [time](TimePoint sent) { return sent > time; }));
    }
    std::size_t recordCount() const
    {
        return records_.size();
    }
    DirectCalls &entry(std::size_t index)
    {
        return *entries_.at(index);
    }

private:
    static constexpr Duration step = Milliseconds(25);
    static constexpr std::size_t firstParts = 3;
    static constexpr std::size_t callerParts = 15;

    struct Engine
    {
        std::uint64_t startTimeMs = 0;
        std::optional<TimePoint> restartsAt; // while it is down
    };
    struct Running
    {
        std::size_t entry = 0;
        CallHandle call;
        std::uint32_t attempt = 0;
        std::size_t engine = 0;
        std::string badPart; // empty for a sound call
        std::string firstPart;
        TimePoint beginsAt;
        TimePoint endsAt;
        bool hasBegun = false;
        bool breaks = false;
    };
    struct Record
    {
        std::variant<CrashReport, ClearanceReport> content;
        std::vector<TimePoint> visibleAt; // by entry
        std::vector<bool> isApplied;
    };
    struct Pending
    {
        bool isBad = false;
        std::string badPart;
        std::string firstPart;
    };

    static double seconds(Duration span)
    {
        return std::chrono::duration<double>(span).count();
    }
    static std::string address(std::size_t engine)
    {
        return "10.0." + std::to_string(engine / 250) + "." + std::to_string(engine % 250 + 1) + ":80";
    }
    static std::string engineId(std::size_t engine)
    {
        return "e-" + std::to_string(engine);
    }

    std::unique_ptr<DirectCalls> makeEntry(std::size_t index)
    {
        DirectCallsInit init;
        init.entryName = "entry-" + std::to_string(index);
        init.dataCentre = "dc";
        auto entry = std::make_unique<DirectCalls>(init);
        entry->applyConfig(makeConfig(1), now_);
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            announce(*entry, i);
        }
        return entry;
    }
    void announce(DirectCalls &entry, std::size_t engine)
    {
        auto record = makeEndpoint(engineId(engine), engineService, address(engine));
        record.slots = 64;
        record.startTimeMs = engines_[engine].startTimeMs;
        entry.applyEndpoint(record, now_);
    }
    void reportEngines()
    {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            auto state = makeState({});
            state.set_endpoint_id(engineId(i));
            state.set_reachable(!engines_[i].restartsAt);
            state.set_born(engines_[i].startTimeMs);
            for (auto &entry : entries_) {
                entry->applyState(address(i), state, now_);
            }
        }
    }
    void restartEngines()
    {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            auto &engine = engines_[i];
            if (engine.restartsAt && now_ >= *engine.restartsAt) {
                engine.restartsAt.reset();
                engine.startTimeMs = ++lastStartTimeMs_;
                for (auto &entry : entries_) {
                    announce(*entry, i);
                }
            }
        }
    }

    void startCalls()
    {
        if (random_.uniform() < init_.soundPerSecond * seconds(step)) {
            const auto first = "first" + std::to_string(random_.uniformBelow(firstParts));
            startCall({first, "caller" + std::to_string(random_.uniformBelow(callerParts))}, {});
        }
        if (!badPrompts.empty() && random_.uniform() < badPerSecond * seconds(step)) {
            const auto &parts = badPrompts[random_.uniformBelow(badPrompts.size())];
            const auto bad = std::find_if(parts.begin(), parts.end(),
                                          [this](const std::string &part) { return badParts.count(part) != 0; });
            startCall(parts, bad == parts.end() ? std::string() : *bad);
        }
    }
    void startCall(const Parts &parts, const std::string &badPart)
    {
        const auto entry = random_.uniformBelow(entries_.size());
        CallInfo info;
        info.requestId = "r" + std::to_string(++lastCall_);
        info.fingerprint = {lastCall_};
        info.host = host;
        info.path = "/s/x";
        info.callerTimeout = Seconds(10);
        info.model = modelName;
        info.promptTokens = 800;
        for (const auto &part : parts) {
            info.parts.push_back({part, 100});
        }
        info.parts.push_back({"own" + std::to_string(lastCall_), 600});
        pending_[lastCall_] = {!badPart.empty(), badPart, parts.front()};
        entries_[entry]->onCall(CallHandle{lastCall_}, info, now_);
        perform(entry);
    }

    void perform(std::size_t entry)
    {
        for (auto &action : entries_[entry]->takeActions()) {
            if (const auto *send = std::get_if<SendCall>(&action)) {
                onSent(entry, *send);
            } else if (const auto *refusal = std::get_if<RefuseCall>(&action)) {
                onRefused(*refusal);
            }
        }
    }
    void onSent(std::size_t entry, const SendCall &send)
    {
        const auto &pending = pending_.at(send.call.value);
        Running call;
        call.entry = entry;
        call.call = send.call;
        call.attempt = send.attempt;
        call.engine = std::stoul(send.endpointId.substr(2));
        call.badPart = badParts.count(pending.badPart) != 0 ? pending.badPart : std::string();
        call.firstPart = pending.firstPart;
        call.beginsAt = now_ + Milliseconds(50) + random_.jitter(Milliseconds(400));
        call.endsAt = call.beginsAt + Milliseconds(300) + fromMilliseconds(random_.exponential(1500));
        call.breaks = random_.uniform() < brokenShare;
        if (pending.isBad) {
            badSends.push_back(now_);
        }
        running_.push_back(call);
    }
    void onRefused(const RefuseCall &refusal)
    {
        const auto &pending = pending_.at(refusal.call.value);
        if (!pending.isBad) {
            auto &counts = sound[pending.firstPart];
            ++(refusal.reason == RefusalReason::PromptPartQuarantined ? counts.quarantined : counts.refused);
        }
    }

    void progressCalls()
    {
        std::vector<std::size_t> crashing;
        for (auto &call : running_) {
            if (!call.hasBegun && now_ >= call.beginsAt) {
                call.hasBegun = true;
                entries_[call.entry]->onAnswerStarted(call.call, call.attempt, now_);
                if (!call.badPart.empty()) {
                    call.endsAt = now_ + Milliseconds(40) + random_.jitter(Milliseconds(400));
                }
            }
            if (call.hasBegun && !call.badPart.empty() && now_ >= call.endsAt) {
                crashing.push_back(call.engine);
            }
        }
        for (const auto engine : crashing) {
            if (!engines_[engine].restartsAt) {
                crashes.push_back(now_);
                crash(engine);
            }
        }
        endCalls([this](const Running &call) {
            return engines_[call.engine].restartsAt || (call.hasBegun && now_ >= call.endsAt);
        });
    }
    /// Ends the calls that `accepts`: as broken off if their engine is down, else as answered.
    template<class Accepts>
    void endCalls(const Accepts &accepts)
    {
        std::vector<Running> ended;
        std::copy_if(running_.begin(), running_.end(), std::back_inserter(ended), accepts);
        std::erase_if(running_, accepts);
        for (const auto &call : ended) {
            const bool isBroken = engines_[call.engine].restartsAt || call.breaks;
            if (call.badPart.empty()) {
                ++(isBroken ? sound[call.firstPart].broken : sound[call.firstPart].served);
            }
            AttemptResult result;
            result.end = isBroken ? AttemptEnd::Broken : AttemptEnd::Answered;
            result.callerHasBytes = call.hasBegun;
            entries_[call.entry]->onAttemptEnded(call.call, call.attempt, result, now_);
            perform(call.entry);
        }
    }
    void crash(std::size_t engine)
    {
        if (engines_[engine].restartsAt) {
            return;
        }
        engines_[engine].restartsAt = now_ + Seconds(3);
        endCalls([engine](const Running &call) { return call.engine == engine; });
    }

    void publish(std::size_t entry)
    {
        auto reports = entries_[entry]->takeCrashReports();
        auto clearances = entries_[entry]->takeClearances();
        if (entriesWithoutStore.count(entry) != 0) {
            return;
        }
        for (auto &report : reports) {
            write(std::move(report));
        }
        if (!clearances.empty()) {
            write(ClearanceReport{std::move(clearances)});
        }
    }
    void write(std::variant<CrashReport, ClearanceReport> content)
    {
        Record record{std::move(content), {}, std::vector<bool>(entries_.size(), false)};
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            record.visibleAt.push_back(now_ + Milliseconds(60)
                                       + fromMilliseconds(random_.uniform() * toMilliseconds(init_.maxStoreDelay)));
        }
        records_.push_back(std::move(record));
    }
    void deliverRecords()
    {
        for (auto &record : records_) {
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (!record.isApplied[i] && now_ >= record.visibleAt[i] && entriesWithoutStore.count(i) == 0) {
                    record.isApplied[i] = true;
                    apply(i, record.content);
                }
            }
        }
    }
    void apply(std::size_t entry, const std::variant<CrashReport, ClearanceReport> &content)
    {
        if (const auto *report = std::get_if<CrashReport>(&content)) {
            entries_[entry]->applyCrashReport(*report, now_);
        } else {
            entries_[entry]->applyClearances(std::get<ClearanceReport>(content), now_);
        }
    }

    CrashFleetInit init_;
    TimePoint now_{Seconds(100)};
    Random random_;
    std::vector<Engine> engines_;
    std::vector<std::unique_ptr<DirectCalls>> entries_;
    std::uint64_t lastStartTimeMs_ = 1000;
    std::uint64_t lastCall_ = 0;
    TimePoint nextReportAt_{};
    std::map<std::uint64_t, Pending> pending_; // by call
    std::vector<Running> running_;
    std::vector<Record> records_;
};

} // namespace anvilscale::test
