// Tests of both readers of HTTP responses against bytes that are not valid by RFC 9112.
#include "platform/http_connection.h"
#include "support/cutting_server.h"
#include "support/run_on_loop.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>

namespace anvilscale::test {
namespace {

constexpr std::size_t maxBytes = 1U << 20;
constexpr Duration timeout = Seconds(20);
const std::string soundRest = "\r\nContent-Length: 2\r\n\r\nok";
const std::string soundAnswer = "HTTP/1.1 200 OK" + soundRest;
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts) {
        text += part;
    }
    return text;
}

struct ReadAnswer
{
    bool hasHead = false;
    std::uint32_t status = 0;
    std::string body;
    ExchangeEnd end = ExchangeEnd::Count;
};

/// Gives bytes to each reader as the answer to a request.
class BrokenAnswers : public testing::Test
{
protected:
    BrokenAnswers()
        : loop_("test")
    {
        runOnLoop(loop_, [this] {
            HttpClientInit init;
            init.address = NetAddress::parse(server_.address()).value();
            init.connectTimeout = timeout;
            client_ = std::make_unique<HttpClient>(loop_, init);
        });
    }
    ~BrokenAnswers() override
    {
        runOnLoop(loop_, [this] { client_.reset(); });
        loop_.stop();
    }

    ReadAnswer readByClient(const std::string &answer)
    {
        setAnswer(answer);
        std::promise<ReadAnswer> promise;
        auto read = std::make_shared<ReadAnswer>();
        runOnLoop(loop_, [&] {
            EndpointRequest request;
            request.needsNewConnection = true;
            ExchangeHandlers handlers;
            handlers.head = [read](const HttpResponseHead &head) {
                read->hasHead = true;
                read->status = head.status;
            };
            handlers.data = [read](const std::string &data) { read->body += data; };
            handlers.end = [read, &promise](ExchangeEnd end) {
                read->end = end;
                promise.set_value(*read);
            };
            client_->start(request, timeout, handlers);
        });
        return promise.get_future().get();
    }
    tl::expected<PlatformAnswer, ExchangeError> readByPlatform(const std::string &answer)
    {
        setAnswer(answer);
        HttpConnection connection("http://" + server_.address());
        return connection.exchange("GET", "/", {}, HttpConnection::Clock::now() + timeout, maxBytes);
    }

    void expectNoAnswer(const std::string &bytes)
    {
        const auto read = readByClient(bytes);
        EXPECT_FALSE(read.hasHead) << bytes;
        EXPECT_EQ(read.end, ExchangeEnd::Broken) << bytes;
        EXPECT_FALSE(readByPlatform(bytes)) << bytes;
    }
    /// The head is one, the body is not.
    void expectBrokenBody(const std::string &bytes)
    {
        EXPECT_EQ(readByClient(bytes).end, ExchangeEnd::Broken) << bytes;
        EXPECT_FALSE(readByPlatform(bytes)) << bytes;
    }
    void expectAnswer(const std::string &bytes, int status)
    {
        const auto read = readByClient(bytes);
        EXPECT_EQ(static_cast<int>(read.status), status) << bytes;
        EXPECT_EQ(read.body, "ok") << bytes;
        EXPECT_EQ(read.end, ExchangeEnd::Complete) << bytes;
        const auto platformRead = readByPlatform(bytes);
        EXPECT_TRUE(platformRead && platformRead->status == status && platformRead->body == "ok") << bytes;
    }

private:
    void setAnswer(const std::string &answer)
    {
        const std::scoped_lock lock(mutex_);
        answer_ = answer;
    }
    std::string answer()
    {
        const std::scoped_lock lock(mutex_);
        return answer_;
    }

    std::mutex mutex_;
    std::string answer_; // guarded by mutex_
    CuttingServer server_{[this](const std::string & /*request*/) { return answer(); }};
    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
};

// Guards against answers that are refused for a long field or many fields, and against those that fill the memory with
// fields.
TEST_F(BrokenAnswers, OnlyTheSizeOfAHeadIsBounded)
{
    const auto answerWith = [](std::size_t fields) {
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (std::size_t i = 0; i < fields; ++i) {
            text += "a:\r\n";
        }
        return text + soundRest.substr(2);
    };
    expectAnswer(answerWith(1000), 200);
    expectAnswer("HTTP/1.1 200 OK\r\nX-Long: " + std::string(50'000, 'v') + soundRest, 200);
    EXPECT_EQ(readByClient(answerWith(12'000)).end, ExchangeEnd::Broken);
}

// Guards against an invalid status code that reaches a caller as the status of its answer.
TEST_F(BrokenAnswers, StatusOutsideTheProtocolIsNoAnswer)
{
    for (const std::string_view status :
         {"000", "001", "099",  "99",    "20",    "2",   "+20", "-20", "20 0",       "2000",       "2x0",
          "0x1", "",    " 200", "\t200", "200\t", "600", "700", "999", "4294967496", "-4294967096"}) {
        expectNoAnswer(join({"HTTP/1.1 ", status, " OK", soundRest}));
        expectNoAnswer(join({"HTTP/1.1 ", status, soundRest}));
    }
    expectAnswer("HTTP/1.1 200 " + soundRest, 200);
    expectAnswer("HTTP/1.1 200" + soundRest, 200);
    expectAnswer("HTTP/1.1 299 a reason: of some words" + soundRest, 299);
    expectAnswer("HTTP/1.1 599 None" + soundRest, 599);
}

// Guards against an answer in another protocol that is read as one in HTTP/1.
TEST_F(BrokenAnswers, VersionOutsideTheProtocolIsNoAnswer)
{
    for (const std::string_view version :
         {"HTTP/2.0", "HTTP/2", "HTTP/9.9", "HTTP/0.9", "HTTP/1", "HTTP/1.", "HTTP/1.10", "HTTP/01.1", "HTTP/1.x",
          "http/1.1", "Http/1.1", "ICY", "HTTP/", "HTTP", "", " HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1\t"}) {
        expectNoAnswer(join({version, " 200 OK", soundRest}));
    }
    expectNoAnswer("HTTP/1.1\t200 OK" + soundRest);
    expectAnswer("HTTP/1.0 200 OK" + soundRest, 200);
    // A higher minor version is read as the highest one that is known.
    expectAnswer("HTTP/1.9 200 OK" + soundRest, 200);
}

// Guards against a connection that has changed to another protocol, whose bytes are read as the next answer.
TEST_F(BrokenAnswers, UnrequestedUpgradeIsNoInterimAnswer)
{
    expectNoAnswer("HTTP/1.1 101 Switching Protocols\r\n\r\n" + soundAnswer);
    expectNoAnswer("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + soundAnswer);
    expectNoAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n\r\n" + soundAnswer);
    expectAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + soundAnswer, 200);
}

// Guards against chunks in an answer of HTTP/1.0, which has none: the framing is not the one that the endpoint meant.
TEST_F(BrokenAnswers, ChunksInHttp10AreNoAnswer)
{
    expectNoAnswer("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    expectAnswer(chunkedHead + "2\r\nok\r\n0\r\n\r\n", 200);
}

// Guards against invalid trailers that end a body, so that a cut or garbled answer counts as complete.
TEST_F(BrokenAnswers, BodyWithBrokenTrailersIsNotComplete)
{
    const std::string body = chunkedHead + "2\r\nok\r\n0\r\n";
    for (const std::string_view trailer : {"Bad Name: x", "nocolon", ": x", "X\x01: y", "X: y\x01", "X\x7f: y", " X: y",
                                           "X : y", "X: y\r", "HTTP/1.1 200 OK"}) {
        expectBrokenBody(join({body, trailer, "\r\n\r\n"}));
        expectBrokenBody(join({body, "X-Sound: 1\r\n", trailer, "\r\n\r\n"}));
    }
    expectAnswer(body + "X-Sound: 1\r\nX-Other:\t2\r\n\r\n", 200);
}

// Guards against garbled chunk sizes that are read as sound ones.
TEST_F(BrokenAnswers, BodyWithControlBytesInChunkSizesIsNotComplete)
{
    for (const std::string_view extension : {";x=\x01", ";\x7f", ";x=y\r", ";x\b=y"}) {
        expectBrokenBody(join({chunkedHead, "2", extension, "\r\nok\r\n0\r\n\r\n"}));
        expectBrokenBody(join({chunkedHead, "2\r\nok\r\n0", extension, "\r\n\r\n"}));
    }
    expectAnswer(chunkedHead + "2;x=\"y\";\tz\r\nok\r\n0;last\r\n\r\n", 200);
}

// Guards against a line with a broken field name that is passed on to a caller, or that hides the framing of a body.
TEST_F(BrokenAnswers, BrokenFieldNamesAreNoAnswer)
{
    const std::string nul(1, '\0');
    const std::vector<std::string> lines{"X Bad: 1",    "X\x01: 1",        "X" + nul + ": 1", "X\x7f: 1",
                                         "X(: 1",       "X\": 1",          "X\x80: 1",        "X\xc3\xa9: 1",
                                         "X : 1",       "X\t: 1",          " X: 1",           "\tX: 1",
                                         ": 1",         "nocolon",         "X\rY: 1",         "X: 1\rY: 2",
                                         "X: 1\nY : 2", "X: 1\r\n folded", "X: 1" + nul,      "Content-Length : 1"};
    for (const auto &line : lines) {
        expectNoAnswer(join({"HTTP/1.1 200 OK\r\n", line, soundRest}));
        expectNoAnswer(join({"HTTP/1.1 200 OK\r\nX-Sound: 1\r\n", line, soundRest}));
    }
}

} // namespace
} // namespace anvilscale::test
