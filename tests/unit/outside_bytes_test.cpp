// Readers of bytes that other programs write, with mutated input of fixed seeds: no exception leaves a reader, and no
// value leaves the range of its field.
#include "site_dialect.h"
#include "site_json.h"

#include "anvilscale/settings.h"

#include <gtest/gtest.h>

#include <cmath>

namespace anvilscale {
namespace {

using site::SiteDialect;

constexpr int rounds = 600; // for each sample
constexpr Duration maxTime = std::chrono::hours(24 * 366);

const std::string endpointSample =
    R"({"service":"s","address":"10.1.0.40:80","zone":"z","version":"v1","slots":64,"state":"draining",)"
    R"("remaining_ms":400,"cold_left_ms":0.5,"sequence":3,"born":17,"models":[{"name":"m","adapters":["a@2","b"]}]})";
const std::string configSample =
    R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/a/","type":"streaming","timeout_ms":6000,)"
    R"("target_latency_ms":1000,"target_gap_ms":400,"priority":1,"max_attempts":2,"resumable":true,"split":[)"
    R"({"service":"s","weight":3}]}],"services":[{"name":"s","max_conns":370,"engine":{"weights_mb":44200.0,)"
    R"("adapter_slots":9,"models":[{"name":"m","weights_mb":1.5,"load_s":0.6,"adapter_mb":66.0}]}}],"workspaces":[)"
    R"({"name":"w","api_keys":["k"],"priority":1,"rate_per_s":2.5,"burst":3,"unit":"token_stream","plain_tokens":7}],)"
    R"("limits":{"max_header_bytes":8192,"max_body_bytes":1000,"header_timeout_ms":500,"idle_timeout_ms":900}})";
const std::string crashSample = R"({"endpoint":"i-1","born":5,"suspects":["00000000000000ab"],)"
                                R"("prompts":[[{"part":"00000000000000cd","round":2}]]})";
const std::string clearanceSample = R"({"cleared":[{"part":"00000000000000cd","crashes":["00000000000000ab"]}]})";
const std::string reportSample =
    R"({"models":[{"name":"m","version":1,"adapters":["a@1"]}],"busy":false,"sequence":2,"queued":1,"active":12,)"
    R"("kv_used":41000,"kv_total":90000,"born":17,"state":"ready","pending":["m/a@3"]})";

/// Makes odd texts out of sound ones.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : random_(seed)
    {
    }
    std::string mutate(std::string text)
    {
        const auto changes = 1 + random_.uniformBelow(3);
        for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
            change(text);
        }
        return text;
    }
    std::string bytes(std::size_t maxLength)
    {
        std::string result(random_.uniformBelow(maxLength + 1), '\0');
        for (auto &byte : result) {
            byte = static_cast<char>(random_.uniformBelow(256));
        }
        return result;
    }
    std::uint64_t below(std::uint64_t bound)
    {
        return random_.uniformBelow(bound);
    }

private:
    void change(std::string &text)
    {
        static const std::array<std::string, 24> oddValues{"-1",
                                                           "1.5",
                                                           "1e19",
                                                           "1e400",
                                                           "-1e400",
                                                           "4294967296",
                                                           "4294967297",
                                                           "9223372036854775808",
                                                           "18446744073709551615",
                                                           "18446744073709551616",
                                                           "null",
                                                           "true",
                                                           "[]",
                                                           "{}",
                                                           "[[]]",
                                                           R"("")",
                                                           R"("::1:80")",
                                                           R"("\u0000")",
                                                           R"("a@99999999999")",
                                                           "\"\xff\xfe\"",
                                                           R"("10.0.0.1:65536")",
                                                           "-0",
                                                           "00",
                                                           "{"};
        const auto position = below(text.size());
        switch (below(5)) {
        case 0:
            text[position] = static_cast<char>(below(256));
            return;
        case 1:
            text.erase(position, 1 + below(8));
            return;
        case 2:
            text.insert(position, text.substr(position, below(40)));
            return;
        case 3: {
            constexpr std::size_t maxDepth = 2000;
            const auto depth = below(maxDepth);
            replaceValue(text, position, std::string(depth, '[') + std::string(depth, ']'));
            return;
        }
        default:
            replaceValue(text, position, oddValues.at(below(oddValues.size())));
        }
    }
    /// Replaces the value of a member behind `position`.
    static void replaceValue(std::string &text, std::size_t position, const std::string &by)
    {
        const auto colon = text.find("\":", position);
        if (colon == std::string::npos) {
            return;
        }
        const auto begin = colon + 2;
        const bool isString = begin < text.size() && text[begin] == '"';
        const auto end = isString ? text.find('"', begin + 1) : text.find_first_of(",}]", begin);
        text.replace(begin, end == std::string::npos ? end : end - begin + (isString ? 1 : 0), by);
    }

    Random random_;
};

bool isTime(Duration time)
{
    return time >= Duration(0) && time <= maxTime;
}

bool isQuantity(double value)
{
    return std::isfinite(value) && value >= 0;
}

