// Requests whose head stays within max_header_bytes, with one long header or many short ones.
#include "../rig-2/rig.h"

using namespace rig;

namespace {

constexpr std::size_t maxHeaderBytes = 16'384;
constexpr auto stableWindow = milliseconds(3'000);

/// A model replica that holds its model. Answers each request by a stream of one event.
class Replica
{
public:
    explicit Replica(Record &record)
        : record_(record)
        , server_("127.0.1.9", freePort(), [this](int fd, const Message &message) { return run(fd, message); })
    {
    }
    std::string address() const
    {
        return server_.address();
    }

private:
    bool run(int fd, const Message &message)
    {
        const auto id = message.header("X-Anvilscale-Request-Id");
        if (message.header("X-Anvilscale-Expect-Instance", "e-1") != "e-1") {
            return sendAll(fd, answerText(421, "X-Anvilscale-Instance-Id: e-1\r\n", ""));
        }
        record_.add("replica: runs " + id);
        return sendAll(fd, answerText(200,
                                      "Content-Type: text/event-stream\r\nX-Anvilscale-Request-Id: " + id
                                          + "\r\nX-Anvilscale-Server-Signature: sig." + id + "\r\n",
                                      "id: 1\ndata: piece\n\n"));
    }

    Record &record_;
    Server server_;
};

std::string config()
{
    return R"({"version":7,"routes":[{"name":"recon","hostname":"h.example","prefix":"/recon/","type":"streaming",)"
           R"("timeout_ms":5000,"target_latency_ms":1000,"priority":1,"service":"chariot","max_attempts":2,)"
           R"("sticky":true,"resumable":true,"target_gap_ms":400}],"services":[{"name":"chariot",)"
           R"("health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,)"
           R"("kv_capacity":251660,"models":[{"name":"m0","weights_mb":42700.0,"load_s":0.6,"adapters":3000,)"
           R"("adapter_mb":66.0,"disk_load_s":0.24}],"weights_mb":44000.0,"adapter_slots":9,"loads_per_s":4.2}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000}})";
}

/// Parts of a prompt, as ID:TOKENS.
std::string promptParts(int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        char part[32];
        std::snprintf(part, sizeof part, "%s%08x:10", i == 0 ? "" : ",", 0x5c1e0000 + i);
        result += part;
    }
    return result;
}

std::string otherHeaders(int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        char line[32];
        std::snprintf(line, sizeof line, "X-Note-%d: %d\r\n", i, i);
        result += line;
    }
    return result;
}

class Caller
{
public:
    Caller(Record &record, Node &entry)
        : record_(record)
        , entry_(entry)
    {
    }
    void send(const std::string &id, const std::string &parts, const std::string &others)
    {
        const auto text =
            "POST /recon/1 HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
            + "\r\nX-Anvilscale-Model: m0\r\nX-Anvilscale-Token-Usage: 9000,20\r\nX-Anvilscale-Prefix-Hash: " + parts
            + "\r\nX-Anvilscale-Deadline-Ms: 5000\r\n" + others + "Connection: close\r\nContent-Length: 2\r\n\r\n";
        if (text.size() > maxHeaderBytes) {
            throw std::runtime_error("the head is too long");
        }
        const auto answer = request(entry_, text + "{}", milliseconds(6'000));
        const int status = answer ? answer->status() : 0;
        ++sent_;
        served_ += status == 200 ? 1 : 0;
        denied_ += status / 100 == 4 && status != 408 && status != 421 && status != 429 ? 1 : 0;
        record_.add("client: " + id + ", head of " + std::to_string(text.size()) + " bytes, is answered "
                    + (answer ? answer->start + ", " + answer->body.substr(0, 40) : "nothing"));
    }
    int sent() const
    {
        return sent_;
    }
    int served() const
    {
        return served_;
    }
    int denied() const
    {
        return denied_;
    }

private:
    Record &record_;
    Node &entry_;
    int sent_ = 0;
    int served_ = 0;
    int denied_ = 0;
};

int runCase()
{
    constexpr int rounds = 20;
    Record record(variable("RECORD", "record.txt"));
    Store store;
    Replica replica(record);
    store.put("op/config", config());
    store.put("servers/e-1", R"({"service":"chariot","address":")" + replica.address()
                                 + R"(","zone":"carthage","version":"v1","slots":64,"state":"ready","cold_left_ms":0,)"
                                 + R"("sequence":1,"models":[{"name":"m0","version":1,"adapters":[]}]})");
    Node entry("entry-1", "127.0.1.1", freePort(), store.address(), "");
    if (!eventually([&] { return entry.isReady(); }, milliseconds(10'000))) {
        record.add("the entry is not ready");
        return exitNotRun;
    }
    pause(stableWindow + milliseconds(500));
    Caller caller(record, entry);
    const auto fewParts = promptParts(3);
    const auto manyParts = promptParts(hasTrouble() ? 1'000 : 3);
    const auto manyHeaders = otherHeaders(hasTrouble() ? 120 : 3);
    for (int i = 1; i <= rounds; ++i) {
        const auto number = std::to_string(i);
        caller.send("usual-" + number, fewParts, "");
        caller.send("parts-" + number, manyParts, "");
        caller.send("headers-" + number, fewParts, manyHeaders);
    }
    record.add(std::to_string(caller.sent()) + " requests, " + std::to_string(caller.served()) + " served, "
               + std::to_string(caller.denied()) + " ended with a 4xx of the entry");
    if (500 * caller.denied() > 500 * 5 + caller.sent()) {
        record.add("DENIED: more than 5 + one in 500");
        return exitBroken;
    }
    return caller.served() == caller.sent() || hasTrouble() ? exitHeld : exitNotRun;
}

} // namespace

int main()
{
    try {
        return runCase();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exitNotRun;
    }
}
