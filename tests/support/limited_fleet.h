// Entries with calls to plain endpoints, one of which limits the calls of all entries together. Pools at sidecars,
// links with delays, in virtual time. Seeded, so that every run repeats.
#pragma once

#include "anvilscale/direct.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace anvilscale::test {

struct LimitedFleetShape
{
    std::uint32_t entries = 6;
    std::uint32_t endpoints = 3;
    std::uint32_t sidecars = 4;
    double callsPerSecond = 9; // of all entries together
    std::uint64_t seed = 1;
};

class LimitedFleet
{
public:
    explicit LimitedFleet(const LimitedFleetShape &shape)
        : shape_(shape)
        , random_(shape.seed)
        , sidecars_(shape.sidecars, AllowancePools(endpointLimitTimes()))
    {
        for (std::uint32_t i = 0; i < shape_.entries; ++i) {
            entries_.push_back(makeEntry("entry-" + std::to_string(i)));
        }
    }

    /// The first endpoint names this limit from now on, or none.
    void setLimit(std::optional<double> requestsPerSecond)
    {
        limit_ = requestsPerSecond;
        limitedSince_ = now_;
    }
    /// All entries lose their connections to the sidecar.
    void stopSidecar(std::uint32_t index)
    {
        stoppedSidecars_.insert(index);
        for (auto &entry : entries_) {
            entry->calls.onSidecarLost(sidecarAddress(index), now_);
        }
    }
    /// Steps of one millisecond.
    void advance(Duration span)
    {
        for (const auto end = now_ + span; now_ < end;) {
            now_ += Milliseconds(1);
            startCalls();
            const auto due = events_.upper_bound(now_);
            std::vector<std::function<void()>> handlers;
            for (auto event = events_.begin(); event != due; event = events_.erase(event)) {
                handlers.push_back(std::move(event->second));
            }
            for (const auto &handler : handlers) {
                handler();
            }
            for (std::uint32_t i = 0; i < shape_.entries; ++i) {
                tick(i);
            }
        }
    }
    TimePoint now() const
    {
        return now_;
    }
    /// Calls that reached the first endpoint in the last `span`.
    std::size_t arrivalsWithin(Duration span) const
    {
        return countArrivals(now_ - span, [](const Arrival &) { return true; });
    }
    /// Calls that arrived anywhere in the last `span`.
    std::size_t callsWithin(Duration span) const
    {
        return static_cast<std::size_t>(
            std::count_if(sentAt_.begin(), sentAt_.end(), [&](TimePoint at) { return at > now_ - span; }));
    }

    std::size_t worstExcess = 0; // calls beyond those that the endpoint tolerates, in the worst window
    std::size_t refusals = 0;
    std::size_t notAnswered = 0; // calls that ended otherwise than answered or refused

private:
    struct Entry
    {
        explicit Entry(DirectCallsInit init)
            : calls(std::move(init))
        {
        }
        DirectCalls calls;
        TimePoint nextTickAt{};
        std::optional<TimePoint> toldAt{}; // first answer with a limit that it has passed on
        std::uint64_t lastCall = 0;
    };
    struct Arrival
    {
        TimePoint at;
        std::uint32_t entry = 0;
    };
    static constexpr const char *service = "plain";
    static constexpr const char *engines = "engines";

    static std::string sidecarAddress(std::uint32_t index)
    {
        return "10.0.1." + std::to_string(index + 1) + ":80";
    }
    static EndpointRecord makeRecord(const std::string &id, const char *ofService, const std::string &address)
    {
        EndpointRecord record;
        record.id = id;
        record.service = ofService;
        record.address = address;
        record.dataCentre = "dc";
        record.slots = 4;
        return record;
    }
    std::unique_ptr<Entry> makeEntry(const std::string &name)
    {
        DirectCallsInit init;
        init.entryName = name;
        init.dataCentre = "dc";
        auto entry = std::make_unique<Entry>(init);
        DirectConfig config;
        config.version = 1;
        DirectRoute route;
        route.host = "h.example";
        route.prefix = "/n/";
        route.timeout = Seconds(5);
        route.objective = Seconds(1);
        route.services = {{service, 1}};
        config.routes = {route};
        DirectService plainEndpoints;
        plainEndpoints.name = service;
        DirectService withEngines;
        withEngines.name = engines;
        withEngines.engine = EngineLimits{2, 1000, {{"base", 800, 50}}};
        config.services = {plainEndpoints, withEngines};
        entry->calls.applyConfig(config, now_);
        for (std::uint32_t i = 0; i < shape_.endpoints; ++i) {
            const auto number = std::to_string(i + 1);
            entry->calls.applyEndpoint(makeRecord("p-" + number, service, "10.0.0." + number + ":80"), now_);
        }
        for (std::uint32_t i = 0; i < shape_.sidecars; ++i) {
            entry->calls.applyEndpoint(makeRecord("e-" + std::to_string(i + 1), engines, sidecarAddress(i)), now_);
        }
        return entry;
    }
    void after(Duration delay, std::function<void()> handler)
    {
        events_.emplace(now_ + delay, std::move(handler));
    }
    Duration linkDelay()
    {
        return Milliseconds(1 + static_cast<std::int64_t>(random_.uniformBelow(4)));
    }
    void startCalls()
    {
        constexpr double stepSeconds = 0.001;
        if (random_.uniform() >= shape_.callsPerSecond * stepSeconds) {
            return;
        }
        const auto index = static_cast<std::uint32_t>(random_.uniformBelow(shape_.entries));
        auto &entry = *entries_[index];
        CallInfo info;
        info.requestId = std::to_string(index) + "-" + std::to_string(++entry.lastCall);
        info.host = "h.example";
        info.path = "/n/x";
        info.callerTimeout = Seconds(2);
        sentAt_.push_back(now_);
        entry.calls.onCall(CallHandle{entry.lastCall}, info, now_);
        perform(index);
    }
    void tick(std::uint32_t index)
    {
        auto &entry = *entries_[index];
        if (now_ < entry.nextTickAt) {
            return;
        }
        entry.nextTickAt = now_ + directTickInterval;
        for (std::uint32_t i = 0; i < shape_.sidecars; ++i) {
            if (stoppedSidecars_.count(i) == 0) {
                wire::DirectState state;
                state.add_models("base");
                state.set_reachable(true);
                entry.calls.applyState(sidecarAddress(i), state, now_);
            }
        }
        entry.calls.tick(now_);
        perform(index);
    }
    void perform(std::uint32_t index)
    {
        auto &calls = entries_[index]->calls;
        for (const auto &action : calls.takeActions()) {
            if (const auto *send = std::get_if<SendCall>(&action)) {
                after(linkDelay(), [this, index, send = *send] { arrive(index, send); });
            } else if (const auto *ask = std::get_if<AskAllowance>(&action)) {
                after(linkDelay(), [this, index, ask = *ask] { askPool(index, ask); });
            } else if (const auto *report = std::get_if<ReportLimit>(&action)) {
                relay(index, report->limit);
            } else if (std::get_if<RefuseCall>(&action) != nullptr) {
                ++refusals;
            }
        }
        for (const auto &ended : calls.takeEnded()) {
            notAnswered += ended.outcome == EndedOutcome::Answered || ended.outcome == EndedOutcome::Refused ? 0 : 1;
        }
    }
    void askPool(std::uint32_t index, const AskAllowance &ask)
    {
        for (std::uint32_t i = 0; i < shape_.sidecars; ++i) {
            if (sidecarAddress(i) == ask.address && stoppedSidecars_.count(i) == 0) {
                after(linkDelay(), [this, index, ask, answer = sidecars_[i].answer(ask.ask, now_)] {
                    entries_[index]->calls.onAllowanceAnswer(ask.address, answer, now_);
                    perform(index);
                });
            }
        }
    }
    void relay(std::uint32_t source, const wire::EndpointLimit &limit)
    {
        for (std::uint32_t i = 0; i < shape_.entries; ++i) {
            if (i != source) {
                after(linkDelay() + linkDelay(), [this, i, limit] {
                    entries_[i]->calls.applyEndpointLimit(limit, now_);
                    perform(i);
                });
            }
        }
    }
    void arrive(std::uint32_t index, const SendCall &send)
    {
        const bool isFirst = send.endpointId == "p-1";
        if (isFirst) {
            arrivals_.push_back({now_, index});
            judge();
        }
        const auto runTime = Milliseconds(20 + static_cast<std::int64_t>(random_.uniformBelow(100)));
        after(runTime, [this, index, send, isFirst] { answer(index, send, isFirst); });
    }
    void answer(std::uint32_t index, const SendCall &send, bool isFirst)
    {
        auto &entry = *entries_[index];
        EndpointNotice notice;
        if (isFirst) {
            notice.requestsPerSecond = limit_;
            notice.endsLimit = send.isLimited && !limit_;
        }
        if (limit_ && isFirst && !entry.toldAt) {
            entry.toldAt = now_;
        }
        if (!notice.empty()) {
            entry.calls.onEndpointNotice(send.endpointId, notice, now_);
        }
        entry.calls.onAnswerStarted(send.call, send.attempt, now_);
        AttemptResult result;
        result.end = AttemptEnd::Answered;
        result.status = 200;
        entry.calls.onAttemptEnded(send.call, send.attempt, result, now_);
        perform(index);
    }
    template<class Accepts>
    std::size_t countArrivals(TimePoint since, const Accepts &accepts) const
    {
        return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(), [&](const Arrival &arrival) {
            return arrival.at > since && accepts(arrival);
        }));
    }
    /// Counts the calls of entries that had passed on an answer with the limit, as the endpoint's owner does.
    void judge()
    {
        constexpr Duration grace = Seconds(3);
        constexpr Duration window = Seconds(4);
        constexpr Duration lag = Milliseconds(500);
        constexpr double tolerance = 1.5;
        constexpr double slack = 5;
        if (!limit_ || now_ - limitedSince_ < grace) {
            return;
        }
        const auto isTold = [&](const Arrival &arrival) {
            const auto &told = entries_[arrival.entry]->toldAt;
            return told && now_ - *told >= lag;
        };
        const auto allowed = static_cast<std::size_t>(tolerance * *limit_ * toSeconds(window) + slack);
        const auto got = countArrivals(now_ - window, isTold);
        worstExcess = std::max(worstExcess, got > allowed ? got - allowed : 0);
    }

    LimitedFleetShape shape_;
    Random random_;
    std::vector<AllowancePools> sidecars_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::set<std::uint32_t> stoppedSidecars_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<Arrival> arrivals_; // at the first endpoint
    std::vector<TimePoint> sentAt_; // of all calls
    std::optional<double> limit_; // of the first endpoint
    TimePoint limitedSince_{};
    TimePoint now_{Seconds(100)};
};

} // namespace anvilscale::test
