// Limits of open descriptors for the listeners of a process, and the state of one that few of them are left to.
#pragma once

#include "anvilscale/net.h"

#include <atomic>

namespace anvilscale {

/// Returns how many descriptors this process may open, by its resource limit.
int descriptorLimit();
/// Returns how many descriptors HTTP listeners leave to the other parts of the process. The kernel gives out the lowest
/// free number, so a new descriptor of a number within the last ones shows that no other is free.
int reservedDescriptors();
/// Returns how many descriptors listeners for other processes leave free, of which callers get a part.
int reservedForCallers();
/// True if a call failed with `error` because the process or the machine has no descriptor or memory for a connection.
bool isShortageError(int error);

/// A descriptor that is closed when one is needed to accept and refuse a connection.
class SpareDescriptor
{
public:
    SpareDescriptor();
    ~SpareDescriptor();
    SpareDescriptor(const SpareDescriptor &) = delete;
    SpareDescriptor &operator=(const SpareDescriptor &) = delete;

    void release();
    void refill();

private:
    int fd_ = -1;
};

/// Shortage at one listener. It begins and ends with one log line each, at most one pair in each `quietTime`.
class DescriptorShortage
{
public:
    static constexpr Duration quietTime = Seconds(1); // without a refusal or failure, after which it has ended

    explicit DescriptorShortage(std::string listener);

    /// A connection was not accepted, or refused, for want of descriptors.
    void onShort(TimePoint now);
    void onTick(TimePoint now);
    bool isActive() const
    {
        return isActive_;
    }

private:
    std::string listener_; // its address, for the log
    bool isActive_ = false;
    TimePoint lastShortAt_{};
    std::uint64_t count_ = 0; // since it began
};

} // namespace anvilscale
