// What a measurement is made with: heap bytes in use, processor time of this thread, and a straight line through
// the measured points.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvilscale::slopes {

/// Ends the program with the message if a measurement is not of what it claims to be.
void require(bool ok, const char *what);

/// Bytes of the heap in use now, allocator overhead included.
std::size_t heapBytes();
/// Processor time of this thread, in microseconds.
double threadMicros();

struct Point
{
    double size;
    double value;
};

/// Least squares through the points. `worst` is the largest distance of a point from the line, over the point's
/// value; a slope whose last segment is not steeper than the first is "linear or better".
struct Line
{
    double perUnit = 0.0;
    double fixed = 0.0;
    double worst = 0.0;
    bool linearOrBetter = false;
};
Line fit(const std::vector<Point> &points);

/// One measured quantity over its sizes.
struct Series
{
    std::string name; ///< e.g. "config.bytes_per_adapter"
    std::string unit; ///< of a value: "bytes" or "us"
    std::string over; ///< what the size counts
    std::vector<Point> points;
    bool cumulative = true; ///< values grow with the size; else each value is a cost at that size
};

/// Calls `step` for each number below `count` and returns the processor time of one call in microseconds.
double microsEach(std::size_t count, const std::function<void(std::size_t)> &step);

} // namespace anvilscale::slopes
