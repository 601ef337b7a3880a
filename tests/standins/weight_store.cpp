// Stand-in for the weight store. POST /load {"name"} answers when the load completes; concurrent loads share the rate,
// which each further one reduces. POST /standin sets {"rate", "penalty", "failNext", "failName", "outage"}, GET
// /standin/record returns the number of loads and the maximum concurrency.
#include "http_host.h"
#include "subcommands.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <mutex>
#include <thread>

namespace standins {

namespace {
constexpr std::chrono::milliseconds progressInterval(2);

class WeightStoreHost
{
public:
    explicit WeightStoreHost(const cxxopts::ParseResult &options)
        : rate_(options["rate"].as<double>())
        , concurrencyPenalty_(options["penalty"].as<double>())
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const std::string path = request.getURI();
        const auto body = readJson(request);
        if (path == "/load") {
            handleLoad(fieldOr<std::string>(*body, "name", ""), response);
            return;
        }
        const std::scoped_lock lock(mutex_);
        if (path == "/standin") {
            rate_ = fieldOr<double>(*body, "rate", rate_);
            concurrencyPenalty_ = fieldOr<double>(*body, "penalty", concurrencyPenalty_);
            failNext_ = fieldOr<Poco::UInt64>(*body, "failNext", failNext_);
            failName_ = fieldOr<std::string>(*body, "failName", failName_);
            outage_ = fieldOr<bool>(*body, "outage", outage_);
        }
        JsonObject object;
        object.set("loads", completedLoads_);
        object.set("failed", failedLoads_);
        object.set("mostAtOnce", maxConcurrentLoads_);
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

private:
    bool shouldFail(const std::string &name)
    {
        if (failNext_ > 0) {
            --failNext_;
            return true;
        }
        return outage_ || (!failName_.empty() && name == failName_);
    }

    void handleLoad(const std::string &name, HTTPServerResponse &response)
    {
        std::unique_lock lock(mutex_);
        if (shouldFail(name)) {
            ++failedLoads_;
            lock.unlock();
            sendText(response, HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "no weights\n");
            return;
        }
        maxConcurrentLoads_ = std::max(maxConcurrentLoads_, ++activeLoads_);
        double remainingFraction = 1.0; // fraction of this load
        auto lastUpdate = std::chrono::steady_clock::now();
        while (remainingFraction > 0.0) {
            const double loadsPerSecond =
                rate_ / (activeLoads_ * (1.0 + concurrencyPenalty_ * static_cast<double>(activeLoads_ - 1)));
            lock.unlock();
            std::this_thread::sleep_for(progressInterval);
            lock.lock();
            const auto now = std::chrono::steady_clock::now();
            remainingFraction -= loadsPerSecond * std::chrono::duration<double>(now - lastUpdate).count();
            lastUpdate = now;
        }
        --activeLoads_;
        ++completedLoads_;
        lock.unlock();
        sendJson(response, HTTPServerResponse::HTTP_OK, JsonObject());
    }

    std::mutex mutex_; // guards all below
    double rate_;
    double concurrencyPenalty_;
    std::uint64_t failNext_ = 0;
    std::string failName_;
    bool outage_ = false;
    unsigned activeLoads_ = 0;
    unsigned maxConcurrentLoads_ = 0;
    std::uint64_t completedLoads_ = 0;
    std::uint64_t failedLoads_ = 0;
};
} // namespace

void weightStoreOptions(cxxopts::Options &options)
{
    options.add_options()("rate", "loads per second without concurrency", cxxopts::value<double>()->default_value("4"))(
        "penalty", "loss of rate for each further concurrent load", cxxopts::value<double>()->default_value("0.1"));
}

int runWeightStore(const cxxopts::ParseResult &options)
{
    WeightStoreHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins
