// Packed records and the hash index over them.
#include "record_table.h"

#include "byte_codec.h"

#include <algorithm>

namespace anvilscale {
namespace {

// Placeholders in shared templates of weight paths. Record texts contain no control characters, so they cannot collide.
constexpr char adapterMark = '\x01';
constexpr char versionMark = '\x02';
constexpr std::string_view versionField = "{version}";
constexpr std::size_t fewestWastedBytes = 256U << 10;
// The index is rebuilt when more than 3/4 of it is occupied: enlarged, or only cleared of removed entries.
constexpr std::size_t fullestNumerator = 4;
constexpr std::size_t fullestDenominator = 3;

// Bits of a packed record's first number.
constexpr std::uint64_t routeBit = 1;
constexpr std::uint64_t rawBit = 2;
constexpr std::uint64_t schemaShift = 2;

std::string replaceAll(std::string_view text, std::string_view from, std::string_view to)
{
    std::string out;
    for (;;) {
        const auto at = from.empty() ? std::string_view::npos : text.find(from);
        out += text.substr(0, at);
        if (at == std::string_view::npos) {
            return out;
        }
        out += to;
        text.remove_prefix(at + from.size());
    }
}

/// Replaces adapter and version names in a weight path by placeholders, so that adapters can share the template.
/// putBack() restores the path exactly.
std::string shareable(std::string_view weights, std::string_view adapter, std::string_view version)
{
    const std::string withoutAdapter = replaceAll(weights, adapter, std::string(1, adapterMark));
    return replaceAll(withoutAdapter, version, std::string(1, versionMark));
}

std::string putBack(std::string_view shared, std::string_view adapter, std::string_view version)
{
    std::string out;
    for (const char c : shared) {
        if (c == adapterMark) {
            out += adapter;
        } else if (c == versionMark) {
            out += version;
        } else {
            out += c;
        }
    }
    return out;
}

} // namespace

std::uint64_t recordHash(RecordKind kind, std::string_view name, std::string_view json)
{
    return hash64(json, hash64(name, hash64(toString(kind))));
}

void RecordTable::packVersions(const RecordForm &form, ByteWriter &writer)
{
    writer.number(pool_.add(form.baseModel, true));
    writer.number(form.versions.size());
    for (const auto &version : form.versions) {
        writer.text(version.name);
        const auto mark = form.schemaVersion == 1 ? versionField : std::string_view(version.name);
        const std::string shared = shareable(version.weights, form.name, mark);
        const auto number = pool_.add(shared, false);
        writer.number(number);
        if (number == 0) {
            writer.text(shared);
        }
    }
}

void RecordTable::unpackVersions(ByteReader &reader, RecordForm &form) const
{
    form.baseModel = pool_.at(static_cast<std::uint32_t>(reader.number()));
    form.versions.resize(reader.number());
    for (auto &version : form.versions) {
        version.name = reader.text();
        const auto number = static_cast<std::uint32_t>(reader.number());
        const std::string_view shared = number != 0 ? pool_.at(number) : reader.text();
        const auto mark = form.schemaVersion == 1 ? versionField : std::string_view(version.name);
        version.weights = putBack(shared, form.name, mark);
    }
}

std::uint32_t RecordTable::pack(const RecordForm &form, std::string_view json)
{
    const bool keepsRaw = writeRecord(form) != json;
    const bool isRoute = form.kind == RecordKind::Route;
    ByteWriter body;
    body.number((isRoute ? routeBit : 0) | (keepsRaw ? rawBit : 0) | form.schemaVersion << schemaShift);
    body.text(form.name);
    if (isRoute) {
        body.text(form.adapter == form.name ? std::string_view() : std::string_view(form.adapter));
        body.text(form.version);
        body.text(form.nextVersion);
        body.number(form.deadlineMs);
        body.number(form.callClass ? static_cast<std::uint64_t>(*form.callClass) + 1 : 0);
    } else {
        packVersions(form, body);
    }
    if (keepsRaw) {
        body.text(json);
    }
    ByteWriter record;
    record.text(body.take());
    return arena_.add(record.take());
}

RecordTable::Packed RecordTable::unpack(std::uint32_t position) const
{
    ByteReader record(arena_.at(position));
    ByteReader reader(record.text().data());
    Packed packed;
    RecordForm &form = packed.form;
    const auto head = reader.number();
    form.kind = (head & routeBit) != 0 ? RecordKind::Route : RecordKind::Adapter;
    form.schemaVersion = static_cast<std::uint32_t>(head >> schemaShift);
    form.name = reader.text();
    if (form.kind == RecordKind::Route) {
        form.adapter = reader.text();
        if (form.adapter.empty()) {
            form.adapter = form.name;
        }
        form.version = reader.text();
        form.nextVersion = reader.text();
        form.deadlineMs = static_cast<std::uint32_t>(reader.number());
        if (const auto callClass = reader.number(); callClass != 0) {
            form.callClass = static_cast<CallClass>(callClass - 1);
        }
    } else {
        unpackVersions(reader, form);
    }
    if ((head & rawBit) != 0) {
        packed.raw = std::string(reader.text());
    }
    return packed;
}

std::size_t RecordTable::packedSize(std::uint32_t position) const
{
    ByteReader record(arena_.at(position));
    record.text();
    return record.consumed();
}

RecordTable::Name RecordTable::nameAt(std::uint32_t position) const
{
    ByteReader record(arena_.at(position));
    ByteReader reader(record.text().data());
    const bool isRoute = (reader.number() & routeBit) != 0;
    return {isRoute ? RecordKind::Route : RecordKind::Adapter, reader.text()};
}

std::string RecordTable::textOf(const Packed &packed) const
{
    return packed.raw ? *packed.raw : writeRecord(packed.form);
}

std::size_t RecordTable::entryOf(RecordKind kind, std::string_view name) const
{
    const std::size_t mask = index_.size() - 1;
    std::size_t entry = hash64(name, static_cast<std::uint64_t>(kind)) & mask;
    std::optional<std::size_t> reusable;
    for (;; entry = (entry + 1) & mask) {
        const auto position = index_[entry];
        if (position == emptyEntry) {
            return reusable.value_or(entry);
        }
        if (position == removedEntry) {
            reusable = reusable.value_or(entry);
            continue;
        }
        const Name found = nameAt(position);
        if (found.kind == kind && found.name == name) {
            return entry;
        }
    }
}

void RecordTable::rebuildIndex(std::size_t entries)
{
    const auto old = std::exchange(index_, std::vector<std::uint32_t>(entries, emptyEntry));
    occupied_ = 0;
    for (const auto position : old) {
        if (position > removedEntry) {
            const Name name = nameAt(position);
            index_[entryOf(name.kind, name.name)] = position;
            ++occupied_;
        }
    }
}

/// Copies the live records to a new arena. Without it, replaced and removed records would make memory grow without
/// limit.
void RecordTable::compactIfWasteful()
{
    if (wasted_ < fewestWastedBytes || wasted_ * 2 < arena_.used()) {
        return;
    }
    ByteArena fresh;
    for (auto &position : index_) {
        if (position > removedEntry) {
            position = fresh.add(std::string_view(arena_.at(position), packedSize(position)));
        }
    }
    arena_ = std::move(fresh);
    wasted_ = 0;
}

void RecordTable::put(const RecordForm &form, std::string_view json)
{
    if (form.kind == RecordKind::Service || form.kind == RecordKind::Policy) {
        remove(form.kind, form.name);
        if (form.kind == RecordKind::Service) {
            services_.emplace(form.name, Named(form, json));
        } else {
            policy_ = Named(form, json);
        }
    } else {
        putPacked(form, json);
    }
    ++counts_[static_cast<std::size_t>(form.kind)];
    digest_ += recordHash(form.kind, form.name, json);
}

void RecordTable::putPacked(const RecordForm &form, std::string_view json)
{
    remove(form.kind, form.name);
    const std::size_t live = count(RecordKind::Adapter) + count(RecordKind::Route);
    if ((occupied_ + 1) * fullestNumerator > index_.size() * fullestDenominator) {
        const bool mostlyLive = live * 2 > index_.size() / 2;
        rebuildIndex(mostlyLive ? index_.size() * 2 : index_.size());
    }
    const auto position = pack(form, json);
    auto &entry = index_[entryOf(form.kind, form.name)];
    occupied_ += entry == emptyEntry ? 1 : 0;
    entry = position;
    compactIfWasteful();
}

bool RecordTable::remove(RecordKind kind, std::string_view name)
{
    const auto json = text(kind, name);
    if (!json) {
        return false;
    }
    digest_ -= recordHash(kind, name, *json);
    --counts_[static_cast<std::size_t>(kind)];
    if (kind == RecordKind::Service) {
        services_.erase(services_.find(name));
    } else if (kind == RecordKind::Policy) {
        policy_.reset();
    } else {
        auto &entry = index_[entryOf(kind, name)];
        wasted_ += packedSize(entry);
        entry = removedEntry;
    }
    return true;
}

std::optional<RecordForm> RecordTable::find(RecordKind kind, std::string_view name) const
{
    if (kind == RecordKind::Service) {
        const auto found = services_.find(name);
        return found == services_.end() ? std::nullopt : std::optional(found->second.first);
    }
    if (kind == RecordKind::Policy) {
        return policy_ ? std::optional(policy_->first) : std::nullopt;
    }
    const auto position = index_[entryOf(kind, name)];
    return position <= removedEntry ? std::nullopt : std::optional(unpack(position).form);
}

std::optional<std::string> RecordTable::text(RecordKind kind, std::string_view name) const
{
    if (kind == RecordKind::Service) {
        const auto found = services_.find(name);
        return found == services_.end() ? std::nullopt : std::optional(found->second.second);
    }
    if (kind == RecordKind::Policy) {
        return policy_ && name == policy_->first.name ? std::optional(policy_->second) : std::nullopt;
    }
    const auto position = index_[entryOf(kind, name)];
    return position <= removedEntry ? std::nullopt : std::optional(textOf(unpack(position)));
}

std::string_view RecordTable::baseModel(std::string_view adapter) const
{
    const auto position = index_[entryOf(RecordKind::Adapter, adapter)];
    if (position <= removedEntry) {
        return {};
    }
    ByteReader record(arena_.at(position));
    ByteReader reader(record.text().data());
    reader.number();
    reader.text();
    return pool_.at(static_cast<std::uint32_t>(reader.number()));
}

const std::map<std::string, RecordTable::Named, std::less<>> &RecordTable::services() const
{
    return services_;
}

const Policy &RecordTable::policy() const
{
    return policy_ ? policy_->first.policy : defaults_;
}

std::uint64_t RecordTable::digest() const
{
    return digest_;
}

std::size_t RecordTable::count(RecordKind kind) const
{
    return counts_[static_cast<std::size_t>(kind)];
}

std::size_t RecordTable::bytes() const
{
    return arena_.capacity() + index_.capacity() * sizeof(std::uint32_t);
}

std::vector<std::uint32_t> RecordTable::sortedPositions() const
{
    std::vector<std::uint32_t> positions;
    for (const auto position : index_) {
        if (position > removedEntry) {
            positions.push_back(position);
        }
    }
    std::sort(positions.begin(), positions.end(), [this](std::uint32_t a, std::uint32_t b) {
        const Name first = nameAt(a);
        const Name second = nameAt(b);
        return first.kind != second.kind ? first.kind < second.kind : first.name < second.name;
    });
    return positions;
}

std::uint32_t RecordTable::parts() const
{
    return static_cast<std::uint32_t>((index_.size() + partEntries - 1) / partEntries);
}

std::vector<std::string> RecordTable::routesNaming(std::string_view adapter, std::string_view version) const
{
    std::vector<std::string> names;
    for (const auto position : index_) {
        if (position <= removedEntry || nameAt(position).kind != RecordKind::Route) {
            continue;
        }
        const RecordForm form = unpack(position).form;
        if (form.adapter == adapter && (form.version == version || form.nextVersion == version)) {
            names.push_back(form.name);
        }
    }
    return names;
}

} // namespace anvilscale
