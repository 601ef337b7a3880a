// Configuration at one revision. A change set is validated completely before any part of it is applied.
#include "record_table.h"
#include "wire.pb.h"

#include <algorithm>
#include <deque>

namespace anvilscale {
namespace {

// Deltas cached for peers that are slightly behind; peers further behind fetch a snapshot.
constexpr std::size_t mostKeptDeltas = 512;
constexpr std::size_t mostKeptDeltaBytes = 1U << 20;
// Bytes of deltas after which a push ends.
constexpr std::size_t largestPush = 256U << 10;
// Upper bound of a record's bytes in a snapshot besides its name and text.
constexpr std::size_t recordOverhead = 32;

/// A parsed change that is not yet applied.
struct ReadChange
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

tl::expected<ReadChange, ConfigError> readChange(const config::Change &change)
{
    ReadChange read;
    read.name = change.name();
    read.json = change.json();
    const auto kind = fromString<RecordKind>(change.kind());
    if (!kind) {
        return tl::unexpected(makeError(ConfigErrorKind::OutOfRange, change.kind(), "kind of record is not known", 0));
    }
    read.kind = *kind;
    if (change.removed()) {
        return read;
    }
    auto form = readRecord(change.json());
    if (!form) {
        return tl::unexpected(form.error());
    }
    if (form->kind != read.kind || form->name != read.name) {
        return tl::unexpected(makeError(ConfigErrorKind::OutOfRange, change.kind() + "/" + change.name(),
                                        "the record is of another kind or name", 0));
    }
    read.form = std::move(*form);
    return read;
}

template<class Changes>
tl::expected<std::vector<ReadChange>, ConfigError> readChanges(const Changes &changes, std::uint64_t revision)
{
    std::vector<ReadChange> all;
    for (const config::Change &change : changes) {
        auto read = readChange(change);
        if (!read) {
            read.error().revision = revision;
            return tl::unexpected(read.error());
        }
        all.push_back(std::move(*read));
    }
    return all;
}

/// The configuration as it would be after some changes, without applying them.
class Preview
{
public:
    Preview(const RecordTable &table, const std::vector<ReadChange> &changes)
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
    std::map<std::pair<RecordKind, std::string>, const ReadChange *> changed_; // last change of each record
};

bool hasVersion(const std::optional<RecordForm> &adapter, std::string_view version)
{
    return adapter && std::any_of(adapter->versions.begin(), adapter->versions.end(), [&](const VersionForm &known) {
               return known.name == version;
           });
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
bool isStillNamed(const RecordTable &table, const Preview &preview, const std::string &adapter,
                  const std::string &version)
{
    const auto routes = table.routesNaming(adapter, version);
    return std::any_of(routes.begin(), routes.end(), [&](const std::string &name) {
        const auto route = preview.find(RecordKind::Route, name);
        return route && route->adapter == adapter && (route->version == version || route->nextVersion == version);
    });
}

/// Rejects a changed slot count: keys would move to owners that have not seen them, so they could run again.
std::optional<ConfigError> checkSlotsKept(const RecordTable &table, const RecordForm &service)
{
    const auto before = table.find(RecordKind::Service, service.name);
    if (before && !before->service.idempotent && before->service.slots != service.service.slots) {
        return makeError(ConfigErrorKind::OutOfRange, "service/" + service.name + ".slots",
                         "the number of slots of a non-idempotent service cannot change", 0);
    }
    return std::nullopt;
}

std::string fillInVersion(std::string weights, const std::string &version)
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
    std::deque<std::string> kept; // serialized deltas; the last one leads to `revision`
    std::size_t keptBytes = 0;

    std::unique_ptr<RecordTable> staged; // chunks of an incomplete snapshot
    std::uint64_t stagedRevision = 0;
    std::uint32_t stagedChunks = 0;

    void keep(const config::Delta &delta);
    std::optional<ConfigError> checkRemovals(const Preview &preview, const ReadChange &change) const;
    std::optional<ConfigError> check(const std::vector<ReadChange> &changes) const;
    tl::expected<void, ConfigError> stage(const config::Snapshot &chunk);
    tl::expected<void, ConfigError> swapIn(std::uint64_t digest);
};

void ConfigStore::Impl::keep(const config::Delta &delta)
{
    kept.push_back(delta.SerializeAsString());
    keptBytes += kept.back().size();
    while (kept.size() > mostKeptDeltas || (keptBytes > mostKeptDeltaBytes && kept.size() > 1)) {
        keptBytes -= kept.front().size();
        kept.pop_front();
    }
}

std::optional<ConfigError> ConfigStore::Impl::checkRemovals(const Preview &preview, const ReadChange &change) const
{
    const auto before = table.find(RecordKind::Adapter, change.name);
    if (!before) {
        return std::nullopt;
    }
    for (const auto &version : before->versions) {
        const bool stays = hasVersion(preview.find(RecordKind::Adapter, change.name), version.name);
        if (!stays && isStillNamed(table, preview, change.name, version.name)) {
            return makeError(ConfigErrorKind::UnknownReference, "adapter/" + change.name + "." + version.name,
                             "a route still names this version", 0);
        }
    }
    return std::nullopt;
}

std::optional<ConfigError> ConfigStore::Impl::check(const std::vector<ReadChange> &changes) const
{
    const Preview preview(table, changes);
    for (const auto &change : changes) {
        std::optional<ConfigError> error;
        if (change.kind == RecordKind::Adapter) {
            error = checkRemovals(preview, change);
        } else if (change.kind == RecordKind::Route && change.form) {
            error = checkRouteTarget(preview, *change.form);
        } else if (change.kind == RecordKind::Service && change.form) {
            error = checkSlotsKept(table, *change.form);
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
        return tl::unexpected(makeError(ConfigErrorKind::NotNext, "snapshot", "not of a higher revision", revision));
    }
    if (chunk.chunk() == 0) {
        staged = std::make_unique<RecordTable>();
        stagedRevision = chunk.revision();
        stagedChunks = 0;
    }
    if (!staged || chunk.revision() != stagedRevision || chunk.chunk() != stagedChunks) {
        return tl::unexpected(makeError(ConfigErrorKind::NotNext, "snapshot", "not the next chunk", revision));
    }
    const auto read = readChanges(chunk.records(), revision);
    if (!read) {
        staged.reset();
        return tl::unexpected(read.error());
    }
    for (const auto &change : *read) {
        if (change.form) {
            staged->put(*change.form, change.json);
        }
    }
    ++stagedChunks;
    if (stagedChunks < chunk.chunks()) {
        return {};
    }
    return swapIn(chunk.digest());
}

tl::expected<void, ConfigError> ConfigStore::Impl::swapIn(std::uint64_t digest)
{
    const auto whole = std::exchange(staged, nullptr);
    if (whole->digest() != digest) {
        return tl::unexpected(makeError(ConfigErrorKind::DigestMismatch, "snapshot", "records do not agree", revision));
    }
    table = std::move(*whole);
    revision = stagedRevision;
    kept.clear();
    keptBytes = 0;
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

std::string ConfigStore::weights(const AdapterVersion &which) const
{
    const auto form = impl_->table.find(RecordKind::Adapter, which.adapter);
    if (!form) {
        return {};
    }
    for (const auto &version : form->versions) {
        if (version.name == which.version) {
            return form->schemaVersion == 1 ? fillInVersion(version.weights, version.name) : version.weights;
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
    return impl_->table.bytes() + impl_->keptBytes;
}

tl::expected<std::uint64_t, ConfigError> ConfigStore::validate(std::span<const config::Change> changes) const
{
    const auto read = readChanges(changes, revision());
    if (!read) {
        return tl::unexpected(read.error());
    }
    if (auto error = impl_->check(*read)) {
        return tl::unexpected(*error);
    }
    return Preview(impl_->table, *read).digest();
}

tl::expected<void, ConfigError> ConfigStore::apply(const config::Delta &delta)
{
    if (delta.revision() != revision() + 1) {
        return tl::unexpected(makeError(ConfigErrorKind::NotNext, "delta", "does not follow", revision()));
    }
    const auto read = readChanges(delta.changes(), revision());
    if (!read) {
        return tl::unexpected(read.error());
    }
    if (auto error = impl_->check(*read)) {
        return tl::unexpected(*error);
    }
    if (delta.digest() != 0 && Preview(impl_->table, *read).digest() != delta.digest()) {
        return tl::unexpected(makeError(ConfigErrorKind::DigestMismatch, "delta", "records do not agree", revision()));
    }
    for (const auto &change : *read) {
        if (change.form) {
            impl_->table.put(*change.form, change.json);
        } else {
            impl_->table.remove(change.kind, change.name);
        }
    }
    impl_->revision = delta.revision();
    impl_->keep(delta);
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
        if (auto staged = stage(chunk); !staged) {
            return staged;
        }
    }
    if (revision() == before) {
        return tl::unexpected(makeError(ConfigErrorKind::MissingField, "snapshot", "chunks are missing", before));
    }
    return {};
}

wire::ConfigPush ConfigStore::pushSince(std::uint64_t have, std::uint64_t snapshotRevision, std::uint32_t part) const
{
    wire::ConfigPush push;
    push.set_revision(revision());
    push.set_digest(digest());
    if (have >= revision()) {
        push.set_base_revision(have);
        return push;
    }
    const std::uint64_t lacking = revision() - have;
    if (lacking <= impl_->kept.size()) {
        push.set_base_revision(have);
        std::size_t bytes = 0;
        for (std::size_t i = impl_->kept.size() - lacking; i < impl_->kept.size() && bytes < largestPush; ++i) {
            bytes += impl_->kept[i].size();
            push.add_deltas(impl_->kept[i]);
        }
        return push;
    }
    // A peer that started with a snapshot of another revision has to start again with the first chunk.
    const std::uint32_t wanted = snapshotRevision == revision() && part < impl_->table.parts() ? part : 0;
    config::Snapshot chunk;
    chunk.set_revision(revision());
    chunk.set_digest(digest());
    chunk.set_chunk(wanted);
    chunk.set_chunks(impl_->table.parts());
    impl_->table.forEachInPart(wanted, [&chunk](const RecordForm &form, const std::string &json) {
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
    const auto known = fromString<RecordKind>(kind);
    return known ? impl_->table.text(*known, name) : std::nullopt;
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
