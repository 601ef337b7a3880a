// Report of the slopes bench and the measurements that fill it, one per role.
#pragma once

#include "probe.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilscale::slopes {

struct Report
{
    std::vector<std::size_t> adapterSizes{1'400, 14'000, 140'000};
    std::vector<std::size_t> sidecarSizes{20, 60, 180};
    std::vector<std::size_t> fleetSizes{60, 600, 3'900};
    std::vector<std::size_t> keySizes{1'000, 10'000, 100'000};

    std::map<std::string, Series> series;
    std::map<std::string, double> messageSizes; ///< size of one message in bytes
    std::map<std::string, double> rates; ///< other figures without a size

    /// Adds a point of a quantity that grows with its size.
    void addPoint(const std::string &name, const std::string &unit, const std::string &sizeUnit, Point point);
    /// Adds a point of a cost measured at each size.
    void addCost(const std::string &name, const std::string &unit, const std::string &sizeUnit, Point point);
    void addMessageSize(const std::string &name, std::size_t bytes);
    void addRate(const std::string &name, double value);
};

void measureConfig(Report &report);
void measureKeys(Report &report);
void measureEntry(Report &report);
void measureSidecar(Report &report);
void measureScheduler(Report &report);
void measureKeyValueCalls(Report &report);

/// Format the report as JSON and as the tables of docs/CAPACITY.md.
std::string toJson(const Report &report);
std::string toPage(const Report &report);

} // namespace anvilscale::slopes
