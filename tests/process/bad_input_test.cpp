// Malformed and oversized requests at an entry: each is answered with a typed error and leaves no state behind.
#include "fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

namespace {

using namespace fleet;

constexpr unsigned maxBodyBytes = 65536;

/// Sends raw bytes and returns everything received until the entry closes the connection or the read times out.
std::string sendRaw(unsigned port, const std::string &bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    std::string answer;
    try {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            sent +=
                static_cast<std::size_t>(socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
        socket.shutdownSend();
    } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the entry may close early
    }
    try {
        std::array<char, 4096> buffer{};
        for (int received = 1; received > 0;) {
            received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            answer.append(buffer.data(), static_cast<std::size_t>(std::max(received, 0)));
        }
    } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the bytes read so far are checked
    }
    return answer;
}

std::string postRequest(const std::string &path, const std::string &body, const std::string &headers = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: e\r\nConnection: close\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct BadRequest
{
    std::string description;
    std::string bytes;
    int status;
    std::string type = "bad_request";
};

std::vector<BadRequest> badRequests()
{
    const std::string model = "/v1/completions";
    const std::string good = R"({"model":"route-0","prompt":"x"})";
    const std::string deep = R"({"model":"route-0","x":)" + std::string(100, '[') + std::string(100, ']') + "}";
    const std::string chunked = "POST /v1/completions HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"not HTTP", "hello there\r\n\r\n", 400},
        {"no version", "GET /healthz\r\n\r\n", 400},
        {"other version", "GET /healthz HTTP/3.0\r\nHost: e\r\n\r\n", 400},
        {"no host", "GET /healthz HTTP/1.1\r\n\r\n", 400},
        {"two hosts", "GET /healthz HTTP/1.1\r\nHost: e\r\nHost: f\r\n\r\n", 400},
        {"space before the colon", "GET /healthz HTTP/1.1\r\nHost : e\r\n\r\n", 400},
        {"folded header", "GET /healthz HTTP/1.1\r\nHost: e\r\nA: b\r\n c\r\n\r\n", 400},
        {"bare line feeds", "GET /healthz HTTP/1.1\nHost: e\r\n\r\n", 400},
        {"control character", std::string("GET /healthz HTTP/1.1\r\nHost: e\r\nA: b\x01\r\n\r\n"), 400},
        {"absolute target", "GET http://e/healthz HTTP/1.1\r\nHost: e\r\n\r\n", 400},
        {"head too large", "GET /healthz HTTP/1.1\r\nHost: e\r\nA: " + std::string(20000, 'a') + "\r\n\r\n", 431},
        {"two lengths", "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
         400},
        {"length and chunks",
         "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         400},
        {"length is no number", "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: -1\r\n\r\n", 400},
        {"other encoding", "POST /v1/completions HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
        {"unknown expectation", postRequest(model, good, "Expect: a-miracle\r\n"), 417},
        {"chunk size is no number", chunked + "zz\r\nab\r\n0\r\n\r\n", 400},
        {"chunk longer than said", chunked + "1\r\nabc\r\n0\r\n\r\n", 400},
        {"body over the limit", postRequest(model, std::string(maxBodyBytes + 1, ' ')), 413},
        {"chunks over the limit", chunked + "20000\r\n" + std::string(0x20000, ' ') + "\r\n0\r\n\r\n", 413},
        {"empty body", postRequest(model, ""), 400},
        {"not JSON", postRequest(model, "{model"), 400},
        {"cut JSON", postRequest(model, R"({"model":"route-0")"), 400},
        {"two values", postRequest(model, good + good), 400},
        {"a list", postRequest(model, R"(["model"])"), 400},
        {"a number", postRequest(model, "17"), 400},
        {"not UTF-8", postRequest(model, "{\"model\":\"route-0\",\"prompt\":\"\xff\xfe\"}"), 400},
        {"overlong UTF-8", postRequest(model, "{\"model\":\"route-0\",\"prompt\":\"\xc0\xaf\"}"), 400},
        {"surrogate in UTF-8", postRequest(model, "{\"model\":\"route-0\",\"prompt\":\"\xed\xa0\x80\"}"), 400},
        {"cut UTF-8", postRequest(model, "{\"model\":\"route-0\",\"prompt\":\"\xe2\x82\"}"), 400},
        {"too deep", postRequest(model, deep), 400},
        {"very deep", postRequest(model, std::string(30000, '[')), 400},
        {"no model", postRequest(model, R"({"prompt":"x"})"), 400},
        {"empty model", postRequest(model, R"({"model":"","prompt":"x"})"), 400},
        {"model is a number", postRequest(model, R"({"model":7,"prompt":"x"})"), 400},
        {"model is null", postRequest(model, R"({"model":null,"prompt":"x"})"), 400},
        {"model is an object", postRequest(model, R"({"model":{"a":1},"prompt":"x"})"), 400},
        {"model twice", postRequest(model, R"({"model":"route-0","model":"route-1","prompt":"x"})"), 400},
        {"model twice, escaped", postRequest(model, R"({"model":"route-0","mod\u0065l":"route-1","prompt":"x"})"), 400},
        {"priority escaped", postRequest(model, R"({"model":"route-0","priorit\u0079":0,"prompt":"x"})"), 400},
        {"stream is text", postRequest(model, R"({"model":"route-0","stream":"yes"})"), 400},
        {"negative max_tokens", postRequest(model, R"({"model":"route-0","max_tokens":-1})"), 400},
        {"deadline is no number", postRequest(model, good, "X-Deadline-Ms: soon\r\n"), 400},
        {"deadline is zero", postRequest(model, good, "X-Deadline-Ms: 0\r\n"), 400},
        {"wrong method", "GET /v1/completions HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n", 405},
        {"no such path", "GET /v2/things HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n", 404},
        {"no service named", "GET /v1/services/ HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n", 404},
    };
}

class BadInput : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_NE(fleet_.configureRoutes(2), 0U);
        fleet_.startEntry("entry-1", R"("bodyLimitBytes":65536,"headerTimeoutMs":300,"bodyTimeoutMs":300,)"
                                     R"("connectionLimit":40)");
        fleet_.publishVmList();
        ASSERT_TRUE(eventually([&] { return request(port(), "GET", "/readyz").status == 200; }));
    }
    unsigned port()
    {
        return fleet_.httpPort("entry-1");
    }

    Fleet fleet_;
};

TEST_F(BadInput, EachGetsATypedErrorAndLeavesNoState)
{
    for (const auto &badRequest : badRequests()) {
        const auto answer = sendRaw(port(), badRequest.bytes);
        ASSERT_TRUE(answer.starts_with("HTTP/1.1 ")) << badRequest.description << ": " << answer;
        EXPECT_EQ(std::stoi(answer.substr(9)), badRequest.status) << badRequest.description << ": " << answer;
        const auto body = answer.substr(std::min(answer.find("\r\n\r\n"), answer.size() - 4) + 4);
        EXPECT_EQ(errorField(body, "type"), badRequest.type) << badRequest.description << ": " << answer;
        EXPECT_EQ(errorField(body, "verdict"), "not_run") << badRequest.description;
    }
    EXPECT_EQ(fleet_.metric("entry-1", "anvilscale_calls_total"), 0);
    EXPECT_EQ(fleet_.metric("entry-1", "anvilscale_calls_open"), 0);
    EXPECT_TRUE(eventually([&] { return fleet_.metric("entry-1", "anvilscale_http_connections_open") == 1; }));
    EXPECT_EQ(request(port(), "GET", "/healthz").status, 200);
}

// Guards against slow senders that hold connections beyond the header and body timeouts.
TEST_F(BadInput, SlowSendersAreCutOff)
{
    Poco::Net::StreamSocket head(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port())));
    Poco::Net::StreamSocket body(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port())));
    const std::string beginning = "POST /v1/completions HTTP/1.1\r\nHo";
    head.sendBytes(beginning.data(), static_cast<int>(beginning.size()));
    const std::string half = "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 100\r\n\r\n{";
    body.sendBytes(half.data(), static_cast<int>(half.size()));
    for (auto *socket : {&head, &body}) {
        socket->setReceiveTimeout(Poco::Timespan(10, 0));
        std::array<char, 512> buffer{};
        const int received = socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        ASSERT_GT(received, 0);
        EXPECT_TRUE(std::string_view(buffer.data()).starts_with("HTTP/1.1 408"));
    }
}

// Guards against connections beyond the limit: they are refused with a typed error and Retry-After.
TEST_F(BadInput, ConnectionsOverTheLimitAreRefused)
{
    std::vector<Poco::Net::StreamSocket> open;
    open.reserve(40);
    const std::string part = "G";
    for (int i = 0; i < 40; ++i) {
        open.emplace_back(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port())));
    }
    const auto refused = request(port(), "GET", "/healthz");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(errorField(refused.body, "type"), "connection_limit");
    EXPECT_EQ(refused.headers.count("Retry-After"), 1U);
    open.clear();
    EXPECT_TRUE(eventually([&] { return request(port(), "GET", "/healthz").status == 200; }));
}

TEST_F(BadInput, PipelinedRequestsAreAnsweredInOrder)
{
    const std::string one = "GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n";
    const std::string other = "GET /v2/nothing HTTP/1.1\r\nHost: e\r\n\r\n";
    const std::string last = "GET /readyz HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n";
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port())));
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    const auto all = one + other + last;
    socket.sendBytes(all.data(), static_cast<int>(all.size()));
    std::string answer;
    std::array<char, 4096> buffer{};
    for (int received = 1; received > 0;) {
        received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        answer.append(buffer.data(), static_cast<std::size_t>(std::max(received, 0)));
    }
    const auto healthy = answer.find("healthy");
    const auto nothing = answer.find("nothing at this path");
    const auto ready = answer.find("ready\":true");
    ASSERT_NE(ready, std::string::npos) << answer;
    EXPECT_LT(healthy, nothing);
    EXPECT_LT(nothing, ready);
}

TEST_F(BadInput, ContinueIsSentBeforeTheBody)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port())));
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    const std::string head =
        "POST /v1/idempotency-keys HTTP/1.1\r\nHost: e\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    std::array<char, 512> buffer{};
    socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    EXPECT_TRUE(std::string_view(buffer.data()).starts_with("HTTP/1.1 100 Continue\r\n\r\n")) << buffer.data();
    socket.sendBytes("{}", 2);
    buffer.fill(0);
    socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    EXPECT_TRUE(std::string_view(buffer.data()).starts_with("HTTP/1.1 200 ")) << buffer.data();
}

} // namespace
