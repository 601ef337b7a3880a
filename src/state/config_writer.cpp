// Appends changes by compare-and-swap and compacts the stored history.
#include "advance_now.h"
#include "config_reader.h"
#include "record.h"

namespace anvilscale {
namespace {

constexpr std::uint32_t maxAttempts = 4;
constexpr std::size_t maxDeletesPerTxn = 100; // limit of the service on operations per transaction
constexpr std::size_t maxDeltaBytes = 900'000;
constexpr Duration initialBackoff = Milliseconds(100);
constexpr Duration maxBackoff = Seconds(2);

ConfigError makeError(ConfigErrorKind kind, std::string detail, std::uint64_t revision)
{
    return ConfigError{kind, "config", std::move(detail), revision};
}

} // namespace

struct ConfigWriter::Impl
{
    enum class Step : std::uint8_t {
        Idle,
        Reading, ///< bringing the store to the head
        Writing,
        ReadingBack, ///< checking whether the stored delta carries our change id
        WritingChunk,
        UpdatingHead, ///< updating the head to refer to the new snapshot
        Deleting,
    };

    Init init;
    std::function<void(KvRequest)> submit;
    std::function<void(const Result &, Now)> done;
    ConfigKeys keys;
    KvRequestIds ids;
    Random random;
    Backoff backoff;
    ConfigReader reader;

    Step step = Step::Idle;
    bool isCompacting = false;
    KvHandle pending;
    TimerHandle timer;
    std::uint32_t attempts = 0;
    bool isOutcomeUnknown = false; // a write without a reply may have taken effect
    bool isSuperseded = false; // another writer was first; the head is read only to report its revision
    std::optional<std::uint64_t> expected;
    config::Delta delta; // revision 0 until it is based on a head
    StoredHead head;
    std::vector<config::Snapshot> chunks;
    std::size_t nextChunk = 0;
    std::vector<std::string> obsoleteKeys;

    Impl(Init initValue, std::function<void(KvRequest)> submitRequest, std::function<void(const Result &, Now)> onDone)
        : init(std::move(initValue))
        , submit(std::move(submitRequest))
        , done(std::move(onDone))
        , keys{init.keyPrefix}
        , ids("config-writer/" + init.author + std::to_string(init.seed))
        , random(init.seed)
        , backoff(initialBackoff, maxBackoff)
        , reader(init.keyPrefix, init.store, "writer/" + init.author + std::to_string(init.seed), submit,
                 [this](const ConfigReader::Result &result, Now now) { onHead(result, now); })
    {
    }

    void send(Step next, KvRequest request);
    void finish(const Result &result, Now now);
    void fail(ConfigErrorKind kind, const char *detail, Now now);
    void retry(Step nextStep, Now now);
    void proceed(Now now);
    void onHead(const ConfigReader::Result &result, Now now);
    std::optional<ConfigError> prepareDelta(Now now);
    std::optional<ConfigError> checkSchemaVersions() const;
    void write();
    void onWriteReply(const KvReply &reply, Now now);
    void onReadBackReply(const KvReply &reply, Now now);
    void succeed(Now now);
    void writeSnapshotIfDue(Now now);
    void writeChunk();
    void updateHead();
    void listObsoleteKeys(const config::Head &before);
    void deleteNextBatch(Now now);
    void onCompactionReply(const KvReply &reply, Now now);
};

ConfigWriter::ConfigWriter(Init init, std::function<void(KvRequest)> submit,
                           std::function<void(const Result &, Now)> done)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(submit), std::move(done)))
{
}

ConfigWriter::~ConfigWriter()
{
    impl_->init.timers->cancel(impl_->timer);
}

void ConfigWriter::Impl::send(Step next, KvRequest request)
{
    step = next;
    request.id = ids.next();
    pending = request.id;
    submit(std::move(request));
}

void ConfigWriter::Impl::finish(const Result &result, Now now)
{
    step = Step::Idle;
    isCompacting = false;
    chunks.clear();
    done(result, now);
}

void ConfigWriter::Impl::fail(ConfigErrorKind kind, const char *detail, Now now)
{
    // After a write without a reply, only reading it back can prove that it had no effect.
    const auto reportedKind = isOutcomeUnknown ? ConfigErrorKind::OutcomeUnknown : kind;
    finish(tl::unexpected(makeError(reportedKind, detail, init.store->revision())), now);
}

void ConfigWriter::Impl::retry(Step nextStep, Now now)
{
    if (++attempts > maxAttempts) {
        fail(ConfigErrorKind::Unavailable, "the key-value service does not answer", now);
        return;
    }
    step = nextStep;
    timer = init.timers->subscribe(now.mono + backoff.next(random), [this, now](TimePoint at) {
        timer = {};
        proceed(advanceNow(now, at));
    });
}

