// Tests of the platform adapters against services that stop in the middle of an answer, at each byte of it.
#include "platform/http_connection.h"
#include "support/cutting_server.h"
#include "support/scripted_endpoint.h"

#include "anvilscale/platform.h"

#include <gtest/gtest.h>

#include <future>
#include <map>

namespace anvilscale::test {
namespace {

constexpr std::size_t maxBytes = 1U << 20;
constexpr Duration timeout = Seconds(20);

/// Serves one answer cut to a length that the test sets.
class Cutter
{
public:
    std::string url() const
    {
        return "http://" + server_.address();
    }
    void set(const std::string &answer)
    {
        const std::scoped_lock lock(mutex_);
        answer_ = answer;
    }

private:
    std::string current() const
    {
        const std::scoped_lock lock(mutex_);
        return answer_;
    }

    mutable std::mutex mutex_;
    std::string answer_;
    CuttingServer server_{[this](const std::string & /*request*/) { return current(); }};
};

KvReply replyTo(const std::string &url, KvOp op)
{
    std::promise<KvReply> promise;
    EtcdGateway gateway({{url}, timeout, 1000.0}, [&](KvReply reply) { promise.set_value(std::move(reply)); });
    KvRequest request;
    request.id = KvHandle{1};
    request.op = op;
    request.key = "k";
    request.lease = 7;
    request.ttl = Seconds(10);
    if (op == KvOp::Txn) {
        request.compares = {{"k", 4}};
        request.puts = {{"k", "v", 0}};
    }
    gateway.submit(request);
    auto reply = promise.get_future().get();
    gateway.shutdown();
    return reply;
}

/// Answers to requests of the store, whole.
const std::map<KvOp, std::string> answers{
    {KvOp::Range,
     R"({"header":{"revision":"9"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"4"}],"count":"1"})"},
    {KvOp::Txn, R"({"header":{"revision":"9"},"succeeded":true,"responses":[{"response_put":{}}]})"},
    {KvOp::LeaseGrant, R"({"header":{"revision":"9"},"ID":"7","TTL":"10"})"},
    {KvOp::LeaseKeepAlive, R"({"result":{"header":{"revision":"9"},"ID":"7","TTL":"10"}})"},
    {KvOp::LeaseRevoke, R"({"header":{"revision":"9"}})"},
};

} // namespace

// Guards against an answer that ends inside its head, a chunk or its trailers and is taken for whole, with a short body
// or none.
TEST(PlatformCutAnswers, ConnectionTakesNoCutAnswerForWhole)
{
    const std::string body = R"({"a":"some text"})";
    Cutter cutter;
    HttpConnection connection(cutter.url());
    for (const auto &answer : framedAnswers(body)) {
        for (std::size_t length = 0; length <= answer.size(); ++length) {
            cutter.set(answer.substr(0, length));
            const auto read = connection.exchange("GET", "/", {}, HttpConnection::Clock::now() + timeout, maxBytes);
            EXPECT_EQ(read.has_value(), length == answer.size()) << answer.substr(0, length);
            EXPECT_TRUE(!read || read->body == body) << answer.substr(0, length);
        }
    }
}

// Guards against a body whose framing breaks off with bytes that are no chunk and that is taken for whole.
TEST(PlatformCutAnswers, ConnectionTakesNoBrokenFramingForWhole)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    Cutter cutter;
    HttpConnection connection(cutter.url());
    for (const auto *chunks : {"2\r\n{}\r\nzz\r\n", "2\r\n{}\r\n\r\n0\r\n\r\n", "2\r\n{}!\r\n0\r\n\r\n", "\r\n\r\n"}) {
        cutter.set(chunked + chunks);
        const auto read = connection.exchange("GET", "/", {}, HttpConnection::Clock::now() + timeout, maxBytes);
        EXPECT_FALSE(read) << chunks;
    }
}

