// Entries and sidecars whose endpoints send bytes without end: in place of an answer or a report, after a refusal or
// after a failure of their own.
#include "direct_fleet.h"
#include "support/endless_server.h"

namespace {

using namespace fleet;
using anvilscale::test::EndlessAnswer;
using anvilscale::test::EndlessBytes;
using anvilscale::test::endlessBytes;
using anvilscale::test::EndlessServer;

constexpr std::uint64_t maxResidentKb = 100'000;

/// What the head of the endless answer says.
enum class Head : std::uint8_t {
    Foreign, ///< not an answer of an endpoint
    Refusal,
    Failure
};

class EndlessRelay : public Direct, public testing::WithParamInterface<EndlessAnswer>
{
protected:
    static EndlessBytes makeBytes(Head head, const std::string &requestHead)
    {
        const std::string name = "X-Anvilscale-Request-Id: ";
        const auto at = requestHead.find(name);
        const auto id =
            at == std::string::npos ? std::string() : requestHead.substr(at, requestHead.find('\r', at) - at);
        switch (head) {
        case Head::Foreign:
            return endlessBytes(GetParam());
        case Head::Refusal:
            return endlessBytes(GetParam(), id + "\r\nX-Anvilscale-Not-Executed: 1\r\n");
        case Head::Failure:
            break;
        }
        auto bytes = endlessBytes(GetParam(), id + "\r\nX-Anvilscale-Server-Signature: s\r\n");
        if (const auto status = bytes.prefix.find("200 OK"); status != std::string::npos) {
            bytes.prefix.replace(status, 6, "500 Failed");
        }
        return bytes;
    }

    /// Makes the server the only endpoint of the plain service.
    void usePlainEndpoint(const std::string &address)
    {
        controlStandin(storePort_, R"({"deletes":["servers/p-1","servers/p-2"]})");
        putKey("servers/p-3", record("plain", address));
        start();
    }
};

} // namespace

// Guards against an entry that exceeds its memory, and against callers without an answer.
TEST_P(EndlessRelay, EndpointIsCutAndCallerIsAnswered)
{
    Head head = Head::Foreign;
    EndlessServer server([&head](const std::string &requestHead) { return makeBytes(head, requestHead); });
    usePlainEndpoint(server.address());
    for (const auto next : {Head::Foreign, Head::Refusal, Head::Failure}) {
        head = next;
        const auto answer = call("/n/x", "r-" + std::to_string(static_cast<int>(next)));
        EXPECT_GE(answer.status, 500);
        EXPECT_LE(answer.status, 504);
    }
    EXPECT_TRUE(server.hasBeenClosed());
    EXPECT_TRUE(eventually([&] { return server.connectionCount() == 3; })) << "each call has reached the endpoint";
    EXPECT_LT(daemons_["entry-1"]->residentKb(), maxResidentKb);
    EXPECT_EQ(readinessStatus(), 200);
}

// Guards against a sidecar that exceeds its memory because its engine sends bytes that are no report.
TEST_P(EndlessRelay, EngineIsCutByItsSidecar)
{
    EndlessServer server(GetParam());
    const Poco::Net::SocketAddress address(server.address());
    startSidecar("side-1", address.host().toString(), address.port());
    EXPECT_TRUE(server.hasBeenClosed());
    EXPECT_LT(daemons_["side-1"]->residentKb(), maxResidentKb);
}

INSTANTIATE_TEST_SUITE_P(All, EndlessRelay, testing::ValuesIn(anvilscale::test::allEndlessAnswers));
