// Packed storage of all records of one revision, about fifty bytes per adapter or route.
#pragma once

#include "record.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace anvilscale {

class ByteReader;
class ByteWriter;

/// Append-only byte storage in fixed blocks, so that growth copies nothing. Positions stay valid until the arena is
/// destroyed.
class ByteArena
{
public:
    /// Copies `bytes` into contiguous storage and returns their position. Never returns position 0.
    std::uint32_t add(std::string_view bytes);
    const char *at(std::uint32_t position) const;
    /// Bytes stored.
    std::size_t usedBytes() const;
    /// Bytes allocated.
    std::size_t capacityBytes() const;

private:
    static constexpr std::size_t blockBits = 17;
    static constexpr std::size_t blockBytes = std::size_t(1) << blockBits;

    std::vector<std::unique_ptr<char[]>> blocks_; // NOLINT(*-avoid-c-arrays): one allocation without a header
    std::size_t lastBlockBytes_ = blockBytes; // bytes used in the last block
    std::size_t usedBytes_ = 0;
};

/// Interned strings that many records share (base models, templates of weight paths). Views stay valid as long as the
/// pool.
class StringPool
{
public:
    /// Returns the id of the text, or 0 if the pool is full. `ignoreLimit` overrides the limit.
    std::uint32_t add(std::string_view text, bool ignoreLimit);
    std::string_view at(std::uint32_t id) const;

private:
    static constexpr std::size_t maxTexts = 4096;

    std::deque<std::string> storedTexts_;
    std::unordered_map<std::string_view, std::uint32_t> ids_;
};

/// Records by kind and name. Invariants: one record for each (kind, name); digest() is the sum of the records' hashes
/// and thus independent of their order.
class RecordTable
{
public:
    /// Adds or replaces a record.
    void put(const RecordForm &form, std::string_view recordText);
    bool remove(RecordKind kind, std::string_view name);
    std::optional<RecordForm> find(RecordKind kind, std::string_view name) const;
    /// Returns a record's text as written.
    std::optional<std::string> text(RecordKind kind, std::string_view name) const;
    /// Returns the base model of an adapter, or an empty view if there is none. Valid until the next compaction.
    std::string_view baseModel(std::string_view adapter) const;
    const std::map<std::string, std::pair<RecordForm, std::string>, std::less<>> &services() const; ///< with texts
    const Policy &policy() const;

    std::uint64_t digest() const;
    std::size_t count(RecordKind kind) const;
    /// Allocated memory in bytes.
    std::size_t bytes() const;

    /// Calls `visit(form, json)` for every record: services, policy, then adapters and routes by name.
    template<class Visit>
    void forEach(Visit visit) const;
    /// Returns the routes that refer to the version, now or next. Scans all records.
    std::vector<std::string> routesReferencing(std::string_view adapter, std::string_view version) const;
    /// Number of parts of forEachInPart().
    std::uint32_t parts() const;
    /// Like forEach(), for one part of the records and unsorted.
    template<class Visit>
    void forEachInPart(std::uint32_t part, Visit visit) const;

private:
    using RecordWithText = std::pair<RecordForm, std::string>; // with its text
    static constexpr std::uint32_t emptyEntry = 0;
    static constexpr std::uint32_t removedEntry = 1;
    static constexpr std::size_t entriesPerPart = 2048;

    struct Packed
    {
        RecordForm form;
        std::optional<std::string> raw; // kept only if it differs from writeRecord()
    };
    struct RecordKey
    {
        RecordKind kind;
        std::string_view name;
    };
    std::uint32_t pack(const RecordForm &form, std::string_view recordText);
    void packVersions(const RecordForm &form, ByteWriter &writer);
    Packed unpack(std::uint32_t position) const;
    void unpackVersions(ByteReader &reader, RecordForm &form) const;
    std::size_t packedSize(std::uint32_t position) const;
    RecordKey keyAt(std::uint32_t position) const;
    std::string textOf(const Packed &packed) const;
    /// Returns the index entry of the record, or the one to insert it at.
    std::size_t findIndexEntry(RecordKind kind, std::string_view name) const;
    std::vector<std::uint32_t> sortedPositions() const;
    void rebuildIndex(std::size_t entries);
    void putPacked(const RecordForm &form, std::string_view recordText);
    void compactIfNeeded();

    ByteArena arena_;
    std::size_t unusedBytes_ = 0; // bytes of arena_ that are no longer referenced
    StringPool strings_;
    // Open-addressing hash index of positions in arena_; 0 is empty, 1 is a removed record.
    std::vector<std::uint32_t> index_ = std::vector<std::uint32_t>(16, 0);
    std::size_t occupied_ = 0; // entries of index_ that are not empty, including removed ones
    std::array<std::size_t, enumCount<RecordKind>> counts_{};
    std::map<std::string, RecordWithText, std::less<>> services_;
    std::optional<RecordWithText> policy_;
    Policy defaultPolicy_;
    std::uint64_t digest_ = 0;
};

template<class Visit>
void RecordTable::forEach(Visit visit) const
{
    for (const auto &[name, named] : services_) {
        visit(named.first, named.second);
    }
    if (policy_) {
        visit(policy_->first, policy_->second);
    }
    for (const auto position : sortedPositions()) {
        const Packed packed = unpack(position);
        visit(packed.form, textOf(packed));
    }
}

template<class Visit>
void RecordTable::forEachInPart(std::uint32_t part, Visit visit) const
{
    if (part == 0) {
        for (const auto &[name, named] : services_) {
            visit(named.first, named.second);
        }
        if (policy_) {
            visit(policy_->first, policy_->second);
        }
    }
    const std::size_t begin = std::size_t(part) * entriesPerPart;
    for (std::size_t i = begin; i < std::min(begin + entriesPerPart, index_.size()); ++i) {
        if (index_[i] > removedEntry) {
            const Packed packed = unpack(index_[i]);
            visit(packed.form, textOf(packed));
        }
    }
}

/// Hash of one record, as summed into the digest.
std::uint64_t recordHash(RecordKind kind, std::string_view name, std::string_view recordText);

} // namespace anvilscale
