// Entries and sidecars that share the allowance of one workspace, over links with delays, losses and cuts, in virtual
// time. Seeded, so that every run repeats.
#pragma once

#include "anvilscale/workspace.h"

#include <algorithm>
#include <queue>

namespace anvilscale::test {

struct FleetShape
{
    std::uint32_t entries = 6;
    std::uint32_t sidecars = 4;
    std::uint64_t seed = 1;
    Allowance allowance{1000, 1000, AllowanceUnit::Tokens, 0};
    AllowanceTimes times = allowanceTimes(Seconds(8), 0.1);
};

/// A call that was allowed to run.
struct UsedAllowance
{
    TimePoint at;
    double cost = 0;
};

/// Largest use in any period of length `window`.
inline double largestUse(const std::vector<UsedAllowance> &used, Duration window)
{
    double largest = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto &use : used) {
        sum += use.cost;
        while (use.at - used[first].at > window) {
            sum -= used[first++].cost;
        }
        largest = std::max(largest, sum);
    }
    return largest;
}

class AllowanceFleet
{
public:
    explicit AllowanceFleet(const FleetShape &shape)
        : shape_(shape)
        , random_(shape_.seed)
        , workspace_{"w", {}, std::nullopt, shape_.allowance}
    {
        for (std::uint32_t i = 0; i < shape_.entries; ++i) {
            entries_.push_back(makeEntry(i));
        }
        for (std::uint32_t i = 0; i < shape_.sidecars; ++i) {
            sidecars_.push_back({AllowancePools(shape_.times), TimePoint{}});
        }
    }

    TimePoint now() const
    {
        return now_;
    }
    Random &random()
    {
        return random_;
    }
    void setAllowance(const Allowance &allowance)
    {
        workspace_.allowance = allowance;
        ++configVersion_;
        for (auto &entry : entries_) {
            entry.accounts.applyConfig(configVersion_, false);
        }
    }
    void restartEntry(std::uint32_t index)
    {
        entries_[index] = makeEntry(index);
        entries_[index].generation = ++generation_;
    }
    /// Entries notice a killed sidecar at once and a silent one later.
    void restartSidecar(std::uint32_t index)
    {
        sidecars_[index] = {AllowancePools(shape_.times), TimePoint{}, ++generation_};
        for (auto &entry : entries_) {
            entry.accounts.onPoolLost(address(index));
        }
    }
    void freezeEntry(std::uint32_t index, Duration span)
    {
        entries_[index].frozenUntil = now_ + span;
    }
    void freezeSidecar(std::uint32_t index, Duration span)
    {
        sidecars_[index].frozenUntil = now_ + span;
    }
    /// No message passes between an entry and a sidecar.
    void cut(std::uint32_t entry, std::uint32_t sidecar, Duration span)
    {
        cutUntil_[{entry, sidecar}] = now_ + span;
    }
    void call(std::uint32_t index, double cost)
    {
        auto &entry = entries_[index];
        if (now_ < entry.frozenUntil) {
            return;
        }
        ++calls_;
        const CallHandle handle{++lastCall_};
        entry.costs[handle.value] = cost;
        const auto charge = entry.accounts.charge(workspace_, handle, cost, now_);
        if (charge.result != ChargeResult::Pending) {
            decide(entry, {handle, charge.refusal, charge.retryAfter, charge.creditUntil});
        }
        flush(index);
    }
    /// Steps of one millisecond.
    void advance(Duration span)
    {
        const auto end = now_ + span;
        while (now_ < end) {
            now_ += Milliseconds(1);
            deliver();
            for (std::uint32_t i = 0; i < shape_.entries; ++i) {
                auto &entry = entries_[i];
                if (now_ >= entry.frozenUntil && now_ >= entry.nextTickAt) {
                    tick(i);
                    entry.nextTickAt = now_ + Milliseconds(50);
                }
            }
        }
    }

    std::vector<UsedAllowance> used;
    std::uint64_t overAllowance = 0; // calls refused since the workspace had used its allowance
    std::uint64_t unknown = 0; // calls refused without a pool that could tell
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

private:
    struct Entry
    {
        AllowanceAccounts accounts;
        std::uint64_t generation = 0;
        TimePoint nextTickAt{};
        TimePoint frozenUntil{};
        std::map<std::string, TimePoint> avoidedUntil{};
        std::map<std::uint64_t, double> costs{};
    };
    struct Sidecar
    {
        AllowancePools pools;
        TimePoint frozenUntil{};
        std::uint64_t generation = 0;
    };
    struct Message
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::uint32_t entry = 0;
        std::uint32_t sidecar = 0;
        std::uint64_t generation = 0; // of the receiver when it was sent
        bool isAsk = true;
        wire::AllowanceAsk ask;
        wire::AllowanceAnswer answer;
        bool operator<(const Message &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    static std::string address(std::uint32_t sidecar)
    {
        return "10.0.0." + std::to_string(sidecar) + ":80";
    }
    Entry makeEntry(std::uint32_t index)
    {
        Entry entry{AllowanceAccounts("entry-" + std::to_string(index), shape_.times)};
        entry.accounts.applyConfig(configVersion_, false);
        entry.nextTickAt = now_ + Milliseconds(1 + index % 50);
        return entry;
    }
    bool isCut(std::uint32_t entry, std::uint32_t sidecar) const
    {
        const auto found = cutUntil_.find({entry, sidecar});
        return found != cutUntil_.end() && now_ < found->second;
    }
    Duration delay()
    {
        const bool isSlow = random_.uniformBelow(50) == 0;
        return Milliseconds(1 + random_.uniformBelow(isSlow ? 300 : 3));
    }
    void tick(std::uint32_t index)
    {
        auto &entry = entries_[index];
        entry.accounts.tick(now_);
        for (const auto &silent : entry.accounts.takeSilentPools()) {
            entry.avoidedUntil[silent] = now_ + Seconds(2);
        }
        for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
            std::string best;
            for (std::uint32_t i = 0; i < shape_.sidecars; ++i) {
                if (now_ >= entry.avoidedUntil[address(i)]) {
                    best = address(i);
                    break;
                }
            }
            entry.accounts.setPoolAddress(group, best, now_);
        }
        flush(index);
    }
    void flush(std::uint32_t index)
    {
        auto &entry = entries_[index];
        for (const auto &decision : entry.accounts.takeDecisions()) {
            decide(entry, decision);
        }
        for (auto &request : entry.accounts.takeRequests(now_)) {
            for (std::uint32_t i = 0; i < shape_.sidecars; ++i) {
                if (address(i) == request.address) {
                    post(index, i, true, std::move(request.ask), {}, sidecars_[i].generation);
                    break;
                }
            }
        }
    }
    void post(std::uint32_t entry, std::uint32_t sidecar, bool isAsk, wire::AllowanceAsk ask,
              wire::AllowanceAnswer answer, std::uint64_t generation)
    {
        ++messages;
        bytes += isAsk ? ask.ByteSizeLong() : answer.ByteSizeLong();
        if (isCut(entry, sidecar)) {
            return;
        }
        queue_.push(
            {now_ + delay(), ++lastMessage_, entry, sidecar, generation, isAsk, std::move(ask), std::move(answer)});
    }
    void deliver()
    {
        while (!queue_.empty() && queue_.top().at <= now_) {
            auto message = queue_.top();
            queue_.pop();
            const auto frozenUntil =
                message.isAsk ? sidecars_[message.sidecar].frozenUntil : entries_[message.entry].frozenUntil;
            if (now_ < frozenUntil) {
                message.at = frozenUntil + Milliseconds(1);
                queue_.push(std::move(message));
                continue;
            }
            receive(message);
        }
    }
    void receive(const Message &message)
    {
        auto &entry = entries_[message.entry];
        auto &sidecar = sidecars_[message.sidecar];
        if (message.isAsk && message.generation == sidecar.generation) {
            post(message.entry, message.sidecar, false, {}, sidecar.pools.answer(message.ask, now_), entry.generation);
        } else if (!message.isAsk && message.generation == entry.generation) {
            entry.accounts.onAnswer(address(message.sidecar), message.answer, now_);
            flush(message.entry);
        }
    }
    void decide(Entry &entry, const AllowanceDecision &decision)
    {
        const auto cost = entry.costs.extract(decision.call.value).mapped();
        if (decision.refusal == RefusalReason::None) {
            used.push_back({now_, cost});
        } else if (decision.refusal == RefusalReason::OverAllowance) {
            ++overAllowance;
        } else {
            ++unknown;
        }
    }

    FleetShape shape_;
    Random random_;
    Workspace workspace_;
    TimePoint now_{Seconds(100)};
    std::uint64_t configVersion_ = 1;
    std::uint64_t generation_ = 0;
    std::uint64_t lastCall_ = 0;
    std::uint64_t lastMessage_ = 0;
    std::uint64_t calls_ = 0;
    std::vector<Entry> entries_;
    std::vector<Sidecar> sidecars_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> cutUntil_;
    std::priority_queue<Message> queue_;
};

} // namespace anvilscale::test
