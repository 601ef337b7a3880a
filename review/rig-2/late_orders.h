// Four model replicas with their sidecars, and an entry. One replica leaves orders unanswered, carries them out late,
// and restarts under its id.
#pragma once

#include "rig.h"

namespace rig {

constexpr std::size_t adapterSlots = 9;
constexpr auto adapterTime = milliseconds(250);
constexpr auto modelTime = milliseconds(240); // from its own disk
constexpr auto downTime = milliseconds(2'000);
constexpr auto lateTime = milliseconds(11'000); // 2 to 12 s by the bench
constexpr auto lossTime = milliseconds(6'000); // for_s of the site's applied_late
constexpr double maxLostShare = 0.3; // x of the same

/// A model replica. Starts with its model; a restart under the same id leaves it empty, with its counts at 0.
class Engine
{
public:
    Engine(Record &record, std::string id, std::string ip)
        : record_(record)
        , id_(std::move(id))
        , ip_(std::move(ip))
        , server_(ip_, freePort(), [this](int fd, const Message &message) { return handle(fd, message); })
    {
    }
    const std::string &id() const
    {
        return id_;
    }
    const std::string &ip() const
    {
        return ip_;
    }
    std::string address() const
    {
        return server_.address();
    }
    std::string storeRecord()
    {
        const std::scoped_lock lock(mutex_);
        return R"({"service":"chariot","address":")" + server_.address()
               + R"(","zone":"carthage","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"sequence":)"
               + std::to_string(sequence_) + ",\"born\":" + std::to_string(born_) + ",\"models\":" + models() + "}";
    }
    /// The next load of an adapter is not answered and carried out late.
    void loseNextLoad()
    {
        const std::scoped_lock lock(mutex_);
        losesNextLoad_ = true;
    }
    void nameVersion(const std::string &adapter, int version)
    {
        const std::scoped_lock lock(mutex_);
        newest_[adapter] = version;
    }
    std::size_t lostOrders()
    {
        const std::scoped_lock lock(mutex_);
        return lostOrders_;
    }
    /// All late orders have been carried out or refused.
    bool hasLateEnded()
    {
        const std::scoped_lock lock(mutex_);
        return lateOrders_.empty();
    }
    std::size_t adapters()
    {
        const std::scoped_lock lock(mutex_);
        return adapters_.size();
    }
    bool hasModel()
    {
        const std::scoped_lock lock(mutex_);
        return modelReadyAt_ && *modelReadyAt_ <= Clock::now();
    }
    /// Number of orders that came in the last `span`.
    std::size_t ordersSince(milliseconds span)
    {
        const std::scoped_lock lock(mutex_);
        const auto since = Clock::now() - span;
        return static_cast<std::size_t>(
            std::count_if(orderTimes_.begin(), orderTimes_.end(), [&](auto at) { return at >= since; }));
    }
    bool isOverfull()
    {
        const std::scoped_lock lock(mutex_);
        return isOverfull_;
    }
    int version(const std::string &adapter)
    {
        const std::scoped_lock lock(mutex_);
        const auto found = adapters_.find(adapter);
        return found == adapters_.end() || found->second.readyAt > Clock::now() ? 0 : found->second.version;
    }
    /// The process ends, and starts again under its id.
    void crash()
    {
        record_.add(id_ + ": crashes");
        server_.close();
        pause(downTime);
        {
            const std::scoped_lock lock(mutex_);
            adapters_.clear();
            modelReadyAt_.reset();
            sequence_ = 0;
            highestFence_ = 0;
            ++born_;
        }
        server_.open();
        record_.add(id_ + ": runs again under its id, empty");
    }
    /// Carries late orders out that are due, in the order in which they came. Called regularly.
    void tick()
    {
        const std::scoped_lock lock(mutex_);
        while (!lateOrders_.empty() && lateOrders_.front().at <= Clock::now()) {
            const auto body = lateOrders_.front().body;
            lateOrders_.erase(lateOrders_.begin());
            record_.add(id_ + ": a late order comes, sequence " + std::to_string(sequence_) + ", adapters "
                        + std::to_string(adapters_.size()) + ": " + body);
            record_.add(id_ + ": the late order gets " + std::to_string(execute(body)));
        }
    }

private:
    struct Adapter
    {
        int version = 1;
        Clock::time_point readyAt;
    };
    struct LateOrder
    {
        std::string body;
        Clock::time_point at;
    };

    std::string models() const
    {
        if (!modelReadyAt_ || *modelReadyAt_ > Clock::now()) {
            return "[]";
        }
        std::string names;
        for (const auto &[name, adapter] : adapters_) {
            if (adapter.readyAt <= Clock::now()) {
                names += (names.empty() ? "" : ",") + quoted(name + "@" + std::to_string(adapter.version));
            }
        }
        return R"([{"name":"m0","version":1,"adapters":[)" + names + "]}]";
    }
    std::string report()
    {
        const std::scoped_lock lock(mutex_);
        std::string pending;
        for (const auto &[name, adapter] : adapters_) {
            if (adapter.readyAt > Clock::now()) {
                pending += (pending.empty() ? "" : ",") + quoted("m0/" + name + "@" + std::to_string(adapter.version));
            }
        }
        const bool isBusy = modelReadyAt_ && *modelReadyAt_ > Clock::now();
        return R"({"stage":"unified","models":)" + models() + R"(,"pending":[)" + pending + R"(],"busy":)"
               + (isBusy ? "true" : "false") + R"(,"sequence":)" + std::to_string(sequence_)
               + R"(,"queued":0,"active":0,"kv_used":0,"kv_total":251660,"handles":0,"born":)" + std::to_string(born_)
               + "}";
    }
    /// Returns the status. Needs the lock.
    int execute(const std::string &body)
    {
        const auto fence = std::atoll(member(body, "fencing_token").c_str());
        if (fence < highestFence_) {
            return 412;
        }
        highestFence_ = fence;
        const auto expected = member(body, "expected");
        if (!expected.empty() && std::atoll(expected.c_str()) != sequence_) {
            return 409;
        }
        const auto adapter = member(body, "adapter");
        const bool isLoad = member(body, "operation") == "load";
        if (adapter.empty()) {
            if (!isLoad || (modelReadyAt_ && *modelReadyAt_ <= Clock::now())) {
                return isLoad ? 200 : 400;
            }
            modelReadyAt_ = Clock::now() + modelTime;
            ++sequence_;
            return 202;
        }
        if (!modelReadyAt_ || *modelReadyAt_ > Clock::now()) {
            return 409;
        }
        ++sequence_;
        if (!isLoad) {
            adapters_.erase(adapter);
            return 200;
        }
        const auto newest = newest_.count(adapter) == 0 ? 1 : newest_.at(adapter);
        adapters_[adapter] = {newest, Clock::now() + adapterTime};
        if (adapters_.size() > adapterSlots) {
            isOverfull_ = true;
            record_.add(id_ + ": ordered to load " + adapter + " as number " + std::to_string(adapters_.size())
                        + ", adapter_slots hold " + std::to_string(adapterSlots));
        }
        return 202;
    }
    bool handle(int fd, const Message &message)
    {
        if (message.path() == "/api/report") {
            return sendJson(fd, 200, report());
        }
        if (message.header("X-Anvilscale-Expect-Instance", id_) != id_) {
            return sendAll(fd, answerText(421, "X-Anvilscale-Instance-Id: " + id_ + "\r\n", ""));
        }
        return message.path() == "/api/order" ? handleOrder(fd, message.body) : handleCall(fd, message);
    }
    bool handleOrder(int fd, const std::string &body)
    {
        int status = 0;
        {
            const std::scoped_lock lock(mutex_);
            orderTimes_.push_back(Clock::now());
            const bool isAdapterLoad = member(body, "operation") == "load" && !member(body, "adapter").empty();
            if (isAdapterLoad && std::exchange(losesNextLoad_, false)) {
                ++lostOrders_;
                lateOrders_.push_back({body, Clock::now() + lateTime});
                record_.add(id_ + ": leaves unanswered for later: " + body);
            } else {
                status = execute(body);
                record_.add(id_ + ": order " + body + " gets " + std::to_string(status));
            }
        }
        if (status == 0) {
            pause(milliseconds(1'000));
            return false;
        }
        return sendJson(fd, status, "{}");
    }
    bool handleCall(int fd, const Message &message)
    {
        const auto id = message.header("X-Anvilscale-Request-Id");
        const auto model = message.header("X-Anvilscale-Model");
        const auto adapter = model.substr(std::min(model.size(), model.find('/') + 1));
        const auto expected = message.header("X-Anvilscale-Expect-Version");
        const int held = version(adapter);
        if (held == 0 || (!expected.empty() && std::atoi(expected.c_str()) != held)) {
            return sendAll(
                fd, answerText(421, "X-Anvilscale-Not-Executed: 1\r\nX-Anvilscale-Request-Id: " + id + "\r\n", ""));
        }
        return sendAll(fd, answerText(200,
                                      "Content-Type: text/event-stream\r\nX-Anvilscale-Request-Id: " + id
                                          + "\r\nX-Anvilscale-Server-Signature: sig." + id + "\r\n",
                                      "id: 1\ndata: piece\n\n"));
    }

    Record &record_;
    std::string id_;
    std::string ip_;
    std::mutex mutex_; // guards all below
    std::map<std::string, Adapter> adapters_;
    std::map<std::string, int> newest_;
    std::optional<Clock::time_point> modelReadyAt_ = Clock::now();
    std::int64_t sequence_ = 0;
    std::int64_t highestFence_ = 0;
    std::int64_t born_ = 1'780'000'000'000;
    bool losesNextLoad_ = false;
    std::vector<Clock::time_point> orderTimes_;
    std::size_t lostOrders_ = 0;
    std::vector<LateOrder> lateOrders_;
    bool isOverfull_ = false;
    Server server_;
};

inline std::string engineConfig()
{
    return R"({"version":7,"routes":[{"name":"recon","hostname":"h.example","prefix":"/recon/","type":"streaming",)"
           R"("timeout_ms":5000,"target_latency_ms":1000,"priority":1,"service":"chariot","max_attempts":2,)"
           R"("sticky":true,"resumable":true,"target_gap_ms":400}],"services":[{"name":"chariot",)"
           R"("health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,)"
           R"("kv_capacity":251660,"models":[{"name":"m0","weights_mb":42700.0,"load_s":0.6,"adapters":3000,)"
           R"("adapter_mb":66.0,"disk_load_s":0.24}],"weights_mb":44000.0,"adapter_slots":9,"loads_per_s":4.2}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000}})";
}

class LateOrders
{
public:
    LateOrders()
        : record_(variable("RECORD", "record.txt"))
        , control_(freePort())
    {
        store_.put("op/config", engineConfig());
        for (int i = 1; i <= replicas; ++i) {
            const auto number = std::to_string(i);
            engines_.push_back(std::make_unique<Engine>(record_, "e-" + number, "127.0.1." + std::to_string(1 + i)));
            auto &engine = *engines_.back();
            store_.put("servers/" + engine.id(), engine.storeRecord());
            sidecars_.push_back(
                std::make_unique<Node>("side-" + number, engine.ip(), control_, store_.address(), engine.address()));
        }
        entry_ = std::make_unique<Node>("entry-1", "127.0.1.1", control_, store_.address(), "");
        beats_ = std::thread([this] {
            while (!isOver_) {
                beat();
                pause(milliseconds(25));
            }
        });
    }
    ~LateOrders()
    {
        isOver_ = true;
        beats_.join();
    }
    LateOrders(const LateOrders &) = delete;
    LateOrders &operator=(const LateOrders &) = delete;

    bool start()
    {
        return eventually([&] { return entry_->isReady(); }, milliseconds(10'000));
    }
    /// The replica that is disturbed.
    Engine &target()
    {
        return *engines_.front();
    }
    /// Adapters that the target has loaded for calls, in this order.
    const std::vector<std::string> &loaded() const
    {
        return loaded_;
    }
    /// Calls adapters one after the other until the target holds so many: those that it has had before, but for
    /// `others`, then further ones.
    bool fill(std::size_t count, const std::set<std::string> &others = {})
    {
        const auto known = loaded_;
        for (const auto &adapter : known) {
            if (target().adapters() >= count) {
                return true;
            }
            if (others.count(adapter) == 0 && !call(adapter)) {
                return false;
            }
        }
        while (target().adapters() < count) {
            if (!callNew()) {
                return false;
            }
        }
        return true;
    }
    /// Calls an adapter that has not been called before.
    bool callNew()
    {
        const auto adapter = "a" + std::to_string(++lastAdapter_);
        if (lastAdapter_ > maxAdapters || !call(adapter)) {
            return false;
        }
        if (target().version(adapter) != 0) {
            loaded_.push_back(adapter);
        }
        return true;
    }
    /// Share of the orders that were left unanswered, in the time for which the pages let orders come late.
    double lostShare()
    {
        std::size_t orders = 0;
        for (auto &engine : engines_) {
            orders += engine->ordersSince(lossTime);
        }
        record_.add(std::to_string(target().lostOrders()) + " of " + std::to_string(orders)
                    + " orders in 6 s were left unanswered");
        return orders == 0 ? 1 : static_cast<double>(target().lostOrders()) / static_cast<double>(orders);
    }
    void restartTarget()
    {
        pause(milliseconds(300));
        isDown_ = true;
        target().crash();
        isDown_ = false;
        store_.put("servers/" + target().id(), target().storeRecord());
        eventually([&] { return target().hasModel(); }, milliseconds(3'000));
        pause(milliseconds(500));
    }
    /// Waits for the late orders. Returns the exit status.
    int end()
    {
        if (!eventually([&] { return target().hasLateEnded(); }, milliseconds(13'000))) {
            return notRun("the late orders did not come");
        }
        pause(milliseconds(500));
        if (isOverfull()) {
            record_.add("LIMIT: a replica was ordered to load more than adapter_slots hold");
            return exitBroken;
        }
        record_.add("held");
        return exitHeld;
    }
    int notRun(const std::string &why)
    {
        record_.add("not run: " + why);
        return exitNotRun;
    }
    /// Repeats a refused call, as a client does.
    bool call(const std::string &adapter)
    {
        return eventually(
            [&] {
                const auto id = "call-" + std::to_string(++calls_);
                record_.add("client: sends " + id + " for " + adapter);
                const auto answer =
                    request(*entry_,
                            "POST /recon/1 HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
                                + "\r\nX-Anvilscale-Model: m0/" + adapter
                                + "\r\nX-Anvilscale-Token-Usage: 100,20\r\nX-Anvilscale-Deadline-Ms: 5000"
                                + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
                            milliseconds(6'000));
                record_.add("client: " + id + " is answered " + (answer ? answer->start : "nothing"));
                const bool isServed = answer && answer->status() == 200;
                if (!isServed) {
                    pause(milliseconds(200));
                }
                return isServed;
            },
            milliseconds(8'000));
    }
    /// The operator names a newer version of an adapter that the target holds.
    bool nameVersion(const std::string &adapter)
    {
        record_.add("operator: names version 2 of " + adapter);
        for (auto &engine : engines_) {
            engine->nameVersion(adapter, 2);
        }
        store_.put("op/version/m0." + adapter, R"({"model":"m0","adapter":")" + adapter + R"(","version":2})");
        return eventually([&] { return target().version(adapter) == 2; }, milliseconds(4'000));
    }

private:
    static constexpr int replicas = 4;
    static constexpr int maxAdapters = 120;

    void beat()
    {
        ++ticks_;
        for (auto &engine : engines_) {
            engine->tick();
            const bool isDown = isDown_ && engine.get() == &target();
            if (ticks_ % 40 == 0 && !isDown) {
                store_.put("servers/" + engine->id(), engine->storeRecord());
            }
        }
    }
    bool isOverfull()
    {
        return std::any_of(engines_.begin(), engines_.end(), [](const auto &engine) { return engine->isOverfull(); });
    }

    Record record_;
    Store store_;
    std::vector<std::unique_ptr<Engine>> engines_;
    unsigned control_;
    std::vector<std::unique_ptr<Node>> sidecars_;
    std::unique_ptr<Node> entry_;
    std::vector<std::string> loaded_;
    int lastAdapter_ = 0;
    std::atomic<bool> isOver_ = false;
    std::atomic<bool> isDown_ = false;
    int ticks_ = 0;
    int calls_ = 0;
    std::thread beats_;
};

} // namespace rig