void ConfigWriter::Impl::proceed(Now now)
{
    if (step == Step::ReadingBack) {
        KvRequest request;
        request.key = keys.delta(delta.revision());
        send(Step::ReadingBack, std::move(request));
        return;
    }
    step = Step::Reading;
    reader.read(now);
}

void ConfigWriter::Impl::onHead(const ConfigReader::Result &result, Now now)
{
    if (!result) {
        if (result.error().kind == ConfigErrorKind::Unavailable) {
            retry(Step::Reading, now);
        } else {
            finish(tl::unexpected(result.error()), now);
        }
        return;
    }
    head = *result;
    const std::uint64_t revision = head.head.revision();
    if (revision != init.store->revision()) { // stale read
        retry(Step::Reading, now);
        return;
    }
    if (isSuperseded) {
        finish(tl::unexpected(makeError(ConfigErrorKind::Conflict, "another change was applied first", revision)), now);
        return;
    }
    if (isCompacting) {
        writeSnapshotIfDue(now);
        return;
    }
    if (delta.revision() == 0) {
        if (const auto error = prepareDelta(now)) {
            finish(tl::unexpected(*error), now);
            return;
        }
    } else if (delta.revision() != revision + 1) {
        step = Step::ReadingBack; // our revision exists already, possibly by our own write
        proceed(now);
        return;
    }
    write();
}

std::optional<ConfigError> ConfigWriter::Impl::checkSchemaVersions() const
{
    for (const auto &change : delta.changes()) {
        const auto form = change.removed() ? tl::expected<RecordForm, ConfigError>() : readRecord(change.json());
        if (!form) {
            return form.error();
        }
        // A process that cannot read the record would stay at the previous revision until it is upgraded.
        if (init.schemaVersionOfAll != 0 && !change.removed() && form->schemaVersion > init.schemaVersionOfAll) {
            return ConfigError{ConfigErrorKind::UnknownSchemaVersion, change.kind() + "/" + change.name(),
                               "a live process supports schema versions only up to "
                                   + std::to_string(init.schemaVersionOfAll),
                               head.head.revision()};
        }
    }
    return std::nullopt;
}

std::optional<ConfigError> ConfigWriter::Impl::prepareDelta(Now now)
{
    const std::uint64_t revision = head.head.revision();
    if (expected && *expected != revision) {
        return makeError(ConfigErrorKind::Conflict, "the head has moved", revision);
    }
    if (auto error = checkSchemaVersions()) {
        return error;
    }
    const std::vector<config::Change> changes(delta.changes().begin(), delta.changes().end());
    const auto digest = init.store->validate(changes);
    if (!digest) {
        return digest.error();
    }
    delta.set_revision(revision + 1);
    delta.set_digest(*digest);
    delta.set_wall_ms(static_cast<std::uint64_t>(now.wall.ms));
    if (delta.ByteSizeLong() > maxDeltaBytes) {
        return makeError(ConfigErrorKind::TooLarge, "the change is too large; split it", revision);
    }
    return std::nullopt;
}

void ConfigWriter::Impl::write()
{
    config::Head next = head.head;
    next.set_revision(delta.revision());
    next.set_change_id(delta.change_id());
    next.set_digest(delta.digest());
    KvRequest request;
    request.op = KvOp::Txn;
    request.compares.push_back({keys.head(), head.modRevision});
    request.puts.push_back({keys.delta(delta.revision()), delta.SerializeAsString()});
    request.puts.push_back({keys.head(), next.SerializeAsString()});
    send(Step::Writing, std::move(request));
}

void ConfigWriter::Impl::onWriteReply(const KvReply &reply, Now now)
{
    if (reply.status == KvStatus::Ok) {
        succeed(now);
    } else if (reply.status == KvStatus::Unavailable) {
        retry(Step::Reading, now);
    } else if (reply.status == KvStatus::Unknown) {
        if (!init.safeguards.readBack) {
            fail(ConfigErrorKind::Unavailable, "no reply from the key-value service", now);
            return;
        }
        isOutcomeUnknown = true;
        retry(Step::ReadingBack, now);
    } else {
        step = Step::ReadingBack;
        proceed(now);
    }
}

void ConfigWriter::Impl::onReadBackReply(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        retry(Step::ReadingBack, now);
        return;
    }
    config::Delta storedDelta;
    if (reply.entries.empty() || !storedDelta.ParseFromString(reply.entries.front().value)) {
        // Not stored, or still in flight. Repeating the compare-and-swap is safe: only one of the two can take effect,
        // and both carry the same change id.
        retry(Step::Reading, now);
        return;
    }
    if (storedDelta.change_id() == delta.change_id()) {
        succeed(now);
        return;
    }
    isOutcomeUnknown = false; // the revision belongs to another change, permanently
    isSuperseded = true;
    retry(Step::Reading, now);
}

