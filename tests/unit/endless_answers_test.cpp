// Clients of the direct path whose server sends bytes without end: each closes the connection after a bounded number of
// them.
#include "daemon/crash_reporter.h"
#include "daemon/fencing_client.h"
#include "daemon/shared_store_watch.h"
#include "site_dialect.h"
#include "support/endless_server.h"
#include "support/run_on_loop.h"

#include <gtest/gtest.h>

#include <future>

namespace anvilscale::test {

namespace {

using site::SiteDialect;

/// Creates a client on a loop's thread, and destroys it there.
template<class Client>
class OnLoop
{
public:
    template<class Create, class Start>
    OnLoop(Create create, Start start)
        : loop_("test")
    {
        runOnLoop(loop_, [&] {
            client_ = create(loop_);
            start(*client_);
        });
    }
    ~OnLoop()
    {
        runOnLoop(loop_, [this] { client_.reset(); });
        loop_.stop();
    }
    OnLoop(const OnLoop &) = delete;
    OnLoop &operator=(const OnLoop &) = delete;

private:
    EventLoop loop_;
    std::unique_ptr<Client> client_;
};

class EndlessAnswers : public testing::TestWithParam<EndlessAnswer>
{
protected:
    static StoreTimes times()
    {
        return storeTimes(Seconds(20)); // the bound on bytes ends the call, not the timeout
    }
    NetAddress address() const
    {
        return NetAddress::parse(server_.address()).value();
    }

    EndlessServer server_{GetParam()};
};

} // namespace

// Guards against an entry that exceeds its memory because the store sends bytes that are no answer.
TEST_P(EndlessAnswers, StoreWatcherCloses)
{
    using Watcher = StoreWatcher<SiteDialect>;
    StoreWatcherHandlers handlers;
    handlers.record = [](const StoreRecord &) {};
    handlers.complete = [] {};
    handlers.answered = [](Duration, bool) {};
    handlers.failed = [](const StoreFailure &) {};
    const OnLoop<Watcher> watcher(
        [&](EventLoop &loop) {
            return std::make_unique<Watcher>(loop, StoreWatcherInit{address(), times(), 1, {}}, handlers);
        },
        [](Watcher &client) { client.start(); });
    EXPECT_TRUE(server_.hasBeenClosed());
}

// Guards against a sidecar that exceeds its memory while it watches the store for entries.
TEST_P(EndlessAnswers, SharedStoreWatchCloses)
{
    using Watch = SharedStoreWatch<SiteDialect>;
    const OnLoop<Watch> watch(
        [&](EventLoop &loop) {
            return std::make_unique<Watch>(loop, SharedStoreWatchInit{"store", address(), times()},
                                           [](PeerHandle, const wire::StoreNews &) {});
        },
        [](Watch &client) {
            client.addRequest(SharedWatchRequest{PeerHandle{1}, "store", 1, StorePosition{0, 1}, Duration(0)});
        });
    EXPECT_TRUE(server_.hasBeenClosed());
}

// Guards against an entry that exceeds its memory while it writes crash reports.
TEST_P(EndlessAnswers, CrashReporterCloses)
{
    using Reporter = CrashReporter<SiteDialect>;
    CrashReporterHandlers handlers;
    handlers.written = [](std::size_t) {};
    handlers.failed = [](StoreFailureKind, std::uint32_t, bool) {};
    handlers.dropped = [] {};
    const OnLoop<Reporter> reporter(
        [&](EventLoop &loop) {
            return std::make_unique<Reporter>(loop, CrashReporterInit{address(), "n", times(), 1}, handlers);
        },
        [](Reporter &client) {
            client.report(CrashReport{"e-1", 0, {CallFingerprint{1}}, {}});
        });
    EXPECT_TRUE(server_.hasBeenClosed());
}

// Guards against a sidecar that exceeds its memory while it takes a fencing number.
TEST_P(EndlessAnswers, FencingClientCloses)
{
    using Fencing = FencingClient<SiteDialect>;
    FencingClientHandlers handlers;
    handlers.obtained = [](std::uint64_t, StorePosition) {};
    handlers.failed = [](StoreFailureKind, std::uint32_t, bool) {};
    const OnLoop<Fencing> fencing(
        [&](EventLoop &loop) {
            return std::make_unique<Fencing>(loop, FencingClientInit{address(), "vm", times(), 1}, handlers);
        },
        [](Fencing &client) { client.request(); });
    EXPECT_TRUE(server_.hasBeenClosed());
}

INSTANTIATE_TEST_SUITE_P(All, EndlessAnswers, testing::ValuesIn(allEndlessAnswers));

} // namespace anvilscale::test
