// Heap accounting through replaced operator new and delete, CPU time and line fitting.
#include "probe.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

std::atomic<std::size_t> heapBytesInUse{0};
constexpr std::size_t blockOverhead = 8; // header of each glibc heap block

void *countedAlloc(std::size_t size)
{
    void *block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    heapBytesInUse += malloc_usable_size(block) + blockOverhead;
    return block;
}

void countedFree(void *block) noexcept
{
    if (block != nullptr) {
        heapBytesInUse -= malloc_usable_size(block) + blockOverhead;
        std::free(block);
    }
}

} // namespace

void *operator new(std::size_t size)
{
    return countedAlloc(size);
}
void *operator new[](std::size_t size)
{
    return countedAlloc(size);
}
// Replaced too, since a sanitized build would otherwise pair the sanitizer's nothrow new with this delete.
void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    try {
        return countedAlloc(size);
    } catch (const std::bad_alloc &) {
        return nullptr;
    }
}
void operator delete(void *block, const std::nothrow_t &) noexcept
{
    countedFree(block);
}
void operator delete(void *block) noexcept
{
    countedFree(block);
}
void operator delete[](void *block) noexcept
{
    countedFree(block);
}
void operator delete(void *block, std::size_t) noexcept
{
    countedFree(block);
}
void operator delete[](void *block, std::size_t) noexcept
{
    countedFree(block);
}

namespace anvilscale::slopes {

void requireThat(bool ok, const char *what)
{
    if (!ok) {
        std::fprintf(stderr, "slopes: %s\n", what);
        std::exit(1);
    }
}

std::size_t heapBytes()
{
    return heapBytesInUse.load();
}

double threadCpuMicros()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double meanCpuMicros(std::size_t count, const std::function<void(std::size_t)> &step)
{
    const double before = threadCpuMicros();
    for (std::size_t i = 0; i < count; ++i) {
        step(i);
    }
    return (threadCpuMicros() - before) / static_cast<double>(count);
}

LinearFit fit(const std::vector<Point> &points)
{
    LinearFit line;
    const auto count = static_cast<double>(points.size());
    double sumX = 0.0;
    double sumY = 0.0;
    double sumXX = 0.0;
    double sumXY = 0.0;
    for (const Point &point : points) {
        sumX += point.size;
        sumY += point.value;
        sumXX += point.size * point.size;
        sumXY += point.size * point.value;
    }
    line.slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    line.intercept = (sumY - line.slope * sumX) / count;
    for (const Point &point : points) {
        const double deviation = std::fabs(line.slope * point.size + line.intercept - point.value);
        line.maxRelativeError = std::max(line.maxRelativeError, point.value > 0 ? deviation / point.value : 0.0);
    }
    const auto segmentSlope = [&points](std::size_t i) {
        return (points[i + 1].value - points[i].value) / (points[i + 1].size - points[i].size);
    };
    constexpr double tolerance = 1.5; // allows for noise and for hash tables that double between two points
    line.isLinearOrBetter = segmentSlope(points.size() - 2) <= segmentSlope(0) * tolerance;
    return line;
}

} // namespace anvilscale::slopes