void ConfigWriter::Impl::succeed(Now now)
{
    if (init.store->revision() + 1 == delta.revision()) {
        // The delta was validated at this revision; a failure would show at the next read.
        (void)init.store->apply(delta);
    }
    finish(delta.revision(), now);
}

void ConfigWriter::Impl::writeSnapshotIfDue(Now now)
{
    const std::uint64_t revision = head.head.revision();
    if (revision - head.head.snapshot_revision() < init.snapshotEvery) {
        finish(revision, now);
        return;
    }
    chunks = init.store->snapshot(init.chunkBytes);
    nextChunk = 0;
    writeChunk();
}

/// Writes need no read-back: chunks of a revision are always identical, and chunks without a head that refers to them
/// are harmless.
void ConfigWriter::Impl::writeChunk()
{
    KvRequest request;
    request.op = KvOp::Txn;
    const auto &chunk = chunks[nextChunk];
    request.puts.push_back({keys.chunk(chunk.revision(), chunk.chunk()), chunk.SerializeAsString()});
    send(Step::WritingChunk, std::move(request));
}

void ConfigWriter::Impl::updateHead()
{
    config::Head next = head.head;
    next.set_snapshot_revision(next.revision());
    next.set_snapshot_chunks(static_cast<std::uint32_t>(chunks.size()));
    KvRequest request;
    request.op = KvOp::Txn;
    request.compares.push_back({keys.head(), head.modRevision});
    request.puts.push_back({keys.head(), next.SerializeAsString()});
    send(Step::UpdatingHead, std::move(request));
}

/// Lists the old snapshot and the deltas up to its revision for deletion. Newer deltas are kept for processes that
/// are slightly behind.
void ConfigWriter::Impl::listObsoleteKeys(const config::Head &before)
{
    obsoleteKeys.clear();
    const std::uint64_t last = before.snapshot_revision();
    const std::uint64_t first = last > 2ULL * init.snapshotEvery ? last - 2ULL * init.snapshotEvery : 1;
    for (std::uint64_t revision = first; revision <= last; ++revision) {
        obsoleteKeys.push_back(keys.delta(revision));
    }
    for (std::uint32_t chunk = 0; chunk < before.snapshot_chunks(); ++chunk) {
        obsoleteKeys.push_back(keys.chunk(last, chunk));
    }
}

void ConfigWriter::Impl::deleteNextBatch(Now now)
{
    if (obsoleteKeys.empty()) {
        finish(head.head.revision(), now);
        return;
    }
    KvRequest request;
    request.op = KvOp::Txn;
    while (!obsoleteKeys.empty() && request.deletes.size() < maxDeletesPerTxn) {
        request.deletes.push_back(std::move(obsoleteKeys.back()));
        obsoleteKeys.pop_back();
    }
    send(Step::Deleting, std::move(request));
}

void ConfigWriter::Impl::onCompactionReply(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        // The next compaction retries. If the head has changed, it moved to a newer revision or to this snapshot.
        finish(head.head.revision(), now);
        return;
    }
    if (step == Step::WritingChunk) {
        if (++nextChunk < chunks.size()) {
            writeChunk();
        } else {
            updateHead();
        }
        return;
    }
    if (step == Step::UpdatingHead) {
        listObsoleteKeys(head.head);
    }
    deleteNextBatch(now);
}

void ConfigWriter::apply(std::vector<config::Change> changes, std::string changeId,
                         std::optional<std::uint64_t> expected, Now now)
{
    impl_->delta.Clear();
    impl_->delta.set_change_id(std::move(changeId));
    impl_->delta.set_author(impl_->init.author);
    for (auto &change : changes) {
        *impl_->delta.add_changes() = std::move(change);
    }
    impl_->expected = expected;
    impl_->attempts = 0;
    impl_->isOutcomeUnknown = false;
    impl_->isSuperseded = false;
    impl_->isCompacting = false;
    impl_->backoff.reset();
    impl_->step = Impl::Step::Reading;
    impl_->proceed(now);
}

void ConfigWriter::compact(Now now)
{
    impl_->attempts = 0;
    impl_->isOutcomeUnknown = false;
    impl_->isSuperseded = false;
    impl_->isCompacting = true;
    impl_->backoff.reset();
    impl_->step = Impl::Step::Reading;
    impl_->proceed(now);
}

bool ConfigWriter::onReply(const KvReply &reply, Now now)
{
    if (impl_->reader.onReply(reply, now)) {
        return true;
    }
    if (impl_->step == Impl::Step::Idle || reply.id != impl_->pending) {
        return false;
    }
    impl_->pending = {};
    if (impl_->step == Impl::Step::Writing) {
        impl_->onWriteReply(reply, now);
    } else if (impl_->step == Impl::Step::ReadingBack) {
        impl_->onReadBackReply(reply, now);
    } else {
        impl_->onCompactionReply(reply, now);
    }
    return true;
}

} // namespace anvilscale
