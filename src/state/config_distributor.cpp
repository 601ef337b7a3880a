// Distribution of the configuration: a few watchers per data centre read the key-value service, all other processes
// receive it from peers.
#include "advance_now.h"
#include "config_reader.h"
#include "wire.pb.h"

#include <map>

namespace anvilscale {
namespace {

constexpr Duration fetchTimeout = Seconds(2);
constexpr Duration initialBackoff = Milliseconds(200);
// Poll intervals without confirmation after which a process that is not a watcher reads the service itself.
constexpr int unconfirmedPolls = 4;
// Heartbeats that a peer has for reporting a pushed revision before it is pushed again.
constexpr int heartbeatsPerPush = 3;

} // namespace

struct ConfigDistributor::Impl
{
    struct Peer
    {
        std::uint64_t revision = 0;
        TimePoint pushedAt;
        std::uint64_t pushedRevision = 0;
    };

    Init init;
    Callbacks callbacks;
    ConfigKeys keys;
    Random random;
    Backoff backoff;
    ConfigReader reader;
    std::optional<LeaseHolder> watcherLease; // one of the data centre's watcher leases
    std::optional<KeyWatcher> headWatch; // watches the head while the lease is held
    std::map<std::string, Peer> peers;
    std::string fetchPeer; // empty if no fetch is in progress
    std::uint64_t snapshotRevision = 0; // revision of the snapshot being fetched; 0 if none
    std::uint32_t nextChunk = 0;
    std::uint64_t reportedRevision = 0; // revision at the last call of `changed`
    TimerHandle pollTimer;
    TimerHandle catchUpTimer;
    TimerHandle fetchTimer;
    TimerHandle pushTimer;
    TimerHandle staleTimer;
    TimePoint confirmedAt; // last time the store was confirmed to be at the head
    bool wasConfirmed = false;
    bool isStale = false;
    Stats stats;

    Impl(Init initValue, Callbacks callbackSet);
    ~Impl();
    LeaseHolder::Init leaseInit();
    void startTimer(TimerHandle &timer, Duration wait, Now now, void (Impl::*callback)(Now));
    void poll(Now now);
    void readStore(Now now);
    void onRead(const ConfigReader::Result &result, Now now);
    void updateHeadWatch(Now now);
    void catchUp(Now now);
    void sendFetch(const std::string &peer, Now now);
    void onFetchTimeout(Now now);
    void endFetch();
    void onStoreChanged(Now now);
    void pushToPeers(Now now);
    void confirm(TimePoint at);
    void checkStale(Now now);
    void applyDeltas(const wire::ConfigPush &push, Now now);
    void applyChunk(const wire::ConfigPush &push, Now now);
    void reportRejected(const ConfigError &error, Now now);
};

ConfigDistributor::Impl::Impl(Init initValue, Callbacks callbackSet)
    : init(std::move(initValue))
    , callbacks(std::move(callbackSet))
    , keys{init.keyPrefix}
    , random(init.seed)
    , backoff(initialBackoff, init.timing.configPoll * 4)
    , reader(init.keyPrefix, init.store, "spread/" + init.self, callbacks.submit,
             [this](const ConfigReader::Result &result, Now now) { onRead(result, now); })
{
}

ConfigDistributor::Impl::~Impl()
{
    for (const auto timer : {pollTimer, catchUpTimer, fetchTimer, pushTimer, staleTimer}) {
        init.timers->cancel(timer);
    }
}

LeaseHolder::Init ConfigDistributor::Impl::leaseInit()
{
    const auto number = init.watchers == 0 ? 0 : hash64(init.self) % init.watchers;
    LeaseHolder::Init result;
    result.key = init.keyPrefix + "watch/" + init.dataCentre + "/" + std::to_string(number);
    result.holder = init.self;
    result.incarnation = init.incarnation;
    result.timing = init.timing;
    result.timers = init.timers;
    result.seed = random.next();
    return result;
}

/// Starts the timer unless it is already running.
void ConfigDistributor::Impl::startTimer(TimerHandle &timer, Duration wait, Now now, void (Impl::*callback)(Now))
{
    if (timer) {
        return;
    }
    timer = init.timers->subscribe(now.mono + wait, [this, &timer, callback, now](TimePoint at) {
        timer = {};
        (this->*callback)(advanceNow(now, at));
    });
}

ConfigDistributor::ConfigDistributor(Init init, Callbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(callbacks)))
{
}

