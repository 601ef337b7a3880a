// StoreWatcher: reads and watches the platform's store.
#pragma once

#include "confirming_call.h"
#include "removed_endpoints.h"

#include "anvilscale/telemetry.h"

#include <map>
#include <set>

namespace anvilscale {

struct StoreWatcherInit
{
    NetAddress address; ///< of the store
    StoreTimes times;
    std::uint64_t seed = 1;
    /// Endpoints reported by the previous store. Those missing in this store are reported as removed, so that no calls
    /// are sent to them.
    std::set<std::string> knownEndpoints;
};

/// A failed call to the store, for the log.
struct StoreFailure
{
    StoreFailureKind kind = StoreFailureKind::Broken;
    bool isWatch = false; ///< the call was a watch rather than a read
    std::uint32_t status = 0; ///< status of the answer; 0 if none
    Duration elapsed{}; ///< time since the start of the call
    Duration sinceLastAnswer{}; ///< time since the last answer of the store
    bool isFirst = false; ///< first failure after an answered call
};

/// Handlers of a StoreWatcher, called from the loop's thread.
struct StoreWatcherHandlers
{
    std::function<void(StoreRecord)> record;
    /// The first full read has completed.
    std::function<void()> complete;
    /// All records are read from now on. May be empty.
    std::function<void()> readStarted;
    /// The first watch after a read was answered: what was read may have been some seconds old. May be empty.
    std::function<void()> current;
    /// Each answer. `sinceLastAnswer`: time since the previous one. `isRecovery`: calls have failed in between.
    std::function<void(Duration sinceLastAnswer, bool isRecovery)> answered;
    std::function<void(const StoreFailure &)> failed;
    /// So many records of an answer were not readable and skipped. May be empty.
    std::function<void(std::size_t records)> rejected;
    /// The store was restored from a backup, and everything is read again. May be empty.
    std::function<void(std::uint64_t era)> restored;
    /// Requests the changes after a position from a sidecar, whose answer is passed to onSharedWatchAnswer with this
    /// call number. Returns false if there is no such sidecar. May be empty.
    std::function<bool(std::uint64_t call, StorePosition after, Duration wait)> requestSharedWatch;
    /// The sidecar did not answer the last request or could not serve it.
    std::function<void()> sharedWatchFailed;
    /// A confirmation has ended, and all records of its answer have been reported. `failure`: why it confirms nothing;
    /// empty if it does.
    std::function<void(std::uint64_t number, std::optional<StoreFailureKind> failure)> confirmed;
};

/// Reports each change of a record to its handlers, with as few calls as possible because each call is billed: one
/// watch covers all records, changes close together share an answer, and failures are followed by backoff. The
/// timeouts of StoreTimes bound the delay of a change. Where a sidecar watches the store for several entries, requests
/// to it replace the watches; the store itself is called when it fails, and for confirmations. Use from the loop's
/// thread only.
template<StoreDialect Dialect, class Loop = EventLoop, StoreClient Client = HttpClient>
class StoreWatcher
{
public:
    StoreWatcher(Loop &loop, StoreWatcherInit init, StoreWatcherHandlers handlers)
        : loop_(loop)
        , init_(std::move(init))
        , handlers_(std::move(handlers))
        , random_(init_.seed)
        , client_(loop, storeClientInit(init_.address, init_.times, init_.times.pause))
        , confirmingCall_(loop, init_.address, init_.times,
                          [this](const ConfirmingResult &result) { onConfirmingCallEnded(result); })
    {
        for (const auto &id : init_.knownEndpoints) {
            reported_.emplace(id, 0);
        }
    }
    ~StoreWatcher()
    {
        loop_.timers().cancel(nextCallTimer_);
        loop_.timers().cancel(timeoutTimer_);
        loop_.timers().cancel(missingTimer_);
        loop_.timers().cancel(withheldTimer_);
    }
    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void start()
    {
        startRead();
    }
    /// An endpoint has contradicted its record, so that the store has news: shortens a pause between watches.
    void onRecordContradicted()
    {
        if (!isPausing_) {
            return; // the call under way returns them
        }
        const auto earliest = lastAnswerAt_ + minRefreshInterval;
        schedule(std::max(Duration(0), earliest - loop_.now()), [this] { watchStore(Duration(0)); });
    }
    /// Reads the changes up to now from the store itself, whose answer is not older than this call, unlike that of a
    /// watch or a sidecar. A read of all records that is in progress goes first. Ends with the handler `confirmed`.
    void confirm(std::uint64_t number)
    {
        confirmation_ = number;
        if (!isReading_) {
            confirmingCall_.start(revision_);
        }
    }
    /// Applies a sidecar's answer to a request: the body of a watch answer of this era, or none.
    void onSharedWatchAnswer(std::uint64_t call, std::uint64_t era, const std::optional<std::string> &body)
    {
        if (!hasSharedRequest_ || call != lastSharedCall_) {
            return; // timed out before
        }
        if (!body || era != era_) {
            onSharedWatchFailed();
            return;
        }
        hasSharedRequest_ = false;
        loop_.timers().cancel(timeoutTimer_);
        onWatch(*body);
    }
    /// Returns the reported endpoints that have not been removed.
    std::set<std::string> reportedEndpoints() const
    {
        std::set<std::string> ids;
        for (const auto &[id, revision] : reported_) {
            ids.insert(id);
        }
        return ids;
    }

private:
    using ConfirmingResult = typename ConfirmingCall<Dialect, Loop, Client>::Result;

