// The model engine stand-in: HTTP interface of vLLM's OpenAI-compatible server over EngineCore.
// Control: POST /standin/restart {"downMs"} restarts it without adapters and cache, POST /standin sets
// {"failNextLoads", "failAdapter", "loseOrderReplies"}, GET /standin/record lists all requests.
#include "engine_core.h"
#include "expected_answer.h"
#include "http_host.h"
#include "subcommands.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <cxxopts.hpp>

#include <array>
#include <atomic>
#include <ctime>
#include <sstream>

namespace standins {

namespace {
using Poco::JSON::Array;

constexpr std::chrono::milliseconds disconnectPollInterval(20);
constexpr std::size_t defaultMaxTokens = 16;
constexpr std::size_t maxTokensLimit = 65536;
constexpr int preconditionFailed = 412;
constexpr int internalError = 500;
constexpr std::size_t maxRecordedPromptBytes = 256;
constexpr std::array runStateNames{"running", "finished", "cancelled", "cut"};

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

std::string chatPrompt(const JsonObject &body)
{
    std::string prompt;
    const auto messages = body.getArray("messages");
    for (std::size_t i = 0; !messages.isNull() && i < messages->size(); ++i) {
        prompt +=
            (i == 0 ? "" : "\n") + messages->getObject(static_cast<unsigned>(i))->getValue<std::string>("content");
    }
    return prompt;
}

class EngineHost
{
public:
    explicit EngineHost(const cxxopts::ParseResult &options)
        : core_(coreOptions(options))
        , weightStore_(options["weight-store"].as<std::string>())
        , loadTime_(options["load-ms"].as<unsigned>())
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const std::string path = request.getURI();
        if (path.rfind("/standin", 0) == 0) {
            handleControl(path, *readJson(request), response);
        } else if (!core_.isUp()) {
            closeConnection(request);
        } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
            generate(request, response, path == "/v1/chat/completions");
        } else if (path == "/v1/load_lora_adapter" || path == "/v1/unload_lora_adapter") {
            handleOrder(request, response, path == "/v1/load_lora_adapter");
        } else if (path == "/v1/models") {
            sendModels(response);
        } else if (path == "/metrics") {
            sendMetrics(response);
        } else if (path == "/health") {
            sendText(response, HTTPServerResponse::HTTP_OK, "text/plain", "");
        } else {
            sendError(response, HTTPServerResponse::HTTP_NOT_FOUND, "NotFoundError", "no such path");
        }
    }

private:
    static EngineOptions coreOptions(const cxxopts::ParseResult &options)
    {
        EngineOptions core;
        core.baseModel = options["base-model"].as<std::string>();
        core.slots = options["slots"].as<std::size_t>();
        core.batchLimit = options["batch-limit"].as<std::size_t>();
        core.cacheBlocks = options["cache-blocks"].as<std::size_t>();
        core.cost = {options["step-us"].as<double>(), options["sequence-us"].as<double>(),
                     options["adapter-us"].as<double>(), options["prompt-token-us"].as<double>()};
        core.checksFencing = options["fencing"].as<std::string>() == "check";
        return core;
    }

    static void sendError(HTTPServerResponse &response, int status, const std::string &type, const std::string &message)
    {
        JsonObject::Ptr inner = new JsonObject;
        inner->set("message", message);
        inner->set("type", type);
        inner->set("code", status);
        JsonObject object;
        object.set("error", inner);
        sendJson(response, status, object);
    }

    void sendFencedOff(HTTPServerResponse &response)
    {
        JsonObject::Ptr inner = new JsonObject;
        inner->set("type", "fenced_off");
        inner->set("highest", core_.stats().highestFence);
        JsonObject object;
        object.set("error", inner);
        sendJson(response, preconditionFailed, object);
    }

    // Adapter orders

