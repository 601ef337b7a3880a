// Limit in the key-value service of the stamps that a slot owner admits, readable after the owner has failed.
#pragma once

#include "kv_requests.h"

#include "anvilscale/state.h"

namespace anvilscale {

/// Keeps one owner's limit in a key without a lease. Invariant: while the owner holds the lease under which the limit
/// was written, the stored limit is never below value().
class KeyTimeLimit
{
public:
    struct Init
    {
        std::string key;
        TimerService *timers = nullptr;
        Duration maxBackoff{};
        std::uint64_t seed = 1;
    };
    KeyTimeLimit(Init init, std::function<void(KvRequest)> submit);
    ~KeyTimeLimit();

    /// Writes a limit under the lease with this fencing number. It may be lower than the one before, but not lower
    /// than the stamp of an admitted key. A limit written under another lease does not count: it may be deleted.
    void renew(std::uint64_t leaseFence, WallTime limit);
    /// Returns true if the reply belongs to this object.
    bool onReply(const KvReply &reply, Now now);
    /// Keys stamped later must not be admitted; zero if the limit is not known to be stored under this lease.
    WallTime value(std::uint64_t leaseFence) const;
    WallTime largestWritten() const;
    /// Deletes the key if no request is under way.
    void remove();
    void stop();

    static std::string serialize(WallTime limit);
    /// Returns nullopt if the value is not a limit.
    static std::optional<WallTime> parse(const std::string &value);

private:
    enum class Step : std::uint8_t {
        Idle,
        Writing,
        Reading, ///< the write conflicted, or its reply was lost
        Waiting, ///< until the next attempt
    };

    void submitWith(Step step, KvRequest request);
    void write();
    void read();
    void retry(Now now);

    Init init_;
    std::function<void(KvRequest)> submit_;
    KvRequestIds ids_;
    Random random_;
    Backoff backoff_;
    Step step_ = Step::Idle;
    KvHandle pending_;
    TimerHandle timer_;
    std::int64_t modRevision_ = 0; // compared by each write, so that a delayed write cannot replace a later one
    std::uint64_t fence_ = 0; // of the lease under which `allowed_` is stored
    // The least of all limits that the service may hold: a write without a reply may still take effect.
    WallTime allowed_;
    std::uint64_t wantedFence_ = 0;
    WallTime wanted_;
    std::uint64_t writtenFence_ = 0;
    WallTime largestWritten_;
    WallTime written_; // in Step::Writing
};

} // namespace anvilscale
