// Metrics in the Prometheus text format, with histograms from Boost.Histogram.
#include "anvilscale/telemetry.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/weight.hpp>

#include <charconv>
#include <tuple>

namespace anvilscale {

namespace {

using Axis = boost::histogram::axis::variable<>;
using WeightedHistogram = decltype(boost::histogram::make_weighted_histogram(std::declval<Axis>()));

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

void appendHeader(std::string &out, std::string_view name, std::string_view help, std::string_view type)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

} // namespace

struct HistogramMetric::Impl
{
    Impl(std::string metricName, std::string metricHelp, const std::vector<double> &bounds)
        : name(std::move(metricName))
        , help(std::move(metricHelp))
        , histogram(boost::histogram::make_weighted_histogram(Axis(bounds)))
    {
    }

    std::string name;
    std::string help;
    mutable std::mutex mutex;
    WeightedHistogram histogram; // guarded by mutex
    double sum = 0.0; // guarded by mutex
};

HistogramMetric::HistogramMetric(std::string name, std::string help, const std::vector<double> &bounds)
    : impl_(std::make_unique<Impl>(std::move(name), std::move(help), bounds))
{
}

HistogramMetric::~HistogramMetric() = default;

void HistogramMetric::record(double value, double weight)
{
    const std::scoped_lock lock(impl_->mutex);
    impl_->histogram(boost::histogram::weight(weight), value);
    impl_->sum += value * weight;
}

void HistogramMetric::render(std::string &out) const
{
    const std::scoped_lock lock(impl_->mutex);
    appendHeader(out, impl_->name, impl_->help, "histogram");
    const auto &axis = impl_->histogram.axis();
    double cumulative = impl_->histogram.at(-1).value();
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += impl_->histogram.at(i).value();
        out.append(impl_->name).append("_bucket{le=\"").append(formatNumber(axis.bin(i).upper())).append("\"} ");
        out.append(formatNumber(cumulative)).append("\n");
    }
    cumulative += impl_->histogram.at(axis.size()).value();
    out.append(impl_->name).append("_bucket{le=\"+Inf\"} ").append(formatNumber(cumulative)).append("\n");
    out.append(impl_->name).append("_sum ").append(formatNumber(impl_->sum)).append("\n");
    out.append(impl_->name).append("_count ").append(formatNumber(cumulative)).append("\n");
}

void MetricsText::writeHeader(std::string_view name, std::string_view help, std::string_view type)
{
    appendHeader(text_, name, help, type);
}

void MetricsText::counter(std::string_view name, std::string_view help, std::uint64_t value)
{
    writeHeader(name, help, "counter");
    text_.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void MetricsText::gauge(std::string_view name, std::string_view help, double value)
{
    writeHeader(name, help, "gauge");
    text_.append(name).append(" ").append(formatNumber(value)).append("\n");
}

void MetricsText::writeLabelled(std::string_view name, std::string_view label, std::string_view labelValue,
                                std::uint64_t value)
{
    text_.append(name).append("{").append(label).append("=\"").append(labelValue).append("\"} ");
    text_.append(std::to_string(value)).append("\n");
}

void MetricsText::counters(std::string_view name, std::string_view help, std::string_view label,
                           const std::vector<std::pair<std::string, std::uint64_t>> &values)
{
    writeHeader(name, help, "counter");
    for (const auto &[labelValue, value] : values) {
        writeLabelled(name, label, labelValue, value);
    }
}

void MetricsText::add(const HistogramMetric &histogram)
{
    histogram.render(text_);
}

} // namespace anvilscale