    // Limits an answer that keeps growing slowly. A page of 1 MB takes 1.1 s over an idle 10 Mbit/s link.
    static constexpr Duration maxTransferTime = Seconds(10);
    // Running endpoints rewrite records that expired during an outage within two seconds of its end; records still
    // missing then are reported as removed. Counted from the end of the outage, so that a later removal is reported
    // immediately.
    static constexpr Duration rewriteTime = Milliseconds(1800);

    // Bounds the calls to the store while many endpoints contradict their records.
    static constexpr Duration minRefreshInterval = Milliseconds(300);

    struct MissingEndpoint
    {
        TimePoint missingSince; // first seen missing
        TimePoint removeAt; // time at which the endpoint counts as removed
    };

    void startRead()
    {
        isReading_ = true;
        isCurrent_ = false;
        confirmingCall_.abort(); // starts again after the read
        readIds_.clear();
        if (handlers_.readStarted) {
            handlers_.readStarted();
        }
        readPage("");
    }

    void readPage(const std::string &after)
    {
        startCall(Dialect::rangeRequest(after, acceptsOldData_), retryTimeout_,
                  [this, isFirstPage = after.empty()](const std::string &body) { onReadPage(body, isFirstPage); });
    }

    void onReadPage(const std::string &body, bool isFirstPage)
    {
        auto page = Dialect::readRange(body);
        if (!page) {
            onFailure(StoreFailureKind::Unreadable);
            return;
        }
        // The watch repeats changes made during the read. Pages of a read with mayBeOld may be of different ages.
        revision_ = isFirstPage ? page->revision : std::min(revision_, page->revision);
        onAnswered();
        applyPage(*page);
        if (page->hasMore) {
            readPage(page->lastKey);
            return;
        }
        isReading_ = false;
        // What is missing in old data is asked for at once.
        const auto wait = std::exchange(acceptsOldData_, false) ? Duration(0) : init_.times.waitWithoutPause;
        removedEndpoints_.retainOnly(readIds_);
        const auto reported = reported_;
        for (const auto &[id, revision] : reported) {
            if (readIds_.count(id) == 0) {
                addMissing(id);
            }
        }
        if (!std::exchange(isComplete_, true)) {
            handlers_.complete();
        }
        watch(wait);
        if (confirmation_) {
            confirmingCall_.start(revision_);
        }
    }

    void watch(Duration wait)
    {
        if (!requestSharedWatch()) {
            watchStore(wait);
        }
    }

    bool requestSharedWatch()
    {
        const auto wait = init_.times.sharedWait;
        if (!handlers_.requestSharedWatch
            || !handlers_.requestSharedWatch(++lastSharedCall_, {era_, revision_}, wait)) {
            return false;
        }
        hasSharedRequest_ = true;
        isPausing_ = false;
        loop_.timers().cancel(timeoutTimer_);
        timeoutTimer_ = loop_.timers().subscribe(loop_.now() + wait + init_.times.silenceTimeout,
                                                 [this](TimePoint) { onSharedWatchFailed(); });
        return true;
    }

    // The sidecar, the connection to it or the store may have failed: only a call to the store can tell.
    void onSharedWatchFailed()
    {
        hasSharedRequest_ = false;
        loop_.timers().cancel(timeoutTimer_);
        handlers_.sharedWatchFailed();
        watchStore(Duration(0));
    }

    void watchStore(Duration wait)
    {
        const auto &times = init_.times;
        const auto silenceTimeout = wait == Duration(0) ? retryTimeout_ : wait + times.silenceTimeout;
        startCall(Dialect::watchRequest(revision_, wait), silenceTimeout,
                  [this](const std::string &body) { onWatch(body); });
    }

    void onWatch(const std::string &body)
    {
        auto page = Dialect::readWatch(body);
        if (!page) {
            onFailure(StoreFailureKind::Unreadable);
            return;
        }
        isHistoryGone_ = false;
        onAnswered();
        const bool hasChanges = applyChanges(*page);
        if (requestSharedWatch()) {
            return;
        }
        if (!hasChanges) {
            watchStore(init_.times.waitWithoutPause);
            return;
        }
        isPausing_ = true;
        schedule(init_.times.pause, [this] { watch(init_.times.waitAfterPause); });
    }

    /// Applies an answer to a watch. Returns whether the store has changed. Changes of records that entries do not use
    /// count as well: each would cause a call at once.
    bool applyChanges(StorePage &page)
    {
        // The watch and a confirming call may return the same changes: an endpoint that came and went would come again.
        std::erase_if(page.records, [this](const StoreRecord &record) {
            const auto revision = endpointRevision(record);
            return revision != 0 && revision <= revision_;
        });
        const bool hasChanges = page.revision > revision_ || !page.records.empty();
        revision_ = std::max(revision_, page.revision);
        applyPage(page);
        if (!std::exchange(isCurrent_, true) && handlers_.current) {
            handlers_.current();
        }
        return hasChanges;
    }

    /// Revision of a change of an endpoint; 0 for any other record.
    static std::uint64_t endpointRevision(const StoreRecord &record)
    {
        if (const auto *endpoint = std::get_if<EndpointRecord>(&record)) {
            return endpoint->revision;
        }
        const auto *removed = std::get_if<EndpointRemoved>(&record);
        return removed == nullptr ? 0 : removed->revision;
    }

    void onConfirmingCallEnded(const ConfirmingResult &result)
    {
        if (!result) {
            endConfirmation(result.error());
            return;
        }
        const auto status = Dialect::storeStatus(result->status);
        if (status == StoreStatus::Unavailable || status == StoreStatus::Missing) {
            endConfirmation(StoreFailureKind::Refused);
            return;
        }
        if (result->era != era_ || status == StoreStatus::HistoryGone) {
            endConfirmation(StoreFailureKind::Outdated);
            endPause(); // the watch finds out the same, and reads everything again
            return;
        }
        auto page = Dialect::readWatch(result->body);
        if (!page) {
            endConfirmation(StoreFailureKind::Unreadable);
            return;
        }
        applyChanges(*page);
        // A withheld record may be the only one of its software version.
        endConfirmation(removedEndpoints_.nextDue() ? std::optional(StoreFailureKind::Withheld) : std::nullopt);
    }

    void endConfirmation(std::optional<StoreFailureKind> failure)
    {
        if (const auto number = std::exchange(confirmation_, std::nullopt)) {
            confirmingCall_.abort();
            handlers_.confirmed(*number, failure);
        }
    }

    void endPause()
    {
        if (isPausing_) {
            schedule(Duration(0), [this] { watchStore(Duration(0)); });
        }
    }

    void applyPage(StorePage &page)
    {
        if (page.rejectedRecords != 0) {
            onRejected(page);
        }
        for (auto &record : page.records) {
            if (const auto *endpoint = std::get_if<EndpointRecord>(&record)) {
                onEndpoint(*endpoint);
            } else if (const auto *removed = std::get_if<EndpointRemoved>(&record)) {
                onRemoved(*removed);
            } else {
                handlers_.record(std::move(record));
            }
        }
    }

    void onRejected(const StorePage &page)
    {
        for (const auto &rejection : page.rejections) {
            logEvent(Event::StoreRecordRejected, {{"records", std::uint64_t{page.rejectedRecords}},
                                                  {"key", rejection.key},
                                                  {"reason", rejection.reason}});
        }
        if (handlers_.rejected) {
            handlers_.rejected(page.rejectedRecords);
        }
    }

    void onEndpoint(const EndpointRecord &endpoint)
    {
        readIds_.insert(endpoint.id);
        missing_.erase(endpoint.id);
        if (isOutdated(endpoint.id, endpoint.revision)) {
            return;
        }
        auto current = endpoint;
        current.era = era_;
        if (removedEndpoints_.withhold(current, loop_.now())) {
            scheduleWithheld();
            return;
        }
        reportEndpoint(std::move(current));
    }

    void reportEndpoint(EndpointRecord endpoint)
    {
        reported_[endpoint.id] = endpoint.revision;
        handlers_.record(std::move(endpoint));
    }

    void scheduleWithheld()
    {
        loop_.timers().cancel(withheldTimer_);
        const auto next = removedEndpoints_.nextDue();
        if (!next) {
            return;
        }
        withheldTimer_ = loop_.timers().subscribe(*next, [this](TimePoint now) {
            for (auto &endpoint : removedEndpoints_.takeDue(now)) {
                reportEndpoint(std::move(endpoint));
            }
            scheduleWithheld();
        });
    }

    /// Whether this revision of the record or a newer one has been reported. Pages of a read are no snapshot: the watch
    /// starts at the first one and repeats older versions of records from later pages, which must not be reported: for
    /// a moment a leaving endpoint would seem ready, or one that has come back would seem removed.
    bool isOutdated(const std::string &id, std::uint64_t revision) const
    {
        const auto reported = reported_.find(id);
        return reported != reported_.end() && revision != 0 && revision <= reported->second;
    }

    void onRemoved(const EndpointRemoved &removed)
    {
        if (isOutdated(removed.id, removed.revision)) {
            return;
        }
        removedEndpoints_.dropWithheld(removed.id);
        if (!removed.unreadable) {
            addMissing(removed.id);
            return;
        }
        // Overwritten, not expired: nothing to wait for. Most such records never belonged to an endpoint.
        if (reported_.count(removed.id) != 0) {
            removeEndpoint(removed.id);
        }
    }

    void removeEndpoint(const std::string &id)
    {
        EndpointRemoved removed{id};
        if (const auto missing = missing_.find(id); missing != missing_.end()) {
            removed.withheldFor = loop_.now() - missing->second.missingSince;
            missing_.erase(missing);
        }
        reported_.erase(id);
        removedEndpoints_.add(id, era_, loop_.now());
        handlers_.record(std::move(removed));
    }

    void addMissing(const std::string &id)
    {
        const auto removeAt = availableSince_ + rewriteTime;
        if (loop_.now() >= removeAt) {
            removeEndpoint(id);
            return;
        }
        missing_.emplace(id, MissingEndpoint{loop_.now(), removeAt});
        if (!missingTimer_) {
            missingTimer_ = loop_.timers().subscribe(removeAt, [this](TimePoint now) { removeMissing(now); });
        }
    }

    void removeMissing(TimePoint now)
    {
        missingTimer_ = TimerHandle{};
        const auto missing = missing_;
        std::optional<TimePoint> next;
        for (const auto &[id, endpoint] : missing) {
            if (endpoint.removeAt <= now) {
                removeEndpoint(id);
            } else if (!next || endpoint.removeAt < *next) {
                next = endpoint.removeAt;
            }
        }
        if (next) {
            missingTimer_ = loop_.timers().subscribe(*next, [this](TimePoint at) { removeMissing(at); });
        }
    }

    /// Fails after `silenceTimeout` without a byte.
    void startCall(EndpointRequest request, Duration silenceTimeout, std::function<void(const std::string &)> onDone)
    {
        // An existing connection may be broken without notice, and a retry on it would hang.
        request.needsNewConnection = !isReachable_;
        request.maxAnswerBytes = maxStoreAnswerBytes;
        isPausing_ = false;
        answerStatus_ = 0;
        answerEra_ = 0;
        answerBody_.clear();
        callStartedAt_ = loop_.now();
        timeoutAt_ = callStartedAt_ + silenceTimeout;
        scheduleTimeout(); // before the start of the call, which may end immediately
        ExchangeHandlers handlers;
        handlers.head = [this](const HttpResponseHead &head) {
            answerStatus_ = head.status;
            answerEra_ = Dialect::storeEra(head);
            extendTimeout();
        };
        handlers.data = [this](const std::string &data) {
            answerBody_ += data;
            extendTimeout();
        };
        handlers.end = [this, onDone = std::move(onDone)](ExchangeEnd end) {
            loop_.timers().cancel(timeoutTimer_);
            if (end != ExchangeEnd::Complete) {
                isReading_ = isReading_ || end == ExchangeEnd::TooLarge;
                onFailure(storeFailureOf(end));
                return;
            }
            onAnswer(onDone);
        };
        currentExchange_ = client_.start(request, Duration(0), std::move(handlers));
    }

    /// An answer that cannot be applied is repeated like one that cannot be read: without a next call, the store would
    /// never be read again.
    void onAnswer(const std::function<void(const std::string &)> &onDone)
    {
        const bool isApplied =
            runGuarded(ErrorPlace::LoopTask, [&] { onStatus(Dialect::storeStatus(answerStatus_), onDone); });
        if (!isApplied) {
            client_.abort(currentExchange_); // the next call may have been started
            loop_.timers().cancel(timeoutTimer_);
            isReading_ = true; // records of the answer may not have been reported
            for (auto &[id, revision] : reported_) {
                revision = 0;
            }
            onFailure(StoreFailureKind::Unreadable);
        }
    }

    void extendTimeout()
    {
        timeoutAt_ = std::min(loop_.now() + init_.times.retrySilenceTimeout, callStartedAt_ + maxTransferTime);
    }

    void scheduleTimeout()
    {
        loop_.timers().cancel(timeoutTimer_);
        timeoutTimer_ = loop_.timers().subscribe(timeoutAt_, [this](TimePoint now) {
            if (now < timeoutAt_) {
                scheduleTimeout(); // bytes were received since
                return;
            }
            client_.abort(currentExchange_);
            onFailure(StoreFailureKind::Silent);
        });
    }

    void onStatus(StoreStatus status, const std::function<void(const std::string &)> &onDone)
    {
        if (answerEra_ != era_ && !isCurrentEra()) {
            return;
        }
        if (status == StoreStatus::Ok) {
            onDone(answerBody_);
            return;
        }
        if (status != StoreStatus::HistoryGone) {
            onFailure(StoreFailureKind::Refused);
            return;
        }
        // Prevents alternating reads and watches without a pause, hundreds of calls a second.
        const bool isRepeated = std::exchange(isHistoryGone_, true);
        isReading_ = true;
        if (isRepeated) {
            onFailure(StoreFailureKind::Refused);
        } else {
            startRead();
        }
    }

    /// Returns whether the answer belongs to the current era. Otherwise the next call is already scheduled or
    /// started.
    bool isCurrentEra()
    {
        if (answerEra_ == 0) {
            return true; // a store that reports no era is never restored
        }
        if (answerEra_ < era_) {
            onFailure(StoreFailureKind::Outdated);
            return false;
        }
        const bool isFirstEra = std::exchange(era_, answerEra_) == 0;
        if (!isFirstEra) {
            onRestored();
        }
        return isFirstEra;
    }

    /// The store has lost its last changes and reuses their revisions. Records missing in the backup may be written
    /// again, as after an outage.
    void onRestored()
    {
        for (auto &[id, revision] : reported_) {
            revision = 0;
        }
        wasUnavailable_ = true;
        acceptsOldData_ = true;
        if (handlers_.restored) {
            handlers_.restored(era_);
        }
        startRead();
    }

    void onAnswered()
    {
        const auto now = loop_.now();
        const bool isRecovery = !std::exchange(isReachable_, true);
        if (std::exchange(wasUnavailable_, false)) {
            availableSince_ = now;
        }
        retryDelay_ = isHistoryGone_ ? retryDelay_ : init_.times.initialRetryDelay;
        if (!isReading_) { // a failure begins the read anew, so that its other pages have as long as this one
            retryTimeout_ = init_.times.retrySilenceTimeout;
        }
        handlers_.answered(now - std::exchange(lastAnswerAt_, now), isRecovery);
    }

