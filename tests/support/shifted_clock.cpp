// Library that a process test preloads into a daemon: its time of day is off by SHIFTED_CLOCK_MS milliseconds. All
// other clocks are left as they are.
#include <dlfcn.h>
#include <sys/time.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t nsPerMs = 1'000'000;
constexpr std::int64_t nsPerSecond = 1'000'000'000;
constexpr std::int64_t nsPerUs = 1000;

std::int64_t offsetNs()
{
    const char *text = std::getenv("SHIFTED_CLOCK_MS"); // NOLINT(concurrency-mt-unsafe): read only
    return text == nullptr ? 0 : std::strtoll(text, nullptr, 10) * nsPerMs;
}

int readClock(clockid_t clock, timespec *result)
{
    using Function = int (*)(clockid_t, timespec *);
    static const auto original = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "clock_gettime"));
    const int status = original(clock, result);
    if (status != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) {
        return status;
    }
    const auto shifted = result->tv_sec * nsPerSecond + result->tv_nsec + offsetNs();
    result->tv_sec = shifted / nsPerSecond;
    result->tv_nsec = shifted % nsPerSecond;
    return 0;
}

} // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec *result) noexcept
{
    return readClock(clock, result);
}

int gettimeofday(timeval *result, void * /*zone*/) noexcept
{
    timespec now{};
    const int status = readClock(CLOCK_REALTIME, &now);
    result->tv_sec = now.tv_sec;
    result->tv_usec = now.tv_nsec / nsPerUs;
    return status;
}

std::time_t time(std::time_t *result) noexcept
{
    timespec now{};
    readClock(CLOCK_REALTIME, &now);
    if (result != nullptr) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}

} // extern "C"
