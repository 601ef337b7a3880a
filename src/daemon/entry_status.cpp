// EntryDaemon: metrics and replies to the operator tool.
#include "entry_daemon.h"
#include "wire.pb.h"

#include <Poco/JSON/Array.h>

namespace anvilscale {

void EntryDaemon::onStatusRequest(PeerHandle peer, const wire::StatusRequest &request, Now now)
{
    wire::Envelope message;
    auto &reply = *message.mutable_status_reply();
    reply.mutable_from()->set_name(settings_.name());
    reply.mutable_from()->set_incarnation(incarnation_);
    if (request.what() == "explain") {
        reply.set_json(explainJson(request.argument(), now));
    } else {
        reply.set_json(statusJson());
    }
    messenger_->sendTo(peer, message);
}

std::string EntryDaemon::statusJson() const
{
    const auto &stats = decisions_->stats();
    Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("role", "entry");
    root.set("name", settings_.name());
    root.set("incarnation", hexText(incarnation_));
    root.set("dataCentre", settings_.data_centre());
    root.set("region", settings_.region());
    root.set("ready", isReady_.load());
    root.set("draining", isDraining_.load());
    root.set("revision", config_.revision());
    root.set("digest", hexText(config_.digest()));
    root.set("stale", configDistributor_->isStale());
    root.set("watching", configDistributor_->isWatching());
    root.set("keyValueDown", kvMux_->isDown());
    root.set("lease", std::string(toString(lease_ ? lease_->state() : LeaseState::None)));
    root.set("fence", lease_ ? lease_->fence() : 0);
    root.set("openCalls", stats.openCalls);
    root.set("calls", stats.calls);
    root.set("finished", stats.finishedCalls);
    root.set("attempts", stats.attempts);
    Poco::JSON::Array members;
    for (const auto &member : membership_->members()) {
        Poco::JSON::Object entry(Poco::JSON_PRESERVE_KEY_ORDER);
        entry.set("name", member.name);
        entry.set("role", std::string(toString(member.role)));
        entry.set("state", std::string(toString(member.state)));
        entry.set("incarnation", hexText(member.incarnation));
        entry.set("dataCentre", member.dataCentre);
        entry.set("address", member.address);
        members.add(entry);
    }
    root.set("members", members);
    return toJsonText(root);
}

std::string EntryDaemon::explainJson(const std::string &route, Now now) const
{
    const auto explanation = decisions_->explain(route, now);
    const auto list = [](const std::vector<std::string> &names) {
        Poco::JSON::Array array;
        for (const auto &name : names) {
            array.add(name);
        }
        return array;
    };
    Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("route", route);
    root.set("known", explanation.isKnown);
    root.set("adapter", explanation.target.adapter);
    root.set("version", explanation.target.version);
    root.set("revision", explanation.revision);
    root.set("resident", list(explanation.resident));
    root.set("loading", list(explanation.loading));
    root.set("choice", explanation.chosenSidecar);
    root.set("refusal", std::string(toString(explanation.refusal)));
    return toJsonText(root);
}

std::string EntryDaemon::metrics() const
{
    const auto &stats = decisions_->stats();
    auto refusals = stats.refusals;
    for (std::size_t i = 0; i < enumCount<RefusalReason>; ++i) {
        refusals.add(static_cast<RefusalReason>(i), localRefusals_.of(static_cast<RefusalReason>(i)));
    }
    MetricsText text;
    text.counters("anvilscale_refusals_total", "calls turned away by reason", "reason", refusals);
    text.counters("anvilscale_retries_total", "further attempts by reason", "reason", stats.retries);
    text.counters("anvilscale_verdicts_total", "errors told to callers by verdict", "verdict", stats.verdicts);
    text.counters("anvilscale_failures_total", "failed calls by reason", "reason", stats.failures);
    text.counter("anvilscale_calls_total", "calls taken", stats.calls);
    text.counter("anvilscale_calls_finished_total", "calls answered whole", stats.finishedCalls);
    text.counter("anvilscale_attempts_total", "attempts sent to sidecars", stats.attempts);
    text.counter("anvilscale_frames_dropped_total", "frames that matched no open attempt", stats.droppedFrames);
    text.counter("anvilscale_answers_broken_total", "answers whose end did not agree with their frames",
                 stats.brokenAnswers);
    text.gauge("anvilscale_calls_open", "calls in progress", stats.openCalls);
    text.add(stallSeconds_);
    text.add(stepFill_);
    if (scheduler_) {
        const auto &scheduled = scheduler_->stats();
        text.counter("anvilscale_load_grants_total", "loads granted", scheduled.grants);
        text.counter("anvilscale_load_grants_done_total", "granted loads that were done", scheduled.done);
        text.counter("anvilscale_load_grants_expired_total", "grants that expired", scheduled.expired);
        text.counter("anvilscale_load_store_refusals_total", "loads that the weight store refused",
                     scheduled.storeRefusals);
        text.gauge("anvilscale_load_demands", "loads that are asked for", scheduled.demands);
    }
    text.gauge("anvilscale_scheduler", "1 while this entry orders the loads", isLeaseHeld_ ? 1 : 0);
    appendConfigMetrics(text, config_, *configDistributor_, kvMux_->isDown());
    appendMessengerMetrics(text, messenger_->stats());
    appendHttpMetrics(text, http_->stats());
    appendKvMetrics(text, gateway_->stats());
    text.counter("anvilscale_control_events_total", "events handled by the control thread", control_.handledEvents());
    appendLogMetrics(text);
    return text.text();
}

} // namespace anvilscale
