// Resource limit of descriptors, the spare descriptor of a listener, and the log lines of a shortage.
#include "descriptor_shortage.h"

#include "anvilscale/telemetry.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace anvilscale {

namespace {

constexpr int reservedShare = 16; // one of so many descriptors is reserved
constexpr int minReserved = 4;
constexpr int maxReserved = 64;

} // namespace

int descriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > INT32_MAX) {
        return INT32_MAX;
    }
    return static_cast<int>(limit.rlim_cur);
}

int reservedDescriptors()
{
    return std::clamp(descriptorLimit() / reservedShare, minReserved, maxReserved);
}

int reservedForCallers()
{
    return 2 * reservedDescriptors();
}

bool isShortageError(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

SpareDescriptor::SpareDescriptor()
{
    refill();
}

SpareDescriptor::~SpareDescriptor()
{
    release();
}

void SpareDescriptor::release()
{
    if (fd_ >= 0) {
        ::close(std::exchange(fd_, -1));
    }
}

void SpareDescriptor::refill()
{
    if (fd_ < 0) {
        fd_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    }
}

DescriptorShortage::DescriptorShortage(std::string listener)
    : listener_(std::move(listener))
{
}

void DescriptorShortage::onShort(TimePoint now)
{
    lastShortAt_ = now;
    count_ += 1;
    if (!std::exchange(isActive_, true)) {
        logEvent(Event::DescriptorsShort, {{"listener", listener_}, {"limit", descriptorLimit()}});
    }
}

void DescriptorShortage::onTick(TimePoint now)
{
    if (isActive_ && now - lastShortAt_ >= quietTime) {
        isActive_ = false;
        logEvent(Event::DescriptorsBack, {{"listener", listener_}, {"notAccepted", std::exchange(count_, 0)}});
    }
}

} // namespace anvilscale
