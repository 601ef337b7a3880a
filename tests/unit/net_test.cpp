// Tests of the messenger between two ends in one process, over real sockets on ports assigned by the system.
#include "anvilscale/net.h"

#include <gtest/gtest.h>
#include <zmq.hpp>

#include <condition_variable>
#include <mutex>

namespace {

using namespace anvilscale;

constexpr auto maxWait = std::chrono::seconds(20); // waits end much earlier in a successful run
constexpr auto shortSilence = Milliseconds(500);

/// Records the callbacks of a messenger and waits for them.
class EventRecorder
{
public:
    Messenger::Handlers handlers()
    {
        Messenger::Handlers result;
        result.fromPeer = [this](PeerHandle peer, wire::Envelope &&message) {
            record([&] {
                peer_ = peer;
                fromPeers.push_back(std::move(message));
            });
        };
        result.peerLost = [this](PeerHandle) { record([this] { ++peersLost; }); };
        result.fromTarget = [this](const std::string &, wire::Envelope &&message) {
            record([&] { fromTargets.push_back(std::move(message)); });
        };
        result.targetUp = [this](const std::string &) { record([this] { ++targetsUp; }); };
        result.targetLost = [this](const std::string &) { record([this] { ++targetsLost; }); };
        result.sendFailed = [this](const std::string &, const wire::AttemptId &id) {
            record([&] { failedCalls.push_back(id.call()); });
        };
        return result;
    }
    template<class Condition>
    bool wait(Condition condition, Duration timeout = maxWait)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, timeout, condition);
    }
    PeerHandle peer()
    {
        const std::lock_guard lock(mutex_);
        return peer_;
    }

    std::vector<wire::Envelope> fromPeers;
    std::vector<wire::Envelope> fromTargets;
    std::vector<std::uint64_t> failedCalls;
    int peersLost = 0;
    int targetsUp = 0;
    int targetsLost = 0;

private:
    template<class Change>
    void record(Change change)
    {
        const std::lock_guard lock(mutex_);
        change();
        changed_.notify_all();
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    PeerHandle peer_;
};

/// `silenceTimeout`: messages that wait for their connection for so long are reported as failed, and a silent
/// connection is replaced. Long unless a test is about this, as threads may get no processor for some time.
std::unique_ptr<Messenger> makeMessenger(EventRecorder &events, const std::string &name, std::uint16_t port = 0,
                                         LivenessCheck livenessCheck = LivenessCheck::Heartbeats,
                                         Duration silenceTimeout = maxWait)
{
    MessengerInit init;
    init.address = "127.0.0.1";
    init.port = port;
    init.name = name;
    init.incarnation = 1;
    init.heartbeat = Milliseconds(50);
    init.silenceTimeout = silenceTimeout;
    init.livenessCheck = livenessCheck;
    auto messenger = Messenger::create(init, events.handlers());
    EXPECT_TRUE(messenger);
    (*messenger)->start();
    return std::move(*messenger);
}

NetAddress addressOf(const Messenger &messenger)
{
    return NetAddress::parse("127.0.0.1:" + std::to_string(messenger.port())).value();
}

wire::Envelope makeCallRequest(std::uint64_t call)
{
    wire::Envelope message;
    message.mutable_call_request()->mutable_id()->set_call(call);
    return message;
}

TEST(MessengerTest, MessagesArriveInOrderInBothDirections)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    const auto entry = makeMessenger(entryEvents, "entry");
    const auto sidecar = makeMessenger(sidecarEvents, "sidecar");
    entry->connectTo("sidecar", addressOf(*sidecar));
    constexpr std::uint64_t count = 500;
    for (std::uint64_t call = 1; call <= count; ++call) {
        entry->sendTo("sidecar", makeCallRequest(call));
        if (call == 10) {
            ASSERT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == call; }));
        }
    }
    ASSERT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == count; }));
    for (std::uint64_t call = 1; call <= count; ++call) {
        ASSERT_EQ(sidecarEvents.fromPeers[call - 1].call_request().id().call(), call);
    }
    sidecar->sendTo(sidecarEvents.peer(), makeCallRequest(7));
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.fromTargets.size() == 1; }));
    EXPECT_EQ(entryEvents.fromTargets[0].protocol(), wireProtocol);
}

// Guards against connections that are all dead after a target was removed while its connection was being opened.
TEST(MessengerTest, TargetsRemovedWhileConnectingDisturbNoOther)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    const auto entry = makeMessenger(entryEvents, "entry");
    const auto sidecar = makeMessenger(sidecarEvents, "sidecar");
    for (int i = 0; i < 300; ++i) {
        const auto name = "removed-" + std::to_string(i);
        entry->connectTo(name, addressOf(*sidecar));
        std::this_thread::sleep_for(std::chrono::microseconds(20 * (i % 100))); // meets each step of the handshake
        entry->disconnectFrom(name);
    }
    entry->connectTo("sidecar", addressOf(*sidecar));
    entry->sendTo("sidecar", makeCallRequest(1));
    EXPECT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == 1; }));
}

// Guards against keeping a connection that stopped delivering messages without a reset while ZeroMQ heartbeats are
// off.
TEST(MessengerTest, SilentTargetIsReconnected)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    const auto entry = makeMessenger(entryEvents, "entry", 0, LivenessCheck::KeepAlive, shortSilence);
    const auto sidecar = makeMessenger(sidecarEvents, "sidecar", 0, LivenessCheck::KeepAlive, shortSilence);
    entry->connectTo("sidecar", addressOf(*sidecar));
    entry->sendTo("sidecar", makeCallRequest(1));
    ASSERT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == 1; }));
    sidecar->sendTo(sidecarEvents.peer(), makeCallRequest(2));
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsLost == 1; }));
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsUp == 2; }));
    entry->sendTo("sidecar", makeCallRequest(3));
    EXPECT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == 2; }));
}

// Guards against repeated reconnects to a target that has not sent any message yet.
TEST(MessengerTest, TargetWithoutMessagesIsKept)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    const auto entry = makeMessenger(entryEvents, "entry", 0, LivenessCheck::KeepAlive, shortSilence);
    const auto sidecar = makeMessenger(sidecarEvents, "sidecar", 0, LivenessCheck::KeepAlive, shortSilence);
    entry->connectTo("sidecar", addressOf(*sidecar));
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsUp == 1; }));
    EXPECT_FALSE(entryEvents.wait([&] { return entryEvents.targetsLost == 1; }, Milliseconds(1500)));
}

// Guards against calls that wait for a terminated process: its loss is reported at once, and calls for it fail as
// certainly not sent.
TEST(MessengerTest, LostTargetIsReportedAndItsCallsFail)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    const auto entry = makeMessenger(entryEvents, "entry");
    auto sidecar = makeMessenger(sidecarEvents, "sidecar");
    const auto port = sidecar->port();
    entry->connectTo("sidecar", addressOf(*sidecar));
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsUp == 1; }));
    sidecar.reset();
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsLost == 1; }));
    entry->sendTo("sidecar", makeCallRequest(9));
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.failedCalls.size() == 1; }));
    EXPECT_EQ(entryEvents.failedCalls[0], 9U);
    EventRecorder newEvents;
    const auto restarted = makeMessenger(newEvents, "sidecar", port);
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsUp == 2; }));
    entry->sendTo("sidecar", makeCallRequest(10));
    ASSERT_TRUE(newEvents.wait([&] { return newEvents.fromPeers.size() == 1; }));
}

// Guards against a reconnect that reuses the identity of the old connection while that still exists at the other end:
// the new connection would never come up.
TEST(MessengerTest, ImmediateReconnectComesUp)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    const auto entry = makeMessenger(entryEvents, "entry");
    const auto sidecar = makeMessenger(sidecarEvents, "sidecar");
    constexpr int rounds = 500;
    for (int i = 1; i <= rounds; ++i) {
        entry->connectTo("sidecar", addressOf(*sidecar));
        entry->sendTo("sidecar", makeCallRequest(static_cast<std::uint64_t>(i)));
        const auto receivedCount = static_cast<std::size_t>(i);
        ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsUp == i; })) << "round " << i;
        ASSERT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == receivedCount; }))
            << "round " << i;
        entry->disconnectFrom("sidecar");
    }
}

