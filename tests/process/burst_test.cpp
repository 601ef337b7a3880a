// Many calls at once at endpoints that accept no connection for some time.
#include "direct_fleet.h"

#include <future>

namespace fleet {
namespace {

constexpr int callCount = 150; // more than the listeners of both plain endpoints queue
constexpr auto pauseTime = std::chrono::seconds(2);

class Burst : public Direct
{
protected:
    void signalPlainEndpoints(int number)
    {
        for (const auto *name : {"plain-1", "plain-2"}) {
            fleet_.process(name).signal(number);
        }
    }
};

// Guards against calls without an answer whose connections do not fit into the queue of an endpoint's listener.
TEST_F(Burst, CallsAreAnsweredWhenEndpointsAcceptLate)
{
    start();
    signalPlainEndpoints(SIGSTOP);
    std::vector<std::future<Answer>> answers;
    answers.reserve(callCount);
    for (int i = 0; i < callCount; ++i) {
        answers.push_back(
            std::async(std::launch::async, [this, i] { return call("/i/", "burst-" + std::to_string(i)); }));
    }
    std::this_thread::sleep_for(pauseTime);
    signalPlainEndpoints(SIGCONT);
    std::map<int, int> count;
    for (auto &answer : answers) {
        ++count[answer.get().status];
    }
    EXPECT_EQ(count[0], 0) << "calls without an answer";
    EXPECT_EQ(call("/i/", "after").status, 200);
    for (const auto &[status, calls] : count) {
        RecordProperty("status-" + std::to_string(status), calls);
    }
}

} // namespace
} // namespace fleet
