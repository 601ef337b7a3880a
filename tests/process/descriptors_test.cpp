// Entries and sidecars that run out of descriptors while others hold connections to their ports.
#include "direct_fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace fleet {
namespace {

constexpr rlim_t maxDescriptors = 48; // a few more than an idle entry uses
constexpr int strangerCount = 200;
constexpr int callCount = 10;
constexpr auto measuredTime = std::chrono::seconds(2);

/// Connections that send nothing, held until destroyed.
class Strangers
{
public:
    Strangers(const std::string &address, unsigned port)
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, address.c_str(), &target.sin_addr);
        for (int i = 0; i < strangerCount; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            [[maybe_unused]] const int result =
                ::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target);
            descriptors_.push_back(fd);
        }
    }
    ~Strangers()
    {
        for (const int fd : descriptors_) {
            ::close(fd);
        }
    }
    Strangers(const Strangers &) = delete;
    Strangers &operator=(const Strangers &) = delete;

private:
    std::vector<int> descriptors_;
};

class Descriptors : public Direct
{
protected:
    void startLimitedEntry()
    {
        startSidecar();
        maxDescriptors_ = maxDescriptors;
        startEntry();
        ASSERT_TRUE(eventually([&] { return readinessStatus() == 200; }));
        ASSERT_TRUE(eventually([&] { return answer("first") == 200; }));
    }
    /// Status of the answer, 0 if there is none within a few seconds.
    int answer(const std::string &id) const
    {
        return request(httpPort_, "POST", "/i/", "body " + id,
                       {{"Host", "h.example"}, {"X-Anvilscale-Request-Id", id}, {"X-Anvilscale-Deadline-Ms", "5000"}},
                       answerTimeoutS)
            .status;
    }
    void expectAnswers(const std::string &prefix)
    {
        for (int i = 0; i < callCount; ++i) {
            int attempts = 0;
            ASSERT_TRUE(eventually([&] {
                return answer(prefix + std::to_string(i) + "-" + std::to_string(attempts++)) == 200;
            })) << prefix
                << i << " after " << attempts;
        }
    }
    void expectLittleProcessorTime(const std::string &name)
    {
        const auto before = daemons_.at(name)->processorTime();
        std::this_thread::sleep_for(measuredTime);
        EXPECT_LT(daemons_.at(name)->processorTime() - before, measuredTime / 2) << name;
    }

    static constexpr int answerTimeoutS = 5;
};

// Guards against an entry that accepts no call while others hold connections without a handshake to its control port.
TEST_F(Descriptors, CallsGoOnWhileTheControlPortIsHeld)
{
    startLimitedEntry();
    {
        const Strangers strangers("127.0.0.1", controlPort_);
        expectLittleProcessorTime("entry-1");
        expectAnswers("held-");
        ASSERT_TRUE(daemons_.at("entry-1")->isRunning());
    }
    expectAnswers("released-");
}

// Guards against an entry whose callers get no answer, and which uses whole processors, while its HTTP port is held.
TEST_F(Descriptors, CallersAreRefusedAtOnceWhileTheHttpPortIsHeld)
{
    startLimitedEntry();
    {
        const Strangers strangers("127.0.0.1", httpPort_);
        expectLittleProcessorTime("entry-1");
        for (int i = 0; i < callCount; ++i) {
            const auto status = answer("held-" + std::to_string(i));
            EXPECT_TRUE(status == 200 || status == 503) << status;
        }
        ASSERT_TRUE(daemons_.at("entry-1")->isRunning());
    }
    expectAnswers("released-");
}

// Guards against a sidecar that entries cannot reach while others hold connections without a handshake to its port.
TEST_F(Descriptors, SidecarIsReachedAgainWhileItsControlPortIsHeld)
{
    maxDescriptors_ = maxDescriptors;
    startSidecar();
    maxDescriptors_ = 0;
    startEntry();
    ASSERT_TRUE(eventually([&] { return readinessStatus() == 200; }));
    ASSERT_TRUE(eventually([&] { return call("/s/", "warm", "a").status == 200; }));
    {
        const Strangers strangers(sidecarAddress, controlPort_);
        expectLittleProcessorTime("side-1");
        const EntryPorts ports;
        startEntry("entry-2", "127.0.0.3", ports);
        EXPECT_TRUE(eventually([&] { return readLog("entry-2").find(R"("state":"connected")") != std::string::npos; }))
            << readLog("side-1");
        ASSERT_TRUE(daemons_.at("side-1")->isRunning());
    }
    ASSERT_EQ(call("/s/", "after", "a").status, 200);
}

} // namespace
} // namespace fleet
