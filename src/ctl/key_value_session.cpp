// Blocking key-value session: runs ConfigWriter with replies and timers until it completes.
#include "key_value_session.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>

namespace anvilscale {

namespace {
constexpr double callBudget = 50.0;
constexpr std::uint32_t noSnapshot = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t revisionsPerSnapshot = 100;

ConfigError makeTimeoutError(bool mayHaveWritten)
{
    ConfigError error;
    error.kind = mayHaveWritten ? ConfigErrorKind::OutcomeUnknown : ConfigErrorKind::Unavailable;
    error.detail = "the key-value service did not respond in time";
    return error;
}
} // namespace

Now currentTime()
{
    const auto mono = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {TimePoint(std::chrono::duration_cast<Duration>(mono)),
            WallTime{std::chrono::duration_cast<Milliseconds>(wall).count()}};
}

std::uint64_t randomSeed()
{
    constexpr unsigned halfBits = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << halfBits) ^ device();
}

KeyValueSession::KeyValueSession(const CtlOptions &options)
    : options_(options)
    , deadline_(currentTime().mono + options.timeout)
    , gateway_({options.gateways, std::min<Duration>(options.timeout, Seconds(2)), callBudget}, [this](KvReply reply) {
        const std::scoped_lock lock(mutex_);
        replies_.push_back(std::move(reply));
        replyAvailable_.notify_all();
    })
{
}

std::optional<KvReply> KeyValueSession::nextReply(TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    const auto timeout = std::max(Duration::zero(), deadline - currentTime().mono);
    if (!replyAvailable_.wait_for(lock, timeout, [this] { return !replies_.empty(); })) {
        return std::nullopt;
    }
    KvReply reply = std::move(replies_.front());
    replies_.pop_front();
    return reply;
}

tl::expected<std::uint64_t, ConfigError> KeyValueSession::runWriter(ConfigStore &store, std::uint32_t snapshotEvery,
                                                                    std::uint32_t schemaVersionOfAll,
                                                                    const StartWriter &startWriter)
{
    Outcome outcome;
    bool hasWritten = false;
    ConfigWriter::Init init;
    init.keyPrefix = options_.keyPrefix;
    init.author = options_.author;
    init.schemaVersionOfAll = schemaVersionOfAll;
    init.snapshotEvery = snapshotEvery;
    init.store = &store;
    init.timers = &timers_;
    init.seed = randomSeed();
    ConfigWriter writer(
        init,
        [this, &hasWritten](KvRequest request) {
            hasWritten = hasWritten || request.op == KvOp::Txn;
            gateway_.submit(std::move(request));
        },
        [&outcome](const ConfigWriter::Result &result, Now) { outcome = result; });
    startWriter(writer, currentTime());
    while (!outcome) {
        if (currentTime().mono >= deadline_) {
            return tl::unexpected(makeTimeoutError(hasWritten));
        }
        const auto reply = nextReply(std::min(timers_.next().value_or(deadline_), deadline_));
        if (reply) {
            writer.onReply(*reply, currentTime());
        }
        timers_.advance(currentTime().mono);
    }
    return *outcome;
}

// A compaction that never writes a snapshot only reads the head.
tl::expected<std::uint64_t, ConfigError> KeyValueSession::readHead(ConfigStore &store)
{
    return runWriter(store, noSnapshot, 0, [](ConfigWriter &writer, Now now) { writer.compact(now); });
}

tl::expected<std::uint64_t, ConfigError> KeyValueSession::apply(ConfigStore &store, std::vector<config::Change> changes,
                                                                const std::string &changeId,
                                                                std::optional<std::uint64_t> expected,
                                                                std::uint32_t schemaVersionOfAll)
{
    return runWriter(store, noSnapshot, schemaVersionOfAll,
                     [&](ConfigWriter &writer, Now now) { writer.apply(std::move(changes), changeId, expected, now); });
}

void KeyValueSession::compact(ConfigStore &store)
{
    (void)runWriter(store, revisionsPerSnapshot, 0, [](ConfigWriter &writer, Now now) { writer.compact(now); });
}

tl::expected<std::vector<KvEntry>, ConfigError> KeyValueSession::range(const std::string &key,
                                                                       const std::string &rangeEnd)
{
    KvRequest request;
    request.id = KvHandle{randomSeed() | 1U};
    request.key = key;
    request.rangeEnd = rangeEnd;
    const KvHandle id = request.id;
    gateway_.submit(std::move(request));
    while (const auto reply = nextReply(deadline_)) {
        if (reply->id == id && reply->status == KvStatus::Ok) {
            return reply->entries;
        }
        if (reply->id == id) {
            break;
        }
    }
    return tl::unexpected(makeTimeoutError(false));
}

} // namespace anvilscale
