// Stand-in for the platform's list of VMs. GET /vms returns the list with a lag. POST /standin sets {"vms": [...]} (the
// whole list), {"vm": {...}} (one VM, by name) or {"lagMs"}.
#include "http_host.h"
#include "subcommands.h"

#include <Poco/JSON/Array.h>
#include <cxxopts.hpp>

#include <deque>
#include <mutex>

namespace standins {

namespace {
using Clock = std::chrono::steady_clock;

class VmListHost
{
public:
    explicit VmListHost(const cxxopts::ParseResult &options)
        : lag_(options["lag-ms"].as<unsigned>())
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const auto body = readJson(request);
        const std::scoped_lock lock(mutex_);
        if (request.getURI() == "/standin") {
            lag_ = std::chrono::milliseconds(fieldOr<Poco::Int64>(*body, "lagMs", lag_.count()));
            applyChange(*body);
        }
        sendText(response, HTTPServerResponse::HTTP_OK, "application/json", visibleList());
    }

private:
    struct Snapshot
    {
        Clock::time_point publishedAt;
        std::string text;
    };

    void applyChange(const JsonObject &body)
    {
        if (body.has("vms")) {
            currentVms_ = body.getArray("vms");
        } else if (body.has("vm")) {
            const auto changed = body.getObject("vm");
            Poco::JSON::Array::Ptr next = new Poco::JSON::Array;
            for (std::size_t i = 0; i < currentVms_->size(); ++i) {
                const auto vm = currentVms_->getObject(static_cast<unsigned>(i));
                if (vm->getValue<std::string>("name") != changed->getValue<std::string>("name")) {
                    next->add(vm);
                }
            }
            next->add(changed);
            currentVms_ = next;
        } else {
            return;
        }
        JsonObject object;
        object.set("vms", currentVms_);
        snapshots_.push_back({Clock::now(), toJsonText(object)});
    }

    std::string visibleList()
    {
        while (snapshots_.size() > 1 && snapshots_[1].publishedAt + lag_ <= Clock::now()) {
            snapshots_.pop_front();
        }
        return snapshots_.empty() ? "{\"vms\":[]}" : snapshots_.front().text;
    }

    std::mutex mutex_; // guards all below
    std::chrono::milliseconds lag_;
    Poco::JSON::Array::Ptr currentVms_ = new Poco::JSON::Array;
    std::deque<Snapshot> snapshots_; // the first one is served
};
} // namespace

void vmListOptions(cxxopts::Options &options)
{
    options.add_options()("lag-ms", "lag of the list in milliseconds", cxxopts::value<unsigned>()->default_value("0"));
}

int runVmList(const cxxopts::ParseResult &options)
{
    VmListHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins
