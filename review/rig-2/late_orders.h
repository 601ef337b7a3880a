// A model replica that leaves orders unanswered, carries them out late and restarts under its id, with a sidecar and an
// entry of the project beside it.
#pragma once

#include "rig.h"

namespace rig {

constexpr std::size_t adapterSlots = 9;
constexpr auto adapterTime = milliseconds(250);
constexpr auto modelTime = milliseconds(240); // from its own disk
constexpr auto downTime = milliseconds(2'000);
constexpr auto lateTime = milliseconds(11'000); // BENCH: 2 to 12 s

/// A model replica. Starts with its model; a restart under the same id leaves it empty, with its counts at 0.
class Engine
{
public:
    explicit Engine(Record &record)
        : record_(record)
        , server_("127.0.1.2", freePort(), [this](int fd, const Message &message) { return handle(fd, message); })
    {
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
    /// The next load of this adapter is not answered and carried out late.
    void loseNextLoad(const std::string &adapter)
    {
        const std::scoped_lock lock(mutex_);
        lostAdapter_ = adapter;
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
        record_.add("replica: crashes");
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
        record_.add("replica: runs again under its id, empty");
    }
    /// Carries late orders out that are due, in the order in which they came. Called regularly.
    void tick()
    {
        const std::scoped_lock lock(mutex_);
        while (!lateOrders_.empty() && lateOrders_.front().at <= Clock::now()) {
            const auto body = lateOrders_.front().body;
            lateOrders_.erase(lateOrders_.begin());
            record_.add("replica: a late order comes, sequence " + std::to_string(sequence_) + ", adapters "
                        + std::to_string(adapters_.size()) + ": " + body);
            record_.add("replica: the late order gets " + std::to_string(execute(body)));
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
            record_.add("replica: ordered to load " + adapter + " as number " + std::to_string(adapters_.size())
                        + ", adapter_slots hold " + std::to_string(adapterSlots));
        }
        return 202;
    }
    bool handle(int fd, const Message &message)
    {
        if (message.path() == "/api/report") {
            return sendJson(fd, 200, report());
        }
        if (message.header("X-Anvilscale-Expect-Instance", "e-1") != "e-1") {
            return sendAll(fd, answerText(421, "X-Anvilscale-Instance-Id: e-1\r\n", ""));
        }
        return message.path() == "/api/order" ? handleOrder(fd, message.body) : handleCall(fd, message);
    }
    bool handleOrder(int fd, const std::string &body)
    {
        int status = 0;
        {
            const std::scoped_lock lock(mutex_);
            if (!lostAdapter_.empty() && member(body, "operation") == "load"
                && member(body, "adapter") == lostAdapter_) {
                lostAdapter_.clear();
                ++lostOrders_;
                lateOrders_.push_back({body, Clock::now() + lateTime});
                record_.add("replica: leaves unanswered for later: " + body);
            } else {
                status = execute(body);
                record_.add("replica: order " + body + " gets " + std::to_string(status));
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
    std::mutex mutex_; // guards all below
    std::map<std::string, Adapter> adapters_;
    std::map<std::string, int> newest_;
    std::optional<Clock::time_point> modelReadyAt_ = Clock::now();
    std::int64_t sequence_ = 0;
    std::int64_t highestFence_ = 0;
    std::int64_t born_ = 1'780'000'000'000;
    std::string lostAdapter_;
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

/// One entry, one sidecar and its replica.
class LateOrders
{
public:
    LateOrders()
        : record_(variable("RECORD", "record.txt"))
        , engine_(record_)
        , control_(freePort())
    {
        store_.put("op/config", engineConfig());
        store_.put("servers/e-1", engine_.storeRecord());
        sidecar_ = std::make_unique<Node>("side-1", "127.0.1.2", control_, store_.address(), engine_.address());
        entry_ = std::make_unique<Node>("entry-1", "127.0.1.1", control_, store_.address(), "");
        beats_ = std::thread([this] {
            while (!isOver_) {
                engine_.tick();
                if (++ticks_ % 40 == 0 && isBeating_) {
                    store_.put("servers/e-1", engine_.storeRecord());
                }
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
    /// Calls the adapters a`first` to a`last` one after the other.
    bool callAll(int first, int last)
    {
        for (int i = first; i <= last; ++i) {
            if (!call("a" + std::to_string(i))) {
                return false;
            }
        }
        return true;
    }
    void restartReplica()
    {
        pause(milliseconds(500));
        isBeating_ = false;
        engine_.crash();
        isBeating_ = true;
        store_.put("servers/e-1", engine_.storeRecord());
    }
    Engine &engine()
    {
        return engine_;
    }
    /// Waits for the late orders. Returns the exit status.
    int end()
    {
        if (!eventually([&] { return engine_.hasLateEnded(); }, milliseconds(13'000))) {
            return notRun("the late orders did not come");
        }
        pause(milliseconds(500));
        if (engine_.isOverfull()) {
            record_.add("LIMIT: the replica was ordered to load more than adapter_slots hold");
            return exitBroken;
        }
        record_.add("held");
        return exitHeld;
    }
    int notRun(const std::string &why)
    {
        record_.add("not run: " + why);
        return engine_.isOverfull() ? exitBroken : exitNotRun;
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
    /// The operator names a newer version, and calls ask for it.
    bool nameVersion(const std::string &adapter)
    {
        record_.add("operator: names version 2 of " + adapter);
        engine_.nameVersion(adapter, 2);
        store_.put("op/version/m0." + adapter, R"({"model":"m0","adapter":")" + adapter + R"(","version":2})");
        return eventually([&] { return engine_.version(adapter) == 2; }, milliseconds(4'000));
    }

private:
    Record record_;
    Store store_;
    Engine engine_;
    unsigned control_;
    std::unique_ptr<Node> sidecar_;
    std::unique_ptr<Node> entry_;
    std::atomic<bool> isOver_ = false;
    std::atomic<bool> isBeating_ = true;
    int ticks_ = 0;
    int calls_ = 0;
    std::thread beats_;
};

} // namespace rig
