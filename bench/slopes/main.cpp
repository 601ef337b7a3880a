// slopes: measures how memory, CPU time and messages of each role grow with the fleet. `--page` prints the tables of
// docs/CAPACITY.md, `--json` the measured points.
#include "slopes.h"

#include <cxxopts.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace anvilscale::slopes;
    cxxopts::Options options("slopes", "Measures slopes of memory, CPU time and messages.");
    options.add_options()("json", "print the measured points")("page", "print the tables of the capacity page")(
        "quick", "small sizes, as a smoke test")("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    Report report;
    if (parsed.count("quick") != 0) {
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
    std::cout << (parsed.count("page") != 0 ? toPage(report) : toJson(report));
    return 0;
}