// Guards against bytes beyond an answer that are read as the answer to the next request: a write would count as done by
// the outcome of another one.
TEST(PlatformCutAnswers, BytesBeyondAnAnswerAreNotTheNextOne)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    std::atomic<int> requests = 0;
    const ScriptedEndpoint server([&](const ScriptedRequest & /*request*/) {
        const auto number = std::to_string(++requests);
        return interim + ScriptedEndpoint::answer("200 OK", "", number) + ScriptedEndpoint::answer("200 OK", "", "old");
    });
    HttpConnection connection("http://" + server.address());
    for (int i = 1; i <= 3; ++i) {
        const auto read = connection.exchange("GET", "/", {}, HttpConnection::Clock::now() + timeout, maxBytes);
        ASSERT_TRUE(read);
        EXPECT_EQ(read->status, 200);
        EXPECT_EQ(read->body, std::to_string(i));
    }
}

// Guards against an interim answer that is taken for the answer, or that makes a cut answer whole.
TEST(PlatformCutAnswers, InterimAnswersAreNoAnswer)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
    const std::string answer = interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    Cutter cutter;
    HttpConnection connection(cutter.url());
    for (std::size_t length = 0; length <= answer.size(); ++length) {
        cutter.set(answer.substr(0, length));
        const auto read = connection.exchange("GET", "/", {}, HttpConnection::Clock::now() + timeout, maxBytes);
        EXPECT_EQ(read.has_value(), length == answer.size()) << answer.substr(0, length);
        EXPECT_TRUE(!read || (read->status == 200 && read->body == "{}"));
    }
}

// Guards against a cut answer that counts as an acknowledged write, a granted or ended lease, or a key that is gone.
// Without a length or chunks only the body itself shows the cut.
TEST(PlatformCutAnswers, StoreGivesNoOutcomeOfACutAnswer)
{
    Cutter cutter;
    for (const auto &[op, body] : answers) {
        const auto framed = framedAnswers(body);
        std::vector<std::string> forms(framed.begin(), framed.end());
        forms.push_back("HTTP/1.1 200 OK\r\n\r\n" + body);
        const bool isWrite = op == KvOp::Txn || op == KvOp::LeaseGrant || op == KvOp::LeaseRevoke;
        for (const auto &answer : forms) {
            for (std::size_t length = 0; length < answer.size(); ++length) {
                cutter.set(answer.substr(0, length));
                const auto reply = replyTo(cutter.url(), op);
                const bool isFailure =
                    reply.status == KvStatus::Unknown || (!isWrite && reply.status == KvStatus::Unavailable);
                EXPECT_TRUE(isFailure) << toString(op) << " " << answer.substr(0, length);
                EXPECT_TRUE(reply.entries.empty());
                EXPECT_EQ(reply.lease, 0U);
            }
            cutter.set(answer);
            EXPECT_EQ(replyTo(cutter.url(), op).status, KvStatus::Ok) << toString(op) << " " << answer;
        }
    }
}

// Guards against a cut answer that counts as a list without VMs, or with a part of them.
TEST(PlatformCutAnswers, VmListIsNotReadFromACutAnswer)
{
    const std::string body = R"({"vms":[{"name":"a","role":"entry","state":"live","dataCentre":"d","region":"r",)"
                             R"("address":"1.2.3.4"}]})";
    const auto framed = framedAnswers(body);
    std::vector<std::string> forms(framed.begin(), framed.end());
    forms.push_back("HTTP/1.1 200 OK\r\n\r\n" + body);
    Cutter cutter;
    for (const auto &answer : forms) {
        for (std::size_t length = 0; length < answer.size(); ++length) {
            cutter.set(answer.substr(0, length));
            EXPECT_FALSE(readVmList(cutter.url(), timeout)) << answer.substr(0, length);
        }
        cutter.set(answer);
        const auto list = readVmList(cutter.url(), timeout);
        ASSERT_TRUE(list) << answer;
        EXPECT_EQ(list->size(), 1U);
    }
}

} // namespace anvilscale::test