    void onFailure(StoreFailureKind kind)
    {
        const auto now = loop_.now();
        acceptsOldData_ = false;
        if (isReading_) {
            endConfirmation(kind);
        }
        StoreFailure failure;
        failure.kind = kind;
        failure.isWatch = !isReading_;
        failure.status = answerStatus_;
        failure.elapsed = now - callStartedAt_;
        failure.sinceLastAnswer = now - lastAnswerAt_;
        failure.isFirst = std::exchange(isReachable_, false);
        handlers_.failed(failure);
        // The store may close a watch at any time. If it answers the next call, no record has expired meanwhile and
        // removals need not be withheld.
        const bool isClosedWatch = failure.isFirst && failure.isWatch && kind == StoreFailureKind::Broken;
        wasUnavailable_ = wasUnavailable_ || !isClosedWatch;
        const auto &times = init_.times;
        const auto next =
            std::max(now + random_.jitter(times.minRetryDelay), callStartedAt_ + random_.jitter(retryDelay_));
        retryDelay_ = std::min(2 * retryDelay_, times.maxRetryDelay);
        const bool hasRetryTimedOut = kind == StoreFailureKind::Silent && !failure.isFirst;
        retryTimeout_ = hasRetryTimedOut ? times.maxSilenceTimeout : retryTimeout_;
        schedule(next - now, [this] {
            if (isReading_) {
                startRead();
            } else {
                watch(Duration(0));
            }
        });
    }

    void schedule(Duration delay, std::function<void()> task)
    {
        loop_.timers().cancel(nextCallTimer_);
        nextCallTimer_ = loop_.timers().subscribe(loop_.now() + delay, [task = std::move(task)](TimePoint) { task(); });
    }

    Loop &loop_;
    StoreWatcherInit init_;
    StoreWatcherHandlers handlers_;
    Random random_;
    Client client_;
    ConfirmingCall<Dialect, Loop, Client> confirmingCall_;
    std::optional<std::uint64_t> confirmation_; // number of the confirmation in progress, or waiting for a read
    TimerHandle nextCallTimer_;
    TimerHandle timeoutTimer_; // of the current call
    TimerHandle missingTimer_;
    TimerHandle withheldTimer_;
    bool isReading_ = true; // the current or next call is a read rather than a watch
    // Accepts pages that are some seconds old, which the store neither limits nor bills in full. Limits the load when
    // all entries start together, or read after a restore; the watch that follows returns the changes since. Not with
    // endpoints of another store: those that an old page lacks would be reported as removed.
    bool acceptsOldData_ = init_.knownEndpoints.empty();
    bool isComplete_ = false;
    bool isCurrent_ = false; // a watch has been answered since the last full read
    bool isHistoryGone_ = false; // the last watch failed because its history was compacted
    bool isPausing_ = false; // the next watch follows after a pause
    bool isReachable_ = true; // the last call was answered
    bool wasUnavailable_ = false; // the store may have been unavailable for long enough that records expired
    std::uint64_t era_ = 0; // latest era received; 0 if unknown
    std::uint64_t revision_ = 0; // revision in that era
    TimePoint callStartedAt_ = loop_.now(); // start of the current call
    TimePoint lastAnswerAt_ = loop_.now(); // time of the last answer, initially the start
    std::uint32_t answerStatus_ = 0; // status of the current answer
    std::uint64_t answerEra_ = 0; // era of the current answer; 0 if unknown
    std::string answerBody_;
    ExchangeId currentExchange_ = 0; // current call
    TimePoint timeoutAt_{}; // silence timeout of the current call
    Duration retryDelay_ = init_.times.initialRetryDelay; // from the start of a call that fails to the next one
    Duration retryTimeout_ = init_.times.retrySilenceTimeout; // silence timeout of calls that do not wait in the store
    TimePoint availableSince_ = loop_.now() - rewriteTime; // first answer after the last outage
    // Reported endpoints with their revision of this era; 0 if from an earlier era.
    std::map<std::string, std::uint64_t> reported_;
    std::set<std::string> readIds_; // endpoints found by the current full read
    std::map<std::string, MissingEndpoint> missing_; // missing in the store and not yet reported as removed
    RemovedEndpoints removedEndpoints_;
    bool hasSharedRequest_ =
        false; // a request to a sidecar is open; invariant: no watch or read of the store is in progress
    // Number of the last request to a sidecar. Starts at the clock, so that a late answer to an earlier watcher does
    // not match.
    std::uint64_t lastSharedCall_ = static_cast<std::uint64_t>(loop_.now().time_since_epoch().count());
};

} // namespace anvilscale