ConfigDistributor::~ConfigDistributor() = default;

void ConfigDistributor::start(Now now)
{
    impl_->confirmedAt = now.mono;
    if (impl_->init.mayWatch) {
        impl_->watcherLease.emplace(impl_->leaseInit(), impl_->callbacks.submit);
        impl_->watcherLease->start(now);
    }
    impl_->readStore(now);
    impl_->startTimer(impl_->pollTimer, impl_->random.jitter(impl_->init.timing.configPoll), now, &Impl::poll);
    impl_->startTimer(impl_->staleTimer, impl_->init.timing.configPoll, now, &Impl::checkStale);
}

/// Watchers also poll the head, at 1 to 2 times configPoll, which bounds the delay of changes if the watch is lost
/// undetected.
void ConfigDistributor::Impl::poll(Now now)
{
    updateHeadWatch(now);
    const bool isWatcher = watcherLease && watcherLease->state() == LeaseState::Held;
    const bool isUnconfirmed = now.mono - confirmedAt >= unconfirmedPolls * init.timing.configPoll;
    if (isWatcher || isUnconfirmed) {
        readStore(now);
    }
    startTimer(pollTimer, random.jitter(2 * init.timing.configPoll), now, &Impl::poll);
}

void ConfigDistributor::Impl::readStore(Now now)
{
    if (!reader.busy()) {
        ++stats.storeReads;
        reader.read(now);
    }
}

void ConfigDistributor::Impl::onRead(const ConfigReader::Result &result, Now now)
{
    onStoreChanged(now);
    if (!result) {
        ++stats.readFailures;
        if (result.error().kind == ConfigErrorKind::Unavailable) {
            startTimer(catchUpTimer, backoff.next(random), now, &Impl::catchUp);
        } else {
            reportRejected(result.error(), now);
        }
        return;
    }
    backoff.reset();
    const auto &head = result->head;
    if (head.revision() < init.store->revision()) {
        return; // stale read, does not confirm the head
    }
    confirm(now.mono);
    if (head.revision() != 0 && head.digest() != init.store->digest()) {
        ++stats.digestMismatches;
        reportRejected(ConfigError{ConfigErrorKind::DigestMismatch, "config",
                                   "digest of the records does not match the head", init.store->revision()},
                       now);
    }
}

void ConfigDistributor::Impl::reportRejected(const ConfigError &error, Now now)
{
    if (callbacks.rejected) {
        callbacks.rejected(error, now);
    }
}

/// Reports an increased revision. Must be called after every operation that may have changed the store.
void ConfigDistributor::Impl::onStoreChanged(Now now)
{
    const std::uint64_t revision = init.store->revision();
    if (revision == reportedRevision) {
        return;
    }
    stats.applied += revision - reportedRevision;
    reportedRevision = revision;
    callbacks.changed(now);
    // Watchers receive changes first and push them at once. Others wait, since most peers have the change by then.
    if (watcherLease && watcherLease->state() == LeaseState::Held) {
        pushToPeers(now);
    } else {
        startTimer(pushTimer, random.jitter(2 * init.timing.heartbeat), now, &Impl::pushToPeers);
    }
}

void ConfigDistributor::Impl::pushToPeers(Now now)
{
    const std::uint64_t revision = init.store->revision();
    for (auto &[name, peer] : peers) {
        const bool wasPushedRecently =
            peer.pushedRevision == revision && now.mono - peer.pushedAt < heartbeatsPerPush * init.timing.heartbeat;
        if (peer.revision >= revision || wasPushedRecently) {
            continue;
        }
        wire::Envelope envelope;
        auto &push = *envelope.mutable_config_push();
        push = init.store->pushSince(peer.revision);
        if (push.deltas_size() == 0) {
            continue; // too far behind for deltas; it fetches a snapshot chunk by chunk
        }
        push.mutable_from()->set_name(init.self);
        push.mutable_from()->set_incarnation(init.incarnation);
        peer.pushedAt = now.mono;
        peer.pushedRevision = revision;
        ++stats.pushesSent;
        callbacks.sendToPeer(name, std::move(envelope));
    }
}

