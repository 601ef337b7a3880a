// Measurement helpers: heap usage, thread CPU time and linear fits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvilscale::slopes {

/// Exits with an error message if a precondition of a measurement does not hold.
void requireThat(bool ok, const char *what);

/// Heap bytes in use, including allocator overhead.
std::size_t heapBytes();
/// CPU time of this thread in microseconds.
double threadCpuMicros();

struct Point
{
    double size;
    double value;
};

/// Least-squares line. `maxRelativeError` is the largest deviation of a point relative to its value; growth is linear
/// or better if the last segment is not steeper than the first, within a tolerance.
struct LinearFit
{
    double slope = 0.0;
    double intercept = 0.0;
    double maxRelativeError = 0.0;
    bool isLinearOrBetter = false;
};
LinearFit fit(const std::vector<Point> &points);

/// Measured values of one quantity by size.
struct Series
{
    std::string name; ///< e.g. "config.state"
    std::string unit; ///< unit of the values, e.g. "bytes" or "us"
    std::string sizeUnit; ///< unit of the sizes, e.g. "adapters"
    std::vector<Point> points;
    bool isCumulative = true; ///< true if values grow with the size, false for a cost at each size
};

/// Calls `step` with 0 to `count` - 1 and returns the mean CPU time per call in microseconds.
double meanCpuMicros(std::size_t count, const std::function<void(std::size_t)> &step);

} // namespace anvilscale::slopes
