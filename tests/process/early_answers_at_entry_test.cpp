// Uploads through a real entry to an endpoint that answers before it has read them and resets the connection, beside
// other load.
#include "direct_fleet.h"
#include "support/early_resets.h"

namespace {

using namespace fleet;
using anvilscale::test::BusyThreads;
using anvilscale::test::EarlyResetServer;

constexpr int statusBadGateway = 502;
constexpr std::size_t uploadBytes = 4U << 20;
constexpr int rounds = 24;

class EarlyAnswersAtAnEntry : public Direct
{
protected:
    static std::string partialAnswer(const std::string &head)
    {
        const std::string name = "X-Anvilscale-Request-Id: ";
        const auto at = head.find(name);
        const auto id = at == std::string::npos ? std::string() : head.substr(at, head.find('\r', at) - at);
        return "HTTP/1.1 200 OK\r\n" + id + "\r\nX-Anvilscale-Server-Signature: sig\r\n\r\na part";
    }

    EarlyResetServer endpoint_{78, partialAnswer};
    BusyThreads busyThreads_{std::thread::hardware_concurrency()};
};

} // namespace

// Guards against a caller that gets the part of a reset answer as a whole one: it has no length, and the upload was
// still being written.
TEST_F(EarlyAnswersAtAnEntry, PartOfAnAnswerDoesNotLookComplete)
{
    setPlainEndpoints(endpoint_.address());
    start();
    for (int round = 0; round < rounds; ++round) {
        const auto answer = request(httpPort_, "POST", "/n/x", std::string(uploadBytes, 'x'),
                                    {{"Host", "h.example"},
                                     {"X-Anvilscale-Request-Id", "up-" + std::to_string(round)},
                                     {"X-Anvilscale-Deadline-Ms", "5000"}});
        EXPECT_EQ(answer.status, statusBadGateway) << round;
    }
    EXPECT_GE(endpoint_.resets(), static_cast<std::size_t>(rounds));
}
