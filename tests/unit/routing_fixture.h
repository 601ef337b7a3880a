// Fixture for entry decisions: virtual clock, scripted sidecar messages, collected actions.
#pragma once

#include "config.pb.h"

#include "anvilscale/routing.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilscale::test {

inline void addRecord(config::Delta &delta, const std::string &kind, const std::string &name, const std::string &body)
{
    auto &change = *delta.add_changes();
    change.set_kind(kind);
    change.set_name(name);
    change.set_json(R"({"schemaVersion":2,"name":")" + name + "\"," + body + "}");
}

inline void addRoute(config::Delta &delta, const std::string &name, const std::string &version)
{
    addRecord(delta, "route", name,
              R"("route":{"adapter":"lounge","version":")" + version + R"(","deadlineMs":10000})");
}

/// Configures adapter lounge@1 and @2, route "desk" to version 1, and services "count" (not idempotent) and "check".
inline void fillStore(ConfigStore &store)
{
    config::Delta delta;
    delta.set_revision(1);
    delta.set_change_id("first");
    addRecord(delta, "adapter", "lounge",
              R"("adapter":{"baseModel":"base","versions":[{"name":"1","weights":"w1"},{"name":"2","weights":"w2"}]})");
    addRoute(delta, "desk", "1");
    addRecord(delta, "service", "count", R"("service":{"idempotent":false,"deadlineMs":10000})");
    addRecord(delta, "service", "check", R"("service":{"idempotent":true,"deadlineMs":10000})");
    static_cast<void>(store.apply(delta));
}

template<class Entry>
struct EntryFixture
{
    ConfigStore store;
    TimerService timers;
    Now now{TimePoint(Seconds(1000)), WallTime{1'700'000'000'000}};
    std::unique_ptr<Entry> entry;
    std::vector<SendToSidecar> sent; ///< call requests only
    std::size_t cancels = 0;
    std::size_t fullReportRequests = 0; ///< Hello messages that request a full report
    std::map<std::uint64_t, std::string> answers; ///< answer data by call
    std::map<std::uint64_t, int> endCounts; ///< number of FinishCall and FailCall actions by call
    std::map<std::uint64_t, CallError> errors;
    std::map<std::string, std::uint64_t> sequences;

