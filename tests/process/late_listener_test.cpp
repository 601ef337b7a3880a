// Listeners attached after the end of an execution, and executions that are started too late.
#include "support/standin_process.h"

#include "anvilscale/endpoint.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

namespace anvilscale::testing {
namespace {

/// Records the reports of the endpoint's threads and lets a test wait for them.
class EndpointReports
{
public:
    Endpoint::Handlers handlers()
    {
        Endpoint::Handlers handlers;
        handlers.send = [this](PeerHandle peer, const wire::Envelope &message) {
            if (message.has_call_end()) {
                update([&] { ends_[peer.value] = message.call_end(); });
            } else {
                update([&] { bytes_[peer.value] += message.call_frame().data(); });
            }
        };
        handlers.onStarted = [](ExecutionHandle) {};
        handlers.onEnded = [this](ExecutionHandle, const CachedAnswer &, std::uint32_t) {
            update([&] { hasEnded_ = true; });
        };
        handlers.onOrderDone = [](OrderHandle, OrderOutcome) {};
        handlers.onList = [](OrderHandle, const EngineList &) {};
        handlers.onReport = [](const EngineReport &) {};
        handlers.onUnreachable = [] {};
        return handlers;
    }
    void waitForEnd()
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return hasEnded_; });
    }
    wire::CallEnd endOf(std::uint64_t peer)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return ends_.contains(peer); });
        return ends_.at(peer);
    }
    std::string bytesOf(std::uint64_t peer)
    {
        const std::scoped_lock lock(mutex_);
        return bytes_[peer];
    }

private:
    template<class Change>
    void update(Change change)
    {
        const std::scoped_lock lock(mutex_);
        change();
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::uint64_t, wire::CallEnd> ends_;
    std::map<std::uint64_t, std::string> bytes_;
    bool hasEnded_ = false;
};

AttachListener makeListener(ExecutionHandle execution, std::uint64_t peer)
{
    AttachListener attach;
    attach.execution = execution;
    attach.to = PeerHandle{peer};
    attach.id.set_call(peer);
    attach.creditBytes = 1U << 20;
    return attach;
}

StartExecution makeStart(std::uint64_t call)
{
    StartExecution start;
    start.execution = ExecutionHandle{call};
    start.to = PeerHandle{call};
    start.keepAnswer = true;
    start.request.mutable_id()->set_call(call);
    start.request.set_service("admissions");
    start.request.set_method("POST");
    start.request.set_path("/admit");
    start.request.set_body("guest");
    start.request.set_credit_bytes(1U << 20);
    return start;
}

// Guards against "outcome unknown" for a repeat that is attached after the execution ended, but before the control
// thread has processed the end.
TEST(LateListener, GetsTheWholeAnswerUntilTheEndIsProcessed)
{
    StandinProcess service("service");
    EndpointReports reports;
    EndpointInit init;
    init.address = NetAddress::parse("127.0.0.1:" + std::to_string(service.port())).value();
    init.kind = EndpointKind::Service;
    Endpoint endpoint(init, reports.handlers());

    const auto start = makeStart(1);
    endpoint.start(start);
    reports.waitForEnd();
    EXPECT_EQ(reports.endOf(1).outcome(), static_cast<std::uint32_t>(CallOutcome::Complete));

    endpoint.attach(makeListener(start.execution, 2));
    EXPECT_EQ(reports.endOf(2).outcome(), static_cast<std::uint32_t>(CallOutcome::Complete));
    EXPECT_EQ(reports.bytesOf(2), reports.bytesOf(1));
    EXPECT_FALSE(reports.bytesOf(2).empty());

    endpoint.release(start.execution);
    endpoint.attach(makeListener(start.execution, 3));
    EXPECT_EQ(reports.endOf(3).outcome(), static_cast<std::uint32_t>(CallOutcome::Unknown));
    endpoint.shutdown();
}

// Guards against a late send after a pause of the sidecar: the endpoint may have left or restarted, so the call fails
// as unsent and its entry can retry elsewhere.
TEST(Endpoint, LateStartIsNotSent)
{
    StandinProcess service("service");
    EndpointReports reports;
    EndpointInit init;
    init.address = NetAddress::parse("127.0.0.1:" + std::to_string(service.port())).value();
    init.kind = EndpointKind::Service;
    Endpoint endpoint(init, reports.handlers());

    auto start = makeStart(1);
    start.sendDeadline = EventLoop::now();
    endpoint.start(start);
    reports.waitForEnd();
    EXPECT_EQ(reports.endOf(1).outcome(), static_cast<std::uint32_t>(CallOutcome::Failed));
    EXPECT_EQ(reports.endOf(1).failure(), static_cast<std::uint32_t>(FailureReason::EndpointUnreachable));
    EXPECT_EQ(endpoint.stats().requests, 0U);
    endpoint.shutdown();
}

} // namespace
} // namespace anvilscale::testing