void checkConfig(const DirectConfig &config)
{
    for (const auto &route : config.routes) {
        EXPECT_TRUE(isTime(route.timeout) && isTime(route.objective) && isTime(route.pauseLimit));
        EXPECT_TRUE(route.firstByteLimit >= Duration(0) && route.firstByteLimit <= 8 * maxTime);
        EXPECT_FALSE(route.services.empty());
    }
    for (const auto &service : config.services) {
        if (service.engine) {
            EXPECT_TRUE(isQuantity(service.engine->weightsMb));
            for (const auto &model : service.engine->models) {
                EXPECT_TRUE(isTime(model.reload));
            }
        }
    }
    if (config.workspaces) {
        for (const auto &workspace : *config.workspaces) {
            EXPECT_TRUE(isQuantity(workspace.allowance.ratePerSecond) && isQuantity(workspace.allowance.burst)
                        && isQuantity(workspace.allowance.defaultTokens));
        }
    }
    EXPECT_TRUE(isTime(config.limits.headTimeout) && isTime(config.limits.idleTimeout));
}

void checkRecord(const StoreRecord &record)
{
    if (const auto *endpoint = std::get_if<EndpointRecord>(&record)) {
        const auto address = NetAddress::parse(endpoint->address);
        ASSERT_TRUE(address) << endpoint->address;
        EXPECT_EQ(address->text(), endpoint->address);
    } else if (const auto *config = std::get_if<DirectConfig>(&record)) {
        checkConfig(*config);
    }
}

void readAll(const std::string &body)
{
    for (const auto &page : {SiteDialect::readRange(body), SiteDialect::readWatch(body)}) {
        if (page) {
            for (const auto &record : page->records) {
                checkRecord(record);
            }
            EXPECT_LE(page->rejections.size(), page->rejectedRecords);
        }
    }
    if (const auto changes = SiteDialect::splitWatch(body)) {
        std::vector<std::string> items;
        for (const auto &change : changes->items) {
            checkRecord(change.record);
            items.push_back(change.encoded);
        }
        EXPECT_TRUE(SiteDialect::readWatch(SiteDialect::joinWatch(changes->revision, items)));
    }
    SiteDialect::readLease(body);
    SiteDialect::readWriteRevision(body);
}

std::string item(const std::string &key, const std::string &value)
{
    return R"({"key":")" + key + R"(","value":")" + site::encodeBase64(value)
           + R"(","revision":5,"created":4,"lease":6})";
}

std::string page(const std::string &items)
{
    return R"({"items":[)" + items + R"(],"events":[)" + items
           + R"(],"store_revision":9,"has_more":false,"revision":9,)" + R"("lease":77})";
}

const std::vector<std::pair<std::string, std::string>> recordSamples{
    {"servers/i-1", endpointSample},
    {"op/config", configSample},
    {"op/version/m.a", R"({"model":"m","adapter":"a","version":4})"},
    {"anvilscale/crash/e-1-5-0", crashSample},
    {"anvilscale/clear/e-1-5-1", clearanceSample},
    {"anvilscale/software/x", R"({"service":"s","version":"v1"})"},
    {"anvilscale/fence", "vm"},
};

HttpResponseHead randomHead(Mutator &mutator)
{
    static const std::array<std::string, 10> names{"Retry-After",
                                                   "X-Anvilscale-Request-Id",
                                                   "Server-Limit",
                                                   "X-Anvilscale-Server-Signature",
                                                   "Content-Type",
                                                   "Keep-Alive",
                                                   "X-Anvilscale-Instance-Id",
                                                   "Store-Era",
                                                   "Server-Leaving",
                                                   "X-Anvilscale-Not-Executed"};
    static const std::array<std::string, 10> values{
        "1",       "-1", "1e400", "nan", "inf", "99999999999999999999", "", "0.5", "Wed, 21 Oct 2015 07:28:00 GMT",
        "\xff\xfe"};
    static const std::array<std::uint32_t, 6> statuses{200, 421, 429, 500, 503, 0};
    HttpResponseHead head;
    head.status = statuses.at(mutator.below(statuses.size()));
    for (const auto &name : names) {
        if (mutator.below(2) == 0) {
            head.headers.emplace_back(name, values.at(mutator.below(values.size())));
        }
    }
    return head;
}

} // namespace

// Guards against a record of another writer, or a cut answer of the store, that ends the process or gives a value that
// its field cannot have.
TEST(OutsideBytes, RecordsOfTheStore)
{
    Mutator mutator(1);
    for (const auto &[key, sample] : recordSamples) {
        for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
            const auto text = mutator.mutate(sample);
            SCOPED_TRACE(key + " " + text.substr(0, 400));
            ASSERT_NO_THROW(readAll(page(item(key, text) + "," + item("servers/i-2", endpointSample))));
        }
    }
}

// Guards against an answer of the store, or of the sidecar that watches it, that ends the process.
TEST(OutsideBytes, AnswersOfTheStore)
{
    Mutator mutator(2);
    std::string items;
    for (const auto &[key, sample] : recordSamples) {
        items += (items.empty() ? "" : ",") + item(key, sample);
    }
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        const auto body = i % 10 == 0 ? mutator.bytes(200) : mutator.mutate(page(i % 2 == 0 ? items : ""));
        SCOPED_TRACE(body.substr(0, 400));
        ASSERT_NO_THROW(readAll(body));
        const auto head = randomHead(mutator);
        ASSERT_NO_THROW(SiteDialect::storeEra(head));
    }
}