    explicit EntryFixture(EntrySafeguards safeguards = {})
    {
        fillStore(store);
        EntryInit init;
        init.name = "entry";
        init.incarnation = 7;
        init.dataCentre = "hall-east";
        init.config = &store;
        init.timers = &timers;
        init.safeguards = safeguards;
        entry = std::make_unique<Entry>(init);
    }
    void collectActions()
    {
        for (auto &action : entry->takeActions()) {
            std::visit(Overloaded{[&](SendToSidecar &send) {
                                      cancels += send.message.has_call_cancel() ? 1 : 0;
                                      fullReportRequests +=
                                          send.message.has_hello() && send.message.hello().want_full() ? 1 : 0;
                                      if (send.message.has_call_request()) {
                                          sent.push_back(std::move(send));
                                      }
                                  },
                                  [&](DeliverFrame &frame) { answers[frame.call.value] += frame.data; },
                                  [&](FinishCall &finish) { ++endCounts[finish.call.value]; },
                                  [&](FailCall &fail) {
                                      ++endCounts[fail.call.value];
                                      errors[fail.call.value] = fail.error;
                                  }},
                       action);
        }
    }
    void advance(Duration by)
    {
        now.mono += by;
        timers.advance(now.mono);
        collectActions();
    }
    wire::Heartbeat makeReport(const std::string &sidecar, const std::vector<std::string> &versions,
                               std::uint64_t incarnation = 1)
    {
        wire::Heartbeat out;
        out.mutable_from()->set_name(sidecar);
        out.mutable_from()->set_incarnation(incarnation);
        out.set_data_centre("hall-east");
        out.set_base_model("base");
        out.add_services("count");
        out.add_services("check");
        out.set_full(true);
        out.set_admitting(true);
        out.set_sequence(++sequences[sidecar]);
        out.set_slots(4);
        out.set_batch_limit(16);
        for (const auto &version : versions) {
            auto &adapter = *out.add_adapters();
            adapter.set_adapter("lounge");
            adapter.set_version(version);
            adapter.set_state(static_cast<std::uint32_t>(ResidencyState::Resident));
        }
        return out;
    }
    void receiveReport(const wire::Heartbeat &heartbeat)
    {
        wire::Envelope message;
        message.set_protocol(wireProtocol);
        *message.mutable_heartbeat() = heartbeat;
        entry->onMessage(heartbeat.from().name(), message, now);
        collectActions();
    }
    /// Delivers a beat with the next sequence number of the sidecar.
    void receiveBeat(const std::string &sidecar, std::uint32_t queued, std::uint64_t incarnation = 1)
    {
        wire::Envelope message;
        message.set_protocol(wireProtocol);
        auto &beat = *message.mutable_beat();
        beat.set_incarnation_tag(static_cast<std::uint32_t>(incarnation));
        beat.set_sequence(++sequences[sidecar]);
        beat.set_queued(queued);
        entry->onMessage(sidecar, message, now);
        collectActions();
    }
    void startCall(std::uint64_t handle, const std::string &service = "", const std::string &key = "",
                   bool stream = false)
    {
        CallerRequest request;
        request.route = service.empty() ? "desk" : "";
        request.service = service;
        request.key = key;
        request.isStreaming = stream;
        request.method = "POST";
        entry->onCall(CallHandle{handle}, request, now);
        collectActions();
    }
    void receiveMessage(const std::string &sidecar, wire::Envelope message)
    {
        message.set_protocol(wireProtocol);
        entry->onMessage(sidecar, message, now);
        collectActions();
    }
    void receiveFrame(const std::string &sidecar, const wire::AttemptId &id, std::uint32_t sequence,
                      const std::string &data)
    {
        wire::Envelope message;
        *message.mutable_call_frame()->mutable_id() = id;
        message.mutable_call_frame()->set_sequence(sequence);
        message.mutable_call_frame()->set_status(sequence == 0 ? 200 : 0);
        message.mutable_call_frame()->set_data(data);
        receiveMessage(sidecar, message);
    }
    void receiveEnd(const std::string &sidecar, const wire::AttemptId &id, std::uint32_t frames,
                    const std::string &data, CallOutcome outcome = CallOutcome::Complete,
                    FailureReason failure = FailureReason::None)
    {
        wire::Envelope message;
        auto &out = *message.mutable_call_end();
        *out.mutable_id() = id;
        out.set_frames(frames);
        Digest digest;
        digest.add(data);
        out.set_digest(digest.value());
        out.set_outcome(static_cast<std::uint32_t>(outcome));
        out.set_failure(static_cast<std::uint32_t>(failure));
        receiveMessage(sidecar, message);
    }
    void receiveRefusal(const std::string &sidecar, const wire::AttemptId &id, RefusalReason reason, bool proved,
                        std::uint64_t revision = 1)
    {
        wire::Envelope message;
        auto &out = *message.mutable_call_refused();
        *out.mutable_id() = id;
        out.set_reason(static_cast<std::uint32_t>(reason));
        out.set_proved_not_run(proved);
        out.set_config_revision(revision);
        out.set_retry_after_us(1'500'000);
        receiveMessage(sidecar, message);
    }
    wire::AttemptId attemptId(std::size_t index) const
    {
        return sent.at(index).message.call_request().id();
    }
    void updateMember(const std::string &name, MemberState state, std::uint64_t incarnation = 1)
    {
        Member out;
        out.name = name;
        out.incarnation = incarnation;
        out.state = state;
        out.dataCentre = "hall-east";
        entry->onMember(out, now);
        collectActions();
    }
    void updateSlotTable(std::uint64_t revision, const std::string &owner, std::uint64_t fence)
    {
        config::SlotTable table;
        table.set_service("count");
        table.set_table_revision(revision);
        auto &range = *table.add_ranges();
        range.set_count(1024);
        range.set_owner(owner);
        range.set_owner_incarnation(1);
        range.set_fence(fence);
        entry->onSlotTable(table, now);
        collectActions();
    }
};

} // namespace anvilscale::test
