// Starts of entries and sidecars after a kill, without a store, at other addresses and with a wrong clock.
#include "direct_fleet.h"
#include "support/delaying_proxy.h"

namespace fleet {
namespace {

constexpr int roundCount = 8;
constexpr std::size_t entryCount = 6;
constexpr int connectionCount = 20;
constexpr auto storeOutage = std::chrono::seconds(2);
constexpr auto storeDelay = std::chrono::milliseconds(900); // of all answers

class Starts : public Direct
{
protected:
    void expectService(const std::string &id)
    {
        ASSERT_TRUE(eventually([&] { return readinessStatus() == 200; })) << readLog("entry-1");
        int attempts = 0;
        ASSERT_TRUE(eventually([&] { return call("/i/", id + std::to_string(attempts++)).status == 200; }));
        ASSERT_TRUE(eventually([&] { return call("/s/", id + std::to_string(attempts++), "a").status == 200; }));
    }
    /// Starts an entry that listens on one address with all its ports.
    void startEntryAt(const std::string &address, const std::string &hostAndPortPrefix)
    {
        std::ostringstream out;
        out << R"({"role":"direct-entry","name":"entry-1","dataCentre":"dc","control":{"address":")" << address
            << R"(","port":)" << freePort() << R"(},"http":{"at":")" << hostAndPortPrefix << httpPort_
            << R"("},"direct":{"store":"http://127.0.0.1:)" << storePort_ << R"(","ready":{"at":")" << hostAndPortPrefix
            << readyPort_ << R"("},"storePauseMs":50},"log":{"file":"-"}})";
        startDaemon("entry-1", out.str());
    }
};

// Guards against a process that cannot listen, as connections of the process before at its ports are still open.
TEST_F(Starts, KilledProcessesStartAtOnceAtTheSamePorts)
{
    for (int round = 0; round < roundCount; ++round) {
        start();
        expectService("round-" + std::to_string(round) + "-");
        std::vector<Poco::Net::StreamSocket> callers;
        callers.reserve(connectionCount);
        for (int i = 0; i < connectionCount; ++i) {
            callers.emplace_back(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(httpPort_)));
        }
        for (const auto *name : {"entry-1", "side-1"}) {
            daemons_.at(name)->signal(SIGKILL);
        }
        start();
        expectService("again-" + std::to_string(round) + "-");
    }
}

// Guards against processes that end, or never begin to serve, when the store is away at their start.
TEST_F(Starts, ProcessesWaitForAStoreThatIsAway)
{
    fleet_.process("site-store").signal(SIGSTOP);
    startSidecar();
    startEntry();
    std::this_thread::sleep_for(storeOutage);
    for (const auto *name : {"entry-1", "side-1"}) {
        ASSERT_TRUE(daemons_.at(name)->isRunning()) << readLog(name);
    }
    fleet_.process("site-store").signal(SIGCONT);
    expectService("after-");
}

// Guards against processes that end, or never begin to serve, while the store's answers are late.
TEST_F(Starts, ProcessesServeWithASlowStore)
{
    anvilscale::test::DelayingProxy store(std::exchange(storePort_, 0));
    store.setDelay(storeDelay);
    storePort_ = store.port();
    startSidecar();
    startEntry();
    expectService("slow-");
    for (const auto *name : {"entry-1", "side-1"}) {
        EXPECT_TRUE(daemons_.at(name)->isRunning()) << readLog(name);
    }
}

// Guards against an entry that does not start, or is not reached, at the address for all interfaces.
TEST_F(Starts, EntryListensOnAllInterfaces)
{
    startSidecar();
    startEntryAt("0.0.0.0", "0.0.0.0:");
    ASSERT_TRUE(eventually([&] { return readinessStatus() == 200; })) << readLog("entry-1");
    ASSERT_TRUE(eventually([&] { return call("/i/", "any").status == 200; }));
}

// Guards against an entry that aborts or does not start at an address of IPv6.
TEST_F(Starts, EntryListensOnAddressesOfVersionSix)
{
    for (const std::string host : {"[::1]:", "127.0.0.1:"}) {
        startEntryAt("::1", host);
        auto &entry = *daemons_.at("entry-1");
        const std::string address = host.starts_with('[') ? "::1" : "127.0.0.1";
        ASSERT_TRUE(eventually([&] {
            return !entry.isRunning() || requestAt(address, readyPort_, "GET", "/api/readyz").status == 200;
        })) << host;
        ASSERT_TRUE(entry.isRunning()) << host << " " << entry.wait() << " " << readLog("entry-1");
    }
}

// Guards against processes that cannot start while many others do, as after a loss of power.
TEST_F(Starts, AllProcessesStartAtOnce)
{
    std::vector<EntryPorts> ports(entryCount);
    startSidecar();
    for (std::size_t i = 0; i < entryCount; ++i) {
        startEntry("entry-" + std::to_string(i + 1), "127.0.0." + std::to_string(i + 3), ports[i]);
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        EXPECT_TRUE(eventually([&] { return request(ports[i].ready, "GET", "/api/readyz").status == 200; })) << i;
    }
    for (const auto &[name, process] : daemons_) {
        EXPECT_TRUE(process->isRunning()) << name;
    }
}

// Guards against processes that do not start, or do not work together, while their clocks are wrong by a day.
TEST_F(Starts, ProcessesStartWithAWrongClock)
{
    startEntry();
    std::ifstream in(fleet_.settingsFile("entry-1"));
    const std::string settings{std::istreambuf_iterator<char>(in), {}};
    for (const std::string shiftMs : {"-86400000", "86400000"}) {
        const std::map<std::string, std::string> environment{
            {"LD_PRELOAD", buildFolder() + "/tests/libshifted_clock.so"}, {"SHIFTED_CLOCK_MS", shiftMs}};
        startSidecar("side-1", sidecarAddress, enginePort_, environment);
        startDaemon("entry-1", settings, environment);
        expectService("shift-" + shiftMs + "-");
        startSidecar(); // with the true clock
        expectService("true-after-" + shiftMs + "-");
    }
}

} // namespace
} // namespace fleet
