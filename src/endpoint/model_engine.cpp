// Requests to a model engine and the reading of its answers.
#include "model_engine.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace anvilscale {

namespace {

constexpr std::string_view fenceName = "anvilscale-fence"; // reserved: no adapter has this name
constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusConflict = 409;
constexpr std::uint32_t statusFencedOff = 412;
constexpr std::uint32_t statusTooMany = 429;
constexpr std::uint32_t statusUnavailable = 503;
constexpr double millisecondsPerSecond = 1000.0;
constexpr std::uint32_t permille = 1000;

std::string nameOf(const SendOrder &order)
{
    return order.kind == OrderKind::Fence ? std::string(fenceName) : order.which.text();
}

/// Value of the first sample of a metric in the Prometheus text format.
std::optional<double> metricValue(std::string_view text, std::string_view name)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const auto end = std::min(text.find('\n', at), text.size());
        const auto line = text.substr(at, end - at);
        at = end + 1;
        const bool named = line.starts_with(name) && line.size() > name.size()
                           && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (!named) {
            continue;
        }
        const auto value = line.substr(line.rfind(' ') + 1);
        double number = 0;
        const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (error == std::errc()) {
            return number;
        }
    }
    return std::nullopt;
}

/// Value of a label of the last sample of a metric; vLLM leaves older samples of an info metric standing.
std::string metricLabel(std::string_view text, std::string_view name, std::string_view label)
{
    const auto sample = text.rfind("\n" + std::string(name) + "{");
    if (sample == std::string_view::npos) {
        return {};
    }
    const auto line = text.substr(sample + 1, text.find('\n', sample + 1) - sample - 1);
    const auto key = std::string(label) + "=\"";
    const auto begin = line.find(key);
    if (begin == std::string_view::npos) {
        return {};
    }
    const auto value = line.substr(begin + key.size());
    return std::string(value.substr(0, value.find('"')));
}

std::optional<AdapterVersion> parseName(std::string_view name)
{
    const auto at = name.rfind('@');
    if (at == std::string_view::npos || at == 0) {
        return std::nullopt; // the base model
    }
    return AdapterVersion{std::string(name.substr(0, at)), std::string(name.substr(at + 1))};
}

void addRunning(EngineList &list, const std::string &names)
{
    std::istringstream stream(names);
    std::string name;
    while (std::getline(stream, name, ',')) {
        const auto which = parseName(name);
        if (!which) {
            continue;
        }
        const bool known = std::any_of(list.running.begin(), list.running.end(),
                                       [&](const auto &entry) { return entry.first == *which; });
        if (!known) {
            list.running.emplace_back(*which, 1); // the metric names adapters, not how many calls
        }
    }
}

std::optional<std::uint64_t> incarnationOf(const std::string &metrics)
{
    const auto started = metricValue(metrics, "process_start_time_seconds");
    if (!started) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*started * millisecondsPerSecond);
}

std::size_t countEvents(std::string_view answer)
{
    std::size_t events = 0;
    for (auto at = answer.find("data: "); at != std::string_view::npos; at = answer.find("data: ", at + 1)) {
        ++events;
    }
    return events;
}

} // namespace

ModelEngine::ModelEngine(std::uint32_t batchLimit)
    : batchLimit_(std::max<std::uint32_t>(1, batchLimit))
{
}

EndpointRequest ModelEngine::call(const wire::CallRequest &call) const
{
    EndpointRequest request;
    request.method = call.method();
    request.target = call.path();
    for (const auto &header : call.headers()) {
        request.headers.emplace_back(header.name(), header.value());
    }
    const AdapterVersion which{call.adapter(), call.version()};
    // The engine orders by priority, lower first: the operators' class, whatever the caller wrote.
    request.body = rewriteModelCall(call.body(), which.text(), static_cast<int>(call.call_class()));
    return request;
}

