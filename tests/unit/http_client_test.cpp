// The HTTP client against a server of raw sockets: how far a request got, and what becomes of connections.
#include "anvilscale/net.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <future>

namespace anvilscale {
namespace {

using Poco::Net::StreamSocket;

constexpr auto longWait = std::chrono::seconds(20);

class Client : public testing::Test
{
protected:
    Client()
        : server_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , loop_("test")
    {
        onLoop([this] {
            HttpClientInit init;
            init.address = server_.address().toString();
            init.connectTimeout = Seconds(5);
            init.keepIdle = Seconds(30);
            init.keepMargin = Milliseconds(400);
            client_ = std::make_unique<HttpClient>(loop_, init);
        });
    }
    ~Client() override
    {
        onLoop([this] { client_.reset(); });
        loop_.stop();
    }
    template<class Task>
    void onLoop(Task task)
    {
        std::promise<void> done;
        loop_.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }
    std::future<ExchangeEnd> start(const std::string &body = {})
    {
        auto end = std::make_shared<std::promise<ExchangeEnd>>();
        auto result = end->get_future();
        onLoop([&] {
            EndpointRequest request;
            request.method = "POST";
            request.body = body;
            ExchangeHandlers handlers;
            handlers.end = [end](ExchangeEnd how) { end->set_value(how); };
            id_ = client_->start(request, Duration(0), handlers);
        });
        return result;
    }
    StreamSocket accepted()
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
            const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            ASSERT_GT(got, 0);
            text.append(buffer.data(), static_cast<std::size_t>(got));
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
    static ExchangeEnd endOf(std::future<ExchangeEnd> &future)
    {
        EXPECT_EQ(future.wait_for(longWait), std::future_status::ready);
        return future.get();
    }
    std::uint64_t connections()
    {
        std::uint64_t count = 0;
        onLoop([&] { count = client_->counts().connections; });
        return count;
    }

    Poco::Net::ServerSocket server_;
    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
    ExchangeId id_ = 0;
};

// A caller leaves while the network to the endpoint is cut; the request waits in the kernel. If the connection were
// closed in the usual way it would be delivered when the cut is over and run for nobody. The endpoint must see a reset.
TEST_F(Client, AnAbortResetsTheConnection)
{
    auto end = start("body");
    auto socket = accepted();
    readRequest(socket);
    onLoop([this] { client_->abort(id_); });
    std::array<char, 16> buffer{};
    EXPECT_THROW(
        {
            while (socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
            }
        },
        Poco::Net::ConnectionResetException);
}

// An answer without a length ends with its connection. One that is reset on the way is not whole, and the caller must
// not be told that it is.
TEST_F(Client, AResetIsNotTheEndOfAnAnswerWithoutLength)
{
    auto whole = start();
    {
        auto socket = accepted();
        readRequest(socket);
        send(socket, "HTTP/1.1 200 OK\r\n\r\nall");
        socket.close();
    }
    EXPECT_EQ(endOf(whole), ExchangeEnd::Complete);
    auto broken = start();
    {
        auto socket = accepted();
        readRequest(socket);
        send(socket, "HTTP/1.1 200 OK\r\n\r\na part");
        reset(socket);
    }
    EXPECT_EQ(endOf(broken), ExchangeEnd::Broken);
}

// The endpoint answers before it has read a long body, and reads on later. The rest of that body is still due on this
// connection: a new request on it would be taken for it, and run with other bytes.
TEST_F(Client, AnAnswerBeforeTheBodyIsOutEndsTheConnection)
{
    auto early = start(std::string(64U << 20, 'x'));
    auto socket = accepted();
    send(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nKeep-Alive: timeout=30\r\n\r\n");
    EXPECT_EQ(endOf(early), ExchangeEnd::Complete);
    auto next = start();
    auto second = accepted();
    readRequest(second);
    send(second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(endOf(next), ExchangeEnd::Complete);
    EXPECT_EQ(connections(), 2U);
}

// The endpoint says that it closes idle connections after no whole second. A request sent at that moment would be lost
// with an unknown outcome, so the connection is not used again; one that is kept longer is.
TEST_F(Client, ConnectionsAreKeptAsLongAsTheEndpointSays)
{
    auto first = start();
    auto socket = accepted();
    readRequest(socket);
    send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n");
    EXPECT_EQ(endOf(first), ExchangeEnd::Complete);
    auto second = start();
    auto kept = accepted();
    readRequest(kept);
    send(kept, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=30\r\n\r\n");
    EXPECT_EQ(endOf(second), ExchangeEnd::Complete);
    auto third = start();
    readRequest(kept);
    send(kept, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(endOf(third), ExchangeEnd::Complete);
    EXPECT_EQ(connections(), 2U);
}

} // namespace
} // namespace anvilscale
