// A caller hides a second request in an encoded word of a header of its first one.
#include "../rig-2/rig.h"

using namespace rig;

namespace {

std::string encodedWord(const std::string &text)
{
    std::string result = "=?utf-8?q?";
    for (const unsigned char c : text) {
        char part[4];
        std::snprintf(part, sizeof part, "=%02X", c);
        result += part;
    }
    return result + "?=";
}

/// A plain replica: runs each whole request that it reads on a channel, in their order.
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
    std::vector<std::string> runs()
    {
        const std::scoped_lock lock(mutex_);
        return runs_;
    }

private:
    bool run(int fd, const Message &message)
    {
        const auto id = message.header("X-Anvilscale-Request-Id");
        if (message.header("X-Anvilscale-Expect-Instance", "p-1") != "p-1") {
            return sendAll(fd, answerText(421, "X-Anvilscale-Instance-Id: p-1\r\n", ""));
        }
        if (id.empty()) {
            return sendAll(fd, answerText(400, "X-Anvilscale-Not-Executed: 1\r\n", ""));
        }
        record_.add("replica: runs " + message.method() + " " + message.target() + " " + id);
        {
            const std::scoped_lock lock(mutex_);
            runs_.push_back(message.method() + " " + message.target() + " " + id);
        }
        return sendAll(
            fd,
            answerText(200, "X-Anvilscale-Request-Id: " + id + "\r\nX-Anvilscale-Server-Signature: sig." + id + "\r\n",
                       "answer to " + id));
    }

    Record &record_;
    std::mutex mutex_; // guards all below
    std::vector<std::string> runs_;
    Server server_;
};

std::string config()
{
    const auto route = [](const std::string &name, const std::string &type) {
        return R"({"name":")" + name + R"(","hostname":"h.example","prefix":"/)" + name + R"(/","type":")" + type
               + R"(","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"ledger","max_attempts":2})";
    };
    return R"({"version":7,"routes":[)" + route("check", "idempotent") + "," + route("count", "non_idempotent")
           + R"(],"services":[{"name":"ledger","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],)"
           + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           + R"("idle_timeout_ms":15000}})";
}

class Caller
{
public:
    Caller(Record &record, Node &entry)
        : record_(record)
        , entry_(entry)
    {
    }
    void sendCheck(const std::string &number)
    {
        const auto hidden = "a\r\n\r\nPOST /count/" + number + " HTTP/1.1\r\nHost: h.example\r\n"
                            + "X-Anvilscale-Request-Id: hidden-" + number + "\r\nContent-Length: 0\r\nX-Rest: b";
        const auto note = encodedWord(hasTrouble() ? hidden : "a note");
        const auto start = "GET /check/" + number;
        const auto id = "check-" + number;
        sent_.insert(start + " " + id);
        record_.add("client: sends " + start + " " + id + ", X-Note: " + note);
        const auto answer =
            request(entry_,
                    start + " HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
                        + "\r\nX-Anvilscale-Deadline-Ms: 1000\r\nX-Note: " + note + "\r\nConnection: close\r\n\r\n",
                    milliseconds(3'000));
        answered_ += answer && answer->status() == 200 ? 1 : 0;
        record_.add("client: " + id + " is answered " + (answer ? answer->start + ", " + answer->body : "nothing"));
    }
    bool hasSent(const std::string &run) const
    {
        return sent_.count(run) != 0;
    }
    int answered() const
    {
        return answered_;
    }

private:
    Record &record_;
    Node &entry_;
    std::set<std::string> sent_;
    int answered_ = 0;
};

int runCase()
{
    constexpr int calls = 5;
    Record record(variable("RECORD", "record.txt"));
    Store store;
    Replica replica(record);
    store.put("op/config", config());
    store.put("servers/p-1", R"({"service":"ledger","address":")" + replica.address()
                                 + R"(","zone":"carthage","version":"v1","slots":6,"state":"ready","cold_left_ms":0,)"
                                 + R"("sequence":1,"models":[]})");
    Node entry("entry-1", "127.0.1.1", freePort(), store.address(), "");
    if (!eventually([&] { return entry.isReady(); }, milliseconds(10'000))) {
        record.add("the entry is not ready");
        return exitNotRun;
    }
    Caller caller(record, entry);
    for (int i = 1; i <= calls; ++i) {
        caller.sendCheck(std::to_string(i));
    }
    pause(milliseconds(500));
    const auto runs = replica.runs();
    const auto unasked =
        std::count_if(runs.begin(), runs.end(), [&](const std::string &run) { return !caller.hasSent(run); });
    record.add(std::to_string(caller.answered()) + " of 5 requests answered, " + std::to_string(unasked)
               + " requests run that no client sent");
    if (unasked != 0) {
        return exitBroken;
    }
    return caller.answered() == calls || hasTrouble() ? exitHeld : exitNotRun;
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
