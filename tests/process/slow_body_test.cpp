// Calls whose bodies arrive slowly.
#include "direct_fleet.h"

#include <Poco/Net/ServerSocket.h>

namespace fleet {
namespace {

constexpr int callerTimeMs = 6000;
constexpr int bodyTimeMs = 1000; // from the head to the body
constexpr int maxWaitS = 20;
const std::string timeLeftHeader = "X-Anvilscale-Deadline-Ms: ";

std::string readHead(Poco::Net::StreamSocket connection)
{
    std::string input;
    std::array<char, 4096> buffer{};
    connection.setReceiveTimeout(Poco::Timespan(maxWaitS, 0));
    while (input.find("\r\n\r\n") == std::string::npos) {
        const int got = connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (got <= 0) {
            break;
        }
        input.append(buffer.data(), static_cast<std::size_t>(got));
    }
    return input;
}

class SlowBody : public Direct
{
};

// Guards against calls that go on after their callers have left, as their time is counted from the end of the body.
TEST_F(SlowBody, TimeOfTheBodyIsPartOfTheTimeOfTheCall)
{
    Poco::Net::ServerSocket endpoint(Poco::Net::SocketAddress("127.0.0.1", 0));
    setPlainEndpoints(endpoint.address().toString());
    start();
    Poco::Net::StreamSocket caller(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(httpPort_)));
    const std::string head = "POST /i/ HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: slow\r\n"
                             + timeLeftHeader + std::to_string(callerTimeMs) + "\r\nContent-Length: 4\r\n\r\n";
    caller.sendBytes(head.data(), static_cast<int>(head.size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(bodyTimeMs));
    caller.sendBytes("body", 4);
    ASSERT_TRUE(endpoint.poll(Poco::Timespan(maxWaitS, 0), Poco::Net::Socket::SELECT_READ));
    const auto forwarded = readHead(endpoint.acceptConnection());
    const auto found = forwarded.find(timeLeftHeader);
    ASSERT_NE(found, std::string::npos) << forwarded;
    EXPECT_LE(std::stoi(forwarded.substr(found + timeLeftHeader.size())), callerTimeMs - bodyTimeMs);
}

} // namespace
} // namespace fleet
