// The model engine stand-in: the published HTTP form of vLLM's OpenAI-compatible server over EngineCore.
// POST /standin/restart {"downMs"} restarts it cold; POST /standin sets {"failNextLoads", "failAdapter",
// "loseOrderReplies" (the order takes effect, its answer does not come)}; GET /standin/record prints every request.
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

constexpr std::chrono::milliseconds goneCheck(20);
constexpr std::size_t defaultTokens = 16;
constexpr std::size_t tokenLimit = 65536;
constexpr int preconditionFailed = 412;
constexpr int internalError = 500;
constexpr std::size_t promptInRecord = 256;
constexpr std::array runEndNames{"running", "finished", "cancelled", "cut"};

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
            control(path, *readJson(request), response);
        } else if (!core_.up()) {
            cut(request);
        } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
            generate(request, response, path == "/v1/chat/completions");
        } else if (path == "/v1/load_lora_adapter" || path == "/v1/unload_lora_adapter") {
            order(request, response, path == "/v1/load_lora_adapter");
        } else if (path == "/v1/models") {
            models(response);
        } else if (path == "/metrics") {
            metrics(response);
        } else if (path == "/health") {
            sendText(response, HTTPServerResponse::HTTP_OK, "text/plain", "");
        } else {
            error(response, HTTPServerResponse::HTTP_NOT_FOUND, "NotFoundError", "no such path");
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

    static void error(HTTPServerResponse &response, int status, const std::string &type, const std::string &message)
    {
        JsonObject::Ptr inner = new JsonObject;
        inner->set("message", message);
        inner->set("type", type);
        inner->set("code", status);
        JsonObject object;
        object.set("error", inner);
        sendJson(response, status, object);
    }

    void fencedOff(HTTPServerResponse &response)
    {
        JsonObject::Ptr inner = new JsonObject;
        inner->set("type", "fenced_off");
        inner->set("highest", core_.stats().highestFence);
        JsonObject object;
        object.set("error", inner);
        sendJson(response, preconditionFailed, object);
    }

    // ---- orders

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
            const std::string text = print(body);
            request.setContentLength(static_cast<std::streamsize>(text.size()));
            session.sendRequest(request) << text;
            Poco::Net::HTTPResponse answer;
            session.receiveResponse(answer);
            return answer.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    OrderResult perform(const std::string &name, std::uint64_t fence, bool load)
    {
        if (!load) {
            return core_.unload(name, fence);
        }
        const auto restarts = core_.restarts();
        const auto begun = core_.beginLoad(name, fence);
        return begun == OrderResult::Done ? core_.finishLoad(name, restarts, fetchWeights(name)) : begun;
    }

    bool loseReply()
    {
        const std::scoped_lock lock(mutex_);
        if (loseOrderReplies_ == 0) {
            return false;
        }
        --loseOrderReplies_;
        return true;
    }

    void order(HTTPServerRequest &request, HTTPServerResponse &response, bool load)
    {
        const auto body = readJson(request);
        const auto name = option<std::string>(*body, "lora_name", "");
        if (name.empty()) {
            error(response, HTTPServerResponse::HTTP_BAD_REQUEST, "InvalidUserInput", "lora_name is missing");
            return;
        }
        const auto fence = std::stoull(request.get("X-Fencing-Token", "0"));
        const auto result = perform(name, fence, load);
        if (loseReply() || result == OrderResult::Down) {
            cut(request);
            return;
        }
        switch (result) {
        case OrderResult::Done:
            sendText(response, HTTPServerResponse::HTTP_OK, "text/plain",
                     "Success: LoRA adapter '" + name + (load ? "' added successfully." : "' removed successfully."));
            return;
        case OrderResult::Fenced:
            fencedOff(response);
            return;
        case OrderResult::AlreadyLoaded:
            error(response, HTTPServerResponse::HTTP_BAD_REQUEST, "InvalidUserInput",
                  "The lora adapter '" + name + "' has already been loaded.");
            return;
        case OrderResult::NotLoaded:
            error(response, HTTPServerResponse::HTTP_NOT_FOUND, "NotFoundError",
                  "The lora adapter '" + name + "' cannot be found.");
            return;
        case OrderResult::NoSlot:
            error(response, HTTPServerResponse::HTTP_BAD_REQUEST, "InvalidUserInput", "no free adapter slot");
            return;
        default:
            error(response, internalError, "InternalServerError", "loading '" + name + "' failed");
        }
    }

    // ---- calls

    void generate(HTTPServerRequest &request, HTTPServerResponse &response, bool chat)
    {
        const auto body = readJson(request);
        Sequence wanted;
        wanted.model = option<std::string>(*body, "model", "");
        wanted.prompt = chat ? chatPrompt(*body) : option<std::string>(*body, "prompt", "");
        wanted.tokens = std::min(option<Poco::UInt64>(*body, "max_tokens", defaultTokens), tokenLimit);
        wanted.priority = option<Poco::Int64>(*body, "priority", 0);
        wanted.key = request.get("Idempotency-Key", "");
        const std::string model = wanted.model;
        const auto sequence = core_.submit(std::move(wanted));
        if (sequence == nullptr) {
            error(response, HTTPServerResponse::HTTP_NOT_FOUND, "NotFoundError",
                  "The model `" + model + "` does not exist.");
        } else if (option<bool>(*body, "stream", false)) {
            stream(request, response, sequence, chat);
        } else {
            whole(request, response, sequence, chat);
        }
    }

    static JsonObject::Ptr head(const Sequence &sequence, bool chat, bool chunk)
    {
        JsonObject::Ptr object = new JsonObject;
        object->set("id", (chat ? "chatcmpl-" : "cmpl-") + std::to_string(sequence.id));
        const char *whole = chat ? "chat.completion" : "text_completion";
        object->set("object", chat && chunk ? "chat.completion.chunk" : whole);
        object->set("created", static_cast<Poco::Int64>(std::time(nullptr)));
        object->set("model", sequence.model);
        return object;
    }

    static void choice(JsonObject &object, const std::string &text, bool chat, bool chunk, bool last)
    {
        JsonObject::Ptr item = new JsonObject;
        item->set("index", 0);
        if (chat) {
            JsonObject::Ptr message = new JsonObject;
            message->set("role", "assistant");
            message->set("content", text);
            item->set(chunk ? "delta" : "message", message);
        } else {
            item->set("text", text);
        }
        item->set("finish_reason", last ? Poco::Dynamic::Var("length") : Poco::Dynamic::Var());
        Array::Ptr choices = new Array;
        choices->add(item);
        object.set("choices", choices);
    }

    void whole(HTTPServerRequest &request, HTTPServerResponse &response, const SequencePtr &sequence, bool chat)
    {
        RunEnd end = RunEnd::Running;
        while (end == RunEnd::Running) {
            core_.waitTokens(sequence, sequence->tokens, goneCheck, end);
            if (end == RunEnd::Running && clientGone(request)) {
                core_.cancel(sequence);
                return;
            }
        }
        if (end != RunEnd::Finished) {
            cut(request);
            return;
        }
        auto object = head(*sequence, chat, false);
        choice(*object, expectedAnswer(sequence->model, sequence->prompt, sequence->tokens), chat, false, true);
        JsonObject::Ptr usage = new JsonObject;
        usage->set("prompt_tokens", sequence->promptTokens);
        usage->set("completion_tokens", sequence->tokens);
        usage->set("total_tokens", sequence->promptTokens + sequence->tokens);
        object->set("usage", usage);
        sendJson(response, HTTPServerResponse::HTTP_OK, *object);
    }

    void stream(HTTPServerRequest &request, HTTPServerResponse &response, const SequencePtr &sequence, bool chat)
    {
        response.setChunkedTransferEncoding(true);
        response.setContentType("text/event-stream");
        std::ostream &out = response.send();
        std::size_t sent = 0;
        RunEnd end = RunEnd::Running;
        while (sent < sequence->tokens) {
            const auto produced = core_.waitTokens(sequence, sent, goneCheck, end);
            if (end == RunEnd::Cut) {
                cut(request);
                return;
            }
            for (; sent < produced; ++sent) {
                auto object = head(*sequence, chat, true);
                choice(*object, answerToken(sequence->model, sequence->prompt, sent, sequence->tokens), chat, true,
                       sent + 1 == sequence->tokens);
                out << "data: " + print(*object) + "\n\n";
            }
            out.flush();
            if (!out.good() || clientGone(request)) {
                core_.cancel(sequence);
                return;
            }
        }
        out << "data: [DONE]\n\n" << std::flush;
    }

    // ---- what it says of itself

    void models(HTTPServerResponse &response)
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

    void metrics(HTTPServerResponse &response)
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

    void control(const std::string &path, const JsonObject &body, HTTPServerResponse &response)
    {
        if (path == "/standin/restart") {
            core_.restart(std::chrono::milliseconds(option<Poco::Int64>(body, "downMs", 0)));
        } else if (path == "/standin") {
            const std::scoped_lock lock(mutex_);
            failNextLoads_ = option<Poco::UInt64>(body, "failNextLoads", failNextLoads_);
            failAdapter_ = option<std::string>(body, "failAdapter", failAdapter_);
            loseOrderReplies_ = option<Poco::UInt64>(body, "loseOrderReplies", loseOrderReplies_);
        }
        JsonObject object = printStats(core_.stats());
        if (path == "/standin/record") {
            object.set("runs", printRuns());
        }
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

    static JsonObject printStats(const EngineStats &stats)
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

    Array::Ptr printRuns() const
    {
        Array::Ptr runs = new Array;
        for (const auto &sequence : core_.record()) {
            JsonObject::Ptr item = new JsonObject;
            item->set("id", sequence->id);
            item->set("model", sequence->model);
            item->set("key", sequence->key);
            item->set("prompt", sequence->prompt.substr(0, promptInRecord));
            item->set("tokens", sequence->tokens);
            item->set("end", runEndNames.at(static_cast<std::size_t>(sequence->end)));
            item->set("evicted", sequence->evicted);
            runs->add(item);
        }
        return runs;
    }

    EngineCore core_;
    const std::string weightStore_;
    const std::chrono::milliseconds loadTime_;
    std::mutex mutex_; // guards all below
    std::uint64_t failNextLoads_ = 0;
    std::string failAdapter_; // loads of names that begin so fail
    std::uint64_t loseOrderReplies_ = 0;
};
} // namespace

void engineOptions(cxxopts::Options &options)
{
    options.add_options()("base-model", "name", cxxopts::value<std::string>()->default_value("base"))(
        "slots", "adapters loaded at once", cxxopts::value<std::size_t>()->default_value("4"))(
        "batch-limit", "sequences in a step", cxxopts::value<std::size_t>()->default_value("8"))(
        "cache-blocks", "blocks of 16 prompt tokens kept", cxxopts::value<std::size_t>()->default_value("1024"))(
        "step-us", "time of a step", cxxopts::value<double>()->default_value("0"))(
        "sequence-us", "more for each sequence", cxxopts::value<double>()->default_value("0"))(
        "adapter-us", "more for each distinct adapter", cxxopts::value<double>()->default_value("0"))(
        "prompt-token-us", "more for each prompt token not cached", cxxopts::value<double>()->default_value("0"))(
        "weight-store", "URL, empty: none is asked", cxxopts::value<std::string>()->default_value(""))(
        "load-ms", "time of a load besides the weight store", cxxopts::value<unsigned>()->default_value("0"))(
        "fencing", "check or ignore", cxxopts::value<std::string>()->default_value("check"));
}

int runEngine(const cxxopts::ParseResult &options)
{
    EngineHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins
