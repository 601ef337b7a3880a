// Storage of packed records: an arena of byte blocks and a pool of shared strings.
#include "record_table.h"

#include <cstring>

namespace anvilscale {

std::uint32_t ByteArena::add(std::string_view bytes)
{
    // Records always fit into a block: readRecord() limits their text to half of one.
    if (fill_ + bytes.size() > blockBytes) {
        blocks_.push_back(std::make_unique_for_overwrite<char[]>(blockBytes)); // NOLINT(*-avoid-c-arrays)
        fill_ = blocks_.size() == 1 ? 2 : 0; // positions 0 and 1 are reserved as index markers
    }
    std::memcpy(blocks_.back().get() + fill_, bytes.data(), bytes.size());
    const auto position = static_cast<std::uint32_t>(((blocks_.size() - 1) << blockBits) + fill_);
    fill_ += bytes.size();
    used_ += bytes.size();
    return position;
}

const char *ByteArena::at(std::uint32_t position) const
{
    return blocks_[position >> blockBits].get() + (position & (blockBytes - 1));
}

std::size_t ByteArena::used() const
{
    return used_;
}

std::size_t ByteArena::capacity() const
{
    return blocks_.size() * blockBytes;
}

std::uint32_t TextPool::add(std::string_view text, bool always)
{
    const auto known = numbers_.find(text);
    if (known != numbers_.end()) {
        return known->second;
    }
    if (texts_.size() >= limit && !always) {
        return 0;
    }
    const std::string &kept = texts_.emplace_back(text);
    const auto number = static_cast<std::uint32_t>(texts_.size());
    numbers_.emplace(kept, number);
    return number;
}

std::string_view TextPool::at(std::uint32_t number) const
{
    return texts_[number - 1];
}

} // namespace anvilscale
