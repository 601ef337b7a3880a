// Callers for the demo: sends model calls, streams and service calls through all entries and checks the answers against
// the records of the stand-ins. Prints "calls begin", a table and a line "RESULT answered lost doubled wrong".
#include "expected_answer.h"
#include "http_host.h"
#include "subcommands.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <future>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace standins {

namespace {
using Clock = std::chrono::steady_clock;

constexpr std::size_t answerTokens = 12;
constexpr std::chrono::seconds callTimeout(60); // for one call, over all its tries
constexpr std::chrono::milliseconds maxRetryDelay(1000);
constexpr std::string_view deadlineMs = "30000";
constexpr int statusOk = 200;

enum class CallKind : std::uint8_t {
    Plain,
    Stream,
    KeyedService, ///< non-idempotent service, repeated through another entry
    Lookup, ///< idempotent service
    Count
};
constexpr std::array callKindNames{"plain", "streamed", "service with key", "lookup"};

struct Call
{
    CallKind kind = CallKind::Plain;
    std::string target; ///< route or service
    std::string model; ///< expected adapter@version; empty for a service
    std::string text; ///< prompt or body, unique among all calls
    std::string key;
    std::size_t entry = 0;
    bool isRepeatedAtOnce = false;
    // Outcome of the call
    bool isAnswered = false;
    bool isWrong = false;
    std::string failure;
    double milliseconds = 0.0;
    std::size_t answerCount = 0; // including the repeat's
};

struct Answer
{
    int status = 0;
    std::string body;
    double retryAfter = 0.0;
};

Answer exchange(const std::string &base, const std::string &method, const std::string &path, const std::string &body,
                const std::string &key)
{
    const Poco::URI uri(base);
    Poco::Net::HTTPClientSession session(uri.getHost(), uri.getPort());
    session.setTimeout(Poco::Timespan(callTimeout.count(), 0));
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.set("X-Deadline-Ms", std::string(deadlineMs));
    if (!key.empty()) {
        request.set("Idempotency-Key", key);
    }
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    std::istream &in = session.receiveResponse(response);
    Answer answer;
    Poco::StreamCopier::copyToString(in, answer.body);
    answer.status = response.getStatus();
    answer.retryAfter = std::stod(response.get("Retry-After", "0"));
    return answer;
}

JsonObject::Ptr parseObject(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<JsonObject::Ptr>();
    } catch (const Poco::Exception &) {
        return new JsonObject;
    }
}

/// The error states that the call did not run, so that the caller may send it again.
bool isReportedNotRun(const Answer &answer)
{
    const auto error = parseObject(answer.body)->getObject("error");
    return !error.isNull() && fieldOr<std::string>(*error, "verdict", "") == "not_run";
}

/// Retries as a client does: after "not_run", and with an idempotency key after an unknown outcome as well.
Answer callWithRetries(const std::string &base, const std::string &path, const std::string &body,
                       const std::string &key)
{
    const auto deadline = Clock::now() + callTimeout;
    while (true) {
        Answer answer = exchange(base, "POST", path, body, key);
        const bool isOutcomeUnknown = answer.status == HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE && !key.empty();
        if (answer.status == statusOk || !(isReportedNotRun(answer) || isOutcomeUnknown) || Clock::now() >= deadline) {
            return answer;
        }
        const auto wait = std::chrono::milliseconds(static_cast<int>(answer.retryAfter * 1000.0) + 20);
        std::this_thread::sleep_for(std::min(wait, maxRetryDelay));
    }
}

std::string modelBody(const Call &call)
{
    JsonObject body;
    body.set("model", call.target);
    body.set("max_tokens", answerTokens);
    if (call.kind == CallKind::Plain) {
        body.set("prompt", call.text);
        return toJsonText(body);
    }
    JsonObject::Ptr message = new JsonObject;
    message->set("role", "user");
    message->set("content", call.text);
    Poco::JSON::Array::Ptr messages = new Poco::JSON::Array;
    messages->add(message);
    body.set("messages", messages);
    body.set("stream", true);
    return toJsonText(body);
}

/// Returns the text of a streamed answer, or an empty text if it does not end with [DONE].
std::string streamedText(const std::string &body)
{
    std::string text;
    std::istringstream in(body);
    for (std::string line; std::getline(in, line);) {
        if (line == "data: [DONE]") {
            return text;
        }
        constexpr std::string_view prefix = "data: ";
        if (line.rfind(prefix, 0) != 0) {
            continue;
        }
        const auto choices = parseObject(line.substr(prefix.size()))->getArray("choices");
        if (choices.isNull() || choices->size() == 0) {
            return {};
        }
        text += choices->getObject(0)->getObject("delta")->getValue<std::string>("content");
    }
    return {};
}

