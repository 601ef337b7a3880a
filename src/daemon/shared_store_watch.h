// SharedStoreWatch: one sidecar watches the platform's store for several entries.
#pragma once

#include "store_watcher.h"

#include <deque>
#include <limits>

namespace anvilscale {

struct SharedStoreWatchInit
{
    std::string store; ///< URL from the settings
    NetAddress address; ///< of the store
    StoreTimes times;
};

/// Request of an entry for the changes after a position.
struct SharedWatchRequest
{
    PeerHandle entry;
    std::string store; ///< URL of the store in the settings of the entry
    std::uint64_t call = 0; ///< number repeated in the answer
    StorePosition after; ///< position up to which the entry is up to date
    Duration wait{}; ///< maximum time until the store is called
};

/// Combines requests of entries into one call to the store. The call starts after the requests arrive, so its answer
/// is as recent as that of the entry's own watch: neither a slow link nor a pause of this process can pass off old
/// state as new. A failed call is reported to the entries, which then call the store themselves. Use from the loop's
/// thread only.
template<SharedStoreDialect Dialect, class Loop = EventLoop, StoreClient Client = HttpClient>
class SharedStoreWatch
{
public:
    using Answer = std::function<void(PeerHandle, const wire::StoreNews &)>;

    SharedStoreWatch(Loop &loop, const SharedStoreWatchInit &init, Answer answer)
        : loop_(loop)
        , store_(init.store)
        , silenceTimeout_(init.times.silenceTimeout)
        , answer_(std::move(answer))
        , client_(loop, storeClientInit(init.address, init.times, init.times.sharedWait))
    {
    }
    ~SharedStoreWatch()
    {
        loop_.timers().cancel(nextCallTimer_);
        loop_.timers().cancel(timeoutTimer_);
    }
    SharedStoreWatch(const SharedStoreWatch &) = delete;
    SharedStoreWatch &operator=(const SharedStoreWatch &) = delete;

    void addRequest(const SharedWatchRequest &request)
    {
        if (request.store != store_) {
            // The settings of entry and sidecar differ. Revisions of two stores cannot be compared.
            answer_(request.entry, makeUpdate(request, false));
            return;
        }
        pending_.push_back({request, loop_.now() + request.wait});
        schedule();
    }

private:
    struct PendingRequest
    {
        SharedWatchRequest request;
        TimePoint callBy;
    };

    // Maximum number of changes stored for entries that lag behind; an entry that needs older ones calls the store.
    static constexpr std::size_t maxChanges = 4096;
    // The store keeps its history for some seconds. After a longer pause without requests the changes are discarded.
    static constexpr Duration maxIdleTime = Seconds(5);

    void schedule()
    {
        if (pending_.empty() || !active_.empty()) {
            return;
        }
        const auto earliest = std::min_element(pending_.begin(), pending_.end(),
                                               [](const auto &a, const auto &b) { return a.callBy < b.callBy; });
        loop_.timers().cancel(nextCallTimer_);
        nextCallTimer_ = loop_.timers().subscribe(earliest->callBy, [this](TimePoint) { callStore(); });
    }

    void callStore()
    {
        active_ = std::exchange(pending_, {});
        const auto now = loop_.now();
        const bool isIdle = now - std::exchange(lastCallAt_, now) > maxIdleTime;
        if (revision_ == 0 || isIdle || latestRequestedEra() > era_) {
            restart();
        }
        answerStatus_ = 0;
        answerEra_ = 0;
        answerBody_.clear();
        auto watchRequest = Dialect::watchRequest(revision_, Duration(0));
        watchRequest.needsNewConnection = !isReachable_;
        watchRequest.maxAnswerBytes = maxStoreAnswerBytes;
        loop_.timers().cancel(timeoutTimer_);
        timeoutTimer_ = loop_.timers().subscribe(now + silenceTimeout_, [this](TimePoint) {
            client_.abort(currentExchange_);
            finish(false);
        });
        ExchangeHandlers handlers;
        handlers.head = [this](const HttpResponseHead &head) {
            answerStatus_ = head.status;
            answerEra_ = Dialect::storeEra(head);
        };
        handlers.data = [this](const std::string &data) { answerBody_ += data; };
        handlers.end = [this](ExchangeEnd end) {
            loop_.timers().cancel(timeoutTimer_);
            const bool isAnswered = end == ExchangeEnd::Complete && answerEra_ == era_
                                    && Dialect::storeStatus(answerStatus_) == StoreStatus::Ok;
            finish(isAnswered && applyChanges());
        };
        currentExchange_ = client_.start(watchRequest, Duration(0), std::move(handlers));
    }

