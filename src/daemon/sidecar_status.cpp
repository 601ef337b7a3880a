// SidecarDaemon: health, metrics and replies to the operator tool.
#include "caller_reply.h"
#include "sidecar_daemon.h"
#include "wire.pb.h"

#include <Poco/JSON/Array.h>

namespace anvilscale {

void SidecarDaemon::onHttpRequest(HttpExchange exchange, const HttpRequestData &request)
{
    if (request.method != "GET") {
        http_->reply(exchange, jsonReply(405, R"({"error":"only GET"})"));
        return;
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/healthz") {
        http_->reply(exchange, jsonReply(200, R"({"healthy":true})"));
        return;
    }
    if (path != "/readyz" && path != "/metrics") {
        http_->reply(exchange, jsonReply(404, R"({"error":"there is nothing at this path"})"));
        return;
    }
    control_.post([this, exchange, path](Now) {
        if (path == "/metrics") {
            http_->reply(exchange, HttpReply{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics(), false});
            return;
        }
        const bool ready = !isDraining_ && !isEndpointDown_ && !configDistributor_->isEmpty();
        http_->reply(exchange, jsonReply(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
    });
}

void SidecarDaemon::onStatusRequest(PeerHandle peer, const wire::StatusRequest &request)
{
    wire::Envelope message;
    auto &reply = *message.mutable_status_reply();
    reply.mutable_from()->set_name(settings_.name());
    reply.mutable_from()->set_incarnation(incarnation_);
    reply.set_json(request.what() == "adapters" ? adaptersJson() : statusJson());
    messenger_->sendTo(peer, message);
}

std::string SidecarDaemon::statusJson() const
{
    const auto &stats = decisions_->stats();
    Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("role", "sidecar");
    root.set("name", settings_.name());
    root.set("incarnation", hexText(incarnation_));
    root.set("dataCentre", settings_.data_centre());
    root.set("region", settings_.region());
    root.set("draining", isDraining_.load());
    root.set("revision", config_.revision());
    root.set("digest", hexText(config_.digest()));
    root.set("stale", configDistributor_->isStale());
    root.set("keyValueDown", kvMux_->isDown());
    root.set("endpointKind", settings_.sidecar().endpoint_kind());
    root.set("endpointDown", isEndpointDown_);
    root.set("endpointIncarnation", endpointIncarnation_);
    root.set("running", stats.running);
    root.set("queued", stats.queued);
    root.set("resident", stats.resident);
    root.set("executions", stats.executions);
    root.set("loads", stats.loads);
    root.set("evictions", stats.evictions);
    root.set("stalledCalls", stats.stalledCalls);
    return toJsonText(root);
}

std::string SidecarDaemon::adaptersJson() const
{
    Poco::JSON::Array adapters;
    for (const auto &state : decisions_->adapters()) {
        Poco::JSON::Object entry(Poco::JSON_PRESERVE_KEY_ORDER);
        entry.set("adapter", state.adapter());
        entry.set("version", state.version());
        entry.set("state", std::string(toString(fromWire(state.state(), ResidencyState::Unknown))));
        entry.set("pins", state.pins());
        entry.set("waiting", state.waiting());
        adapters.add(entry);
    }
    Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("name", settings_.name());
    root.set("adapters", adapters);
    return toJsonText(root);
}

std::string SidecarDaemon::metrics() const
{
    const auto &stats = decisions_->stats();
    MetricsText text;
    text.counters("anvilscale_refusals_total", "calls turned away by reason", "reason", stats.refusals);
    text.counters("anvilscale_orders_total", "orders to the endpoint by outcome", "outcome", stats.orders);
    text.counter("anvilscale_executions_total", "calls started at the endpoint", stats.executions);
    text.counter("anvilscale_attached_total", "repeats that joined a running call", stats.attached);
    text.counter("anvilscale_replayed_total", "repeats that were given a kept answer", stats.replayed);
    text.counter("anvilscale_loads_total", "adapter loads", stats.loads);
    text.counter("anvilscale_reloads_total", "loads of a version that had been evicted", stats.reloads);
    text.counter("anvilscale_evictions_total", "adapters unloaded", stats.evictions);
    text.counter("anvilscale_stalled_calls_total", "calls that waited for their adapter", stats.stalledCalls);
    text.gauge("anvilscale_stall_seconds_total", "time that calls waited for their adapter",
               static_cast<double>(stats.stallTotal.count()) / 1e6);
    text.gauge("anvilscale_running", "calls at the endpoint", stats.running);
    text.gauge("anvilscale_queued", "calls that wait", stats.queued);
    text.gauge("anvilscale_resident", "adapters resident", stats.resident);
    text.counter("anvilscale_decisions_dropped_total", "messages that the decisions dropped", stats.droppedMessages);
    text.add(stepFill_);
    const auto endpoint = endpoint_->stats();
    text.counter("anvilscale_endpoint_requests_total", "requests to the endpoint", endpoint.requests);
    text.counter("anvilscale_endpoint_connections_total", "connections to the endpoint", endpoint.connections);
    text.counter("anvilscale_endpoint_connect_failures_total", "connections that were refused",
                 endpoint.connectFailures);
    text.counter("anvilscale_endpoint_broken_total", "answers of the endpoint that broke off", endpoint.brokenAnswers);
    text.counter("anvilscale_endpoint_cancels_total", "calls cancelled at the endpoint", endpoint.cancels);
    text.counter("anvilscale_endpoint_cancels_unconfirmed_total", "cancels that the endpoint did not confirm at once",
                 endpoint.unconfirmedCancels);
    text.counter("anvilscale_endpoint_report_failures_total", "reports that could not be read",
                 endpoint.reportFailures);
    appendConfigMetrics(text, config_, *configDistributor_, kvMux_->isDown());
    appendMessengerMetrics(text, messenger_->stats());
    appendHttpMetrics(text, http_->stats());
    appendKvMetrics(text, gateway_->stats());
    text.counter("anvilscale_control_events_total", "events handled by the control thread", control_.handledEvents());
    appendLogMetrics(text);
    return text.text();
}

} // namespace anvilscale