EndpointRequest ModelEngine::order(const SendOrder &order) const
{
    EndpointRequest request;
    request.method = "POST";
    Poco::JSON::Object body;
    body.set("lora_name", nameOf(order));
    if (order.kind == OrderKind::Load) {
        request.target = "/v1/load_lora_adapter";
        body.set("lora_path", order.weights);
    } else {
        request.target = "/v1/unload_lora_adapter";
    }
    request.headers = {{"Content-Type", "application/json"}, {"X-Fencing-Token", std::to_string(order.fence)}};
    std::ostringstream text;
    body.stringify(text);
    request.body = text.str();
    request.freshConnection = true; // so that "not sent" and "reply lost" are told apart
    return request;
}

OrderOutcome ModelEngine::orderOutcome(const SendOrder &order, std::uint32_t status, const std::string &body) const
{
    if (status == statusFencedOff) {
        return OrderOutcome::FencedOff;
    }
    const bool absent = order.kind != OrderKind::Load && status == statusNotFound;
    const bool present =
        order.kind == OrderKind::Load && status == statusBadRequest && body.find("already") != std::string::npos;
    if (status == statusOk || absent || present) {
        return OrderOutcome::Done;
    }
    const bool refused = status == statusTooMany || status == statusUnavailable || status == statusBadRequest
                         || status == statusConflict;
    return refused ? OrderOutcome::Refused : OrderOutcome::Failed;
}

EndpointRequest ModelEngine::listRequest() const
{
    EndpointRequest request;
    request.target = "/v1/models";
    request.freshConnection = true;
    return request;
}

EndpointRequest ModelEngine::reportRequest() const
{
    EndpointRequest request;
    request.target = "/metrics";
    request.freshConnection = true;
    return request;
}

std::optional<EngineList> ModelEngine::readList(const std::string &models, const std::string &metrics) const
{
    EngineList list;
    const auto incarnation = incarnationOf(metrics);
    if (!incarnation) {
        return std::nullopt;
    }
    list.incarnation = *incarnation;
    try {
        Poco::JSON::Parser parser;
        const auto root = parser.parse(models).extract<Poco::JSON::Object::Ptr>();
        const auto data = root->getArray("data");
        if (data.isNull()) {
            return std::nullopt;
        }
        for (unsigned i = 0; i < data->size(); ++i) {
            const auto which = parseName(data->getObject(i)->getValue<std::string>("id"));
            if (which) {
                list.loaded.push_back(*which);
            }
        }
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    addRunning(list, metricLabel(metrics, "vllm:lora_requests_info", "running_lora_adapters"));
    addRunning(list, metricLabel(metrics, "vllm:lora_requests_info", "waiting_lora_adapters"));
    return list;
}

std::optional<EngineReport> ModelEngine::readReport(const std::string &metrics) const
{
    const auto incarnation = incarnationOf(metrics);
    if (!incarnation) {
        return std::nullopt;
    }
    EngineReport report;
    report.incarnation = *incarnation;
    report.running = static_cast<std::uint32_t>(metricValue(metrics, "vllm:num_requests_running").value_or(0));
    report.waiting = static_cast<std::uint32_t>(metricValue(metrics, "vllm:num_requests_waiting").value_or(0));
    report.stepFillPermille = std::min(permille, report.running * permille / batchLimit_);
    return report;
}

std::uint32_t ModelEngine::generatedTokens(const std::string &answer) const
{
    constexpr std::string_view key = "\"completion_tokens\":";
    const auto at = answer.rfind(key);
    if (at == std::string::npos) {
        return static_cast<std::uint32_t>(countEvents(answer)); // a stream without usage: about one token an event
    }
    const auto digits = answer.find_first_not_of(' ', at + key.size());
    std::uint32_t tokens = 0;
    if (digits != std::string::npos) {
        std::from_chars(answer.data() + digits, answer.data() + answer.size(), tokens);
    }
    return tokens;
}

} // namespace anvilscale
