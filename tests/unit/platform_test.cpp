// Tests of the platform adapters against stand-in services: certainty of outcomes, failover, budget, watches and
// limits.
#include "support/standin_process.h"

#include "anvilscale/platform.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>

using namespace anvilscale;
using anvilscale::testing::StandinProcess;

namespace {

/// A gateway with functions that wait for its replies.
class Client
{
public:
    explicit Client(std::vector<std::string> endpoints, Duration timeout = Seconds(10), double budget = 1000.0)
        : gateway_({std::move(endpoints), timeout, budget}, [this](KvReply reply) { addReply(std::move(reply)); })
    {
    }

    KvHandle send(KvRequest request)
    {
        if (!request.id) {
            request.id = KvHandle{++lastId_};
        }
        const KvHandle id = request.id;
        gateway_.submit(std::move(request));
        return id;
    }
    /// Waits for the next reply to `id`.
    KvReply reply(KvHandle id)
    {
        std::unique_lock lock(mutex_);
        while (true) {
            for (auto at = replies_.begin(); at != replies_.end(); ++at) {
                if (at->id == id) {
                    KvReply found = std::move(*at);
                    replies_.erase(at);
                    return found;
                }
            }
            constexpr auto maxWait = std::chrono::seconds(60);
            if (replyArrived_.wait_for(lock, maxWait) == std::cv_status::timeout) {
                ADD_FAILURE() << "no reply";
                return {};
            }
        }
    }
    KvReply call(KvRequest request)
    {
        return reply(send(std::move(request)));
    }
    KvReply put(const std::string &key, const std::string &value, std::int64_t modRevision, std::uint64_t lease = 0)
    {
        KvRequest request;
        request.op = KvOp::Txn;
        request.compares = {{key, modRevision}};
        request.puts = {{key, value, lease}};
        return call(std::move(request));
    }
    KvReply get(const std::string &key, const std::string &rangeEnd = {})
    {
        KvRequest request;
        request.key = key;
        request.rangeEnd = rangeEnd;
        return call(std::move(request));
    }
    KvHandle watch(const std::string &key, std::int64_t from = 0)
    {
        KvRequest request;
        request.op = KvOp::Watch;
        request.key = key;
        request.startRevision = from;
        return send(std::move(request));
    }
    KvReply lease(KvOp op, std::uint64_t id, Duration ttl = {})
    {
        KvRequest request;
        request.op = op;
        request.lease = id;
        request.ttl = ttl;
        return call(std::move(request));
    }
    EtcdGateway &gateway()
    {
        return gateway_;
    }

private:
    void addReply(KvReply reply)
    {
        const std::scoped_lock lock(mutex_);
        replies_.push_back(std::move(reply));
        replyArrived_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable replyArrived_;
    std::deque<KvReply> replies_;
    std::uint64_t lastId_ = 0;
    EtcdGateway gateway_;
};

/// Server that answers each connection with the given parts, with a pause after each.
class RawServer
{
public:
    RawServer(std::vector<std::string> parts, std::chrono::milliseconds pause)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread_([this, parts = std::move(parts), pause] { serve(parts, pause); })
    {
    }
    ~RawServer()
    {
        isStopped_ = true;
        thread_.join();
    }
    std::string url() const
    {
        return "http://" + socket_.address().toString();
    }

private:
    void serve(const std::vector<std::string> &parts, std::chrono::milliseconds pause)
    {
        while (!isStopped_) {
            if (!socket_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            try {
                auto connection = socket_.acceptConnection();
                std::array<char, 4096> request{};
                connection.receiveBytes(request.data(), request.size());
                for (std::size_t i = 0; i < parts.size() && !isStopped_; ++i) {
                    connection.sendBytes(parts[i].data(), static_cast<int>(parts[i].size()));
                    std::this_thread::sleep_for(pause);
                }
            } catch (const Poco::Exception &) {
                continue; // the client disconnected
            }
        }
    }

    Poco::Net::ServerSocket socket_;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

/// Returns an endpoint without a listener.
std::string closedEndpoint()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return "http://" + socket.address().toString();
}

} // namespace

TEST(EtcdGateway, keepsBinaryValuesAndComparesRevisions)
{
    const StandinProcess service("key-value");
    Client client({service.url()});
    const std::string bytes("\0\xff/plain\n", 9);
    const auto first = client.put("a", bytes, 0);
    EXPECT_EQ(first.status, KvStatus::Ok);
    const auto second = client.put("a", "late", 0);
    EXPECT_EQ(second.status, KvStatus::Conflict);
    ASSERT_EQ(second.entries.size(), 1U);
    EXPECT_EQ(second.entries[0].value, bytes);
    EXPECT_EQ(second.entries[0].modRevision, first.storeRevision);
    EXPECT_EQ(client.put("a", "next", first.storeRevision).status, KvStatus::Ok);
    client.put("b", "other", 0);
    const auto range = client.get("a", "c");
    ASSERT_EQ(range.entries.size(), 2U);
    EXPECT_EQ(range.entries[1].key, "b");
    EXPECT_TRUE(client.get("none").entries.empty());
}

TEST(EtcdGateway, largeValueIsReadBack)
{
    const StandinProcess service("key-value");
    Client client({service.url()});
    const std::string large(1U << 20, 'x');
    EXPECT_EQ(client.put("large", large, 0).status, KvStatus::Ok);
    EXPECT_EQ(client.get("large").entries.at(0).value, large);
}

TEST(EtcdGateway, revokedLeaseDeletesItsKeys)
{
    const StandinProcess service("key-value");
    Client client({service.url()});
    const auto lease = client.lease(KvOp::LeaseGrant, 0, Seconds(30));
    ASSERT_EQ(lease.status, KvStatus::Ok);
    EXPECT_EQ(lease.ttl, Seconds(30));
    EXPECT_EQ(client.put("held", "me", 0, lease.lease).status, KvStatus::Ok);
    EXPECT_EQ(client.lease(KvOp::LeaseKeepAlive, lease.lease).status, KvStatus::Ok);
    EXPECT_EQ(client.lease(KvOp::LeaseRevoke, lease.lease).status, KvStatus::Ok);
    EXPECT_TRUE(client.get("held").entries.empty());
    EXPECT_EQ(client.lease(KvOp::LeaseKeepAlive, lease.lease).status, KvStatus::LeaseGone);
    EXPECT_EQ(client.put("held", "me", 0, lease.lease).status, KvStatus::LeaseGone);
}

// Guards against reporting a write that took effect as Unavailable, and against resending it, which would look like a
// conflict.
TEST(EtcdGateway, lostReplyOfWriteIsUnknownAndNotResent)
{
    const StandinProcess service("key-value");
    const StandinProcess second("key-value");
    Client client({service.url(), second.url()});
    service.control(R"({"loseReplies":1})");
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Unknown);
    EXPECT_EQ(second.control("{}")->getValue<int>("calls"), 0);
    Client reader({service.url()});
    EXPECT_EQ(reader.get("a").entries.at(0).value, "1");
}

// Guards against an uncertain outcome for a write that was certainly not received.
TEST(EtcdGateway, refusedConnectionIsUnavailable)
{
    Client client({closedEndpoint()});
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Unavailable);
    EXPECT_EQ(client.reply(client.watch("a")).status, KvStatus::Unavailable);
}