/// Starts and stops the watch of the head, which runs only while the watcher lease is held.
void ConfigDistributor::Impl::updateHeadWatch(Now now)
{
    const bool isWatcher = watcherLease && watcherLease->state() == LeaseState::Held;
    if (isWatcher && !headWatch) {
        KeyWatcher::Init watchInit{keys.head(), {}, init.timers, init.timing.configPoll * 2, random.next()};
        headWatch.emplace(std::move(watchInit), callbacks.submit,
                          [this](const std::vector<KvEntry> &, bool, Now at) { readStore(at); });
        headWatch->start(now);
    } else if (!isWatcher && headWatch) {
        headWatch->stop();
        headWatch.reset();
    }
}

void ConfigDistributor::Impl::catchUp(Now now)
{
    if (!fetchPeer.empty()) {
        return;
    }
    const Peer *best = nullptr;
    const std::string *bestName = nullptr;
    for (const auto &[name, peer] : peers) {
        if (peer.revision > init.store->revision() && (best == nullptr || peer.revision > best->revision)) {
            best = &peer;
            bestName = &name;
        }
    }
    if (bestName != nullptr) {
        sendFetch(*bestName, now);
    } else {
        readStore(now);
    }
}

void ConfigDistributor::Impl::sendFetch(const std::string &peer, Now now)
{
    fetchPeer = peer;
    wire::Envelope envelope;
    auto &fetch = *envelope.mutable_config_fetch();
    fetch.mutable_from()->set_name(init.self);
    fetch.mutable_from()->set_incarnation(init.incarnation);
    fetch.set_have_revision(init.store->revision());
    fetch.set_snapshot_revision(snapshotRevision);
    fetch.set_chunk(nextChunk);
    ++stats.fetchesSent;
    init.timers->cancel(std::exchange(fetchTimer, {}));
    startTimer(fetchTimer, fetchTimeout, now, &Impl::onFetchTimeout);
    callbacks.sendToPeer(peer, std::move(envelope));
}

void ConfigDistributor::Impl::endFetch()
{
    fetchPeer.clear();
    snapshotRevision = 0;
    nextChunk = 0;
    init.timers->cancel(std::exchange(fetchTimer, {}));
}

void ConfigDistributor::Impl::onFetchTimeout(Now now)
{
    peers.erase(fetchPeer); // use another peer or the service until this peer sends again
    endFetch();
    catchUp(now);
}

void ConfigDistributor::Impl::confirm(TimePoint at)
{
    confirmedAt = std::max(confirmedAt, at);
    wasConfirmed = true;
}

void ConfigDistributor::Impl::checkStale(Now now)
{
    const bool nowStale = now.mono - confirmedAt > init.staleAfter;
    stats.stalePeriods += nowStale && !isStale ? 1 : 0;
    isStale = nowStale;
    startTimer(staleTimer, init.timing.configPoll / 2, now, &Impl::checkStale);
}

void ConfigDistributor::Impl::applyDeltas(const wire::ConfigPush &push, Now now)
{
    for (const auto &bytes : push.deltas()) {
        config::Delta delta;
        if (!delta.ParseFromString(bytes)) {
            ++stats.pushesRejected;
            return;
        }
        if (delta.revision() <= init.store->revision()) {
            continue; // duplicate or late
        }
        const auto applied = init.store->apply(delta);
        if (applied) {
            continue;
        }
        ++stats.pushesRejected;
        if (applied.error().kind != ConfigErrorKind::NotNext) {
            reportRejected(applied.error(), now);
        }
        return;
    }
    ++stats.pushesAccepted;
}

void ConfigDistributor::Impl::applyChunk(const wire::ConfigPush &push, Now now)
{
    config::Snapshot chunk;
    // An unrequested or duplicate chunk would corrupt the snapshot being assembled.
    const bool isExpected =
        fetchPeer == push.from().name() && chunk.ParseFromString(push.snapshot())
        && (chunk.chunk() == 0 || (chunk.revision() == snapshotRevision && chunk.chunk() == nextChunk));
    if (!isExpected) {
        ++stats.pushesRejected;
        return;
    }
    const auto staged = init.store->stage(chunk);
    if (!staged) {
        ++stats.pushesRejected;
        endFetch();
        reportRejected(staged.error(), now);
        return;
    }
    ++stats.pushesAccepted;
    snapshotRevision = chunk.revision();
    nextChunk = chunk.chunk() + 1;
    if (nextChunk < chunk.chunks()) {
        sendFetch(push.from().name(), now);
    } else {
        endFetch();
    }
}

