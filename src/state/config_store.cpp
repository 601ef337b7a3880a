// Configuration at one revision. A change set is validated completely before any part of it is applied.
#include "record_table.h"
#include "wire.pb.h"

#include <algorithm>
#include <deque>

namespace anvilscale {
namespace {

// Deltas cached for peers that are slightly behind; peers further behind fetch a snapshot.
constexpr std::size_t maxCachedDeltas = 512;
constexpr std::size_t maxCachedDeltaBytes = 1U << 20;
// Bytes of deltas after which a push ends.
constexpr std::size_t maxPushBytes = 256U << 10;
// Upper bound of a record's bytes in a snapshot besides its name and text.
constexpr std::size_t recordOverhead = 32;

/// A parsed change that is not yet applied.
struct ParsedChange
{
    std::optional<RecordForm> form; ///< nullopt if the record is removed
    RecordKind kind = RecordKind::Adapter;
    std::string name;
    std::string json;
};

ConfigError makeError(ConfigErrorKind kind, std::string path, std::string detail, std::uint64_t revision)
{
    return ConfigError{kind, std::move(path), std::move(detail), revision};
}

tl::expected<ParsedChange, ConfigError> parseChange(const config::Change &change)
{
    ParsedChange parsed;
    parsed.name = change.name();
    parsed.json = change.json();
    const auto kind = fromString<RecordKind>(change.kind());
    if (!kind) {
        return tl::unexpected(makeError(ConfigErrorKind::OutOfRange, change.kind(), "unknown record kind", 0));
    }
    parsed.kind = *kind;
    if (change.removed()) {
        return parsed;
    }
    auto form = readRecord(change.json());
    if (!form) {
        return tl::unexpected(form.error());
    }
    if (form->kind != parsed.kind || form->name != parsed.name) {
        return tl::unexpected(makeError(ConfigErrorKind::OutOfRange, change.kind() + "/" + change.name(),
                                        "kind or name of the record does not match the change", 0));
    }
    parsed.form = std::move(*form);
    return parsed;
}

template<class Changes>
tl::expected<std::vector<ParsedChange>, ConfigError> parseChanges(const Changes &changes, std::uint64_t revision)
{
    std::vector<ParsedChange> all;
    for (const config::Change &change : changes) {
        auto parsed = parseChange(change);
        if (!parsed) {
            parsed.error().revision = revision;
            return tl::unexpected(parsed.error());
        }
        all.push_back(std::move(*parsed));
    }
    return all;
}

/// The configuration as it would be after some changes, without applying them.
class Preview
{
public:
    Preview(const RecordTable &table, const std::vector<ParsedChange> &changes)
        : table_(table)
    {
        for (const auto &change : changes) {
            changed_[{change.kind, change.name}] = &change;
        }
    }
    std::optional<RecordForm> find(RecordKind kind, const std::string &name) const
    {
        const auto changed = changed_.find({kind, name});
        return changed == changed_.end() ? table_.find(kind, name) : changed->second->form;
    }
    std::uint64_t digest() const
    {
        std::uint64_t digest = table_.digest();
        for (const auto &[key, change] : changed_) {
            if (const auto before = table_.text(key.first, key.second)) {
                digest -= recordHash(key.first, key.second, *before);
            }
            digest += change->form ? recordHash(key.first, key.second, change->json) : 0;
        }
        return digest;
    }

private:
    const RecordTable &table_;
    std::map<std::pair<RecordKind, std::string>, const ParsedChange *> changed_; // last change of each record
};

bool hasVersion(const std::optional<RecordForm> &adapter, std::string_view version)
{
    return adapter
           && std::any_of(adapter->versions.begin(), adapter->versions.end(),
                          [&](const VersionForm &candidate) { return candidate.name == version; });
}

/// Rejects routes to missing adapters or versions, whose calls would all be refused.
std::optional<ConfigError> checkRouteTarget(const Preview &preview, const RecordForm &route)
{
    const auto adapter = preview.find(RecordKind::Adapter, route.adapter);
    const std::string path = "route/" + route.name;
    if (!adapter) {
        return makeError(ConfigErrorKind::UnknownReference, path + ".adapter", route.adapter, 0);
    }
    if (!hasVersion(adapter, route.version)) {
        return makeError(ConfigErrorKind::UnknownReference, path + ".version", route.version, 0);
    }
    if (!route.nextVersion.empty() && !hasVersion(adapter, route.nextVersion)) {
        return makeError(ConfigErrorKind::UnknownReference, path + ".nextVersion", route.nextVersion, 0);
    }
    return std::nullopt;
}

/// Returns true if a route that refers to the version still does so after the changes.
bool isStillReferenced(const RecordTable &table, const Preview &preview, const std::string &adapter,
                       const std::string &version)
{
    const auto routes = table.routesReferencing(adapter, version);
    return std::any_of(routes.begin(), routes.end(), [&](const std::string &name) {
        const auto route = preview.find(RecordKind::Route, name);
        return route && route->adapter == adapter && (route->version == version || route->nextVersion == version);
    });
}

/// Rejects a changed slot count: keys would move to owners that have not seen them, so they could run again.
std::optional<ConfigError> checkSlotCount(const RecordTable &table, const RecordForm &service)
{
    const auto before = table.find(RecordKind::Service, service.name);
    if (before && !before->service.idempotent && before->service.slots != service.service.slots) {
        return makeError(ConfigErrorKind::OutOfRange, "service/" + service.name + ".slots",
                         "the number of slots of a non-idempotent service cannot change", 0);
    }
    return std::nullopt;
}

std::string expandVersion(std::string weights, const std::string &version)
{
    constexpr std::string_view field = "{version}";
    for (auto at = weights.find(field); at != std::string::npos; at = weights.find(field, at + version.size())) {
        weights.replace(at, field.size(), version);
    }
    return weights;
}

void addRecord(config::Change &into, const RecordForm &form, const std::string &json)
{
    into.set_kind(std::string(toString(form.kind)));
    into.set_name(form.name);
    into.set_json(json);
}

} // namespace

struct ConfigStore::Impl
{
    RecordTable table;
    std::uint64_t revision = 0;
    std::deque<std::string> cachedDeltas; // serialized deltas; the last one leads to `revision`
    std::size_t cachedBytes = 0;