    bool fetchWeights(const std::string &name)
    {
        {
            const std::scoped_lock lock(mutex_);
            if (failNextLoads_ > 0) {
                --failNextLoads_;
                return false;
            }
            if (!failAdapter_.empty() && name.rfind(failAdapter_, 0) == 0) {
                return false;
            }
        }
        std::this_thread::sleep_for(loadTime_);
        if (weightStore_.empty()) {
            return true;
        }
        try {
            const Poco::URI uri(weightStore_);
            Poco::Net::HTTPClientSession session(uri.getHost(), uri.getPort());
            Poco::Net::HTTPRequest request("POST", "/load", Poco::Net::HTTPMessage::HTTP_1_1);
            JsonObject body;
            body.set("name", name);
            const std::string text = toJsonText(body);
            request.setContentLength(static_cast<std::streamsize>(text.size()));
            session.sendRequest(request) << text;
            Poco::Net::HTTPResponse answer;
            session.receiveResponse(answer);
            return answer.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    OrderResult performOrder(const std::string &name, std::uint64_t fence, bool isLoad)
    {
        if (!isLoad) {
            return core_.unload(name, fence);
        }
        const auto restarts = core_.restarts();
        const auto loadResult = core_.beginLoad(name, fence);
        return loadResult == OrderResult::Done ? core_.finishLoad(name, restarts, fetchWeights(name)) : loadResult;
    }

    bool shouldLoseReply()
    {
        const std::scoped_lock lock(mutex_);
        if (loseOrderReplies_ == 0) {
            return false;
        }
        --loseOrderReplies_;
        return true;
    }

    void handleOrder(HTTPServerRequest &request, HTTPServerResponse &response, bool isLoad)
    {
        const auto body = readJson(request);
        const auto name = fieldOr<std::string>(*body, "lora_name", "");
        if (name.empty()) {
            sendError(response, HTTPServerResponse::HTTP_BAD_REQUEST, "InvalidUserInput", "lora_name is missing");
            return;
        }
        const auto fence = std::stoull(request.get("X-Fencing-Token", "0"));
        const auto result = performOrder(name, fence, isLoad);
        if (shouldLoseReply() || result == OrderResult::Down) {
            closeConnection(request);
            return;
        }
        switch (result) {
        case OrderResult::Done:
            sendText(response, HTTPServerResponse::HTTP_OK, "text/plain",
                     "Success: LoRA adapter '" + name + (isLoad ? "' added successfully." : "' removed successfully."));
            return;
        case OrderResult::Fenced:
            sendFencedOff(response);
            return;
        case OrderResult::AlreadyLoaded:
            sendError(response, HTTPServerResponse::HTTP_BAD_REQUEST, "InvalidUserInput",
                      "The lora adapter '" + name + "' has already been loaded.");
            return;
        case OrderResult::NotLoaded:
            sendError(response, HTTPServerResponse::HTTP_NOT_FOUND, "NotFoundError",
                      "The lora adapter '" + name + "' cannot be found.");
            return;
        case OrderResult::NoSlot:
            sendError(response, HTTPServerResponse::HTTP_BAD_REQUEST, "InvalidUserInput", "no free adapter slot");
            return;
        default:
            sendError(response, internalError, "InternalServerError", "loading '" + name + "' failed");
        }
    }

    // Calls

    void generate(HTTPServerRequest &request, HTTPServerResponse &response, bool isChat)
    {
        const auto body = readJson(request);
        Sequence requested;
        requested.model = fieldOr<std::string>(*body, "model", "");
        requested.prompt = isChat ? chatPrompt(*body) : fieldOr<std::string>(*body, "prompt", "");
        requested.maxTokens = std::min(fieldOr<Poco::UInt64>(*body, "max_tokens", defaultMaxTokens), maxTokensLimit);
        requested.priority = fieldOr<Poco::Int64>(*body, "priority", 0);
        requested.key = request.get("Idempotency-Key", "");
        const std::string model = requested.model;
        const auto sequence = core_.submit(std::move(requested));
        if (sequence == nullptr) {
            sendError(response, HTTPServerResponse::HTTP_NOT_FOUND, "NotFoundError",
                      "The model `" + model + "` does not exist.");
        } else if (fieldOr<bool>(*body, "stream", false)) {
            sendStream(request, response, sequence, isChat);
        } else {
            sendWhole(request, response, sequence, isChat);
        }
    }

    static JsonObject::Ptr answerHead(const Sequence &sequence, bool isChat, bool isChunk)
    {
        JsonObject::Ptr object = new JsonObject;
        object->set("id", (isChat ? "chatcmpl-" : "cmpl-") + std::to_string(sequence.id));
        const char *objectName = isChat ? "chat.completion" : "text_completion";
        object->set("object", isChat && isChunk ? "chat.completion.chunk" : objectName);
        object->set("created", static_cast<Poco::Int64>(std::time(nullptr)));
        object->set("model", sequence.model);
        return object;
    }

    static void addChoice(JsonObject &object, const std::string &text, bool isChat, bool isChunk, bool isLast)
    {
        JsonObject::Ptr item = new JsonObject;
        item->set("index", 0);
        if (isChat) {
            JsonObject::Ptr message = new JsonObject;
            message->set("role", "assistant");
            message->set("content", text);
            item->set(isChunk ? "delta" : "message", message);
        } else {
            item->set("text", text);
        }
        item->set("finish_reason", isLast ? Poco::Dynamic::Var("length") : Poco::Dynamic::Var());
        Array::Ptr choices = new Array;
        choices->add(item);
        object.set("choices", choices);
    }

    void sendWhole(HTTPServerRequest &request, HTTPServerResponse &response, const SequencePtr &sequence, bool isChat)
    {
        RunState end = RunState::Running;
        while (end == RunState::Running) {
            core_.waitForTokens(sequence, sequence->maxTokens, disconnectPollInterval, end);
            if (end == RunState::Running && isClientDisconnected(request)) {
                core_.cancel(sequence);
                return;
            }
        }
        if (end != RunState::Finished) {
            closeConnection(request);
            return;
        }
        auto object = answerHead(*sequence, isChat, false);
        addChoice(*object, expectedAnswer(sequence->model, sequence->prompt, sequence->maxTokens), isChat, false, true);
        JsonObject::Ptr usage = new JsonObject;
        usage->set("prompt_tokens", sequence->promptTokens);
        usage->set("completion_tokens", sequence->maxTokens);
        usage->set("total_tokens", sequence->promptTokens + sequence->maxTokens);
        object->set("usage", usage);
        sendJson(response, HTTPServerResponse::HTTP_OK, *object);
    }

    void sendStream(HTTPServerRequest &request, HTTPServerResponse &response, const SequencePtr &sequence, bool isChat)
    {
        response.setChunkedTransferEncoding(true);
        response.setContentType("text/event-stream");
        std::ostream &out = response.send();
        std::size_t sent = 0;
        RunState end = RunState::Running;
        while (sent < sequence->maxTokens) {
            const auto produced = core_.waitForTokens(sequence, sent, disconnectPollInterval, end);
            if (end == RunState::Cut) {
                closeConnection(request);
                return;
            }
            for (; sent < produced; ++sent) {
                auto object = answerHead(*sequence, isChat, true);
                addChoice(*object, answerToken(sequence->model, sequence->prompt, sent, sequence->maxTokens), isChat,
                          true, sent + 1 == sequence->maxTokens);
                out << "data: " + toJsonText(*object) + "\n\n";
            }
            out.flush();
            if (!out.good() || isClientDisconnected(request)) {
                core_.cancel(sequence);
                return;
            }
        }
        out << "data: [DONE]\n\n" << std::flush;
    }

    // Models, metrics and control

    void sendModels(HTTPServerResponse &response)
    {
        Array::Ptr data = new Array;
        const auto add = [&data](const std::string &id, const std::string &parent) {
            JsonObject::Ptr item = new JsonObject;
            item->set("id", id);
            item->set("object", "model");
            item->set("owned_by", "vllm");
            item->set("parent", parent.empty() ? Poco::Dynamic::Var() : Poco::Dynamic::Var(parent));
            data->add(item);
        };
        add(core_.options().baseModel, "");
        for (const auto &name : core_.stats().loaded) {
            add(name, core_.options().baseModel);
        }
        JsonObject object;
        object.set("object", "list");
        object.set("data", data);
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

    void sendMetrics(HTTPServerResponse &response)
    {
        const auto stats = core_.stats();
        const std::string label = "{model_name=\"" + core_.options().baseModel + "\"} ";
        std::ostringstream out;
        out << std::fixed;
        out << "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds " << stats.startTime << "\n";
        out << "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running" << label << stats.running << "\n";
        out << "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting" << label << stats.waiting << "\n";
        out << "# TYPE vllm:lora_requests_info gauge\nvllm:lora_requests_info{max_lora=\"" << core_.options().slots
            << "\",running_lora_adapters=\"" << join(stats.runningAdapters) << "\",waiting_lora_adapters=\""
            << join(stats.waitingAdapters) << "\"} " << stats.startTime << "\n";
        sendText(response, HTTPServerResponse::HTTP_OK, "text/plain; version=0.0.4", out.str());
    }

    void handleControl(const std::string &path, const JsonObject &body, HTTPServerResponse &response)
    {
        if (path == "/standin/restart") {
            core_.restart(std::chrono::milliseconds(fieldOr<Poco::Int64>(body, "downMs", 0)));
        } else if (path == "/standin") {
            const std::scoped_lock lock(mutex_);
            failNextLoads_ = fieldOr<Poco::UInt64>(body, "failNextLoads", failNextLoads_);
            failAdapter_ = fieldOr<std::string>(body, "failAdapter", failAdapter_);
            loseOrderReplies_ = fieldOr<Poco::UInt64>(body, "loseOrderReplies", loseOrderReplies_);
        }
        JsonObject object = statsToJson(core_.stats());
        if (path == "/standin/record") {
            object.set("runs", runsToJson());
        }
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

    static JsonObject statsToJson(const EngineStats &stats)
    {
        JsonObject object;
        object.set("loads", stats.loads);
        object.set("failedLoads", stats.failedLoads);
        object.set("unloads", stats.unloads);
        object.set("fenced", stats.fenced);
        object.set("evictionsUnderCall", stats.evictionsUnderCall);
        object.set("unknownModel", stats.unknownModel);
        object.set("steps", stats.steps);
        object.set("stepSequences", stats.stepSequences);
        object.set("cachedPromptTokens", stats.cachedPromptTokens);
        object.set("promptTokens", stats.promptTokens);
        object.set("running", stats.running);
        object.set("waiting", stats.waiting);
        Array::Ptr loaded = new Array;
        for (const auto &name : stats.loaded) {
            loaded->add(name);
        }
        object.set("loaded", loaded);
        return object;
    }

    Array::Ptr runsToJson() const
    {
        Array::Ptr runs = new Array;
        for (const auto &sequence : core_.records()) {
            JsonObject::Ptr item = new JsonObject;
            item->set("id", sequence->id);
            item->set("model", sequence->model);
            item->set("key", sequence->key);
            item->set("prompt", sequence->prompt.substr(0, maxRecordedPromptBytes));
            item->set("tokens", sequence->maxTokens);
            item->set("end", runStateNames.at(static_cast<std::size_t>(sequence->state)));
            item->set("evicted", sequence->wasEvicted);
            runs->add(item);
        }
        return runs;
    }

    EngineCore core_;
    const std::string weightStore_;
    const std::chrono::milliseconds loadTime_;
    std::mutex mutex_; // guards all below
    std::uint64_t failNextLoads_ = 0;
    std::string failAdapter_; // loads of adapters with this name prefix fail; none if empty
    std::uint64_t loseOrderReplies_ = 0;
};
} // namespace

void engineOptions(cxxopts::Options &options)
{
    options.add_options()("base-model", "name of the base model", cxxopts::value<std::string>()->default_value("base"))(
        "slots", "number of adapter slots", cxxopts::value<std::size_t>()->default_value("4"))(
        "batch-limit", "maximum number of sequences in a step", cxxopts::value<std::size_t>()->default_value("8"))(
        "cache-blocks", "capacity of the prefix cache, in blocks of 16 prompt tokens",
        cxxopts::value<std::size_t>()->default_value("1024"))("step-us", "base time of a step, in microseconds",
                                                              cxxopts::value<double>()->default_value("0"))(
        "sequence-us", "additional time for each sequence, in microseconds",
        cxxopts::value<double>()->default_value("0"))("adapter-us",
                                                      "additional time for each distinct adapter, in microseconds",
                                                      cxxopts::value<double>()->default_value("0"))(
        "prompt-token-us", "additional time for each uncached prompt token, in microseconds",
        cxxopts::value<double>()->default_value("0"))("weight-store", "URL of the weight store, empty for none",
                                                      cxxopts::value<std::string>()->default_value(""))(
        "load-ms", "time of a load without the weight store, in milliseconds",
        cxxopts::value<unsigned>()->default_value("0"))("fencing", "check or ignore fencing numbers",
                                                        cxxopts::value<std::string>()->default_value("check"));
}

int runEngine(const cxxopts::ParseResult &options)
{
    EngineHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins
