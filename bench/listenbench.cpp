// Compares ways in which entries learn the state of engines, in virtual time: each entry hears all engines, hears the
// engines that it selects (src/direct/listened_engines.h), also visits the home of an adapter that none of these holds,
// or gets one digest a second of each data centre. Prints one line for each way and size of the fleet.
#include "direct/listened_engines.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <unordered_map>

namespace {

using namespace anvilscale;

constexpr int dataCentres = 5;
constexpr int adapters = 24'000;
constexpr double popularityExponent = 1.2;
constexpr std::size_t slots = 9; // adapters an engine holds
constexpr double callsPerEntry = 1.2; // a second
constexpr double longShare = 0.45; // calls with a long prompt
constexpr double longWork = 0.16; // seconds of an engine
constexpr double shortWork = 0.02;
constexpr double loadTime = 0.25; // seconds
constexpr double loadPenalty = 0.63; // seconds; as in DirectPolicy
constexpr double homePenalty = 0.2;
constexpr double remotePenalty = 0.025;
constexpr double objective = 1; // seconds to the first byte
constexpr int sampledEngines = 8;
constexpr double warmUp = 30; // seconds
constexpr double measured = 90;
constexpr double heartbeatInterval = 0.5; // seconds
constexpr double digestInterval = 1;
constexpr double heartbeatBytes = 100; // with framing
constexpr double digestBytesPerEngine = 35;

enum class Way : std::uint8_t {
    All,
    Selected,
    Visited,
    Digests,
    Count
};

} // namespace

namespace anvilscale {
template<>
struct EnumNames<Way>
{
    static constexpr std::array<std::string_view, enumCount<Way>> table{"all", "selected", "visited", "digests"};
};
} // namespace anvilscale

namespace {

struct Engine
{
    std::unordered_map<int, double> usedAt; // by resident adapter
    std::unordered_map<int, double> readyAt; // when a loading adapter is resident
    double freeAt = 0; // end of the work that it has accepted
    double publishedFreeAt = 0; // as entries know it
};

struct Result
{
    double calls = 0;
    double loads = 0;
    double late = 0;
    double remote = 0;
    double busiest = 0; // work of the busiest engine over the mean
    double heard = 0; // engines an entry hears, in the mean
    double mostListeners = 0; // entries that one engine's sidecar talks to
};

std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 31)) * 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 29);
}

class FleetModel
{
public:
    FleetModel(Way way, int entries, int engines)
        : way_(way)
        , entries_(entries)
        , engines_(static_cast<std::size_t>(engines))
        , work_(static_cast<std::size_t>(engines), 0)
        , random_(1)
    {
        buildPopularity();
        buildReach();
    }
    Result run()
    {
        const double rate = callsPerEntry * entries_;
        double nextPublication = 0;
        const double interval = way_ == Way::Digests ? digestInterval : heartbeatInterval;
        for (now_ = 0; now_ < warmUp + measured; now_ += random_.exponential(1 / rate)) {
            if (now_ >= nextPublication) {
                nextPublication += interval;
                for (auto &engine : engines_) {
                    engine.publishedFreeAt = engine.freeAt;
                }
            }
            call();
        }
        summarize();
        return result_;
    }

private:
    void buildPopularity()
    {
        double sum = 0;
        for (int i = 1; i <= adapters; ++i) {
            sum += std::pow(i, -popularityExponent);
            cumulative_.push_back(sum);
        }
    }
    void buildReach()
    {
        const int count = static_cast<int>(engines_.size());
        std::vector<EngineSite> sites;
        std::unordered_map<std::string, int> indexOf;
        for (int i = 0; i < count; ++i) {
            sites.push_back({"10." + std::to_string(i) + ":80", "dc" + std::to_string(i % dataCentres)});
            indexOf[sites.back().address] = i;
        }
        std::vector<double> listeners(engines_.size(), 0);
        for (int entry = 0; entry < entries_; ++entry) {
            std::vector<int> reach;
            if (way_ == Way::Selected || way_ == Way::Visited) {
                const EntrySite site{"entry-" + std::to_string(entry), "dc" + std::to_string(entry % dataCentres)};
                for (const auto &address : selectListenedEngines(sites, site, {})) {
                    reach.push_back(indexOf.at(address));
                }
            } else {
                for (int i = 0; i < count; ++i) {
                    reach.push_back(i);
                }
            }
            for (const int engine : reach) {
                listeners[static_cast<std::size_t>(engine)] += 1;
            }
            result_.heard += static_cast<double>(reach.size()) / entries_;
            reach_.push_back(std::move(reach));
        }
        result_.mostListeners = *std::max_element(listeners.begin(), listeners.end());
    }
    int drawAdapter()
    {
        const double point = random_.uniform() * cumulative_.back();
        return static_cast<int>(std::lower_bound(cumulative_.begin(), cumulative_.end(), point) - cumulative_.begin());
    }
    static std::uint64_t rank(int adapter, int engine)
    {
        return mix(mix(static_cast<std::uint64_t>(adapter) + 1) + static_cast<std::uint64_t>(engine));
    }
    /// Estimated time to the first byte of a call without its own work, as the entry knows the engine.
    double score(int index, int adapter, int home, int entry) const
    {
        const auto &engine = engines_[static_cast<std::size_t>(index)];
        double seconds = std::max(0.0, engine.publishedFreeAt - now_);
        if (engine.usedAt.count(adapter) == 0) {
            seconds += loadTime + loadPenalty + (index == home ? 0 : homePenalty);
        }
        return seconds + (index % dataCentres == entry % dataCentres ? 0 : remotePenalty);
    }
    int homeOfAll(int adapter) const
    {
        int home = 0;
        for (int index = 1; index < static_cast<int>(engines_.size()); ++index) {
            home = rank(adapter, index) > rank(adapter, home) ? index : home;
        }
        return home;
    }
    int choose(int entry, int adapter)
    {
        const auto &reach = reach_[static_cast<std::size_t>(entry)];
        std::vector<int> candidates;
        int home = -1;
        for (const int index : reach) {
            if (engines_[static_cast<std::size_t>(index)].usedAt.count(adapter) != 0) {
                candidates.push_back(index);
            } else if (home < 0 || rank(adapter, index) > rank(adapter, home)) {
                home = index;
            }
        }
        if (way_ == Way::Visited && candidates.empty()) {
            home = homeOfAll(adapter);
        }
        candidates.push_back(home < 0 ? reach.front() : home);
        for (int i = 0; i < sampledEngines; ++i) {
            candidates.push_back(reach[random_.uniformBelow(reach.size())]);
        }
        return *std::min_element(candidates.begin(), candidates.end(), [&](int a, int b) {
            return score(a, adapter, home, entry) < score(b, adapter, home, entry);
        });
    }
    void load(Engine &engine, int adapter)
    {
        if (engine.usedAt.size() >= slots) {
            const auto oldest = std::min_element(engine.usedAt.begin(), engine.usedAt.end(),
                                                 [](const auto &a, const auto &b) { return a.second < b.second; });
            engine.readyAt.erase(oldest->first);
            engine.usedAt.erase(oldest);
        }
        engine.readyAt[adapter] = now_ + loadTime;
    }
    void call()
    {
        const int entry = static_cast<int>(random_.uniformBelow(static_cast<std::uint64_t>(entries_)));
        const int adapter = drawAdapter();
        const int index = choose(entry, adapter);
        auto &engine = engines_[static_cast<std::size_t>(index)];
        const bool isLoad = engine.usedAt.count(adapter) == 0;
        if (isLoad) {
            load(engine, adapter);
        }
        engine.usedAt[adapter] = now_;
        const double work = random_.uniform() < longShare ? longWork : shortWork;
        const double firstByte = std::max({now_, engine.freeAt, engine.readyAt[adapter]}) + work;
        engine.freeAt = std::max(now_, engine.freeAt) + work;
        if (now_ < warmUp) {
            return;
        }
        result_.calls += 1;
        result_.loads += isLoad ? 1 : 0;
        result_.late += firstByte - now_ > objective ? 1 : 0;
        result_.remote += index % dataCentres == entry % dataCentres ? 0 : 1;
        work_[static_cast<std::size_t>(index)] += work;
    }
    void summarize()
    {
        double sum = 0;
        for (const double work : work_) {
            sum += work;
        }
        result_.busiest = *std::max_element(work_.begin(), work_.end()) * static_cast<double>(work_.size()) / sum;
    }

    Way way_;
    int entries_;
    std::vector<Engine> engines_;
    std::vector<double> work_; // by engine, in seconds
    Random random_;
    std::vector<double> cumulative_; // weights of the adapters, summed up
    std::vector<std::vector<int>> reach_; // engines that an entry hears, by entry
    double now_ = 0;
    Result result_;
};

/// Messages a second that an entry gets, and that the sidecar with the most listeners sends.
std::pair<double, double> messageRates(Way way, const Result &result, int entries, int engines)
{
    if (way != Way::Digests) {
        return {result.heard / heartbeatInterval, result.mostListeners / heartbeatInterval};
    }
    const double collected = static_cast<double>(engines) / dataCentres / heartbeatInterval;
    return {dataCentres / digestInterval, entries / digestInterval + collected};
}

double bytesToEntry(Way way, const Result &result, int engines)
{
    return way == Way::Digests ? engines * digestBytesPerEngine / digestInterval
                               : result.heard / heartbeatInterval * heartbeatBytes;
}

} // namespace

int main()
{
    std::printf("entries engines way       heard  in/s  out/s  B/s in  loads%%  late%%  remote%%  busiest/mean\n");
    for (const auto &[entries, engines] : {std::pair{178, 312}, {356, 625}, {712, 1250}}) {
        for (std::size_t i = 0; i < enumCount<Way>; ++i) {
            const auto way = static_cast<Way>(i);
            const auto result = FleetModel(way, entries, engines).run();
            const auto [in, out] = messageRates(way, result, entries, engines);
            std::printf("%7d %7d %-9s %5.0f %5.0f %6.0f %7.0f %7.2f %6.2f %8.1f %13.2f\n", entries, engines,
                        std::string(toString(way)).c_str(), result.heard, in, out, bytesToEntry(way, result, engines),
                        100 * result.loads / result.calls, 100 * result.late / result.calls,
                        100 * result.remote / result.calls, result.busiest);
        }
    }
    return 0;
}
