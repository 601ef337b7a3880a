// Entries whose streams are resumed, with engines of several software versions and the sidecars that keep the origins
// of streams, in virtual time. Messages arrive at once, or not at all.
#pragma once

#include "unit/direct_fixture.h"

#include <functional>
#include <memory>

namespace anvilscale::test {

class StreamFleet
{
public:
    /// `versions`: software versions of the engines. `isStoreWritable`: the store accepts records of them.
    StreamFleet(std::size_t entries, std::vector<std::string> versions, bool isStoreWritable = true)
        : isStoreWritable_(isStoreWritable)
    {
        for (auto &version : versions) {
            addEngine(std::move(version));
        }
        for (std::size_t i = 0; i < entries; ++i) {
            entries_.push_back(makeEntry());
        }
        advance(Milliseconds(0));
    }

    static std::string address(std::size_t engine)
    {
        return "10.0.1." + std::to_string(engine + 1) + ":80";
    }
    static std::string engineId(std::size_t engine)
    {
        return "e-" + std::to_string(engine);
    }
    DirectCalls &entry(std::size_t index)
    {
        return *entries_.at(index);
    }
    std::size_t engineCount() const
    {
        return engines_.size();
    }
    TimePoint now() const
    {
        return now_;
    }

    void addEngine(std::string version)
    {
        engines_.push_back({std::move(version), OriginTable()});
        announce(engines_.size() - 1);
    }
    void setVersion(std::size_t engine, std::string version)
    {
        engines_.at(engine).version = std::move(version);
        announce(engine);
    }
    void stopEngine(std::size_t engine)
    {
        engines_.at(engine).serves = false;
        for (auto &each : entries_) {
            each->removeEndpoint(engineId(engine), now_);
        }
    }
    /// Applies a configuration in which this service serves the streams.
    void routeStreamsTo(const std::string &service)
    {
        streamService_ = service;
        ++configVersion_;
        for (auto &each : entries_) {
            each->applyConfig(streamConfig(), now_);
        }
    }
    void restartSidecar(std::size_t engine)
    {
        engines_.at(engine).origins = OriginTable();
        for (auto &each : entries_) {
            each->onSidecarLost(address(engine), now_);
        }
        advance(Milliseconds(0));
    }
    void restartEntry(std::size_t index)
    {
        entries_.at(index) = makeEntry();
        advance(Milliseconds(0));
    }
    /// The entry reads all records again, as its history of changes has been lost.
    void readStoreAgain(std::size_t index)
    {
        entries_.at(index)->onStoreReadStarted();
        readStore(*entries_.at(index));
    }
    /// Which messages between an entry and a sidecar are lost; none by default.
    std::function<bool(std::size_t entry, std::size_t engine)> isLost;
    /// The store does not answer; all entries have read it before.
    bool isStoreAway = false;
    /// Sidecars of an older release, which do not keep origins.
    std::set<std::size_t> olderSidecars;

    /// Sidecars send their states, entries their messages.
    void advance(Duration span)
    {
        for (const auto end = now_ + span; now_ <= end; now_ += Milliseconds(100)) {
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                sendStates(i);
                entries_[i]->tick(now_);
                writeVersions(i);
                deliver(i);
            }
            if (span == Milliseconds(0)) {
                return;
            }
        }
    }
    /// Begins a stream, which then breaks off; returns the version of its engine, empty if it has not begun.
    /// `content`: of its request, the id if empty.
    std::string beginStream(std::size_t entry, const std::string &id, Duration callerTimeout = Seconds(15),
                            const std::string &content = {})
    {
        return run(entry, makeCall(id, callerTimeout, content)).value_or("");
    }
    /// Resumes a stream; returns the version at which it goes on, or none if it is refused.
    std::optional<std::string> resumeStream(std::size_t entry, const std::string &firstId,
                                            Duration callerTimeout = Seconds(15))
    {
        return resume(entry, firstId, firstId, callerTimeout);
    }
    /// The same without naming its first call, with the content of its request.
    std::optional<std::string> resumeUnnamed(std::size_t entry, const std::string &content,
                                             Duration callerTimeout = Seconds(15))
    {
        return resume(entry, {}, content, callerTimeout);
    }
    static std::string contentKey(const std::string &content)
    {
        return streamContentKey(makeCall(content, Seconds(15), content), {});
    }
    /// A report of another entry to the sidecar of the engine.
    void report(std::size_t engine, const wire::OriginReport &report)
    {
        engines_.at(engine).origins.onReport(report, now_);
    }

    RefuseCall lastRefusal;

private:
    std::optional<std::string> resume(std::size_t entry, const std::string &firstId, const std::string &content,
                                      Duration callerTimeout)
    {
        auto info = makeCall("resume-" + std::to_string(++lastCall_), callerTimeout, content);
        info.resumed = ResumedStream{"2", firstId};
        return run(entry, info);
    }
    struct Engine
    {
        std::string version;
        OriginTable origins; // at its sidecar
        bool serves = true;
    };

    DirectConfig streamConfig() const
    {
        auto config = makeConfig(configVersion_);
        config.routes.front().resumable = true;
        config.routes.front().services = {{streamService_, 1}};
        return config;
    }
    std::unique_ptr<DirectCalls> makeEntry()
    {
        DirectCallsInit init;
        init.dataCentre = "dc";
        auto result = std::make_unique<DirectCalls>(init);
        result->applyConfig(streamConfig(), now_);
        readStore(*result);
        return result;
    }
    void readStore(DirectCalls &entry) const
    {
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (engines_[engine].serves) {
                entry.applyEndpoint(makeRecord(engine), now_);
            }
        }
        for (const auto &[key, record] : versionRecords_) {
            entry.applySoftwareVersion(record, now_);
        }
        entry.onStoreRead(now_);
        entry.onStoreCurrent(now_);
    }
    EndpointRecord makeRecord(std::size_t engine) const
    {
        auto record = makeEndpoint(engineId(engine), engineService, address(engine));
        record.softwareVersion = engines_[engine].version;
        return record;
    }
    void announce(std::size_t engine)
    {
        for (auto &each : entries_) {
            each->applyEndpoint(makeRecord(engine), now_);
        }
    }
    void writeVersions(std::size_t entry)
    {
        for (const auto &write : entries_[entry]->takeSoftwareVersionWrites(now_)) {
            if (!isStoreWritable_) {
                continue;
            }
            SoftwareVersionRecord record{write.service + "/" + write.softwareVersion, write.service,
                                         write.softwareVersion, 1};
            record.isRemoved = write.kind == SoftwareVersionWrite::Kind::Remove;
            if (record.isRemoved) {
                versionRecords_.erase(record.key);
            } else {
                versionRecords_[record.key] = record;
            }
            for (auto &each : entries_) {
                each->applySoftwareVersion(record, now_);
            }
        }
    }
    void sendStates(std::size_t entry)
    {
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (engines_[engine].serves && !(isLost && isLost(entry, engine))) {
                auto state = makeState({"a1"});
                state.set_keeps_origins(olderSidecars.count(engine) == 0);
                entries_[entry]->applyState(address(engine), state, now_);
            }
        }
    }
    /// Delivers the messages of the entry; returns the calls that it sends to engines.
    std::vector<SendCall> deliver(std::size_t entry)
    {
        std::vector<SendCall> sent;
        for (auto actions = entries_[entry]->takeActions(); !actions.empty();
             actions = entries_[entry]->takeActions()) {
            for (auto &action : actions) {
                if (const auto *report = std::get_if<ReportOrigins>(&action)) {
                    if (auto *origins = reach(entry, report->address)) {
                        origins->onReport(report->report, now_);
                    }
                } else if (const auto *ask = std::get_if<AskOrigin>(&action)) {
                    if (auto *origins = reach(entry, ask->address)) {
                        entries_[entry]->onOriginAnswer(ask->address, origins->answer(ask->ask, now_), now_);
                    }
                } else if (const auto *confirmation = std::get_if<ConfirmStore>(&action)) {
                    entries_[entry]->onStoreConfirmed(confirmation->number, !isStoreAway, now_);
                } else if (const auto *send = std::get_if<SendCall>(&action)) {
                    sent.push_back(*send);
                } else if (const auto *refusal = std::get_if<RefuseCall>(&action)) {
                    lastRefusal = *refusal;
                }
            }
        }
        return sent;
    }
    OriginTable *reach(std::size_t entry, const std::string &target)
    {
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (address(engine) == target && engines_[engine].serves && olderSidecars.count(engine) == 0
                && !(isLost && isLost(entry, engine))) {
                return &engines_[engine].origins;
            }
        }
        return nullptr;
    }
    static CallInfo makeCall(const std::string &id, Duration callerTimeout, const std::string &content)
    {
        CallInfo info;
        info.requestId = id;
        info.host = host;
        info.path = "/s/x";
        info.model = modelName;
        info.adapter = "a1";
        info.promptTokens = 100;
        info.parts = {{content.empty() ? id : content, 100}};
        info.callerTimeout = callerTimeout;
        return info;
    }
    std::optional<std::string> run(std::size_t entry, const CallInfo &info)
    {
        auto &calls = *entries_[entry];
        const CallHandle handle{++lastHandle_};
        lastRefusal = RefuseCall{};
        calls.onCall(handle, info, now_);
        auto sent = deliver(entry);
        for (auto due = calls.nextAnswerCheckAt(); sent.empty() && due; due = calls.nextAnswerCheckAt()) {
            now_ = std::max(now_, *due);
            calls.checkAnswers(now_);
            sent = deliver(entry);
        }
        if (sent.empty()) {
            return std::nullopt;
        }
        calls.onAnswerStarted(handle, sent.front().attempt, now_);
        calls.onStreamStarted(handle, sent.front().origin, now_);
        deliver(entry);
        AttemptResult result;
        result.end = AttemptEnd::Broken;
        result.callerHasBytes = true;
        calls.onAttemptEnded(handle, sent.front().attempt, result, now_);
        deliver(entry);
        for (const auto &engine : engines_) {
            if (address(static_cast<std::size_t>(&engine - engines_.data())) == sent.front().address) {
                return engine.version;
            }
        }
        return std::nullopt;
    }

    TimePoint now_{Seconds(100)};
    std::string streamService_ = engineService;
    std::uint64_t configVersion_ = 1;
    bool isStoreWritable_;
    std::vector<Engine> engines_;
    std::map<std::string, SoftwareVersionRecord> versionRecords_; // in the store, by key
    std::vector<std::unique_ptr<DirectCalls>> entries_;
    std::uint64_t lastHandle_ = 0;
    std::uint64_t lastCall_ = 0;
};

} // namespace anvilscale::test
