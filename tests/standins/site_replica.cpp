// Stand-in for a replica of the users' platform: a model engine with adapter slots, or a plain service without slots.
// A stream goes on after the event that Last-Event-Id names.
// GET /standin returns executed calls with their workspaces and received orders. POST /standin sets:
//   {"fault": "break" | "unframed" | "unframed_break" | "repeat" | "refuse" | "foreign" | "mute", "times": N}  fault of
//                         the next N calls; "unframed": a stream that ends with its connection, "_break": inside an
//                         event; "repeat": a stream that begins at its first event in any case
//   {"lostOrders": N}     the next N orders are executed, but not answered
//   {"checksFencing": false}  executes orders with any fencing number
//   {"id": "i-2"}         restarts the replica under another id
//   {"crashOn": "TEXT"}   cuts the connection of each call whose body contains the text
//   {"crashOnPart": "ID", "downMs": N}  begins the answer to each call with this prompt part, then crashes: cuts all
//                         connections for N ms, and has lost its model and adapters
//   {"born": N}           start time to report, later after each crash; 0 for none
//   {"leaving": true}     marks all answers as those of a leaving replica
//   {"retryAfter": N}     Retry-After of refusals, in seconds
//   {"limit": "N"}        announces a limit of N requests a second in answers to calls; empty for none
#include "http_host.h"
#include "subcommands.h"

#include <Poco/JSON/Array.h>
#include <Poco/NumberParser.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

namespace standins {

namespace {

using Clock = std::chrono::steady_clock;
using Poco::JSON::Array;

constexpr auto loadDuration = std::chrono::milliseconds(100);
constexpr auto muteDuration = std::chrono::seconds(30);
constexpr auto eventInterval = std::chrono::milliseconds(5);
constexpr int eventsPerStream = 5;

struct Adapter
{
    int version = 1;
    Clock::time_point readyAt;
};

class SiteReplica
{
public:
    explicit SiteReplica(const cxxopts::ParseResult &options)
        : id_(options["id"].as<std::string>())
        , model_(options["model"].as<std::string>())
        , slots_(options["slots"].as<unsigned>())
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const auto path = request.getURI();
        if (path == "/standin") {
            handleControl(request, response);
        } else if (isDown()) {
            closeConnection(request);
        } else if (path == "/api/report") {
            sendJson(response, HTTPServerResponse::HTTP_OK, makeReport());
        } else if (path == "/api/order") {
            handleOrder(request, response);
        } else {
            handleCall(request, response);
        }
    }

private:
    void handleControl(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const auto body = readJson(request);
        const std::scoped_lock lock(mutex_);
        nextFault_ = fieldOr<std::string>(*body, "fault", nextFault_);
        remainingFaults_ = fieldOr(*body, "times", remainingFaults_);
        orderRepliesToLose_ = fieldOr(*body, "lostOrders", orderRepliesToLose_);
        checksFencing_ = fieldOr(*body, "checksFencing", checksFencing_);
        isLeaving_ = fieldOr(*body, "leaving", isLeaving_);
        retryAfterSeconds_ = fieldOr(*body, "retryAfter", retryAfterSeconds_);
        rateLimit_ = fieldOr<std::string>(*body, "limit", rateLimit_);
        crashOn_ = fieldOr<std::string>(*body, "crashOn", crashOn_);
        crashOnPart_ = fieldOr<std::string>(*body, "crashOnPart", crashOnPart_);
        downTime_ = std::chrono::milliseconds(fieldOr<int>(*body, "downMs", static_cast<int>(downTime_.count())));
        startTimeMs_ = fieldOr<Poco::Int64>(*body, "born", startTimeMs_);
        if (body->has("id")) {
            id_ = body->getValue<std::string>("id");
            adapters_.clear();
            hasModel_ = false;
            sequence_ = 0;
        }
        JsonObject status;
        status.set("ran", executedIds_);
        status.set("workspaces", workspaces_);
        status.set("receivedKey", hasReceivedKey_);
        status.set("turnedAway", refusedCalls_);
        status.set("overfull", hasExceededSlots_);
        status.set("orders", orders_);
        status.set("crashes", crashes_);
        sendJson(response, HTTPServerResponse::HTTP_OK, status);
    }

