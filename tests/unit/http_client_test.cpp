// Tests of the HTTP client against a server of raw sockets: outcomes of exchanges and reuse of connections.
#include "support/run_on_loop.h"

#include "anvilscale/net.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <future>
#include <map>

namespace anvilscale {
namespace {

using Poco::Net::StreamSocket;
using test::runOnLoop;

constexpr auto maxWait = std::chrono::seconds(20);
constexpr std::size_t uploadBytes = 48U << 20; // more than the sockets hold

class HttpClientTest : public testing::Test
{
protected:
    HttpClientTest()
        : server_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , loop_("test")
    {
        runOnLoop(loop_, [this] {
            HttpClientInit init;
            init.address = NetAddress::parse(server_.address().toString()).value();
            init.connectTimeout = Seconds(5);
            init.maxIdleTime = Seconds(30);
            init.idleMargin = Milliseconds(400);
            client_ = std::make_unique<HttpClient>(loop_, init);
        });
    }
    ~HttpClientTest() override
    {
        runOnLoop(loop_, [this] { client_.reset(); });
        loop_.stop();
    }
    std::future<ExchangeEnd> start(const std::string &body = {})
    {
        auto end = std::make_shared<std::promise<ExchangeEnd>>();
        auto result = end->get_future();
        runOnLoop(loop_, [&] {
            EndpointRequest request;
            request.method = "POST";
            request.body = body;
            ExchangeHandlers handlers;
            handlers.end = [end](ExchangeEnd exchangeEnd) { end->set_value(exchangeEnd); };
            id_ = client_->start(request, Duration(0), handlers);
        });
        return result;
    }
    StreamSocket acceptConnection()
    {
        auto socket = server_.acceptConnection();
        socket.setReceiveTimeout(Poco::Timespan(20, 0));
        return socket;
    }
    static void readRequest(StreamSocket &socket)
    {
        std::string text;
        std::array<char, 4096> buffer{};
        while (text.find("\r\n\r\n") == std::string::npos) {
            const int received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            ASSERT_GT(received, 0);
            text.append(buffer.data(), static_cast<std::size_t>(received));
        }
    }
    static void send(StreamSocket &socket, const std::string &text)
    {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
    }
    static void reset(StreamSocket &socket)
    {
        socket.setLinger(true, 0);
        socket.close();
    }
    /// Starts a long upload. The endpoint reads `readBytes` of it, sends `answer` while the client's thread stands
    /// still, and ends the connection with `finish`, so that the client's next write fails before it reads the answer.
    template<class Finish>
    ExchangeEnd answerDuringUpload(const std::string &answer, std::size_t readBytes, Finish finish)
    {
        auto end = start(std::string(uploadBytes, 'x'));
        auto socket = acceptConnection();
        std::vector<char> buffer(readBytes);
        for (std::size_t got = 0; got < readBytes;) {
            const int received = socket.receiveBytes(buffer.data(), static_cast<int>(readBytes - got));
            got += static_cast<std::size_t>(std::max(received, 1));
        }
        std::promise<void> standsStill;
        std::promise<void> goesOn;
        loop_.post([&] {
            standsStill.set_value();
            goesOn.get_future().wait();
        });
        standsStill.get_future().wait();
        send(socket, answer);
        finish(socket);
        goesOn.set_value();
        return waitForEnd(end);
    }
    static ExchangeEnd waitForEnd(std::future<ExchangeEnd> &future)
    {
        EXPECT_EQ(future.wait_for(maxWait), std::future_status::ready);
        return future.get();
    }
    std::uint64_t connectionCount()
    {
        std::uint64_t count = 0;
        runOnLoop(loop_, [&] { count = client_->counts().connections; });
        return count;
    }

    Poco::Net::ServerSocket server_;
    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
    ExchangeId id_ = 0;
};

// Guards against the end of an exchange that is reported after its abort, to an owner that may be gone: no descriptor
// was free for its connection.
TEST_F(HttpClientTest, AbortEndsAnExchangeWithoutAConnection)
{
    rlimit before{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
    int ends = 0;
    runOnLoop(loop_, [&] {
        const rlimit none{0, before.rlim_max};
        ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
        ExchangeHandlers handlers;
        handlers.end = [&ends](ExchangeEnd) { ++ends; };
        client_->abort(client_->start(EndpointRequest(), Duration(0), handlers));
        client_->start(EndpointRequest(), Duration(0), handlers);
        ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
    });
    runOnLoop(loop_, [] {});
    EXPECT_EQ(ends, 1);
}

// Guards against a request that is queued during a network partition and delivered after its caller has left: an
// abort must reset the connection.
TEST_F(HttpClientTest, AbortResetsConnection)
{
    auto end = start("body");
    auto socket = acceptConnection();
    readRequest(socket);
    runOnLoop(loop_, [this] { client_->abort(id_); });
    std::array<char, 16> buffer{};
    EXPECT_THROW(
        {
            while (socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
            }
        },
        Poco::Net::ConnectionResetException);
}

// Guards against reporting a truncated response without a length as complete.
TEST_F(HttpClientTest, ResetBreaksResponseWithoutLength)
{
    auto complete = start();
    {
        auto socket = acceptConnection();
        readRequest(socket);
        send(socket, "HTTP/1.1 200 OK\r\n\r\nall");
        socket.close();
    }
    EXPECT_EQ(waitForEnd(complete), ExchangeEnd::Complete);
    auto broken = start();
    {
        auto socket = acceptConnection();
        readRequest(socket);
        send(socket, "HTTP/1.1 200 OK\r\n\r\na part");
        reset(socket);
    }
    EXPECT_EQ(waitForEnd(broken), ExchangeEnd::Broken);
}

// Guards against taking a stream for complete that its endpoint broke off inside an event, however it is framed.
TEST_F(HttpClientTest, StreamThatEndsInsideAnEventIsTruncated)
{
    const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n";
    const std::map<std::string, ExchangeEnd> ends{
        {"\r\ndata: a\n\n", ExchangeEnd::Complete},
        {"\r\ndata: a\n\ndata: b\n", ExchangeEnd::Truncated},
        {"\r\n", ExchangeEnd::Truncated},
        {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ExchangeEnd::Complete},
        {"Content-Length: 9\r\n\r\ndata: a\n\n", ExchangeEnd::Complete},
        {"Content-Length: 7\r\n\r\ndata: a", ExchangeEnd::Truncated},
        {"Content-Length: 9\r\n\r\ndata: a", ExchangeEnd::Broken},
        {"Transfer-Encoding: chunked\r\n\r\n7\r\ndata: a\r\n0\r\n\r\n", ExchangeEnd::Truncated},
        {"Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n", ExchangeEnd::Broken},
    };
    for (const auto &[response, expected] : ends) {
        auto end = start();
        auto socket = acceptConnection();
        readRequest(socket);
        send(socket, head + response);
        socket.close();
        EXPECT_EQ(waitForEnd(end), expected) << response;
    }
}

// Guards against reusing a connection whose request body is not sent completely: the endpoint would read the next
// request as part of that body.
TEST_F(HttpClientTest, EarlyResponseEndsConnection)
{
    auto early = start(std::string(64U << 20, 'x'));
    auto socket = acceptConnection();
    send(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nKeep-Alive: timeout=30\r\n\r\n");
    EXPECT_EQ(waitForEnd(early), ExchangeEnd::Complete);
    auto next = start();
    auto second = acceptConnection();
    readRequest(second);
    send(second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(waitForEnd(next), ExchangeEnd::Complete);
    EXPECT_EQ(connectionCount(), 2U);
}

// Guards against a part of an answer that counts as complete: the failed write takes the error of the connection, and
// the read after it meets an ordinary end.
TEST_F(HttpClientTest, UnframedResponseOfAConnectionThatBrokeDuringTheUploadIsNotComplete)
{
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\n\r\na part", "HTTP/1.0 200 OK\r\n\r\na part", "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n", "HTTP/1.1 200 OK\r\n"};
    const auto closeUnread = [](StreamSocket &socket) { socket.close(); };
    for (const auto &answer : answers) {
        for (const std::size_t readBytes : {1U, 64U << 10, 700U << 10}) {
            EXPECT_EQ(answerDuringUpload(answer, readBytes, reset), ExchangeEnd::Broken) << answer << readBytes;
            EXPECT_EQ(answerDuringUpload(answer, readBytes, closeUnread), ExchangeEnd::Broken) << answer << readBytes;
        }
    }
}

// Guards against answers that are discarded although they are complete, and against the reuse of their connections.
TEST_F(HttpClientTest, CompleteResponseDuringAnUploadIsDelivered)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n";
    const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=30\r\n\r\nall";
    const auto before = connectionCount();
    EXPECT_EQ(answerDuringUpload(withLength, 1, reset), ExchangeEnd::Complete);
    EXPECT_EQ(answerDuringUpload(chunked, 1, reset), ExchangeEnd::Complete);
    // An endpoint that ends its answer in order may go on reading.
    const auto shutDown = [](StreamSocket &socket) { socket.shutdownSend(); };
    EXPECT_EQ(answerDuringUpload("HTTP/1.1 200 OK\r\n\r\nall", 1, shutDown), ExchangeEnd::Complete);
    EXPECT_EQ(connectionCount() - before, 3U);
}

// Guards against sending a request on a connection that the endpoint is about to close, which would leave its outcome
// unknown.
TEST_F(HttpClientTest, KeepAliveTimeoutIsHonoured)
{
    auto first = start();
    auto socket = acceptConnection();
    readRequest(socket);
    send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n");
    EXPECT_EQ(waitForEnd(first), ExchangeEnd::Complete);
    auto second = start();
    auto reused = acceptConnection();
    readRequest(reused);
    send(reused, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=30\r\n\r\n");
    EXPECT_EQ(waitForEnd(second), ExchangeEnd::Complete);
    auto third = start();
    readRequest(reused);
    send(reused, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(waitForEnd(third), ExchangeEnd::Complete);
    EXPECT_EQ(connectionCount(), 2U);
}

} // namespace
} // namespace anvilscale