std::string plainText(const std::string &body)
{
    const auto choices = parseObject(body)->getArray("choices");
    return choices.isNull() || choices->size() == 0 ? "" : choices->getObject(0)->getValue<std::string>("text");
}

class CallRunner
{
public:
    explicit CallRunner(const cxxopts::ParseResult &options)
        : entries_(options["entry"].as<std::vector<std::string>>())
        , engines_(options["engine"].as<std::vector<std::string>>())
        , services_(options["service-endpoint"].as<std::vector<std::string>>())
        , keyedServices_(options["keyed-service"].as<std::vector<std::string>>())
        , tag_(options["tag"].as<std::string>())
    {
        planCalls(options);
    }

    int run(std::size_t threads)
    {
        waitUntilReady();
        for (const auto &service : keyedServices_) {
            waitUntilKeysAreAccepted(service);
        }
        std::cout << "calls begin" << std::endl;
        std::atomic<std::size_t> next = 0;
        std::vector<std::thread> workers;
        for (std::size_t i = 0; i < threads; ++i) {
            workers.emplace_back([this, &next] {
                for (std::size_t at = next++; at < calls_.size(); at = next++) {
                    performCall(calls_[at]);
                }
            });
        }
        for (auto &worker : workers) {
            worker.join();
        }
        collectRecords();
        return printResult();
    }

private:
    void planCalls(const cxxopts::ParseResult &options)
    {
        const auto count = options["calls"].as<std::size_t>();
        const auto routes = options["route"].as<std::vector<std::string>>();
        const auto lookups = options["lookup-service"].as<std::vector<std::string>>();
        for (std::size_t i = 0; i < count; ++i) {
            Call call;
            call.entry = i % entries_.size();
            call.text = tag_ + " call " + std::to_string(i) + " " + hexText(anvilscale::hash64(tag_, i));
            call.kind = static_cast<CallKind>((i / entries_.size()) % callKindCount);
            if (call.kind == CallKind::Plain || call.kind == CallKind::Stream) {
                // Shifted by one after each round of kinds, so that every route is called with every kind.
                const auto &route =
                    routes[(i / entries_.size() + i / (entries_.size() * callKindCount)) % routes.size()];
                call.target = route.substr(0, route.find('='));
                call.model = route.substr(route.find('=') + 1);
            } else {
                const auto &names = call.kind == CallKind::KeyedService ? keyedServices_ : lookups;
                call.target = names[i % names.size()];
                call.isRepeatedAtOnce = (i / (entries_.size() * callKindCount)) % 2 == 0;
            }
            calls_.push_back(call);
        }
    }

