// Reads the configuration from the key-value service.
#include "config_reader.h"

#include <cstdio>

namespace anvilscale {
namespace {

constexpr std::uint64_t maxDeltasPerRead = 64;
// A store that is further behind reads the snapshot first, if there is one.
constexpr std::uint64_t maxDeltas = 512;
constexpr std::uint32_t maxHeadReads = 4;

std::string formatKeySuffix(const char *format, std::uint64_t a, std::uint32_t b)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), format, static_cast<unsigned long long>(a), b);
    return text.data();
}

ConfigError makeError(ConfigErrorKind kind, const char *detail, std::uint64_t revision)
{
    return ConfigError{kind, "config", detail, revision};
}

} // namespace

std::string ConfigKeys::head() const
{
    return prefix + "config/head";
}

std::string ConfigKeys::delta(std::uint64_t revision) const
{
    return prefix + "config/delta/" + formatKeySuffix("%020llu", revision, 0);
}

std::string ConfigKeys::chunk(std::uint64_t revision, std::uint32_t chunk) const
{
    return prefix + "config/snapshot/" + formatKeySuffix("%020llu/%05u", revision, chunk);
}

ConfigReader::ConfigReader(std::string keyPrefix, ConfigStore *store, std::string_view component,
                           std::function<void(KvRequest)> submit, std::function<void(const Result &, Now)> done)
    : keys_{std::move(keyPrefix)}
    , store_(store)
    , submit_(std::move(submit))
    , done_(std::move(done))
    , ids_("config-reader/" + std::string(component))
{
}

void ConfigReader::send(Step step, std::string key, std::string rangeEnd)
{
    step_ = step;
    KvRequest request;
    request.id = ids_.next();
    request.op = KvOp::Range;
    request.key = std::move(key);
    request.rangeEnd = std::move(rangeEnd);
    pending_ = request.id;
    submit_(std::move(request));
}

void ConfigReader::read(Now)
{
    if (busy()) {
        return;
    }
    headReadCount_ = 1;
    send(Step::Head, keys_.head(), {});
}

bool ConfigReader::busy() const
{
    return step_ != Step::Idle;
}

void ConfigReader::finish(const Result &result, Now now)
{
    step_ = Step::Idle;
    done_(result, now);
}

bool ConfigReader::onReply(const KvReply &reply, Now now)
{
    if (!busy() || reply.id != pending_) {
        return false;
    }
    if (reply.status != KvStatus::Ok) {
        finish(tl::unexpected(
                   makeError(ConfigErrorKind::Unavailable, "the key-value service did not answer", store_->revision())),
               now);
        return true;
    }
    if (step_ == Step::Head) {
        onHead(reply, now);
    } else if (step_ == Step::Deltas) {
        onDeltas(reply, now);
    } else {
        onChunk(reply, now);
    }
    return true;
}

void ConfigReader::onHead(const KvReply &reply, Now now)
{
    head_ = {};
    if (!reply.entries.empty()) {
        head_.modRevision = reply.entries.front().modRevision;
        if (!head_.head.ParseFromString(reply.entries.front().value)) {
            finish(
                tl::unexpected(makeError(ConfigErrorKind::BadJson, "the head record is malformed", store_->revision())),
                now);
            return;
        }
    }
    const std::uint64_t localRevision = store_->revision();
    useSnapshot_ = head_.head.snapshot_revision() > localRevision && head_.head.revision() - localRevision > maxDeltas;
    proceed(now);
}

void ConfigReader::proceed(Now now)
{
    // A stale read may return a head older than this store; the store is never moved back.
    if (store_->revision() >= head_.head.revision()) {
        finish(head_, now);
    } else if (useSnapshot_) {
        requestChunk(0);
    } else {
        requestDeltas();
    }
}

void ConfigReader::requestDeltas()
{
    const std::uint64_t first = store_->revision() + 1;
    const std::uint64_t end = std::min(head_.head.revision() + 1, first + maxDeltasPerRead);
    send(Step::Deltas, keys_.delta(first), keys_.delta(end));
}

void ConfigReader::requestChunk(std::uint32_t chunk)
{
    chunk_ = chunk;
    send(Step::Chunk, keys_.chunk(head_.head.snapshot_revision(), chunk), {});
}

void ConfigReader::onDeltas(const KvReply &reply, Now now)
{
    const std::uint64_t previousRevision = store_->revision();
    for (const auto &entry : reply.entries) {
        config::Delta delta;
        if (!delta.ParseFromString(entry.value) || delta.revision() != store_->revision() + 1) {
            break;
        }
        if (const auto applied = store_->apply(delta); !applied) {
            finish(tl::unexpected(applied.error()), now);
            return;
        }
    }
    if (store_->revision() == previousRevision) { // compacted since the head was read; a newer snapshot contains them
        useSnapshot_ = head_.head.snapshot_revision() > previousRevision;
        if (!useSnapshot_ && ++headReadCount_ > maxHeadReads) {
            finish(tl::unexpected(makeError(ConfigErrorKind::NotNext, "a delta is missing", previousRevision)), now);
            return;
        }
        if (!useSnapshot_) {
            send(Step::Head, keys_.head(), {});
            return;
        }
    }
    proceed(now);
}

void ConfigReader::onChunk(const KvReply &reply, Now now)
{
    config::Snapshot chunk;
    const bool isFound = !reply.entries.empty() && chunk.ParseFromString(reply.entries.front().value);
    if (!isFound) { // replaced by a newer snapshot
        if (++headReadCount_ > maxHeadReads) {
            finish(tl::unexpected(makeError(ConfigErrorKind::NotNext, "a chunk is missing", store_->revision())), now);
        } else {
            send(Step::Head, keys_.head(), {});
        }
        return;
    }
    if (const auto staged = store_->stage(chunk); !staged) {
        finish(tl::unexpected(staged.error()), now);
        return;
    }
    if (chunk_ + 1 < chunk.chunks()) {
        requestChunk(chunk_ + 1);
        return;
    }
    useSnapshot_ = false;
    proceed(now);
}

} // namespace anvilscale
