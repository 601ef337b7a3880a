// Encodes requests to a model engine and parses its responses.
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

constexpr std::string_view fenceAdapterName = "anvilscale-fence"; // reserved, never an adapter name
constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusConflict = 409;
constexpr std::uint32_t statusPreconditionFailed = 412;
constexpr std::uint32_t statusTooManyRequests = 429;
constexpr std::uint32_t statusServiceUnavailable = 503;
constexpr double millisecondsPerSecond = 1000.0;
constexpr std::uint32_t permille = 1000;

std::string adapterNameOf(const SendOrder &order)
{
    return order.kind == OrderKind::Fence ? std::string(fenceAdapterName) : order.adapterVersion.text();
}

/// Value of a metric's first sample in the Prometheus text format.
std::optional<double> metricValue(std::string_view text, std::string_view name)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const auto end = std::min(text.find('\n', at), text.size());
        const auto line = text.substr(at, end - at);
        at = end + 1;
        const bool isMatch = line.starts_with(name) && line.size() > name.size()
                             && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (!isMatch) {
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

/// Label value of a metric's last sample. vLLM keeps outdated samples of info metrics before it.
std::string metricLabelValue(std::string_view text, std::string_view name, std::string_view label)
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

std::optional<AdapterVersion> parseAdapterName(std::string_view name)
{
    const auto at = name.rfind('@');
    if (at == std::string_view::npos || at == 0) {
        return std::nullopt; // the base model
    }
    return AdapterVersion{std::string(name.substr(0, at)), std::string(name.substr(at + 1))};
}

void addRunningAdapters(EngineList &list, const std::string &names)
{
    std::istringstream stream(names);
    std::string name;
    while (std::getline(stream, name, ',')) {
        const auto version = parseAdapterName(name);
        if (!version) {
            continue;
        }
        const bool isListed = std::any_of(list.running.begin(), list.running.end(),
                                          [&](const auto &entry) { return entry.first == *version; });
        if (!isListed) {
            list.running.emplace_back(*version, 1); // the metric lists adapters without call counts
        }
    }
}

std::optional<std::uint64_t> parseIncarnation(const std::string &metrics)
{
    const auto startSeconds = metricValue(metrics, "process_start_time_seconds");
    if (!startSeconds) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*startSeconds * millisecondsPerSecond);
}

std::size_t countStreamEvents(std::string_view answer)
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

EndpointRequest ModelEngine::callRequest(const wire::CallRequest &call) const
{
    EndpointRequest request;
    request.method = call.method();
    request.target = call.path();
    for (const auto &header : call.headers()) {
        request.headers.emplace_back(header.name(), header.value());
    }
    const AdapterVersion version{call.adapter(), call.version()};
    // The engine schedules lower priorities first. The configured call class overrides the caller's value.
    request.body = rewriteModelCall(call.body(), version.text(), static_cast<int>(call.call_class()));
    return request;
}

EndpointRequest ModelEngine::orderRequest(const SendOrder &order) const
{
    EndpointRequest request;
    request.method = "POST";
    Poco::JSON::Object body;
    body.set("lora_name", adapterNameOf(order));
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
    request.needsNewConnection = true; // distinguishes "not sent" from "reply lost"
    return request;
}

OrderOutcome ModelEngine::parseOrderOutcome(const SendOrder &order, std::uint32_t status, const std::string &body) const
{
    if (status == statusPreconditionFailed) {
        return OrderOutcome::FencedOff;
    }
    const bool isAlreadyAbsent = order.kind != OrderKind::Load && status == statusNotFound;
    const bool isAlreadyLoaded =
        order.kind == OrderKind::Load && status == statusBadRequest && body.find("already") != std::string::npos;
    if (status == statusOk || isAlreadyAbsent || isAlreadyLoaded) {
        return OrderOutcome::Done;
    }
    const bool isRefused = status == statusTooManyRequests || status == statusServiceUnavailable
                           || status == statusBadRequest || status == statusConflict;
    return isRefused ? OrderOutcome::Refused : OrderOutcome::Failed;
}

EndpointRequest ModelEngine::listRequest() const
{
    EndpointRequest request;
    request.target = "/v1/models";
    request.needsNewConnection = true;
    return request;
}

EndpointRequest ModelEngine::reportRequest() const
{
    EndpointRequest request;
    request.target = "/metrics";
    request.needsNewConnection = true;
    return request;
}

std::optional<EngineList> ModelEngine::parseList(const std::string &models, const std::string &metrics) const
{
    EngineList list;
    const auto incarnation = parseIncarnation(metrics);
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
            const auto version = parseAdapterName(data->getObject(i)->getValue<std::string>("id"));
            if (version) {
                list.loaded.push_back(*version);
            }
        }
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    addRunningAdapters(list, metricLabelValue(metrics, "vllm:lora_requests_info", "running_lora_adapters"));
    addRunningAdapters(list, metricLabelValue(metrics, "vllm:lora_requests_info", "waiting_lora_adapters"));
    return list;
}

std::optional<EngineReport> ModelEngine::parseReport(const std::string &metrics) const
{
    const auto incarnation = parseIncarnation(metrics);
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
        return static_cast<std::uint32_t>(
            countStreamEvents(answer)); // stream without usage data: about one token per event
    }
    const auto digits = answer.find_first_not_of(' ', at + key.size());
    std::uint32_t tokens = 0;
    if (digits != std::string::npos) {
        std::from_chars(answer.data() + digits, answer.data() + answer.size(), tokens);
    }
    return tokens;
}

} // namespace anvilscale
