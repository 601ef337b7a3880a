// Tests of the threads' loops: an exception ends one event, task, timer or command, and nothing else.
#include "daemon/control_loop.h"

#include "anvilscale/net.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <stdexcept>

namespace anvilscale {
namespace {

constexpr auto maxWait = std::chrono::seconds(20); // waits end much earlier in a successful run

bool isDone(std::promise<void> &done)
{
    return done.get_future().wait_for(maxWait) == std::future_status::ready;
}

[[noreturn]] void fail()
{
    throw std::runtime_error("of a test");
}

} // namespace

// Guards against a process that ends, with all its calls, because one task of a traffic thread failed.
TEST(UnexpectedErrors, TaskTimerAndSocketThatFailEndOnlyThemselves)
{
    EventLoop loop("test");
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::promise<void> taskRan;
    std::promise<void> timerRan;
    std::promise<void> socketRead;
    loop.post([] { fail(); });
    loop.post([&] {
        taskRan.set_value();
        const auto now = EventLoop::now();
        loop.timers().subscribe(now, [](TimePoint) { fail(); });
        loop.timers().subscribe(now, [&](TimePoint) { timerRan.set_value(); });
        loop.watch(socket, Poco::Net::PollSet::POLL_READ, [&, reads = std::make_shared<int>(0)](int) {
            if (++*reads == 1) {
                fail();
            }
            loop.unwatch(socket);
            socketRead.set_value();
        });
    });
    const std::string byte = "x";
    socket.sendTo(byte.data(), static_cast<int>(byte.size()), socket.address());
    EXPECT_TRUE(isDone(taskRan));
    EXPECT_TRUE(isDone(timerRan));
    EXPECT_TRUE(isDone(socketRead));
    loop.stop();
}

// Guards against a process that ends because one event of the control thread failed, and against actions that are not
// performed because of it.
TEST(UnexpectedErrors, EventOfTheControlThreadThatFailsEndsOnlyItself)
{
    std::atomic<int> batches = 0;
    std::promise<void> eventRan;
    std::promise<void> timerRan;
    ControlLoop loop([&](Now) {
        if (++batches == 1) {
            fail();
        }
    });
    loop.post([&](Now now) {
        loop.timers().subscribe(now.mono, [](TimePoint) { fail(); });
        loop.timers().subscribe(now.mono, [&](TimePoint) { timerRan.set_value(); });
    });
    loop.post([](Now) { fail(); });
    loop.post([&](Now) { eventRan.set_value(); });
    loop.start();
    EXPECT_TRUE(isDone(eventRan));
    EXPECT_TRUE(isDone(timerRan));
    loop.stop();
}

namespace {

/// Lets the process open no descriptor until it is destroyed.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowestFree = ::fcntl(STDIN_FILENO, F_DUPFD_CLOEXEC, 0);
        ::close(lowestFree);
        auto limit = before_;
        limit.rlim_cur = static_cast<rlim_t>(lowestFree); // all below it are open
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~NoDescriptors()
    {
        ::setrlimit(RLIMIT_NOFILE, &before_);
    }
    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    rlimit before_{};
};

MessengerInit initOf(const std::string &name)
{
    MessengerInit init;
    init.address = "127.0.0.1";
    init.name = name;
    return init;
}

wire::Envelope callRequest(std::uint64_t call)
{
    wire::Envelope message;
    message.mutable_call_request()->mutable_id()->set_call(call);
    return message;
}

} // namespace

// Guards against messages that are lost because a command before them failed, and against a process that is never
// connected to because no descriptor was free once.
TEST(UnexpectedErrors, CommandOfTheMessengerThatFailsCostsNoOther)
{
    std::promise<void> firstReceived;
    std::promise<void> secondReceived;
    std::promise<void> laterReceived;
    Messenger::Handlers sidecarHandlers;
    sidecarHandlers.fromPeer = [&](PeerHandle, wire::Envelope &&message) {
        const auto call = message.call_request().id().call();
        (call == 1 ? firstReceived : call == 2 ? secondReceived : laterReceived).set_value();
    };
    sidecarHandlers.peerLost = [](PeerHandle) {};
    auto sidecar = std::move(*Messenger::create(initOf("sidecar"), sidecarHandlers));
    sidecar->start();

    std::promise<void> isUp;
    std::promise<void> isReleased;
    auto released = isReleased.get_future();
    Messenger::Handlers handlers;
    handlers.targetUp = [&](const std::string &name) {
        if (name == "first") {
            isUp.set_value();
            released.wait(); // the commands below are in one batch
        }
    };
    handlers.targetLost = [](const std::string &) {};
    handlers.sendFailed = [](const std::string &, const wire::AttemptId &) {};
    auto init = initOf("entry");
    init.silenceTimeout = maxWait;
    auto entry = std::move(*Messenger::create(init, handlers));
    entry->start();
    const auto address = NetAddress::parse("127.0.0.1:" + std::to_string(sidecar->port())).value();
    entry->connectTo("first", address);
    ASSERT_TRUE(isDone(isUp));
    entry->sendTo("first", callRequest(1));
    {
        const NoDescriptors limit;
        entry->connectTo("later", address);
        entry->sendTo("first", callRequest(2));
        isReleased.set_value();
        EXPECT_TRUE(isDone(firstReceived));
        EXPECT_TRUE(isDone(secondReceived));
    }
    entry->sendTo("later", callRequest(3));
    EXPECT_TRUE(isDone(laterReceived));
    entry->shutdown();
    sidecar->shutdown();
}

} // namespace anvilscale