    std::uint64_t latestRequestedEra() const
    {
        std::uint64_t maxEra = 0;
        for (const auto &pending : active_) {
            maxEra = std::max(maxEra, pending.request.after.era);
        }
        return maxEra;
    }

    /// Restarts at the lowest position of the latest era. Entries of other eras call the store themselves and get its
    /// era.
    void restart()
    {
        era_ = latestRequestedEra();
        revision_ = std::numeric_limits<std::uint64_t>::max();
        for (const auto &pending : active_) {
            const auto &after = pending.request.after;
            revision_ = after.era == era_ ? std::min(revision_, after.revision) : revision_;
        }
        completeAfter_ = revision_;
        changes_.clear();
        lastRecords_.clear();
    }

    bool applyChanges()
    {
        auto changes = Dialect::splitWatch(answerBody_);
        if (!changes) {
            return false;
        }
        for (auto &item : changes->items) {
            if (item.revision > revision_ && isRelevant(item.record)) {
                changes_.push_back(std::move(item));
            }
        }
        revision_ = std::max(revision_, changes->revision);
        while (changes_.size() > maxChanges) {
            completeAfter_ = changes_.front().revision;
            changes_.pop_front();
        }
        return true;
    }

    /// Whether entries need the change. Excludes changes of resident models and adapters, hundreds a second in a large
    /// fleet, which entries receive from the sidecars.
    bool isRelevant(const StoreRecord &record)
    {
        if (const auto *endpoint = std::get_if<EndpointRecord>(&record)) {
            auto &lastRecord = lastRecords_[endpoint->id];
            auto comparable = *endpoint;
            comparable.revision = 0;
            comparable.models.clear();
            comparable.adapters.clear();
            const bool hasChanged = !lastRecord || *lastRecord != comparable;
            lastRecord = std::move(comparable);
            return hasChanged;
        }
        if (const auto *removed = std::get_if<EndpointRemoved>(&record)) {
            lastRecords_.erase(removed->id);
        }
        return true;
    }

    void finish(bool isAnswered)
    {
        isReachable_ = isAnswered;
        for (const auto &pending : std::exchange(active_, {})) {
            answer_(pending.request.entry, makeUpdate(pending.request, isAnswered));
        }
        if (!isAnswered) {
            revision_ = 0;
        }
        schedule();
    }

    wire::StoreNews makeUpdate(const SharedWatchRequest &request, bool isAnswered) const
    {
        wire::StoreNews update;
        update.set_call(request.call);
        update.set_era(era_);
        const auto &after = request.after;
        update.set_answered(isAnswered && after.era == era_ && after.revision >= completeAfter_);
        if (!update.answered()) {
            return update;
        }
        update.set_revision(revision_);
        for (const auto &item : changes_) {
            if (item.revision > after.revision) {
                update.add_items(item.encoded);
            }
        }
        return update;
    }

    Loop &loop_;
    std::string store_;
    Duration silenceTimeout_; // timeout of a call
    Answer answer_;
    Client client_;
    TimerHandle nextCallTimer_; // starts the next call
    TimerHandle timeoutTimer_; // of the current call
    std::vector<PendingRequest> pending_; // requests for the next call
    std::vector<PendingRequest> active_; // requests served by the current call; empty if none is in progress
    bool isReachable_ = true; // the last call was answered
    std::uint64_t era_ = 0; // era of all state below; 0 if unknown
    std::uint64_t revision_ = 0; // revision up to which changes_ is complete; 0 if the watch has to be restarted
    std::uint64_t completeAfter_ = 0; // changes_ is complete after this revision
    std::deque<StoreChange> changes_; // in revision order
    // Last record of each endpoint without resident models and adapters.
    std::map<std::string, std::optional<EndpointRecord>> lastRecords_;
    TimePoint lastCallAt_{};
    std::uint32_t answerStatus_ = 0; // status of the current answer
    std::uint64_t answerEra_ = 0; // era of the current answer; 0 if unknown
    std::string answerBody_;
    ExchangeId currentExchange_ = 0; // current call
};

} // namespace anvilscale