// Guards against a report or an answer of an endpoint that ends the process or gives a value out of range.
TEST(OutsideBytes, ReportsAndAnswersOfEndpoints)
{
    Mutator mutator(3);
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        const auto body = i % 10 == 0 ? mutator.bytes(200) : mutator.mutate(reportSample);
        const auto head = randomHead(mutator);
        SCOPED_TRACE(body.substr(0, 400));
        ASSERT_NO_THROW({
            const auto report = SiteDialect::readReport(head, body);
            EXPECT_TRUE(!report || !report->requestsPerSecond || isQuantity(*report->requestsPerSecond));
            const auto answer = SiteDialect::readAnswer(head, "r-1", "i-1");
            EXPECT_TRUE(isTime(answer.notice.pause));
            SiteDialect::readOrderResult(head);
            SiteDialect::incarnationOf(head);
        });
    }
}

// Guards against a caller's request that ends the process, or gets a negative time.
TEST(OutsideBytes, RequestsOfCallers)
{
    static const std::array<std::string, 9> names{"X-Anvilscale-Request-Id",
                                                  "X-Anvilscale-Deadline-Ms",
                                                  "X-Anvilscale-Model",
                                                  "X-Anvilscale-Token-Usage",
                                                  "Host",
                                                  "Authorization",
                                                  "Last-Event-Id",
                                                  "Connection",
                                                  "X-Anvilscale-Prefix-Hash"};
    static const std::array<std::string, 14> values{"1",
                                                    "-1",
                                                    "9223372036854775807",
                                                    "9223372036854775808",
                                                    "99999999999999999999",
                                                    "1e400",
                                                    "",
                                                    "/",
                                                    ",",
                                                    "a:1,b",
                                                    "base/a",
                                                    "Bearer x",
                                                    ":",
                                                    "\xff\xfe"};
    Mutator mutator(4);
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        HttpRequestData request;
        request.target = mutator.bytes(10);
        request.headers.emplace_back(names[0], "r-1");
        for (const auto &name : names) {
            if (mutator.below(2) == 0) {
                request.headers.emplace_back(name, values.at(mutator.below(values.size())));
            }
        }
        ASSERT_NO_THROW({
            const auto call = SiteDialect::readCall(request);
            EXPECT_TRUE(!call || (call->callerTimeout >= Duration(0) && call->callerTimeout <= Seconds(60)))
                << (call ? toMilliseconds(call->callerTimeout) : 0);
        });
    }
}

// Guards against heads that end the process: of callers, endpoints and the store.
TEST(OutsideBytes, HeadsAndBodies)
{
    const std::string request = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX: y\r\n\r\n";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunks = "5\r\nhello\r\nffffffffffffffff\r\n0\r\n\r\n";
    const std::string call = R"({"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"u","content":"x"}]})";
    Mutator mutator(5);
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        ASSERT_NO_THROW({
            parseRequestHead(mutator.mutate(request), 1000);
            parseResponseHead(mutator.mutate(response), false);
            HttpBodyReader reader(HttpBodyReader::Framing::Chunked, 0);
            std::string out;
            reader.read(mutator.mutate(chunks), out);
            readModelCall(mutator.mutate(call), 64);
            NetAddress::parse(mutator.mutate("10.1.0.40:8080"));
            NetAddress::parse(mutator.bytes(24));
        });
    }
}

// Guards against settings that end the process when they are read again while it runs.
TEST(OutsideBytes, Settings)
{
    const std::string sample =
        R"({"role":"direct-entry","name":"e","dataCentre":"dc","control":{"address":"127.0.0.1","port":4},)"
        R"("http":{"at":"127.0.0.1:8080"},"direct":{"store":"http://127.0.0.1:9","ready":{"at":"127.0.0.1:81"},)"
        R"("storePauseMs":50,"graceMs":8000,"metricsPort":82,"retryRatio":0.1},"log":{"file":"-","level":"info"}})";
    ASSERT_TRUE(parseSettings(sample)) << parseSettings(sample).error().detail;
    Mutator mutator(6);
    for (int i = 0; i < rounds / 4 && !testing::Test::HasFailure(); ++i) {
        const auto text = i % 10 == 0 ? mutator.bytes(100) : mutator.mutate(sample);
        SCOPED_TRACE(text.substr(0, 400));
        ASSERT_NO_THROW(parseSettings(text));
    }
    for (const std::string at :
         {"127.0.0.1:80/a:b", "127.0.0.1:80/", "127.0.0.1:", ":80", "[::1]:80", "127.0.0.1:65536"}) {
        auto text = sample;
        text.replace(text.find("127.0.0.1:8080"), 14, at);
        ASSERT_NO_THROW({
            const auto settings = parseSettings(text);
            EXPECT_TRUE(!settings || settings->http().port() == 80) << at;
        });
    }
}

} // namespace anvilscale
