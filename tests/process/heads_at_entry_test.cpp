// Heads of requests and answers on their way through a real entry.
#include "direct_fleet.h"
#include "support/scripted_endpoint.h"

#include <mutex>

namespace {

using namespace fleet;
using anvilscale::test::ScriptedEndpoint;
using anvilscale::test::ScriptedRequest;

constexpr int statusOk = 200;
constexpr int rounds = 5;

class HeadsAtAnEntry : public Direct
{
protected:
    void serve(const std::string &answerFields = {})
    {
        endpoint_ = std::make_unique<ScriptedEndpoint>([this, answerFields](const ScriptedRequest &request) {
            const std::scoped_lock lock(mutex_);
            heads_[request.id] = request.head;
            return ScriptedEndpoint::answer("200 OK",
                                            "X-Anvilscale-Request-Id: " + request.id
                                                + "\r\nX-Anvilscale-Server-Signature: sig\r\n" + answerFields,
                                            "ok");
        });
        setPlainEndpoints(endpoint_->address());
        start();
    }
    /// Heads that the endpoint has got, by the id of the request.
    std::map<std::string, std::string> heads()
    {
        const std::scoped_lock lock(mutex_);
        return heads_;
    }
    /// Sends a request with these header lines. Returns all bytes of the answer.
    std::string send(const std::string &id, const std::string &lines) const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(httpPort_)));
        const auto text = "GET /i/1 HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
                          + "\r\nX-Anvilscale-Deadline-Ms: 5000\r\n" + lines + "Connection: close\r\n\r\n";
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        std::string bytes;
        std::array<char, 4096> buffer{};
        for (int got = 1; got > 0;) {
            got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            bytes.append(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
        }
        return bytes;
    }
    static int statusOf(const std::string &answer)
    {
        return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> heads_; // guarded by mutex_
    std::unique_ptr<ScriptedEndpoint> endpoint_;
};

} // namespace

// Guards against a request that no caller sent: it is hidden in an encoded word of a field, and the endpoint runs it.
TEST_F(HeadsAtAnEntry, EncodedWordsHideNoRequest)
{
    serve();
    for (int i = 0; i < rounds; ++i) {
        const auto number = std::to_string(i);
        const auto line = "X-Note: =?utf-8?q?a=0D=0A=0D=0AGET_/i/hidden_HTTP/1.1=0D=0AHost:_h.example=0D=0A"
                          "X-Anvilscale-Request-Id:_hidden-"
                          + number + "=0D=0AX-Rest:_b?=";
        EXPECT_EQ(statusOf(send("sent-" + number, line + "\r\n")), statusOk);
        const auto all = heads();
        EXPECT_EQ(all.count("hidden-" + number), 0U);
        EXPECT_NE(all.at("sent-" + number).find("\r\n" + line), std::string::npos) << "unchanged";
    }
}

// Guards against fields that only the system may set, as an encoded word gives them.
TEST_F(HeadsAtAnEntry, EncodedWordsSetNoFieldOfTheSystem)
{
    serve();
    EXPECT_EQ(statusOf(send("sent", "X-Note: =?utf-8?q?a=0D=0AX-Anvilscale-Hold:_1?=\r\n")), statusOk);
    EXPECT_EQ(heads().at("sent").find("\r\nX-Anvilscale-Hold"), std::string::npos);
}

// Guards against an answer that an endpoint's field adds on the connection to the caller.
TEST_F(HeadsAtAnEntry, EncodedWordsHideNoAnswer)
{
    const std::string line = "X-Note: =?utf-8?q?a=0D=0A=0D=0AHTTP/1.1_200_OK=0D=0AX-Rest:_b?=";
    serve(line + "\r\n");
    const auto answer = send("sent", "");
    EXPECT_EQ(statusOf(answer), statusOk);
    EXPECT_NE(answer.find("\r\n" + line + "\r\n"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("\r\nHTTP/1.1"), std::string::npos) << answer;
}

// Guards against proper requests that are denied for a long field or for many fields.
TEST_F(HeadsAtAnEntry, HeadsWithinTheLimitAreServed)
{
    serve();
    const auto longField = "X-Anvilscale-Prefix-Hash: " + std::string(12'000, '1') + ":5\r\n";
    std::string manyFields;
    for (int i = 0; i < 800; ++i) {
        manyFields += "X-Note-" + std::to_string(i) + ": 1\r\n";
    }
    EXPECT_EQ(statusOf(send("long", longField)), statusOk);
    EXPECT_EQ(statusOf(send("many", manyFields)), statusOk);
    const auto all = heads();
    EXPECT_NE(all.at("long").find("\r\n" + longField), std::string::npos);
    EXPECT_NE(all.at("many").find("\r\n" + manyFields), std::string::npos);
    EXPECT_EQ(statusOf(send("over", "X-Note: " + std::string(20'000, 'v') + "\r\n")), 431);
}