    std::unique_ptr<RecordTable> stagedTable; // chunks of an incomplete snapshot
    std::uint64_t stagedRevision = 0;
    std::uint32_t stagedChunks = 0;

    void cacheDelta(const config::Delta &delta);
    std::optional<ConfigError> checkRemovedVersions(const Preview &preview, const ParsedChange &change) const;
    std::optional<ConfigError> check(const std::vector<ParsedChange> &changes) const;
    tl::expected<void, ConfigError> stage(const config::Snapshot &chunk);
    tl::expected<void, ConfigError> commitStaged(std::uint64_t digest);
};

void ConfigStore::Impl::cacheDelta(const config::Delta &delta)
{
    cachedDeltas.push_back(delta.SerializeAsString());
    cachedBytes += cachedDeltas.back().size();
    while (cachedDeltas.size() > maxCachedDeltas || (cachedBytes > maxCachedDeltaBytes && cachedDeltas.size() > 1)) {
        cachedBytes -= cachedDeltas.front().size();
        cachedDeltas.pop_front();
    }
}

std::optional<ConfigError> ConfigStore::Impl::checkRemovedVersions(const Preview &preview,
                                                                   const ParsedChange &change) const
{
    const auto before = table.find(RecordKind::Adapter, change.name);
    if (!before) {
        return std::nullopt;
    }
    for (const auto &version : before->versions) {
        const bool isKept = hasVersion(preview.find(RecordKind::Adapter, change.name), version.name);
        if (!isKept && isStillReferenced(table, preview, change.name, version.name)) {
            return makeError(ConfigErrorKind::UnknownReference, "adapter/" + change.name + "." + version.name,
                             "a route still refers to this version", 0);
        }
    }
    return std::nullopt;
}

std::optional<ConfigError> ConfigStore::Impl::check(const std::vector<ParsedChange> &changes) const
{
    const Preview preview(table, changes);
    for (const auto &change : changes) {
        std::optional<ConfigError> error;
        if (change.kind == RecordKind::Adapter) {
            error = checkRemovedVersions(preview, change);
        } else if (change.kind == RecordKind::Route && change.form) {
            error = checkRouteTarget(preview, *change.form);
        } else if (change.kind == RecordKind::Service && change.form) {
            error = checkSlotCount(table, *change.form);
        }
        if (error) {
            error->revision = revision;
            return error;
        }
    }
    return std::nullopt;
}

tl::expected<void, ConfigError> ConfigStore::Impl::stage(const config::Snapshot &chunk)
{
    if (chunk.revision() <= revision) {
        return tl::unexpected(
            makeError(ConfigErrorKind::NotNext, "snapshot", "revision is not higher than the current one", revision));
    }
    if (chunk.chunk() == 0) {
        stagedTable = std::make_unique<RecordTable>();
        stagedRevision = chunk.revision();
        stagedChunks = 0;
    }
    if (!stagedTable || chunk.revision() != stagedRevision || chunk.chunk() != stagedChunks) {
        return tl::unexpected(makeError(ConfigErrorKind::NotNext, "snapshot", "chunk is out of order", revision));
    }
    const auto parsed = parseChanges(chunk.records(), revision);
    if (!parsed) {
        stagedTable.reset();
        return tl::unexpected(parsed.error());
    }
    for (const auto &change : *parsed) {
        if (change.form) {
            stagedTable->put(*change.form, change.json);
        }
    }
    ++stagedChunks;
    if (stagedChunks < chunk.chunks()) {
        return {};
    }
    return commitStaged(chunk.digest());
}

tl::expected<void, ConfigError> ConfigStore::Impl::commitStaged(std::uint64_t digest)
{
    const auto completed = std::exchange(stagedTable, nullptr);
    if (completed->digest() != digest) {
        return tl::unexpected(
            makeError(ConfigErrorKind::DigestMismatch, "snapshot", "digest of the records does not match", revision));
    }
    table = std::move(*completed);
    revision = stagedRevision;
    cachedDeltas.clear();
    cachedBytes = 0;
    return {};
}

ConfigStore::ConfigStore()
    : impl_(std::make_unique<Impl>())
{
}

ConfigStore::~ConfigStore() = default;

std::uint64_t ConfigStore::revision() const
{
    return impl_->revision;
}

std::uint64_t ConfigStore::digest() const
{
    return impl_->table.digest();
}

std::optional<RouteView> ConfigStore::route(std::string_view name) const
{
    const auto form = impl_->table.find(RecordKind::Route, name);
    if (!form) {
        return std::nullopt;
    }
    RouteView view;
    view.target = {form->adapter, form->version};
    view.nextVersion = form->nextVersion;
    view.baseModel = impl_->table.baseModel(form->adapter);
    view.deadline = form->deadlineMs != 0 ? Duration(Milliseconds(form->deadlineMs)) : policy().defaultDeadline;
    view.callClass = form->callClass.value_or(CallClass::Normal);
    return view;
}

std::optional<ServiceView> ConfigStore::service(std::string_view name) const
{
    const auto &services = impl_->table.services();
    const auto found = services.find(name);
    if (found == services.end()) {
        return std::nullopt;
    }
    ServiceView view = found->second.first.service;
    if (view.deadline == Duration::zero()) {
        view.deadline = policy().defaultDeadline;
    }
    return view;
}

const Policy &ConfigStore::policy() const
{
    return impl_->table.policy();
}

std::string ConfigStore::weights(const AdapterVersion &adapterVersion) const
{
    const auto form = impl_->table.find(RecordKind::Adapter, adapterVersion.adapter);
    if (!form) {
        return {};
    }
    for (const auto &version : form->versions) {
        if (version.name == adapterVersion.version) {
            return form->schemaVersion == 1 ? expandVersion(version.weights, version.name) : version.weights;
        }
    }
    return {};
}

std::size_t ConfigStore::adapterCount() const
{
    return impl_->table.count(RecordKind::Adapter);
}

std::size_t ConfigStore::memoryBytes() const
{
    return impl_->table.bytes() + impl_->cachedBytes;
}

tl::expected<std::uint64_t, ConfigError> ConfigStore::validate(std::span<const config::Change> changes) const
{
    const auto parsed = parseChanges(changes, revision());
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    if (auto error = impl_->check(*parsed)) {
        return tl::unexpected(*error);
    }
    return Preview(impl_->table, *parsed).digest();
}

tl::expected<void, ConfigError> ConfigStore::apply(const config::Delta &delta)
{
    if (delta.revision() != revision() + 1) {
        return tl::unexpected(
            makeError(ConfigErrorKind::NotNext, "delta", "does not follow the current revision", revision()));
    }
    const auto parsed = parseChanges(delta.changes(), revision());
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    if (auto error = impl_->check(*parsed)) {
        return tl::unexpected(*error);
    }
    if (delta.digest() != 0 && Preview(impl_->table, *parsed).digest() != delta.digest()) {
        return tl::unexpected(
            makeError(ConfigErrorKind::DigestMismatch, "delta", "digest of the records does not match", revision()));
    }
    for (const auto &change : *parsed) {
        if (change.form) {
            impl_->table.put(*change.form, change.json);
        } else {
            impl_->table.remove(change.kind, change.name);
        }
    }
    impl_->revision = delta.revision();
    impl_->cacheDelta(delta);
    return {};
}

tl::expected<void, ConfigError> ConfigStore::stage(const config::Snapshot &chunk)
{
    return impl_->stage(chunk);
}

tl::expected<void, ConfigError> ConfigStore::restore(std::span<const config::Snapshot> chunks)
{
    const auto before = revision();
    for (const auto &chunk : chunks) {
        if (auto result = stage(chunk); !result) {
            return result;
        }
    }
    if (revision() == before) {
        return tl::unexpected(makeError(ConfigErrorKind::MissingField, "snapshot", "snapshot is incomplete", before));
    }
    return {};
}

wire::ConfigPush ConfigStore::pushSince(std::uint64_t peerRevision, std::uint64_t snapshotRevision,
                                        std::uint32_t nextChunk) const
{
    wire::ConfigPush push;
    push.set_revision(revision());
    push.set_digest(digest());
    if (peerRevision >= revision()) {
        push.set_base_revision(peerRevision);
        return push;
    }
    const std::uint64_t missingDeltas = revision() - peerRevision;
    if (missingDeltas <= impl_->cachedDeltas.size()) {
        push.set_base_revision(peerRevision);
        std::size_t bytes = 0;
        for (std::size_t i = impl_->cachedDeltas.size() - missingDeltas;
             i < impl_->cachedDeltas.size() && bytes < maxPushBytes; ++i) {
            bytes += impl_->cachedDeltas[i].size();
            push.add_deltas(impl_->cachedDeltas[i]);
        }
        return push;
    }
    // A peer that started with a snapshot of another revision has to start again with the first chunk.
    const std::uint32_t servedChunk =
        snapshotRevision == revision() && nextChunk < impl_->table.parts() ? nextChunk : 0;
    config::Snapshot chunk;
    chunk.set_revision(revision());
    chunk.set_digest(digest());
    chunk.set_chunk(servedChunk);
    chunk.set_chunks(impl_->table.parts());
    impl_->table.forEachInPart(servedChunk, [&chunk](const RecordForm &form, const std::string &json) {
        addRecord(*chunk.add_records(), form, json);
    });
    push.set_snapshot(chunk.SerializeAsString());
    return push;
}

std::vector<config::Change> ConfigStore::records() const
{
    std::vector<config::Change> all;
    impl_->table.forEach(
        [&all](const RecordForm &form, const std::string &json) { addRecord(all.emplace_back(), form, json); });
    return all;
}

std::optional<std::string> ConfigStore::recordText(std::string_view kind, std::string_view name) const
{
    const auto parsedKind = fromString<RecordKind>(kind);
    return parsedKind ? impl_->table.text(*parsedKind, name) : std::nullopt;
}

std::vector<config::Snapshot> ConfigStore::snapshot(std::size_t chunkBytes) const
{
    std::vector<config::Snapshot> chunks(1);
    std::size_t bytes = 0;
    impl_->table.forEach([&](const RecordForm &form, const std::string &json) {
        bytes += json.size() + form.name.size() + recordOverhead;
        if (bytes > chunkBytes && chunks.back().records_size() != 0) {
            chunks.emplace_back();
            bytes = json.size() + form.name.size() + recordOverhead;
        }
        addRecord(*chunks.back().add_records(), form, json);
    });
    for (std::size_t i = 0; i < chunks.size(); ++i) {
        chunks[i].set_revision(revision());
        chunks[i].set_digest(digest());
        chunks[i].set_chunk(static_cast<std::uint32_t>(i));
        chunks[i].set_chunks(static_cast<std::uint32_t>(chunks.size()));
    }
    return chunks;
}

} // namespace anvilscale