    JsonObject makeReport()
    {
        const std::scoped_lock lock(mutex_);
        Array loadedAdapters;
        Array pending;
        for (const auto &[name, adapter] : adapters_) {
            const auto text = name + "@" + std::to_string(adapter.version);
            if (adapter.readyAt <= Clock::now()) {
                loadedAdapters.add(text);
            } else {
                pending.add(model_ + "/" + text);
            }
        }
        Array models;
        if (hasModel_) {
            JsonObject model;
            model.set("name", model_);
            model.set("version", 1);
            model.set("adapters", loadedAdapters);
            models.add(model);
        }
        JsonObject result;
        result.set("models", models);
        result.set("pending", pending);
        result.set("busy", false);
        result.set("sequence", sequence_);
        if (startTimeMs_ != 0) {
            result.set("born", startTimeMs_);
        }
        return result;
    }

    bool isDown()
    {
        const std::scoped_lock lock(mutex_);
        return Clock::now() < downUntil_;
    }

    bool hasCrashedSince(int crashes)
    {
        const std::scoped_lock lock(mutex_);
        return crashes_ != crashes;
    }

    void crash()
    {
        const std::scoped_lock lock(mutex_);
        ++crashes_;
        downUntil_ = Clock::now() + downTime_;
        startTimeMs_ += startTimeMs_ == 0 ? 0 : 1;
        adapters_.clear();
        hasModel_ = false;
        sequence_ = 0;
    }

    /// The prompt of the call has the part that crashes this replica.
    bool hasCrashingPart(const HTTPServerRequest &request) const
    {
        const auto parts = "," + request.get("X-Anvilscale-Prefix-Hash", "");
        return !crashOnPart_.empty() && parts.find("," + crashOnPart_ + ":") != std::string::npos;
    }

    void handleOrder(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const auto body = readJson(request);
        const std::scoped_lock lock(mutex_);
        orders_.add(toJsonText(*body));
        if (request.get("X-Anvilscale-Expect-Instance", id_) != id_) {
            sendJson(response, 421, JsonObject());
            return;
        }
        const auto fence = body->getValue<Poco::Int64>("fencing_token");
        if (checksFencing_ && fence < highestFence_) {
            sendJson(response, 412, JsonObject());
            return;
        }
        highestFence_ = std::max(highestFence_, fence);
        if (fieldOr<Poco::Int64>(*body, "expected", sequence_) != sequence_) {
            sendJson(response, 409, JsonObject());
            return;
        }
        executeOrder(*body);
        if (orderRepliesToLose_ > 0) {
            --orderRepliesToLose_;
            closeConnection(request);
            return;
        }
        sendJson(response, 202, JsonObject());
    }

    void executeOrder(const JsonObject &body)
    {
        ++sequence_;
        const auto adapter = fieldOr<std::string>(body, "adapter", "");
        if (adapter.empty()) {
            hasModel_ = true;
        } else if (body.getValue<std::string>("operation") == "load") {
            adapters_[adapter] = {newestVersions_[adapter] + 1, Clock::now() + loadDuration};
            hasExceededSlots_ = hasExceededSlots_ || adapters_.size() > slots_;
        } else {
            adapters_.erase(adapter);
        }
    }

    /// Answers 421 and returns true if the call cannot run here.
    bool refuseIfUnavailable(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        if (request.get("X-Anvilscale-Expect-Instance", id_) != id_) {
            response.set("X-Anvilscale-Instance-Id", id_);
            sendText(response, 421, "text/plain", "");
            return true;
        }
        const auto requestedModel = request.get("X-Anvilscale-Model", "");
        const auto slash = requestedModel.find('/');
        const auto adapter = slash == std::string::npos ? std::string() : requestedModel.substr(slash + 1);
        const auto found = adapters_.find(adapter);
        const bool isAvailable = adapter.empty() || (found != adapters_.end() && found->second.readyAt <= Clock::now());
        if (slots_ != 0 && (!hasModel_ || !isAvailable)) {
            sendText(response, 421, "text/plain", "");
            return true;
        }
        return false;
    }

    std::string takeNextFault()
    {
        return remainingFaults_ > 0 && remainingFaults_-- > 0 ? nextFault_ : std::string();
    }