TEST(EtcdGateway, failsOverToNextEndpoint)
{
    const StandinProcess service("key-value");
    Client client({closedEndpoint(), service.url()});
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Ok);
    EXPECT_EQ(client.get("a").status, KvStatus::Ok);
    EXPECT_GE(client.gateway().stats().failovers, 1U);
}

// Guards against waiting for a hanging service: a read had no effect, a write may still take effect.
TEST(EtcdGateway, hangingServiceTimesOut)
{
    const StandinProcess service("key-value");
    Client client({service.url()}, Milliseconds(500));
    service.control(R"({"outage":"hang"})");
    EXPECT_EQ(client.get("a").status, KvStatus::Unavailable);
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Unknown);
    service.control(R"({"outage":"none"})");
}

// Guards against a service that sends single bytes and blocks the requests queued behind beyond the timeout.
TEST(EtcdGateway, slowReplyTimesOut)
{
    std::vector<std::string> parts(6000, "x");
    parts.front() = "HTTP/1.1 200 OK\r\nContent-Length: 5999\r\n\r\n";
    const RawServer service(parts, std::chrono::milliseconds(20));
    Client client({service.url()}, Milliseconds(300));
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Unknown);
}

// Guards against a response without end that exhausts the memory.
TEST(EtcdGateway, oversizedReplyIsRejected)
{
    std::vector<std::string> parts{"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n"};
    parts.insert(parts.end(), 100, std::string(1000000, 'x'));
    const RawServer service(parts, std::chrono::milliseconds(0));
    Client client({service.url()});
    EXPECT_EQ(client.get("a").status, KvStatus::Unavailable);
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Unknown);
}

// Guards against reporting a write as refused when an unknown server replied: it may have been forwarded.
TEST(EtcdGateway, malformedReplyIsUnknown)
{
    const RawServer service({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"}, std::chrono::milliseconds(0));
    Client client({service.url()});
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Unknown);
    EXPECT_EQ(client.get("a").status, KvStatus::Unavailable);
}

TEST(EtcdGateway, rateLimitedRequestIsUnavailable)
{
    const StandinProcess service("key-value", {"--rate", "0.001"});
    Client client({service.url()});
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Unavailable);
}

// Guards against a looping process that uses up the call rate of others or delays its own keep-alives.
TEST(EtcdGateway, budgetRefusesReadsBeforeKeepAlives)
{
    const StandinProcess service("key-value");
    Client client({service.url()}, Seconds(10), 0.001);
    const auto lease = client.lease(KvOp::LeaseGrant, 0, Seconds(600));
    ASSERT_EQ(lease.status, KvStatus::Ok);
    KvStatus status = KvStatus::Ok;
    for (int i = 0; i < 10 && status == KvStatus::Ok; ++i) {
        status = client.get("a").status;
    }
    EXPECT_EQ(status, KvStatus::Unavailable);
    EXPECT_EQ(client.lease(KvOp::LeaseKeepAlive, lease.lease).status, KvStatus::Ok);
    EXPECT_GE(client.gateway().stats().overBudget, 1U);
    EXPECT_GE(client.gateway().stats().of(KvOp::Range, KvStatus::Unavailable), 1U);
}

TEST(EtcdGateway, watchReportsEachChangeOnce)
{
    const StandinProcess service("key-value");
    Client client({service.url()});
    const auto watch = client.watch("a");
    EXPECT_EQ(client.reply(watch).status, KvStatus::Ok);
    const auto written = client.put("a", "1", 0);
    const auto event = client.reply(watch);
    EXPECT_TRUE(event.isEvent);
    ASSERT_EQ(event.entries.size(), 1U);
    EXPECT_EQ(event.entries[0].value, "1");
    EXPECT_EQ(event.entries[0].modRevision, written.storeRevision);
}

// Guards against a change that is missed because it was made while the watch was disconnected.
TEST(EtcdGateway, watchResumesAfterAnOutage)
{
    const StandinProcess service("key-value");
    Client client({service.url()});
    const auto watch = client.watch("a");
    client.reply(watch);
    const auto first = client.put("a", "1", 0);
    EXPECT_EQ(client.reply(watch).entries.at(0).value, "1");
    service.control(R"({"outage":"down"})");
    while (client.gateway().stats().watchReconnects == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    service.control(R"({"outage":"none"})");
    client.put("a", "2", first.storeRevision);
    const auto event = client.reply(watch);
    ASSERT_EQ(event.entries.size(), 1U);
    EXPECT_EQ(event.entries[0].value, "2");
}

// Guards against lost changes: a watch of compacted history must report that a full read is required.
TEST(EtcdGateway, compactedWatchIsReported)
{
    const StandinProcess service("key-value");
    Client client({service.url()});
    const auto first = client.put("a", "1", 0);
    const auto second = client.put("a", "2", first.storeRevision);
    service.control("{\"compact\":" + std::to_string(second.storeRevision) + "}");
    const auto watch = client.watch("a", first.storeRevision);
    KvReply reply = client.reply(watch);
    if (reply.status == KvStatus::Ok) {
        reply = client.reply(watch);
    }
    EXPECT_EQ(reply.status, KvStatus::Compacted);
}

TEST(EtcdGateway, cancelledWatchReportsNothingMore)
{
    const StandinProcess service("key-value");
    Client client({service.url()});
    const auto watch = client.watch("a");
    client.reply(watch);
    KvRequest cancel;
    cancel.op = KvOp::WatchCancel;
    cancel.id = watch;
    EXPECT_EQ(client.call(cancel).status, KvStatus::Ok);
    while (service.control("{}")->getValue<int>("watches") > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_EQ(client.put("a", "1", 0).status, KvStatus::Ok);
}

TEST(VmList, rejectsListWithInvalidElement)
{
    const std::string validVm = R"({"name":"e1","role":"entry","state":"live","dataCentre":"d","region":"r",)"
                                R"("address":"127.0.0.1:1","new":1})";
    const auto list = parseVmList("{\"vms\":[" + validVm + "]}");
    ASSERT_TRUE(list.has_value());
    EXPECT_EQ(list->at(0).name, "e1");
    EXPECT_EQ(parseVmList("{\"vms\":[" + validVm + R"(,{"name":"e2"}]})").error(), VmListError::BadForm);
    EXPECT_EQ(parseVmList("[]").error(), VmListError::BadForm);
    EXPECT_EQ(parseVmList("{\"vms\":[" + validVm + ",1]}").error(), VmListError::BadForm);
}

TEST(VmList, refreshesOnRequest)
{
    const StandinProcess service("vm-list");
    std::mutex mutex;
    std::condition_variable resultArrived;
    std::deque<HttpVmList::Result> results;
    HttpVmList list({service.url() + "/vms", std::chrono::hours(1), Seconds(10)}, [&](HttpVmList::Result result) {
        const std::scoped_lock lock(mutex);
        results.push_back(std::move(result));
        resultArrived.notify_all();
    });
    const auto next = [&] {
        std::unique_lock lock(mutex);
        resultArrived.wait_for(lock, std::chrono::seconds(60), [&] { return !results.empty(); });
        auto result = results.front();
        results.pop_front();
        return result;
    };
    EXPECT_TRUE(next()->empty());
    service.control(R"({"vms":[{"name":"s1","role":"sidecar","state":"leaving","dataCentre":"d","region":"r",)"
                    R"("address":"127.0.0.1:1"}]})");
    list.requestRefresh();
    EXPECT_EQ(next()->at(0).state, VmState::Leaving);
    list.shutdown();
    EXPECT_EQ(readVmList(closedEndpoint(), Seconds(1)).error(), VmListError::Unreachable);
}
