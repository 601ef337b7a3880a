// The platform's list of VMs, with lag: GET /vms prints it as it was some time ago. POST /standin sets {"vms": [...]}
// (the whole list), {"vm": {...}} (one line, by name) or {"lagMs"}.
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
            lag_ = std::chrono::milliseconds(option<Poco::Int64>(*body, "lagMs", lag_.count()));
            change(*body);
        }
        sendText(response, HTTPServerResponse::HTTP_OK, "application/json", visible());
    }

private:
    struct Version
    {
        Clock::time_point at;
        std::string text;
    };

    void change(const JsonObject &body)
    {
        if (body.has("vms")) {
            vms_ = body.getArray("vms");
        } else if (body.has("vm")) {
            const auto changed = body.getObject("vm");
            Poco::JSON::Array::Ptr next = new Poco::JSON::Array;
            for (std::size_t i = 0; i < vms_->size(); ++i) {
                const auto vm = vms_->getObject(static_cast<unsigned>(i));
                if (vm->getValue<std::string>("name") != changed->getValue<std::string>("name")) {
                    next->add(vm);
                }
            }
            next->add(changed);
            vms_ = next;
        } else {
            return;
        }
        JsonObject object;
        object.set("vms", vms_);
        versions_.push_back({Clock::now(), print(object)});
    }

    std::string visible()
    {
        while (versions_.size() > 1 && versions_[1].at + lag_ <= Clock::now()) {
            versions_.pop_front();
        }
        return versions_.empty() ? "{\"vms\":[]}" : versions_.front().text;
    }

    std::mutex mutex_; // guards all below
    std::chrono::milliseconds lag_;
    Poco::JSON::Array::Ptr vms_ = new Poco::JSON::Array;
    std::deque<Version> versions_; // the first is the one that is shown
};
} // namespace

void vmListOptions(cxxopts::Options &options)
{
    options.add_options()("lag-ms", "age of what is shown", cxxopts::value<unsigned>()->default_value("0"));
}

int runVmList(const cxxopts::ParseResult &options)
{
    VmListHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins
