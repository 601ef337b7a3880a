// Packed records and the hash index over them.
#include "record_table.h"

#include "byte_codec.h"

#include <algorithm>

namespace anvilscale {
namespace {

// Placeholders in shared templates of weight paths. Record texts contain no control characters, so they cannot collide.
constexpr char adapterPlaceholder = '\x01';
constexpr char versionPlaceholder = '\x02';
constexpr std::string_view versionTemplateField = "{version}";
constexpr std::size_t minUnusedBytes = 256U << 10;
// The index is rebuilt when more than 3/4 of it is occupied: enlarged, or only cleared of removed entries.
constexpr std::size_t maxLoadDenominator = 4;
constexpr std::size_t maxLoadNumerator = 3;

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
/// expandTemplate() restores the path exactly.
std::string makeTemplate(std::string_view weights, std::string_view adapter, std::string_view version)
{
    const std::string withoutAdapter = replaceAll(weights, adapter, std::string(1, adapterPlaceholder));
    return replaceAll(withoutAdapter, version, std::string(1, versionPlaceholder));
}

std::string expandTemplate(std::string_view weightsTemplate, std::string_view adapter, std::string_view version)
{
    std::string out;
    for (const char c : weightsTemplate) {
        if (c == adapterPlaceholder) {
            out += adapter;
        } else if (c == versionPlaceholder) {
            out += version;
        } else {
            out += c;
        }
    }
    return out;
}

} // namespace

std::uint64_t recordHash(RecordKind kind, std::string_view name, std::string_view recordText)
{
    return hash64(recordText, hash64(name, hash64(toString(kind))));
}

void RecordTable::packVersions(const RecordForm &form, ByteWriter &writer)
{
    writer.writeNumber(strings_.add(form.baseModel, true));
    writer.writeNumber(form.versions.size());
    for (const auto &version : form.versions) {
        writer.writeText(version.name);
        const auto versionText = form.schemaVersion == 1 ? versionTemplateField : std::string_view(version.name);
        const std::string weightsTemplate = makeTemplate(version.weights, form.name, versionText);
        const auto templateId = strings_.add(weightsTemplate, false);
        writer.writeNumber(templateId);
        if (templateId == 0) {
            writer.writeText(weightsTemplate);
        }
    }
}

void RecordTable::unpackVersions(ByteReader &reader, RecordForm &form) const
{
    form.baseModel = strings_.at(static_cast<std::uint32_t>(reader.readNumber()));
    form.versions.resize(reader.readNumber());
    for (auto &version : form.versions) {
        version.name = reader.readText();
        const auto templateId = static_cast<std::uint32_t>(reader.readNumber());
        const std::string_view weightsTemplate = templateId != 0 ? strings_.at(templateId) : reader.readText();
        const auto versionText = form.schemaVersion == 1 ? versionTemplateField : std::string_view(version.name);
        version.weights = expandTemplate(weightsTemplate, form.name, versionText);
    }
}

std::uint32_t RecordTable::pack(const RecordForm &form, std::string_view recordText)
{
    const bool hasRaw = writeRecord(form) != recordText;
    const bool isRoute = form.kind == RecordKind::Route;
    ByteWriter body;
    body.writeNumber((isRoute ? routeBit : 0) | (hasRaw ? rawBit : 0) | form.schemaVersion << schemaShift);
    body.writeText(form.name);
    if (isRoute) {
        body.writeText(form.adapter == form.name ? std::string_view() : std::string_view(form.adapter));
        body.writeText(form.version);
        body.writeText(form.nextVersion);
        body.writeNumber(form.deadlineMs);
        body.writeNumber(form.callClass ? static_cast<std::uint64_t>(*form.callClass) + 1 : 0);
    } else {
        packVersions(form, body);
    }
    if (hasRaw) {
        body.writeText(recordText);
    }
    ByteWriter record;
    record.writeText(body.take());
    return arena_.add(record.take());
}

RecordTable::Packed RecordTable::unpack(std::uint32_t position) const
{
    ByteReader record(arena_.at(position));
    ByteReader reader(record.readText().data());
    Packed packed;
    RecordForm &form = packed.form;
    const auto flags = reader.readNumber();
    form.kind = (flags & routeBit) != 0 ? RecordKind::Route : RecordKind::Adapter;
    form.schemaVersion = static_cast<std::uint32_t>(flags >> schemaShift);
    form.name = reader.readText();
    if (form.kind == RecordKind::Route) {
        form.adapter = reader.readText();
        if (form.adapter.empty()) {
            form.adapter = form.name;
        }
        form.version = reader.readText();
        form.nextVersion = reader.readText();
        form.deadlineMs = static_cast<std::uint32_t>(reader.readNumber());
        if (const auto callClass = reader.readNumber(); callClass != 0) {
            form.callClass = static_cast<CallClass>(callClass - 1);
        }
    } else {
        unpackVersions(reader, form);
    }
    if ((flags & rawBit) != 0) {
        packed.raw = std::string(reader.readText());
    }
    return packed;
}

std::size_t RecordTable::packedSize(std::uint32_t position) const
{
    ByteReader record(arena_.at(position));
    record.readText();
    return record.consumed();
}

RecordTable::RecordKey RecordTable::keyAt(std::uint32_t position) const
{
    ByteReader record(arena_.at(position));
    ByteReader reader(record.readText().data());
    const bool isRoute = (reader.readNumber() & routeBit) != 0;
    return {isRoute ? RecordKind::Route : RecordKind::Adapter, reader.readText()};
}

std::string RecordTable::textOf(const Packed &packed) const
{
    return packed.raw ? *packed.raw : writeRecord(packed.form);
}

std::size_t RecordTable::findIndexEntry(RecordKind kind, std::string_view name) const
{
    const std::size_t mask = index_.size() - 1;
    std::size_t entry = hash64(name, static_cast<std::uint64_t>(kind)) & mask;
    std::optional<std::size_t> reusableEntry;
    for (;; entry = (entry + 1) & mask) {
        const auto position = index_[entry];
        if (position == emptyEntry) {
            return reusableEntry.value_or(entry);
        }
        if (position == removedEntry) {
            reusableEntry = reusableEntry.value_or(entry);
            continue;
        }
        const RecordKey found = keyAt(position);
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
            const RecordKey name = keyAt(position);
            index_[findIndexEntry(name.kind, name.name)] = position;
            ++occupied_;
        }
    }
}