    void handleCall(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const auto body = readBody(request);
        const auto id = request.get("X-Anvilscale-Request-Id", "");
        std::string fault;
        int crashes = 0;
        {
            const std::scoped_lock lock(mutex_);
            crashes = crashes_;
            if (isLeaving_) {
                response.set("Server-Leaving", "1");
            }
            if (!rateLimit_.empty()) {
                response.set("Server-Limit", rateLimit_);
            }
            if (refuseIfUnavailable(request, response)) {
                return;
            }
            fault = hasCrashingPart(request) ? "crash" : takeNextFault();
            if (fault == "refuse") {
                ++refusedCalls_;
                response.set("X-Anvilscale-Not-Executed", "1");
                if (retryAfterSeconds_ != 0) {
                    response.set("Retry-After", std::to_string(retryAfterSeconds_));
                }
                sendText(response, 503, "text/plain", "");
                return;
            }
            executedIds_.add(id);
            workspaces_.add(id + "=" + request.get("X-Anvilscale-Tenant", ""));
            hasReceivedKey_ = hasReceivedKey_ || request.has("Authorization");
            if (!crashOn_.empty() && body.find(crashOn_) != std::string::npos) {
                closeConnection(request);
                return;
            }
        }
        if (fault == "mute") {
            std::this_thread::sleep_for(muteDuration);
            return;
        }
        response.set("X-Anvilscale-Request-Id", fault == "foreign" ? "another" : id);
        response.set("X-Anvilscale-Server-Signature", "sig." + id);
        if (slots_ == 0) {
            answerPlain(request, response, fault, body);
        } else {
            answerStream(request, response, fault, crashes);
        }
    }

    void answerPlain(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &fault,
                     const std::string &body)
    {
        if (fault != "break") {
            sendText(response, 200, "text/plain", "answer to " + body);
            return;
        }
        response.setContentLength(100);
        response.send() << "a part" << std::flush;
        closeConnection(request);
    }

    /// `crashes`: number of crashes before the call.
    void answerStream(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &fault, int crashes)
    {
        response.setContentType("text/event-stream");
        response.setChunkedTransferEncoding(!fault.starts_with("unframed"));
        auto &out = response.send();
        int last = 0; // event that the caller has
        if (fault != "repeat") {
            Poco::NumberParser::tryParse(request.get("Last-Event-Id", ""), last);
        }
        for (int i = last + 1; i <= eventsPerStream; ++i) {
            const int sentEvents = i - last; // with this one
            if (fault == "unframed_break" && sentEvents == 3) {
                out << "id: " << i << "\ndata: pie" << std::flush;
                closeConnection(request);
                return;
            }
            out << "id: " << i << "\ndata: piece " << i << "\n\n" << std::flush;
            if (fault == "break" && sentEvents == 2) {
                closeConnection(request);
                return;
            }
            std::this_thread::sleep_for(eventInterval);
            if (fault == "crash" && sentEvents == 2) {
                crash();
            }
            if (hasCrashedSince(crashes)) {
                closeConnection(request);
                return;
            }
        }
    }

    std::mutex mutex_; // guards all below
    std::string id_;
    std::string model_;
    unsigned slots_;
    bool hasModel_ = false;
    std::map<std::string, Adapter> adapters_;
    std::map<std::string, int> newestVersions_; // newest version of an adapter, less 1
    Poco::Int64 sequence_ = 0;
    Poco::Int64 highestFence_ = 0;
    bool checksFencing_ = true;
    std::string nextFault_;
    int remainingFaults_ = 0;
    int orderRepliesToLose_ = 0;
    std::string crashOn_; // disabled if empty
    std::string crashOnPart_; // disabled if empty
    std::chrono::milliseconds downTime_{0}; // after a crash
    Clock::time_point downUntil_{};
    int crashes_ = 0;
    Poco::Int64 startTimeMs_ = 0; // not reported if 0
    bool isLeaving_ = false;
    int retryAfterSeconds_ = 0; // 0 for no header
    std::string rateLimit_; // empty for no header
    int refusedCalls_ = 0;
    bool hasExceededSlots_ = false; // more adapters were loaded than there are slots
    Array executedIds_;
    Array workspaces_; // of executed calls, as REQUEST=WORKSPACE
    bool hasReceivedKey_ = false; // a caller's key was passed on
    Array orders_;
};

} // namespace

void siteReplicaOptions(cxxopts::Options &options)
{
    options.add_options()("id", "id of this incarnation", cxxopts::value<std::string>())(
        "model", "base model of the engine", cxxopts::value<std::string>()->default_value("base"))(
        "slots", "number of adapter slots, 0 for a plain service", cxxopts::value<unsigned>()->default_value("0"));
}

int runSiteReplica(const cxxopts::ParseResult &options)
{
    SiteReplica replica(options);
    return serveUntilStopped(
        [&replica](HTTPServerRequest &request, HTTPServerResponse &response) { replica.handle(request, response); },
        options);
}

} // namespace standins
