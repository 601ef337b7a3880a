// Tests of CrashReporter with a store that fails.
#include "daemon/crash_reporter.h"
#include "support/virtual_store.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusMissing = 404;

/// Encodes requests as "lease", or the lease and the names of reports.
struct ReportDialect
{
    static EndpointRequest leaseRequest(Duration /*life*/)
    {
        EndpointRequest request;
        request.target = "lease";
        return request;
    }
    static std::optional<std::uint64_t> readLease(const std::string &body)
    {
        return body.empty() ? std::nullopt : std::optional<std::uint64_t>(std::stoull(body));
    }
    static EndpointRequest crashReportsRequest(const std::vector<NamedCrashReport> &reports, std::uint64_t lease)
    {
        EndpointRequest request;
        request.target = std::to_string(lease);
        for (const auto &report : reports) {
            request.target += " " + report.name;
        }
        return request;
    }
    static StoreStatus storeStatus(std::uint32_t status)
    {
        if (status == statusMissing) {
            return StoreStatus::Missing;
        }
        return status == statusOk ? StoreStatus::Ok : StoreStatus::Unavailable;
    }
};

/// Answers after 4 ms with the status chosen by the test.
class ScriptedClient
{
public:
    static inline std::vector<std::string> requests;
    static inline std::function<std::uint32_t(const std::string &)> statusFor; ///< 0 if there is no answer

    ScriptedClient(VirtualLoop &loop, const HttpClientInit & /*init*/)
        : loop_(loop)
    {
    }
    ExchangeId start(const EndpointRequest &request, Duration /*timeout*/, ExchangeHandlers handlers)
    {
        requests.push_back(request.target);
        const auto status = statusFor(request.target);
        const auto id = ++lastExchange_;
        openExchange_ = id;
        if (status == 0) {
            return id;
        }
        loop_.at(loop_.now() + Milliseconds(4), [this, id, status, handlers = std::move(handlers)] {
            if (openExchange_ != id) {
                return;
            }
            HttpResponseHead head;
            head.status = status;
            handlers.head(head);
            handlers.data(std::to_string(40 + id));
            handlers.end(ExchangeEnd::Complete);
        });
        return id;
    }
    void abort(ExchangeId id)
    {
        openExchange_ = openExchange_ == id ? 0 : openExchange_;
    }

private:
    VirtualLoop &loop_;
    ExchangeId lastExchange_ = 0;
    ExchangeId openExchange_ = 0;
};

class Reporter : public testing::Test
{
protected:
    Reporter()
    {
        ScriptedClient::requests.clear();
        ScriptedClient::statusFor = [](const std::string &) { return statusOk; };
    }
    static CrashReporterInit init()
    {
        CrashReporterInit init;
        init.name = "n";
        init.times = storeTimes(Seconds(2));
        return init;
    }
    CrashReporterHandlers handlers()
    {
        CrashReporterHandlers handlers;
        handlers.written = [this](std::size_t reports) { written_ += reports; };
        handlers.failed = [this](StoreFailureKind, std::uint32_t, bool isFirst) { failureSeries_ += isFirst ? 1 : 0; };
        handlers.dropped = [this] { ++dropped_; };
        return handlers;
    }
    static std::vector<std::string> &requests()
    {
        return ScriptedClient::requests;
    }

    VirtualLoop loop_;
    std::size_t written_ = 0;
    std::size_t failureSeries_ = 0; // number of failure series
    std::size_t dropped_ = 0;
    CrashReporter<ReportDialect, VirtualLoop, ScriptedClient> reporter_{loop_, init(), handlers()};
};

} // namespace

TEST_F(Reporter, WritesReportsTogetherUnderALease)
{
    reporter_.report({"e-1", 0, {CallFingerprint{1}}});
    loop_.run(Milliseconds(10));
    reporter_.report({"e-2", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(1));
    EXPECT_EQ(requests(), (std::vector<std::string>{"lease", "41 n-0 n-1"}));
    EXPECT_EQ(written_, 2U);
    reporter_.report({"e-3", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(1));
    EXPECT_EQ(requests().back(), "41 n-2");
}

// Guards against losing a report while the store is unavailable.
TEST_F(Reporter, RetriesUntilTheStoreAcceptsReports)
{
    ScriptedClient::statusFor = [](const std::string &) { return 503; };
    reporter_.report({"e-1", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(5));
    ScriptedClient::statusFor = [](const std::string &) { return 0; };
    loop_.run(Seconds(5));
    EXPECT_EQ(written_, 0U);
    EXPECT_EQ(failureSeries_, 1U);
    ScriptedClient::statusFor = [](const std::string &) { return statusOk; };
    loop_.run(Seconds(2));
    EXPECT_EQ(written_, 1U);
}

// Guards against writing reports under a lease that has expired or that the store has lost.
TEST_F(Reporter, ReplacesALostLease)
{
    reporter_.report({"e-1", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(1));
    ScriptedClient::statusFor = [](const std::string &target) { return target.starts_with("41 ") ? 404 : 200; };
    reporter_.report({"e-2", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(2));
    EXPECT_EQ(written_, 2U);
    loop_.run(crashReportLifetime / 2);
    const auto before = requests().size();
    reporter_.report({"e-3", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(1));
    ASSERT_EQ(requests().size(), before + 2);
    EXPECT_EQ(requests()[before], "lease") << "a lease is used for new reports only in the first half of its duration";
}

// Guards against losing reports when the store is restored from a backup without them.
TEST_F(Reporter, RewritesReportsAfterARestore)
{
    reporter_.report({"e-1", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(1));
    reporter_.report({"e-2", 0, {CallFingerprint{1}}});
    loop_.run(Seconds(1));
    requests().clear();
    reporter_.rewriteReports();
    loop_.run(Seconds(1));
    ASSERT_EQ(requests().size(), 2U);
    EXPECT_EQ(requests()[0], "lease");
    EXPECT_TRUE(requests()[1].ends_with(" n-0 n-1")) << requests()[1];
    loop_.run(crashReportLifetime);
    requests().clear();
    reporter_.rewriteReports();
    loop_.run(Seconds(1));
    EXPECT_TRUE(requests().empty()) << "expired reports are not written";
}

// Guards against an unbounded number of reports in the store and in the queue.
TEST_F(Reporter, LimitsNamesAndQueue)
{
    ScriptedClient::statusFor = [](const std::string &) { return 503; };
    for (int i = 0; i < 200; ++i) {
        reporter_.report({"e-1", 0, {CallFingerprint{1}}});
    }
    EXPECT_EQ(dropped_, 136U);
    loop_.run(Seconds(1));
    ScriptedClient::statusFor = [](const std::string &) { return statusOk; };
    loop_.run(Seconds(5));
    EXPECT_EQ(written_, 64U);
    std::set<std::string> names;
    for (const auto &target : requests()) {
        std::istringstream in(target);
        std::string word;
        while (in >> word) {
            if (word.starts_with("n-")) {
                names.insert(word);
            }
        }
    }
    EXPECT_EQ(names.size(), 64U);
}

} // namespace anvilscale::test