    void waitUntilReady()
    {
        const auto deadline = Clock::now() + callTimeout;
        for (const auto &entry : entries_) {
            while (!isReady(entry)) {
                if (Clock::now() >= deadline) {
                    throw std::runtime_error(entry + " is not ready");
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        }
    }

    static std::string newKey(const std::string &entry)
    {
        const auto answer = exchange(entry, "POST", "/v1/idempotency-keys", "", "");
        return parseObject(answer.body)->getValue<std::string>("key");
    }

    // A new slot owner rejects keys stamped before its take-over plus margin, and the owners of a service take over one
    // after another. Calls start after enough consecutive new keys, on the slots of all owners, were accepted.
    void waitUntilKeysAreAccepted(const std::string &service) const
    {
        constexpr std::size_t requiredSuccesses = 32;
        const auto deadline = Clock::now() + callTimeout;
        const std::string path = "/v1/services/" + service + "/warm-up";
        for (std::size_t acceptedCount = 0; acceptedCount < requiredSuccesses;) {
            const std::string &entry = entries_[acceptedCount % entries_.size()];
            const auto answer = exchange(entry, "POST", path, "warm-up", newKey(entry));
            if (answer.status == statusOk) {
                ++acceptedCount;
                continue;
            }
            acceptedCount = 0;
            if (Clock::now() >= deadline) {
                throw std::runtime_error(service + " accepts no idempotency keys: " + answer.body);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    static bool isReady(const std::string &entry)
    {
        try {
            return exchange(entry, "GET", "/readyz", "", "").status == statusOk;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    void performCall(Call &call)
    {
        const auto startedAt = Clock::now();
        try {
            switch (call.kind) {
            case CallKind::Plain:
            case CallKind::Stream:
                callModel(call);
                break;
            default:
                callService(call);
            }
        } catch (const Poco::Exception &error) {
            call.failure = error.displayText();
        }
        call.milliseconds = std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
    }

    void callModel(Call &call) const
    {
        const bool isStream = call.kind == CallKind::Stream;
        const auto answer = callWithRetries(entries_[call.entry], isStream ? "/v1/chat/completions" : "/v1/completions",
                                            modelBody(call), "");
        const auto text = isStream ? streamedText(answer.body) : plainText(answer.body);
        call.answerCount = 1;
        if (answer.status != statusOk || text.empty()) {
            call.failure = std::to_string(answer.status) + " " + answer.body;
        } else if (text == expectedAnswer(call.model, call.text, answerTokens)) {
            call.isAnswered = true;
        } else if (text.rfind("[" + call.model + "]", 0) != 0) {
            call.isWrong = true;
            call.failure = "answered by " + text.substr(0, text.find(']') + 1);
        } else {
            call.failure = "incomplete, or another call's answer: " + text;
        }
    }

    void callService(Call &call) const
    {
        const std::string &entry = entries_[call.entry];
        const std::string &other = entries_[(call.entry + 1) % entries_.size()];
        const std::string path = "/v1/services/" + call.target + "/desk/" + std::to_string(call.entry);
        if (call.kind == CallKind::Lookup) {
            checkService(call, callWithRetries(entry, path, call.text, ""));
            call.answerCount = 1;
            return;
        }
        call.key =
            parseObject(exchange(entry, "POST", "/v1/idempotency-keys", "", "").body)->getValue<std::string>("key");
        const auto send = [&](const std::string &base) { return callWithRetries(base, path, call.text, call.key); };
        Answer repeat;
        std::future<Answer> concurrentRepeat;
        if (call.isRepeatedAtOnce) {
            concurrentRepeat = std::async(std::launch::async, send, other);
        }
        const Answer first = send(entry);
        repeat = call.isRepeatedAtOnce ? concurrentRepeat.get() : send(other);
        call.answerCount = 2;
        checkService(call, first);
        if (!call.failure.empty()) {
            return;
        }
        call.isAnswered = false;
        checkService(call, repeat);
        if (call.isAnswered && first.body != repeat.body) {
            call.isAnswered = false;
            call.failure = "the repeat's answer differs: " + repeat.body;
        }
    }

    static void checkService(Call &call, const Answer &answer)
    {
        const auto object = parseObject(answer.body);
        const auto digest = std::to_string(anvilscale::hash64(call.text));
        if (answer.status != statusOk) {
            call.failure = std::to_string(answer.status) + " " + answer.body;
        } else if (fieldOr<std::string>(*object, "digest", "") != digest) {
            call.isWrong = true;
            call.failure = "another call's answer: " + answer.body;
        } else {
            call.isAnswered = true;
        }
    }

    void collectRecords()
    {
        for (const auto &engine : engines_) {
            const auto record = parseObject(exchange(engine, "GET", "/standin/record", "", "").body);
            evictionsUnderCall_ += fieldOr<Poco::UInt64>(*record, "evictionsUnderCall", 0);
            loads_ += fieldOr<Poco::UInt64>(*record, "loads", 0);
            const auto runs = record->getArray("runs");
            for (std::size_t i = 0; i < runs->size(); ++i) {
                const auto run = runs->getObject(static_cast<unsigned>(i));
                modelsByPrompt_[run->getValue<std::string>("prompt")].push_back(run->getValue<std::string>("model"));
            }
        }
        for (const auto &service : services_) {
            const auto runs = parseObject(exchange(service, "GET", "/standin/record", "", "").body)->getArray("runs");
            for (std::size_t i = 0; i < runs->size(); ++i) {
                ++runsByDigest_[runs->getObject(static_cast<unsigned>(i))->getValue<std::string>("digest")];
            }
        }
    }

    struct Totals
    {
        std::size_t calls = 0;
        std::size_t answered = 0;
        std::size_t lost = 0;
        std::size_t doubled = 0;
        std::size_t wrong = 0;
        std::vector<double> times;
    };

    // Compares the caller's answer with the endpoints' records. An answer without a recorded run counts as lost.
    void addToTotals(const Call &call, Totals &totals) const
    {
        ++totals.calls;
        totals.times.push_back(call.milliseconds);
        std::size_t runs = 0;
        bool hasWrongRun = call.isWrong;
        if (call.model.empty()) {
            const auto found = runsByDigest_.find(std::to_string(anvilscale::hash64(call.text)));
            runs = found == runsByDigest_.end() ? 0 : found->second;
        } else if (const auto found = modelsByPrompt_.find(call.text); found != modelsByPrompt_.end()) {
            runs = found->second.size();
            hasWrongRun = hasWrongRun
                          || std::any_of(found->second.begin(), found->second.end(),
                                         [&](const std::string &model) { return model != call.model; });
        }
        totals.doubled += runs > 1 ? runs - 1 : 0;
        totals.wrong += hasWrongRun ? 1 : 0;
        const bool isAnswered = call.isAnswered && runs > 0;
        totals.answered += isAnswered ? 1 : 0;
        totals.lost += isAnswered || hasWrongRun ? 0 : 1;
        if (!isAnswered || runs > 1 || hasWrongRun) {
            std::cerr << callKindNames.at(static_cast<std::size_t>(call.kind)) << " " << call.target << " \""
                      << call.text << "\": " << runs << " runs; " << call.failure << "\n";
        }
    }

    static double quantile(std::vector<double> &times, double fraction)
    {
        if (times.empty()) {
            return 0.0;
        }
        std::sort(times.begin(), times.end());
        return times[static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1))];
    }

    int printResult()
    {
        std::array<Totals, callKindCount> kinds;
        for (const auto &call : calls_) {
            addToTotals(call, kinds.at(static_cast<std::size_t>(call.kind)));
        }
        Totals all;
        std::printf("%-18s %6s %9s %5s %8s %6s %9s %9s\n", tag_.c_str(), "calls", "answered", "lost", "doubled",
                    "wrong", "p50 ms", "p99 ms");
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            Totals &kind = kinds.at(i);
            std::printf("%-18s %6zu %9zu %5zu %8zu %6zu %9.1f %9.1f\n", callKindNames.at(i), kind.calls, kind.answered,
                        kind.lost, kind.doubled, kind.wrong, quantile(kind.times, 0.5), quantile(kind.times, 0.99));
            all.answered += kind.answered;
            all.lost += kind.lost;
            all.doubled += kind.doubled;
            all.wrong += kind.wrong;
        }
        std::printf("loads %llu, evictions under a call %llu\n", static_cast<unsigned long long>(loads_),
                    static_cast<unsigned long long>(evictionsUnderCall_));
        std::printf("RESULT %zu %zu %zu %zu\n", all.answered, all.lost, all.doubled, all.wrong);
        return all.lost + all.doubled + all.wrong + evictionsUnderCall_ == 0 ? 0 : 1;
    }

    static constexpr std::size_t callKindCount = static_cast<std::size_t>(CallKind::Count);

    const std::vector<std::string> entries_;
    const std::vector<std::string> engines_;
    const std::vector<std::string> services_;
    const std::vector<std::string> keyedServices_;
    const std::string tag_;
    std::vector<Call> calls_;
    std::map<std::string, std::vector<std::string>> modelsByPrompt_;
    std::map<std::string, std::size_t> runsByDigest_;
    std::uint64_t evictionsUnderCall_ = 0;
    std::uint64_t loads_ = 0;
};
} // namespace

void callerOptions(cxxopts::Options &options)
{
    const auto list = [] { return cxxopts::value<std::vector<std::string>>(); };
    options.add_options()("entry", "URL", list())("engine", "URL of an engine stand-in", list())(
        "service-endpoint", "URL of a service stand-in", list())("route", "ROUTE=ADAPTER@VERSION", list())(
        "keyed-service", "non-idempotent service", list())("lookup-service", "idempotent service", list())(
        "tag", "name of the deployment", cxxopts::value<std::string>()->default_value("demo"))(
        "calls", "number of calls", cxxopts::value<std::size_t>()->default_value("200"))(
        "threads", "concurrent callers", cxxopts::value<std::size_t>()->default_value("16"));
}

int runCaller(const cxxopts::ParseResult &options)
{
    CallRunner runner(options);
    return runner.run(options["threads"].as<std::size_t>());
}

} // namespace standins
