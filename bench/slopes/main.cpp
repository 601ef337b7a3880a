// slopes: how memory, processor time and messages of each role grow with the fleet. Every figure of
// docs/CAPACITY.md comes from here: slopes --page prints its tables, --json the measured points.
#include "slopes.h"

#include <cxxopts.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace anvilscale::slopes;
    cxxopts::Options options("slopes", "Measures slopes of memory, processor time and messages.");
    options.add_options()("json", "print the measured points")("page", "print the tables of the capacity page")(
        "quick", "small sizes, to see that it works")("help", "print this help");
    const auto given = options.parse(argc, argv);
    if (given.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    Report report;
    if (given.count("quick") != 0) {
        report.adapterSizes = {100, 200, 400};
        report.sidecarSizes = {5, 10, 20};
        report.fleetSizes = {10, 20, 40};
        report.keySizes = {100, 200, 400};
    }
    measureConfig(report);
    measureKeys(report);
    measureEntry(report);
    measureSidecar(report);
    measureScheduler(report);
    measureKeyValueCalls(report);
    std::cout << (given.count("page") != 0 ? toPage(report) : toJson(report));
    return 0;
}
