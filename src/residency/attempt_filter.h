// Bounded filter for attempts that were refused or have ended. Without it a duplicated request could run after its
// first copy was refused as not run. TCP does not duplicate messages; the filter covers a sender that repeats after a
// reconnect.
#pragma once

#include "listener.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace anvilscale {

/// Detects duplicate messages, as from a sender that repeats after a reconnect. Prevents a duplicate from running after
/// its first copy was refused as "not run". Keeps the latest `capacity` attempts.
class AttemptFilter
{
public:
    static constexpr std::size_t capacity = 1024;

    void add(const AttemptKey &attempt)
    {
        if (digests_.size() < capacity) {
            digests_.push_back(digest(attempt));
            return;
        }
        digests_[oldest_] = digest(attempt);
        oldest_ = (oldest_ + 1) % capacity;
    }
    bool contains(const AttemptKey &attempt) const
    {
        return std::ranges::find(digests_, digest(attempt)) != digests_.end();
    }

private:
    static std::uint64_t digest(const AttemptKey &attempt)
    {
        const std::uint64_t words[] = {attempt.entryIncarnation, attempt.call, attempt.attempt};
        return hash64({reinterpret_cast<const char *>(words), sizeof words});
    }

    std::vector<std::uint64_t> digests_; // ring buffer once it is full
    std::size_t oldest_ = 0; // index of the entry to be overwritten next
};

} // namespace anvilscale
