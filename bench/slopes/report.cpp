// Collects measurements and formats them as JSON.
#include "slopes.h"

#include <cstdio>

namespace anvilscale::slopes {

namespace {

void appendPoint(Report &report, const std::string &name, const std::string &unit, const std::string &sizeUnit,
                 Point point, bool isCumulative)
{
    Series &series = report.series[name];
    series.name = name;
    series.unit = unit;
    series.sizeUnit = sizeUnit;
    series.isCumulative = isCumulative;
    series.points.push_back(point);
}

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}

std::string pointsJson(const Series &series)
{
    std::string out = "[";
    for (const Point &point : series.points) {
        out += out.size() > 1 ? "," : "";
        out += "[" + formatNumber(point.size) + "," + formatNumber(point.value) + "]";
    }
    return out + "]";
}

std::string seriesJson(const Series &series)
{
    std::string out = "{\"unit\":\"" + series.unit + "\",\"over\":\"" + series.sizeUnit + "\",\"points\":";
    out += pointsJson(series);
    if (series.isCumulative && series.points.size() > 1) {
        const LinearFit line = fit(series.points);
        out += ",\"perUnit\":" + formatNumber(line.slope) + ",\"fixed\":" + formatNumber(line.intercept);
        out += std::string(",\"linearOrBetter\":") + (line.isLinearOrBetter ? "true" : "false");
    }
    return out + "}";
}

std::string mapJson(const std::map<std::string, double> &values)
{
    std::string out = "{";
    for (const auto &[name, value] : values) {
        out += out.size() > 1 ? "," : "";
        out += "\"" + name + "\":" + formatNumber(value);
    }
    return out + "}";
}

} // namespace

void Report::addPoint(const std::string &name, const std::string &unit, const std::string &sizeUnit, Point point)
{
    appendPoint(*this, name, unit, sizeUnit, point, true);
}

void Report::addCost(const std::string &name, const std::string &unit, const std::string &sizeUnit, Point point)
{
    appendPoint(*this, name, unit, sizeUnit, point, false);
}

void Report::addMessageSize(const std::string &name, std::size_t bytes)
{
    messageSizes[name] = static_cast<double>(bytes);
}

void Report::addRate(const std::string &name, double value)
{
    rates[name] = value;
}

std::string toJson(const Report &report)
{
    std::string out = "{\"series\":{";
    bool first = true;
    for (const auto &[name, series] : report.series) {
        out += first ? "" : ",";
        out += "\n  \"" + name + "\":" + seriesJson(series);
        first = false;
    }
    out += "\n },\n \"messages\":" + mapJson(report.messageSizes);
    out += ",\n \"rates\":" + mapJson(report.rates) + "}\n";
    return out;
}

} // namespace anvilscale::slopes
