// A plain service stand-in that counts its runs by Idempotency-Key. POST /standin sets {"delayMs", "rejectNext" (503,
// no run), "failNext" (500 after the run), "cutNext" (no answer after the run)}, GET /standin/record returns the runs
// and the number of repeated runs of a key.
#include "http_host.h"
#include "subcommands.h"

#include "anvilscale/base.h"

#include <Poco/JSON/Array.h>
#include <cxxopts.hpp>

#include <map>
#include <mutex>
#include <thread>

namespace standins {

namespace {
struct Run
{
    std::string key;
    std::string method;
    std::string path;
    std::string digest;
};

bool consumeOne(std::uint64_t &remaining)
{
    if (remaining == 0) {
        return false;
    }
    --remaining;
    return true;
}

class ServiceHost
{
public:
    explicit ServiceHost(const cxxopts::ParseResult &options)
        : name_(options["name"].as<std::string>())
        , delay_(options["delay-ms"].as<unsigned>())
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const std::string path = request.getURI();
        if (path == "/standin") {
            handleControl(*readJson(request), response);
        } else if (path == "/standin/record") {
            sendRecord(response);
        } else if (path == "/health") {
            sendText(response, HTTPServerResponse::HTTP_OK, "text/plain", "ok\n");
        } else {
            handleCall(request, response, path);
        }
    }

private:
    void handleControl(const JsonObject &body, HTTPServerResponse &response)
    {
        {
            const std::scoped_lock lock(mutex_);
            delay_ = std::chrono::milliseconds(fieldOr<Poco::Int64>(body, "delayMs", delay_.count()));
            rejectNext_ = fieldOr<Poco::UInt64>(body, "rejectNext", rejectNext_);
            failNext_ = fieldOr<Poco::UInt64>(body, "failNext", failNext_);
            cutNext_ = fieldOr<Poco::UInt64>(body, "cutNext", cutNext_);
        }
        sendJson(response, HTTPServerResponse::HTTP_OK, JsonObject());
    }

    void sendRecord(HTTPServerResponse &response)
    {
        const std::scoped_lock lock(mutex_);
        Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
        std::uint64_t duplicateRuns = 0;
        for (const auto &run : runs_) {
            JsonObject::Ptr item = new JsonObject;
            item->set("key", run.key);
            item->set("method", run.method);
            item->set("path", run.path);
            item->set("digest", run.digest);
            list->add(item);
        }
        for (const auto &[key, count] : runsByKey_) {
            duplicateRuns += key.empty() ? 0 : count - 1;
        }
        JsonObject object;
        object.set("service", name_);
        object.set("total", runs_.size());
        object.set("doubled", duplicateRuns);
        object.set("runs", list);
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

    void handleCall(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &path)
    {
        Run run{request.get("Idempotency-Key", ""), request.getMethod(), path, ""};
        run.digest = std::to_string(anvilscale::hash64(readBody(request)));
        std::unique_lock lock(mutex_);
        if (consumeOne(rejectNext_)) {
            lock.unlock();
            sendText(response, HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "busy\n");
            return;
        }
        runs_.push_back(run);
        const auto count = ++runsByKey_[run.key];
        const bool isFailing = consumeOne(failNext_);
        const bool isCutting = !isFailing && consumeOne(cutNext_);
        const auto delay = delay_;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        if (isCutting) {
            closeConnection(request);
            return;
        }
        JsonObject answer;
        answer.set("service", name_);
        answer.set("method", run.method);
        answer.set("path", path);
        answer.set("key", run.key);
        answer.set("digest", run.digest);
        answer.set("run", count);
        const int status = isFailing ? HTTPServerResponse::HTTP_INTERNAL_SERVER_ERROR : HTTPServerResponse::HTTP_OK;
        sendJson(response, status, answer);
    }

    const std::string name_;
    std::mutex mutex_; // guards all below
    std::chrono::milliseconds delay_;
    std::uint64_t rejectNext_ = 0;
    std::uint64_t failNext_ = 0;
    std::uint64_t cutNext_ = 0;
    std::vector<Run> runs_;
    std::map<std::string, std::uint64_t> runsByKey_;
};
} // namespace

void serviceOptions(cxxopts::Options &options)
{
    options.add_options()("name", "service name in the answers",
                          cxxopts::value<std::string>()->default_value("service"))(
        "delay-ms", "duration of a run in milliseconds", cxxopts::value<unsigned>()->default_value("0"));
}

int runService(const cxxopts::ParseResult &options)
{
    ServiceHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins
