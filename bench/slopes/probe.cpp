// Heap accounting by replaced operator new, processor time by the thread's clock.
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

std::atomic<std::size_t> inUse{0};
constexpr std::size_t blockOverhead = 8; // glibc's header in front of each block

void *countedAlloc(std::size_t size)
{
    void *block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    inUse += malloc_usable_size(block) + blockOverhead;
    return block;
}

void countedFree(void *block) noexcept
{
    if (block != nullptr) {
        inUse -= malloc_usable_size(block) + blockOverhead;
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
// The library's nothrow form would be the sanitizer's own in a sanitized build, while delete is ours.
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

void require(bool ok, const char *what)
{
    if (!ok) {
        std::fprintf(stderr, "slopes: %s\n", what);
        std::exit(1);
    }
}

std::size_t heapBytes()
{
    return inUse.load();
}

double threadMicros()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double microsEach(std::size_t count, const std::function<void(std::size_t)> &step)
{
    const double before = threadMicros();
    for (std::size_t i = 0; i < count; ++i) {
        step(i);
    }
    return (threadMicros() - before) / static_cast<double>(count);
}

Line fit(const std::vector<Point> &points)
{
    Line line;
    const auto n = static_cast<double>(points.size());
    double sx = 0.0;
    double sy = 0.0;
    double sxx = 0.0;
    double sxy = 0.0;
    for (const Point &p : points) {
        sx += p.size;
        sy += p.value;
        sxx += p.size * p.size;
        sxy += p.size * p.value;
    }
    line.perUnit = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    line.fixed = (sy - line.perUnit * sx) / n;
    for (const Point &p : points) {
        const double miss = std::fabs(line.perUnit * p.size + line.fixed - p.value);
        line.worst = std::max(line.worst, p.value > 0 ? miss / p.value : 0.0);
    }
    const auto segment = [&points](std::size_t i) {
        return (points[i + 1].value - points[i].value) / (points[i + 1].size - points[i].size);
    };
    constexpr double tolerance = 1.5; // measuring noise, and hash tables that double between two points
    line.linearOrBetter = segment(points.size() - 2) <= segment(0) * tolerance;
    return line;
}

} // namespace anvilscale::slopes
