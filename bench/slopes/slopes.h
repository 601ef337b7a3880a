// The parts of the bench: each measures one role's slopes and adds them to the report.
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
    std::map<std::string, double> messages; ///< bytes of one message
    std::map<std::string, double> rates; ///< calls a second or plain figures

    /// A point of a quantity that grows with its size.
    void add(const std::string &name, const std::string &unit, const std::string &over, Point point);
    /// A point of a cost that is looked at for each size.
    void addCost(const std::string &name, const std::string &unit, const std::string &over, Point point);
    void message(const std::string &name, std::size_t bytes);
    void rate(const std::string &name, double value);
};

void measureConfig(Report &report);
void measureKeys(Report &report);
void measureEntry(Report &report);
void measureSidecar(Report &report);
void measureScheduler(Report &report);
void measureKeyValueCalls(Report &report);

/// The report as JSON, or as the tables of docs/CAPACITY.md.
std::string toJson(const Report &report);
std::string toPage(const Report &report);

} // namespace anvilscale::slopes