TEST(MessengerTest, CallToUnreachableProcessFails)
{
    EventRecorder events;
    const auto entry = makeMessenger(events, "entry", 0, LivenessCheck::Heartbeats, shortSilence);
    entry->connectTo("sidecar", NetAddress::parse("127.0.0.1:1").value());
    entry->sendTo("sidecar", makeCallRequest(3));
    entry->sendTo("nobody", makeCallRequest(4));
    ASSERT_TRUE(events.wait([&] { return events.failedCalls.size() == 2; }));
}

TEST(MessengerTest, LostPeerIsReportedAtNextSend)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    auto entry = makeMessenger(entryEvents, "entry");
    const auto sidecar = makeMessenger(sidecarEvents, "sidecar");
    entry->connectTo("sidecar", addressOf(*sidecar));
    entry->sendTo("sidecar", makeCallRequest(1));
    ASSERT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == 1; }));
    entry.reset();
    const auto deadline = std::chrono::steady_clock::now() + maxWait;
    while (sidecar->stats().dropped.of(MessageDrop::PeerGone) == 0 && std::chrono::steady_clock::now() < deadline) {
        sidecar->sendTo(sidecarEvents.peer(), makeCallRequest(2));
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.peersLost == 1; }));
}

TEST(MessengerTest, InvalidMessagesAreDroppedAndCounted)
{
    EventRecorder events;
    const auto sidecar = makeMessenger(events, "sidecar");
    zmq::context_t context;
    zmq::socket_t dealer(context, zmq::socket_type::dealer);
    dealer.connect("tcp://" + addressOf(*sidecar).text());
    const auto send = [&](const std::string &bytes) { dealer.send(zmq::buffer(bytes)); };
    wire::Envelope wrongProtocol = makeCallRequest(1);
    wrongProtocol.set_protocol(wireProtocol + 1);
    wire::Envelope withoutBody;
    withoutBody.set_protocol(wireProtocol);
    wire::Envelope valid = makeCallRequest(5);
    valid.set_protocol(wireProtocol);
    send("\xff\xff\xff no envelope");
    send(wrongProtocol.SerializeAsString());
    send(withoutBody.SerializeAsString());
    dealer.send(zmq::buffer(std::string("two")), zmq::send_flags::sndmore);
    send("parts");
    send(valid.SerializeAsString());
    ASSERT_TRUE(events.wait([&] { return events.fromPeers.size() == 1; }));
    EXPECT_EQ(events.fromPeers[0].call_request().id().call(), 5U);
    const auto dropped = sidecar->stats().dropped;
    EXPECT_EQ(dropped.of(MessageDrop::NotParsed), 2U);
    EXPECT_EQ(dropped.of(MessageDrop::WrongProtocol), 1U);
    EXPECT_EQ(dropped.of(MessageDrop::NoBody), 1U);
}

// Guards against a turn of the messenger's thread whose cost grows with the number of targets.
TEST(MessengerTest, TrafficOfOneTargetVisitsNoOthers)
{
    EventRecorder entryEvents;
    EventRecorder sidecarEvents;
    const auto entry = makeMessenger(entryEvents, "entry");
    const auto sidecar = makeMessenger(sidecarEvents, "sidecar");
    constexpr int targets = 30;
    for (int i = 0; i < targets; ++i) {
        entry->connectTo("sidecar-" + std::to_string(i), addressOf(*sidecar));
    }
    ASSERT_TRUE(entryEvents.wait([&] { return entryEvents.targetsUp == targets; }));
    entry->sendTo("sidecar-0", makeCallRequest(1));
    ASSERT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == 1; }));
    const auto before = entry->stats().visitedTargets;
    constexpr std::size_t messages = 200;
    for (std::size_t i = 1; i < messages; ++i) {
        entry->sendTo("sidecar-0", makeCallRequest(i));
    }
    ASSERT_TRUE(sidecarEvents.wait([&] { return sidecarEvents.fromPeers.size() == messages; }));
    EXPECT_EQ(entry->stats().visitedTargets, before);
}

TEST(MessengerTest, PortInUseIsReported)
{
    EventRecorder events;
    const auto first = makeMessenger(events, "first");
    MessengerInit init;
    init.address = "127.0.0.1";
    init.port = first->port();
    const auto second = Messenger::create(init, {});
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().kind, NetErrorKind::AddressInUse);
}

} // namespace
