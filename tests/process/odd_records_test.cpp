// Records of other writers among those of the endpoints, with real processes.
#include "direct_fleet.h"

#include <atomic>
#include <thread>

namespace {

using namespace fleet;

class OddRecords : public Direct
{
protected:
    OddRecords()
    {
        // Each order of records holds plain endpoints and engines.
        for (const std::string service : {"plain", "engines"}) {
            for (const std::string address :
                 {"::1:80", "::ffff:127.0.0.1:80", "fe80::1%lo:80", "[::1]:80", "0.0.0.0:80", "224.0.0.1:80",
                  "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:18446744073709551617",
                  "127.0.0.1:", "127.0.0.1:80/x", "127.0.0.1 :80", "127.1:80", "127.0.0.1:80\\r\\nX: y", "*:80"}) {
                addOdd(service, holding(record(service, address)));
            }
            for (const std::string slots : {"4294967296", "4294967297", "18446744073709551616", "1e400", "-1", "1.5"}) {
                addOdd(service, replaced(record(service, "127.0.0.1:9"), R"("slots":4)", R"("slots":)" + slots));
            }
            for (const std::string time : {"1e19", "1e400", "-1", R"("soon")", "null"}) {
                addOdd(service,
                       replaced(record(service, "127.0.0.1:9"), R"("cold_left_ms":0)", R"("cold_left_ms":)" + time));
            }
            for (const std::size_t depth : {100U, 1000U, 200'000U}) {
                const auto nested = std::string(depth, '[') + std::string(depth, ']');
                addOdd(service, replaced(record(service, "127.0.0.1:9"), R"("models":[])", R"("models":)" + nested));
            }
        }
    }
    /// The record names a resident adapter, so that calls for it are placed there.
    static std::string holding(const std::string &text)
    {
        return replaced(text, R"("models":[])", R"("models":[{"name":"base","adapters":["a1@1"]}])");
    }
    static std::string replaced(const std::string &text, const std::string &part, const std::string &by)
    {
        auto result = text;
        return result.replace(result.find(part), part.size(), by);
    }
    void addOdd(const std::string &service, const std::string &text)
    {
        oddRecords_.emplace_back("servers/odd-" + service + "-" + std::to_string(oddRecords_.size()), text);
    }
    void putOddRecords() const
    {
        for (const auto &[key, text] : oddRecords_) {
            putKey(key, text);
        }
    }
    bool areRunning()
    {
        return daemons_.at("entry-1")->isRunning() && daemons_.at("side-1")->isRunning();
    }
    /// Makes calls of both kinds at the same time, so that all endpoints of a service are considered. Returns how many
    /// were not answered with status 200.
    int failedCalls()
    {
        constexpr int callers = 8;
        constexpr int callsPerCaller = 10;
        std::atomic<int> failed = 0;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([this, caller, &failed] {
                for (int i = 0; i < callsPerCaller; ++i) {
                    const auto id = std::to_string(caller) + "-" + std::to_string(i);
                    failed += isAnswered("/i/x", "plain-" + id) ? 0 : 1;
                    failed += isAnswered("/s/x", "stream-" + id, "a1") ? 0 : 1;
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        return failed;
    }
    bool isAnswered(const std::string &path, const std::string &id, const std::string &adapter = {}) const
    {
        try {
            return call(path, id, adapter).status == 200;
        } catch (const Poco::Exception &) {
            return false; // the entry has ended
        }
    }
    /// Writes a record of a further endpoint; returns whether calls arrive there.
    bool isListFollowed()
    {
        const auto port = fleet_.startStandin("site-replica", {"--id", "p-3"}, "plain-3");
        putKey("servers/p-3", record("plain", "127.0.0.1:" + std::to_string(port)));
        return eventually([&] {
            const auto id = "follow-" + std::to_string(++probeCount_);
            return !areRunning() || (isAnswered("/i/x", id) && executionCount(port, id) == 1);
        });
    }

    std::vector<std::pair<std::string, std::string>> oddRecords_; // by key
};

// Guards against a record of another writer that ends the processes that read it, or stops them from following the
// list.
TEST_F(OddRecords, ProcessesRunOnAndFollowTheListWhenTheyAreWritten)
{
    start();
    ASSERT_TRUE(eventually([&] { return isAnswered("/s/x", "first-" + std::to_string(++probeCount_), "a1"); }));
    putOddRecords();
    EXPECT_TRUE(isListFollowed());
    EXPECT_EQ(failedCalls(), 0);
    EXPECT_TRUE(daemons_.at("entry-1")->isRunning()) << readLog("entry-1");
    EXPECT_TRUE(daemons_.at("side-1")->isRunning()) << readLog("side-1");
}

// Guards against a record of another writer that ends each process that starts while it exists.
TEST_F(OddRecords, ProcessesStartBesideThem)
{
    putOddRecords();
    start();
    ASSERT_TRUE(eventually(
        [&] { return !areRunning() || isAnswered("/s/x", "first-" + std::to_string(++probeCount_), "a1"); }));
    EXPECT_EQ(failedCalls(), 0);
    EXPECT_TRUE(isListFollowed());
    EXPECT_TRUE(daemons_.at("entry-1")->isRunning()) << readLog("entry-1");
    EXPECT_TRUE(daemons_.at("side-1")->isRunning()) << readLog("side-1");
}

class OddSettings : public Direct
{
protected:
    std::size_t countLogged(const std::string &event) const
    {
        const auto log = readLog("entry-1");
        std::size_t count = 0;
        for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1)) {
            ++count;
        }
        return count;
    }
    /// Has the entry read its settings again; returns whether it logs the event once more.
    bool reloads(const std::string &event)
    {
        const auto before = countLogged(event);
        daemons_.at("entry-1")->signal(SIGHUP);
        return eventually([&] { return !daemons_.at("entry-1")->isRunning() || countLogged(event) > before; });
    }
};

// Guards against a settings file that ends the running process when it is read again: one that is a folder for a
// moment, or whose address passes one check and fails in another.
TEST_F(OddSettings, RunningEntryKeepsItsSettings)
{
    start();
    const auto file = fleet_.settingsFile("entry-1");
    std::ifstream in(file);
    const std::string sound{std::istreambuf_iterator<char>(in), {}};
    std::filesystem::rename(file, file + ".away");
    std::filesystem::create_directory(file);
    EXPECT_TRUE(reloads("reload_rejected"));
    std::filesystem::remove(file);
    const auto at = sound.find(R"("at":"127.0.0.1:)") + 6;
    auto odd = sound;
    odd.replace(at, odd.find('"', at) - at, "127.0.0.1:80/a:b");
    for (const auto &text : {odd, std::string(), std::string(200'000, '['), std::string("\xff\x00{", 3)}) {
        std::ofstream(file) << text;
        EXPECT_TRUE(reloads("reload_rejected"));
    }
    std::ofstream(file) << sound;
    EXPECT_TRUE(reloads("settings_reloaded"));
    ASSERT_TRUE(daemons_.at("entry-1")->isRunning()) << readLog("entry-1");
    EXPECT_EQ(call("/i/x", "after").status, 200);
}

} // namespace