/// Copies the live records to a new arena. Without it, replaced and removed records would make memory grow without
/// limit.
void RecordTable::compactIfNeeded()
{
    if (unusedBytes_ < minUnusedBytes || unusedBytes_ * 2 < arena_.usedBytes()) {
        return;
    }
    ByteArena compacted;
    for (auto &position : index_) {
        if (position > removedEntry) {
            position = compacted.add(std::string_view(arena_.at(position), packedSize(position)));
        }
    }
    arena_ = std::move(compacted);
    unusedBytes_ = 0;
}

void RecordTable::put(const RecordForm &form, std::string_view recordText)
{
    if (form.kind == RecordKind::Service || form.kind == RecordKind::Policy) {
        remove(form.kind, form.name);
        if (form.kind == RecordKind::Service) {
            services_.emplace(form.name, RecordWithText(form, recordText));
        } else {
            policy_ = RecordWithText(form, recordText);
        }
    } else {
        putPacked(form, recordText);
    }
    ++counts_[static_cast<std::size_t>(form.kind)];
    digest_ += recordHash(form.kind, form.name, recordText);
}

void RecordTable::putPacked(const RecordForm &form, std::string_view recordText)
{
    remove(form.kind, form.name);
    const std::size_t liveRecords = count(RecordKind::Adapter) + count(RecordKind::Route);
    if ((occupied_ + 1) * maxLoadDenominator > index_.size() * maxLoadNumerator) {
        const bool isMostlyLive = liveRecords * 2 > index_.size() / 2;
        rebuildIndex(isMostlyLive ? index_.size() * 2 : index_.size());
    }
    const auto position = pack(form, recordText);
    auto &entry = index_[findIndexEntry(form.kind, form.name)];
    occupied_ += entry == emptyEntry ? 1 : 0;
    entry = position;
    compactIfNeeded();
}

bool RecordTable::remove(RecordKind kind, std::string_view name)
{
    const auto recordText = text(kind, name);
    if (!recordText) {
        return false;
    }
    digest_ -= recordHash(kind, name, *recordText);
    --counts_[static_cast<std::size_t>(kind)];
    if (kind == RecordKind::Service) {
        services_.erase(services_.find(name));
    } else if (kind == RecordKind::Policy) {
        policy_.reset();
    } else {
        auto &entry = index_[findIndexEntry(kind, name)];
        unusedBytes_ += packedSize(entry);
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
    const auto position = index_[findIndexEntry(kind, name)];
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
    const auto position = index_[findIndexEntry(kind, name)];
    return position <= removedEntry ? std::nullopt : std::optional(textOf(unpack(position)));
}

std::string_view RecordTable::baseModel(std::string_view adapter) const
{
    const auto position = index_[findIndexEntry(RecordKind::Adapter, adapter)];
    if (position <= removedEntry) {
        return {};
    }
    ByteReader record(arena_.at(position));
    ByteReader reader(record.readText().data());
    reader.readNumber();
    reader.readText();
    return strings_.at(static_cast<std::uint32_t>(reader.readNumber()));
}

const std::map<std::string, RecordTable::RecordWithText, std::less<>> &RecordTable::services() const
{
    return services_;
}

const Policy &RecordTable::policy() const
{
    return policy_ ? policy_->first.policy : defaultPolicy_;
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
    return arena_.capacityBytes() + index_.capacity() * sizeof(std::uint32_t);
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
        const RecordKey first = keyAt(a);
        const RecordKey second = keyAt(b);
        return first.kind != second.kind ? first.kind < second.kind : first.name < second.name;
    });
    return positions;
}

std::uint32_t RecordTable::parts() const
{
    return static_cast<std::uint32_t>((index_.size() + entriesPerPart - 1) / entriesPerPart);
}

std::vector<std::string> RecordTable::routesReferencing(std::string_view adapter, std::string_view version) const
{
    std::vector<std::string> names;
    for (const auto position : index_) {
        if (position <= removedEntry || keyAt(position).kind != RecordKind::Route) {
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
