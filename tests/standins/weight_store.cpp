// The weight store: POST /load {"name"} answers when the load is through. Its rate is shared by the loads that run at
// once, with a loss for each further one, so that one at a time is fastest. POST /standin sets {"rate", "penalty",
// "failNext", "failName", "outage"}; GET /standin/record prints how many loads there were and how many at once.
#include "http_host.h"
#include "subcommands.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <mutex>
#include <thread>

namespace standins {

namespace {
constexpr std::chrono::milliseconds step(2);

class WeightStoreHost
{
public:
    explicit WeightStoreHost(const cxxopts::ParseResult &options)
        : rate_(options["rate"].as<double>())
        , penalty_(options["penalty"].as<double>())
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const std::string path = request.getURI();
        const auto body = readJson(request);
        if (path == "/load") {
            load(option<std::string>(*body, "name", ""), response);
            return;
        }
        const std::scoped_lock lock(mutex_);
        if (path == "/standin") {
            rate_ = option<double>(*body, "rate", rate_);
            penalty_ = option<double>(*body, "penalty", penalty_);
            failNext_ = option<Poco::UInt64>(*body, "failNext", failNext_);
            failName_ = option<std::string>(*body, "failName", failName_);
            outage_ = option<bool>(*body, "outage", outage_);
        }
        JsonObject object;
        object.set("loads", loads_);
        object.set("failed", failed_);
        object.set("mostAtOnce", mostAtOnce_);
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

private:
    bool refuses(const std::string &name)
    {
        if (failNext_ > 0) {
            --failNext_;
            return true;
        }
        return outage_ || (!failName_.empty() && name == failName_);
    }

    void load(const std::string &name, HTTPServerResponse &response)
    {
        std::unique_lock lock(mutex_);
        if (refuses(name)) {
            ++failed_;
            lock.unlock();
            sendText(response, HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "no weights\n");
            return;
        }
        mostAtOnce_ = std::max(mostAtOnce_, ++running_);
        double left = 1.0; // of one load
        auto last = std::chrono::steady_clock::now();
        while (left > 0.0) {
            const double share = rate_ / (running_ * (1.0 + penalty_ * static_cast<double>(running_ - 1)));
            lock.unlock();
            std::this_thread::sleep_for(step);
            lock.lock();
            const auto now = std::chrono::steady_clock::now();
            left -= share * std::chrono::duration<double>(now - last).count();
            last = now;
        }
        --running_;
        ++loads_;
        lock.unlock();
        sendJson(response, HTTPServerResponse::HTTP_OK, JsonObject());
    }

    std::mutex mutex_; // guards all below
    double rate_;
    double penalty_;
    std::uint64_t failNext_ = 0;
    std::string failName_;
    bool outage_ = false;
    unsigned running_ = 0;
    unsigned mostAtOnce_ = 0;
    std::uint64_t loads_ = 0;
    std::uint64_t failed_ = 0;
};
} // namespace

void weightStoreOptions(cxxopts::Options &options)
{
    options.add_options()("rate", "loads a second, one at a time", cxxopts::value<double>()->default_value("4"))(
        "penalty", "loss of rate for each further load at once", cxxopts::value<double>()->default_value("0.1"));
}

int runWeightStore(const cxxopts::ParseResult &options)
{
    WeightStoreHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins
