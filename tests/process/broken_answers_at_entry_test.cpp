// Endpoints that send bytes that are no HTTP response: what the callers of a real entry get of them.
#include "direct_fleet.h"
#include "support/scripted_endpoint.h"

#include <Poco/Net/ServerSocket.h>

#include <future>

namespace {

using namespace fleet;
using anvilscale::test::ScriptedEndpoint;
using anvilscale::test::ScriptedRequest;

constexpr int statusBadGateway = 502;
constexpr std::size_t uploadBytes = 24U << 20; // more than the sockets hold
constexpr auto fillTime = std::chrono::milliseconds(200); // the entry writes until the sockets are full, and waits
constexpr auto stopTime = std::chrono::milliseconds(20); // until all threads of a process have stopped
constexpr int pollIntervalUs = 20'000;

/// A head without its empty line.
std::string signedHead(const std::string &statusLine, const std::string &id)
{
    return statusLine + "\r\nX-Anvilscale-Request-Id: " + id + "\r\nX-Anvilscale-Server-Signature: sig." + id + "\r\n";
}

/// A request id selects its answer: "o-3-n" the one with the fourth status line.
class BrokenAnswersAtAnEntry : public Direct
{
protected:
    void serve(const std::vector<std::string> &statusLines, const std::string &headers = {})
    {
        endpoint_ = std::make_unique<ScriptedEndpoint>([statusLines, headers](const ScriptedRequest &request) {
            const auto number = std::stoul(request.id.substr(request.id.find('-') + 1));
            return signedHead(statusLines.at(number), request.id) + headers + "Content-Length: 2\r\n\r\nok";
        });
        setPlainEndpoints(endpoint_->address());
        start();
    }
    void expectBadGateway(std::size_t number, const std::string &statusLine)
    {
        for (const std::string path : {"/n/", "/i/"}) {
            const auto id = "o-" + std::to_string(number) + "-" + path.substr(1, 1);
            EXPECT_EQ(call(path, id).status, statusBadGateway) << statusLine << " on " << path;
        }
    }

    std::unique_ptr<ScriptedEndpoint> endpoint_;
};

} // namespace

// Guards against a signed answer with an invalid status line that reaches callers, with its status or as a success.
TEST_F(BrokenAnswersAtAnEntry, OddStatusLinesDoNotReachCallers)
{
    const std::vector<std::string> lines{"HTTP/1.1 000 None", "HTTP/1.1 20 OK",  "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd",
                                         "HTTP/1.1 999 Odd",  "HTTP/2.0 200 OK", "ICY 200 OK",       "HTTP/1.1 101 Up"};
    serve(lines);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        expectBadGateway(i, lines[i]);
    }
}

// Guards against a refusal with an invalid status line, by which a caller takes its request for one that has not run.
TEST_F(BrokenAnswersAtAnEntry, OddStatusLinesProveNothing)
{
    std::vector<std::string> lines{"HTTP/1.1 000 None", "HTTP/1.1 1421 Misdirected", "HTTP/9.9 421 Misdirected",
                                   "HTTP/2.0 503 Unavailable", "HTTP/1.1 999 Odd"};
    const auto oddLines = lines.size();
    lines.emplace_back("HTTP/1.1 429");
    serve(lines, "X-Anvilscale-Not-Executed: 1\r\n");
    for (std::size_t i = 0; i < oddLines; ++i) {
        expectBadGateway(i, lines[i]);
    }
    EXPECT_EQ(call("/n/", "o-" + std::to_string(oddLines) + "-n").status, 503) << "a sound refusal";
}

// Guards against a part of an answer that a caller gets as complete: its endpoint has answered without a length before
// the upload was read, and reset the connection while the entry stood still.
TEST_F(BrokenAnswersAtAnEntry, AnswerThatIsResetDuringTheUploadDoesNotLookComplete)
{
    Poco::Net::ServerSocket endpoint(Poco::Net::SocketAddress("127.0.0.1", 0));
    setPlainEndpoints(endpoint.address().toString());
    putKey("op/config", config(2, "/n/", {}, R"({"max_body_bytes":)" + std::to_string(uploadBytes) + "}"));
    start();
    const auto &entry = *daemons_.at("entry-1");
    for (const std::string path : {"/n/", "/i/"}) {
        const auto id = "up-" + path.substr(1, 1);
        auto answer = std::async(std::launch::async, [&] {
            return request(
                httpPort_, "POST", path, std::string(uploadBytes, 'x'),
                {{"Host", "h.example"}, {"X-Anvilscale-Request-Id", id}, {"X-Anvilscale-Deadline-Ms", "20000"}});
        });
        const auto text = signedHead("HTTP/1.1 200 OK", id) + "\r\na part";
        int attempts = 0;
        while (answer.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            if (!endpoint.poll(Poco::Timespan(0, pollIntervalUs), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            auto connection = endpoint.acceptConnection();
            ++attempts;
            std::this_thread::sleep_for(fillTime);
            entry.signal(SIGSTOP);
            std::this_thread::sleep_for(stopTime);
            connection.sendBytes(text.data(), static_cast<int>(text.size()));
            connection.setLinger(true, 0);
            connection.close();
            entry.signal(SIGCONT);
        }
        EXPECT_GE(attempts, 1) << path;
        EXPECT_EQ(answer.get().status, statusBadGateway) << path;
    }
}
