// Storage of packed records: an arena of byte blocks and a pool of shared strings.
#include "record_table.h"

#include <cstring>

namespace anvilscale {

std::uint32_t ByteArena::add(std::string_view bytes)
{
    // Records always fit into a block: readRecord() limits their text to half of one.
    if (lastBlockBytes_ + bytes.size() > blockBytes) {
        blocks_.push_back(std::make_unique_for_overwrite<char[]>(blockBytes)); // NOLINT(*-avoid-c-arrays)
        lastBlockBytes_ = blocks_.size() == 1 ? 2 : 0; // positions 0 and 1 are reserved as index markers
    }
    std::memcpy(blocks_.back().get() + lastBlockBytes_, bytes.data(), bytes.size());
    const auto position = static_cast<std::uint32_t>(((blocks_.size() - 1) << blockBits) + lastBlockBytes_);
    lastBlockBytes_ += bytes.size();
    usedBytes_ += bytes.size();
    return position;
}

const char *ByteArena::at(std::uint32_t position) const
{
    return blocks_[position >> blockBits].get() + (position & (blockBytes - 1));
}

std::size_t ByteArena::usedBytes() const
{
    return usedBytes_;
}

std::size_t ByteArena::capacityBytes() const
{
    return blocks_.size() * blockBytes;
}

std::uint32_t StringPool::add(std::string_view text, bool ignoreLimit)
{
    const auto found = ids_.find(text);
    if (found != ids_.end()) {
        return found->second;
    }
    if (storedTexts_.size() >= maxTexts && !ignoreLimit) {
        return 0;
    }
    const std::string &stored = storedTexts_.emplace_back(text);
    const auto id = static_cast<std::uint32_t>(storedTexts_.size());
    ids_.emplace(stored, id);
    return id;
}

std::string_view StringPool::at(std::uint32_t id) const
{
    return storedTexts_[id - 1];
}

} // namespace anvilscale
