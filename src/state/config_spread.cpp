// Distribution of the configuration: a few watchers per data centre read the key-value service, all other processes
// receive it from peers.
#include "config_reader.h"
#include "later_now.h"
#include "wire.pb.h"

#include <map>

namespace anvilscale {
namespace {

constexpr Duration fetchTimeout = Seconds(2);
constexpr Duration firstWait = Milliseconds(200);
// Poll intervals without confirmation after which a process that is not a watcher reads the service itself.
constexpr int lonelyPolls = 4;
// Heartbeats that a peer has for reporting a pushed revision before it is pushed again.
constexpr int pushHeartbeats = 3;

} // namespace

struct ConfigSpread::Impl
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
    std::optional<LeaseKeeper> lease; // one of the data centre's watcher leases
    std::optional<KeyFollower> follower; // watches the head while the lease is held
    std::map<std::string, Peer> peers;
    std::string fetchingFrom; // empty if no fetch is in progress
    std::uint64_t snapshotRevision = 0; // revision of the snapshot being fetched; 0 if none
    std::uint32_t nextChunk = 0;
    std::uint64_t announced = 0; // revision at the last call of `changed`
    TimerHandle pollTimer;
    TimerHandle catchUpTimer;
    TimerHandle fetchTimer;
    TimerHandle pushTimer;
    TimerHandle staleTimer;
    TimePoint confirmedAt; // last time the store was confirmed to be at the head
    bool confirmedOnce = false;
    bool isStale = false;
    Stats stats;

    Impl(Init from, Callbacks to);
    ~Impl();
    LeaseKeeper::Init leaseInit();
    void arm(TimerHandle &timer, Duration wait, Now now, void (Impl::*what)(Now));
    void poll(Now now);
    void readStore(Now now);
    void onRead(const ConfigReader::Result &result, Now now);
    void followHead(Now now);
    void catchUp(Now now);
    void sendFetch(const std::string &peer, Now now);
    void onFetchTimeout(Now now);
    void endFetch();
    void moved(Now now);
    void pushToPeers(Now now);
    void confirm(TimePoint at);
    void checkStale(Now now);
    void takeDeltas(const wire::ConfigPush &push, Now now);
    void takeChunk(const wire::ConfigPush &push, Now now);
    void refuse(const ConfigError &error, Now now);
};

ConfigSpread::Impl::Impl(Init from, Callbacks to)
    : init(std::move(from))
    , callbacks(std::move(to))
    , keys{init.keyPrefix}
    , random(init.seed)
    , backoff(firstWait, init.timing.configPoll * 4)
    , reader(init.keyPrefix, init.store, "spread/" + init.self, callbacks.submit,
             [this](const ConfigReader::Result &result, Now now) { onRead(result, now); })
{
}

ConfigSpread::Impl::~Impl()
{
    for (const auto timer : {pollTimer, catchUpTimer, fetchTimer, pushTimer, staleTimer}) {
        init.timers->cancel(timer);
    }
}

LeaseKeeper::Init ConfigSpread::Impl::leaseInit()
{
    const auto number = init.watchers == 0 ? 0 : hash64(init.self) % init.watchers;
    LeaseKeeper::Init from;
    from.key = init.keyPrefix + "watch/" + init.dataCentre + "/" + std::to_string(number);
    from.holder = init.self;
    from.incarnation = init.incarnation;
    from.timing = init.timing;
    from.timers = init.timers;
    from.seed = random.next();
    return from;
}

/// Starts the timer unless it is already running.
void ConfigSpread::Impl::arm(TimerHandle &timer, Duration wait, Now now, void (Impl::*what)(Now))
{
    if (timer) {
        return;
    }
    timer = init.timers->subscribe(now.mono + wait, [this, &timer, what, now](TimePoint at) {
        timer = {};
        (this->*what)(laterNow(now, at));
    });
}

ConfigSpread::ConfigSpread(Init init, Callbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(callbacks)))
{
}

ConfigSpread::~ConfigSpread() = default;

void ConfigSpread::start(Now now)
{
    impl_->confirmedAt = now.mono;
    if (impl_->init.mayWatch) {
        impl_->lease.emplace(impl_->leaseInit(), impl_->callbacks.submit);
        impl_->lease->start(now);
    }
    impl_->readStore(now);
    impl_->arm(impl_->pollTimer, impl_->random.jitter(impl_->init.timing.configPoll), now, &Impl::poll);
    impl_->arm(impl_->staleTimer, impl_->init.timing.configPoll, now, &Impl::checkStale);
}

/// Watchers also poll the head, so that an undetected loss of the watch delays changes by at most one poll interval.
void ConfigSpread::Impl::poll(Now now)
{
    followHead(now);
    const bool isWatcher = lease && lease->state() == LeaseState::Held;
    const bool lonely = now.mono - confirmedAt >= lonelyPolls * init.timing.configPoll;
    if (isWatcher || lonely) {
        readStore(now);
    }
    arm(pollTimer, random.jitter(2 * init.timing.configPoll), now, &Impl::poll);
}

void ConfigSpread::Impl::readStore(Now now)
{
    if (!reader.busy()) {
        ++stats.storeReads;
        reader.read(now);
    }
}

void ConfigSpread::Impl::onRead(const ConfigReader::Result &result, Now now)
{
    moved(now);
    if (!result) {
        ++stats.readFailures;
        if (result.error().kind == ConfigErrorKind::Unavailable) {
            arm(catchUpTimer, backoff.next(random), now, &Impl::catchUp);
        } else {
            refuse(result.error(), now);
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
        refuse(ConfigError{ConfigErrorKind::DigestMismatch, "config", "records do not agree with the head",
                           init.store->revision()},
               now);
    }
}

void ConfigSpread::Impl::refuse(const ConfigError &error, Now now)
{
    if (callbacks.refused) {
        callbacks.refused(error, now);
    }
}

/// Reports an increased revision. Must be called after every operation that may have changed the store.
void ConfigSpread::Impl::moved(Now now)
{
    const std::uint64_t revision = init.store->revision();
    if (revision == announced) {
        return;
    }
    stats.applied += revision - announced;
    announced = revision;
    callbacks.changed(now);
    // Watchers receive changes first and push them at once. Others wait, since most peers have the change by then.
    if (lease && lease->state() == LeaseState::Held) {
        pushToPeers(now);
    } else {
        arm(pushTimer, random.jitter(2 * init.timing.heartbeat), now, &Impl::pushToPeers);
    }
}

void ConfigSpread::Impl::pushToPeers(Now now)
{
    const std::uint64_t revision = init.store->revision();
    for (auto &[name, peer] : peers) {
        const bool pushedLately =
            peer.pushedRevision == revision && now.mono - peer.pushedAt < pushHeartbeats * init.timing.heartbeat;
        if (peer.revision >= revision || pushedLately) {
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
void ConfigSpread::Impl::followHead(Now now)
{
    const bool isWatcher = lease && lease->state() == LeaseState::Held;
    if (isWatcher && !follower) {
        KeyFollower::Init follow{keys.head(), {}, init.timers, init.timing.configPoll * 2, random.next()};
        follower.emplace(std::move(follow), callbacks.submit,
                         [this](const std::vector<KvEntry> &, bool, Now at) { readStore(at); });
        follower->start(now);
    } else if (!isWatcher && follower) {
        follower->stop();
        follower.reset();
    }
}

void ConfigSpread::Impl::catchUp(Now now)
{
    if (!fetchingFrom.empty()) {
        return;
    }
    const Peer *best = nullptr;
    const std::string *from = nullptr;
    for (const auto &[name, peer] : peers) {
        if (peer.revision > init.store->revision() && (best == nullptr || peer.revision > best->revision)) {
            best = &peer;
            from = &name;
        }
    }
    if (from != nullptr) {
        sendFetch(*from, now);
    } else {
        readStore(now);
    }
}

void ConfigSpread::Impl::sendFetch(const std::string &peer, Now now)
{
    fetchingFrom = peer;
    wire::Envelope envelope;
    auto &fetch = *envelope.mutable_config_fetch();
    fetch.mutable_from()->set_name(init.self);
    fetch.mutable_from()->set_incarnation(init.incarnation);
    fetch.set_have_revision(init.store->revision());
    fetch.set_snapshot_revision(snapshotRevision);
    fetch.set_chunk(nextChunk);
    ++stats.fetchesSent;
    init.timers->cancel(std::exchange(fetchTimer, {}));
    arm(fetchTimer, fetchTimeout, now, &Impl::onFetchTimeout);
    callbacks.sendToPeer(peer, std::move(envelope));
}

void ConfigSpread::Impl::endFetch()
{
    fetchingFrom.clear();
    snapshotRevision = 0;
    nextChunk = 0;
    init.timers->cancel(std::exchange(fetchTimer, {}));
}

void ConfigSpread::Impl::onFetchTimeout(Now now)
{
    peers.erase(fetchingFrom); // use another peer or the service until this peer sends again
    endFetch();
    catchUp(now);
}

void ConfigSpread::Impl::confirm(TimePoint at)
{
    confirmedAt = std::max(confirmedAt, at);
    confirmedOnce = true;
}

void ConfigSpread::Impl::checkStale(Now now)
{
    const bool is = now.mono - confirmedAt > init.staleAfter;
    stats.staleSpells += is && !isStale ? 1 : 0;
    isStale = is;
    arm(staleTimer, init.timing.configPoll / 2, now, &Impl::checkStale);
}

void ConfigSpread::Impl::takeDeltas(const wire::ConfigPush &push, Now now)
{
    for (const auto &bytes : push.deltas()) {
        config::Delta delta;
        if (!delta.ParseFromString(bytes)) {
            ++stats.pushesRefused;
            return;
        }
        if (delta.revision() <= init.store->revision()) {
            continue; // duplicate or late
        }
        const auto applied = init.store->apply(delta);
        if (applied) {
            continue;
        }
        ++stats.pushesRefused;
        if (applied.error().kind != ConfigErrorKind::NotNext) {
            refuse(applied.error(), now);
        }
        return;
    }
    ++stats.pushesTaken;
}

void ConfigSpread::Impl::takeChunk(const wire::ConfigPush &push, Now now)
{
    config::Snapshot chunk;
    // An unrequested or duplicate chunk would corrupt the snapshot being assembled.
    const bool asked = fetchingFrom == push.from().name() && chunk.ParseFromString(push.snapshot())
                       && (chunk.chunk() == 0 || (chunk.revision() == snapshotRevision && chunk.chunk() == nextChunk));
    if (!asked) {
        ++stats.pushesRefused;
        return;
    }
    const auto staged = init.store->stage(chunk);
    if (!staged) {
        ++stats.pushesRefused;
        endFetch();
        refuse(staged.error(), now);
        return;
    }
    ++stats.pushesTaken;
    snapshotRevision = chunk.revision();
    nextChunk = chunk.chunk() + 1;
    if (nextChunk < chunk.chunks()) {
        sendFetch(push.from().name(), now);
    } else {
        endFetch();
    }
}

bool ConfigSpread::onReply(const KvReply &reply, Now now)
{
    const bool ours = (impl_->lease && impl_->lease->onReply(reply, now)) || impl_->reader.onReply(reply, now)
                      || (impl_->follower && impl_->follower->onReply(reply, now));
    if (ours) {
        impl_->followHead(now);
    }
    return ours;
}

void ConfigSpread::onPeerRevision(const std::string &peer, std::uint64_t revision, std::uint64_t digest, Now now,
                                  std::optional<Duration> age)
{
    auto &known = impl_->peers[peer];
    known.revision = std::max(known.revision, revision);
    const std::uint64_t mine = impl_->init.store->revision();
    if (revision > mine) {
        impl_->arm(impl_->catchUpTimer, impl_->random.jitter(impl_->init.timing.heartbeat), now, &Impl::catchUp);
        return;
    }
    if (revision < mine) {
        const Duration wait = impl_->random.jitter(2 * impl_->init.timing.heartbeat);
        impl_->arm(impl_->pushTimer, wait, now, &Impl::pushToPeers);
        return;
    }
    if (digest != impl_->init.store->digest()) {
        ++impl_->stats.digestMismatches;
    } else if (age) {
        impl_->confirm(now.mono - *age);
    }
}

void ConfigSpread::onPeerLost(const std::string &peer)
{
    impl_->peers.erase(peer);
    if (impl_->fetchingFrom == peer) {
        impl_->endFetch();
    }
}

void ConfigSpread::onPush(const wire::ConfigPush &push, Now now)
{
    const std::string from = push.from().name();
    if (!push.snapshot().empty()) {
        impl_->takeChunk(push, now);
    } else {
        if (impl_->fetchingFrom == from) {
            impl_->endFetch();
        }
        impl_->takeDeltas(push, now);
    }
    if (!from.empty()) {
        auto &peer = impl_->peers[from];
        peer.revision = std::max(peer.revision, push.revision());
    }
    impl_->moved(now);
    if (push.revision() > impl_->init.store->revision()) {
        impl_->arm(impl_->catchUpTimer, impl_->random.jitter(impl_->init.timing.heartbeat / 4), now, &Impl::catchUp);
    }
}

void ConfigSpread::onFetch(const std::string &peer, const wire::ConfigFetch &fetch, Now now)
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

bool ConfigSpread::stale() const
{
    return impl_->isStale || empty();
}

bool ConfigSpread::empty() const
{
    return impl_->init.store->revision() == 0 && !impl_->confirmedOnce;
}

Duration ConfigSpread::age(TimePoint now) const
{
    return now - impl_->confirmedAt;
}

bool ConfigSpread::watching() const
{
    return impl_->lease && impl_->lease->state() == LeaseState::Held;
}

const ConfigSpread::Stats &ConfigSpread::stats() const
{
    return impl_->stats;
}

} // namespace anvilscale
