// Collects what was measured and prints it as JSON.
#include "slopes.h"

#include <cstdio>

namespace anvilscale::slopes {

namespace {

void appendPoint(Report &report, const std::string &name, const std::string &unit, const std::string &over, Point point,
                 bool cumulative)
{
    Series &series = report.series[name];
    series.name = name;
    series.unit = unit;
    series.over = over;
    series.cumulative = cumulative;
    series.points.push_back(point);
}

std::string number(double value)
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
        out += "[" + number(point.size) + "," + number(point.value) + "]";
    }
    return out + "]";
}

std::string seriesJson(const Series &series)
{
    std::string out = "{\"unit\":\"" + series.unit + "\",\"over\":\"" + series.over + "\",\"points\":";
    out += pointsJson(series);
    if (series.cumulative && series.points.size() > 1) {
        const Line line = fit(series.points);
        out += ",\"perUnit\":" + number(line.perUnit) + ",\"fixed\":" + number(line.fixed);
        out += std::string(",\"linearOrBetter\":") + (line.linearOrBetter ? "true" : "false");
    }
    return out + "}";
}

std::string mapJson(const std::map<std::string, double> &values)
{
    std::string out = "{";
    for (const auto &[name, value] : values) {
        out += out.size() > 1 ? "," : "";
        out += "\"" + name + "\":" + number(value);
    }
    return out + "}";
}

} // namespace

void Report::add(const std::string &name, const std::string &unit, const std::string &over, Point point)
{
    appendPoint(*this, name, unit, over, point, true);
}

void Report::addCost(const std::string &name, const std::string &unit, const std::string &over, Point point)
{
    appendPoint(*this, name, unit, over, point, false);
}

void Report::message(const std::string &name, std::size_t bytes)
{
    messages[name] = static_cast<double>(bytes);
}

void Report::rate(const std::string &name, double value)
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
    out += "\n },\n \"messages\":" + mapJson(report.messages);
    out += ",\n \"rates\":" + mapJson(report.rates) + "}\n";
    return out;
}

} // namespace anvilscale::slopes