bool ConfigDistributor::onReply(const KvReply &reply, Now now)
{
    const bool isHandled = (impl_->watcherLease && impl_->watcherLease->onReply(reply, now))
                           || impl_->reader.onReply(reply, now)
                           || (impl_->headWatch && impl_->headWatch->onReply(reply, now));
    if (isHandled) {
        impl_->updateHeadWatch(now);
    }
    return isHandled;
}

void ConfigDistributor::onPeerRevision(const std::string &peer, std::uint64_t revision, std::uint64_t digest, Now now,
                                       std::optional<Duration> age)
{
    auto &peerState = impl_->peers[peer];
    peerState.revision = std::max(peerState.revision, revision);
    const std::uint64_t localRevision = impl_->init.store->revision();
    if (revision > localRevision) {
        impl_->startTimer(impl_->catchUpTimer, impl_->random.jitter(impl_->init.timing.heartbeat), now, &Impl::catchUp);
        return;
    }
    if (revision < localRevision) {
        const Duration wait = impl_->random.jitter(2 * impl_->init.timing.heartbeat);
        impl_->startTimer(impl_->pushTimer, wait, now, &Impl::pushToPeers);
        return;
    }
    if (digest != impl_->init.store->digest()) {
        ++impl_->stats.digestMismatches;
    } else if (age) {
        impl_->confirm(now.mono - *age);
    }
}

void ConfigDistributor::onPeerLost(const std::string &peer)
{
    impl_->peers.erase(peer);
    if (impl_->fetchPeer == peer) {
        impl_->endFetch();
    }
}

void ConfigDistributor::onPush(const wire::ConfigPush &push, Now now)
{
    const std::string from = push.from().name();
    if (!push.snapshot().empty()) {
        impl_->applyChunk(push, now);
    } else {
        if (impl_->fetchPeer == from) {
            impl_->endFetch();
        }
        impl_->applyDeltas(push, now);
    }
    if (!from.empty()) {
        auto &peer = impl_->peers[from];
        peer.revision = std::max(peer.revision, push.revision());
    }
    impl_->onStoreChanged(now);
    if (push.revision() > impl_->init.store->revision()) {
        impl_->startTimer(impl_->catchUpTimer, impl_->random.jitter(impl_->init.timing.heartbeat / 4), now,
                          &Impl::catchUp);
    }
}

void ConfigDistributor::onFetch(const std::string &peer, const wire::ConfigFetch &fetch, Now now)
{
    impl_->peers[peer].revision = fetch.have_revision();
    wire::Envelope envelope;
    auto &push = *envelope.mutable_config_push();
    push = impl_->init.store->pushSince(fetch.have_revision(), fetch.snapshot_revision(), fetch.chunk());
    push.mutable_from()->set_name(impl_->init.self);
    push.mutable_from()->set_incarnation(impl_->init.incarnation);
    impl_->peers[peer].pushedAt = now.mono;
    impl_->peers[peer].pushedRevision = impl_->init.store->revision();
    ++impl_->stats.pushesSent;
    impl_->callbacks.sendToPeer(peer, std::move(envelope));
}

bool ConfigDistributor::isStale() const
{
    return impl_->isStale || isEmpty();
}

bool ConfigDistributor::isEmpty() const
{
    return impl_->init.store->revision() == 0 && !impl_->wasConfirmed;
}

Duration ConfigDistributor::confirmationAge(TimePoint now) const
{
    return now - impl_->confirmedAt;
}

bool ConfigDistributor::isWatching() const
{
    return impl_->watcherLease && impl_->watcherLease->state() == LeaseState::Held;
}

const ConfigDistributor::Stats &ConfigDistributor::stats() const
{
    return impl_->stats;
}

} // namespace anvilscale
