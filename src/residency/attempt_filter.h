// Remembers the attempts that were refused or have ended, so that a message which comes twice is not taken twice.
// Without it a doubled request could run after its first copy was refused as "not run". The transport (TCP) does not
// double messages in normal work; the filter covers a sender that repeats after a reconnect, within its bound.
#pragma once

#include "listener.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace anvilscale {

class AttemptFilter
{
public:
    static constexpr std::size_t capacity = 1024;

    void add(const AttemptKey &attempt)
    {
        if (seen_.size() < capacity) {
            seen_.push_back(digest(attempt));
            return;
        }
        seen_[next_] = digest(attempt);
        next_ = (next_ + 1) % capacity;
    }
    bool has(const AttemptKey &attempt) const
    {
        return std::ranges::find(seen_, digest(attempt)) != seen_.end();
    }

private:
    static std::uint64_t digest(const AttemptKey &attempt)
    {
        const std::uint64_t words[] = {attempt.entryIncarnation, attempt.call, attempt.attempt};
        return hash64({reinterpret_cast<const char *>(words), sizeof words});
    }

    std::vector<std::uint64_t> seen_; // a ring once it is full; next_ is its oldest
    std::size_t next_ = 0;
};

} // namespace anvilscale
