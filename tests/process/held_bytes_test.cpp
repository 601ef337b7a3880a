// The memory of an entry that holds large bodies for endpoints that do not read them.
#include "direct_fleet.h"
#include "support/scripted_endpoint.h"
#include "support/stalled_reader.h"

namespace {

using namespace fleet;
using anvilscale::test::ScriptedEndpoint;
using anvilscale::test::StalledReader;

constexpr std::size_t callerCount = 47;
constexpr std::size_t bodyBytes = 4U << 20; // the largest that an entry accepts
constexpr std::uint64_t memoryLimitKb = 160U << 10; // of an entry whose limit is not set

/// What a process uses of its own, without the pages of its program and libraries. 0 if it has ended.
std::uint64_t anonymousKb(const Process &process)
{
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::stoull(line.substr(8));
        }
    }
    return 0;
}

class HeldBytes : public Direct
{
protected:
    /// Makes the slow endpoint the only one of the plain service, whose calls have much time.
    void startWithSlowEndpoint()
    {
        startWith(slow_);
    }
    void startWith(const StalledReader &slow)
    {
        const auto text = config(2, "/n/");
        putKey("op/config", std::regex_replace(text, std::regex(R"("timeout_ms":6000)"), R"("timeout_ms":60000)"));
        controlStandin(storePort_, R"({"deletes":["servers/p-1","servers/p-2"]})");
        putKey("servers/p-3", record("plain", slow.address()));
        start();
    }
    /// Sends the head of a call and the first bytes of its body on a connection of its own.
    Poco::Net::StreamSocket open(const std::string &id, const std::string &framing, const std::string &body,
                                 const std::string &path = "/n/x") const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(httpPort_)));
        socket.setReceiveTimeout(Poco::Timespan(60, 0));
        const auto text = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
                          + "\r\nX-Anvilscale-Deadline-Ms: 60000\r\n" + framing + "\r\n\r\n" + body;
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        return socket;
    }
    /// Sends chunks until the entry closes or resets the connection, or all are sent.
    static void sendChunks(Poco::Net::StreamSocket &socket, std::size_t count)
    {
        const auto chunk = "10000\r\n" + std::string(64U << 10, 'c') + "\r\n";
        try {
            for (std::size_t i = 0; i < count; ++i) {
                socket.sendBytes(chunk.data(), static_cast<int>(chunk.size()));
            }
        } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the answer is read by the caller
        }
    }
    static std::string statusLine(Poco::Net::StreamSocket &socket)
    {
        std::string text;
        std::array<char, 256> buffer{};
        while (text.find("\r\n") == std::string::npos) {
            const int received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (received <= 0) {
                break;
            }
            text.append(buffer.data(), static_cast<std::size_t>(received));
        }
        return text.substr(0, text.find("\r\n"));
    }
    /// Reads an answer whose body has at least this many bytes. Returns whether it has come.
    static bool readsAnswer(Poco::Net::StreamSocket &socket, std::size_t bytes)
    {
        std::size_t total = 0;
        std::vector<char> buffer(64U << 10);
        try {
            while (total < bytes) {
                const int received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (received <= 0) {
                    return false;
                }
                total += static_cast<std::size_t>(received);
            }
        } catch (const Poco::Exception &) {
            return false;
        }
        return true;
    }
    double metric(const std::string &name) const
    {
        const auto text = request(metricsPort_, "GET", "/metrics").body;
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
    }
    Answer upload(const std::string &id, std::size_t bytes) const
    {
        return request(httpPort_, "POST", "/n/x", std::string(bytes, 'b'),
                       {{"Host", "h.example"}, {"X-Anvilscale-Request-Id", id}, {"X-Anvilscale-Deadline-Ms", "60000"}});
    }
    static std::string uploadId(std::size_t number)
    {
        return "upload-" + std::to_string(number);
    }

    StalledReader slow_;
};

} // namespace

// Guards against an entry that exceeds its memory by bodies that endpoints read slowly, and ends with calls that it has
// passed on.
TEST_F(HeldBytes, BodiesOfAllCallsStayWithinTheMemory)
{
    startWithSlowEndpoint();
    std::array<Answer, callerCount> answers;
    std::atomic<std::size_t> answered = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            answers[i] = upload(uploadId(i), bodyBytes);
            ++answered;
        });
    }
    std::uint64_t peakKb = 0;
    const auto hasSettled = [&] {
        peakKb = std::max(peakKb, anonymousKb(*daemons_["entry-1"]));
        std::size_t atEndpoint = 0;
        for (std::size_t i = 0; i < callerCount; ++i) {
            atEndpoint += slow_.hasHead(uploadId(i)) ? 1 : 0;
        }
        return atEndpoint + answered == callerCount;
    };
    EXPECT_TRUE(eventually(hasSettled)) << answered << " answered before any body was read";
    slow_.release();
    EXPECT_TRUE(eventually([&] {
        peakKb = std::max(peakKb, anonymousKb(*daemons_["entry-1"]));
        return answered == callerCount;
    }));
    for (auto &caller : callers) {
        caller.join();
    }
    EXPECT_LE(peakKb, memoryLimitKb);
    for (std::size_t i = 0; i < callerCount; ++i) {
        const auto id = uploadId(i);
        EXPECT_TRUE(answers[i].status == 200 || answers[i].status == 503) << id << ": " << answers[i].status;
        EXPECT_EQ(slow_.executionCount(id), answers[i].status == 200 ? 1 : 0) << id;
        EXPECT_EQ(answers[i].headers.contains("Retry-After"), answers[i].status == 503) << id;
    }
}

// Guards against small calls that are refused, or wait for large ones, while large bodies fill the memory.
TEST_F(HeldBytes, SmallCallsAreServedBesideLargeBodies)
{
    startWithSlowEndpoint();
    std::vector<std::thread> callers;
    std::atomic<std::size_t> answered = 0;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            upload(uploadId(i), bodyBytes);
            ++answered;
        });
    }
    EXPECT_TRUE(eventually([&] { return metric("anvilscale_memory_waits_total") > 0; }));
    std::vector<std::thread> smallCallers;
    std::array<Answer, 20> answers;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        smallCallers.emplace_back([&, i] { answers[i] = upload("small-" + std::to_string(i), 1000); });
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        EXPECT_TRUE(eventually([&] { return slow_.hasHead("small-" + std::to_string(i)); })) << i;
    }
    slow_.release();
    for (auto &caller : callers) {
        caller.join();
    }
    for (auto &caller : smallCallers) {
        caller.join();
    }
    for (const auto &answer : answers) {
        EXPECT_EQ(answer.status, 200);
    }
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find("memory_short") != std::string::npos; }));
}

// Guards against room that is lost with callers that announce a body and leave, or send chunks without end.
TEST_F(HeldBytes, BadBodiesGiveTheirRoomBack)
{
    startWithSlowEndpoint();
    slow_.release();
    {
        std::vector<Poco::Net::StreamSocket> silent;
        for (std::size_t i = 0; i < callerCount; ++i) {
            silent.push_back(open("silent-" + std::to_string(i), "Content-Length: " + std::to_string(bodyBytes), "b"));
        }
        EXPECT_TRUE(eventually([&] { return metric("anvilscale_memory_request_bodies_bytes") > 0; }));
        auto chunked = open("endless", "Transfer-Encoding: chunked", "");
        sendChunks(chunked, (bodyBytes >> 16U) + 2);
        const auto endless = statusLine(chunked);
        EXPECT_TRUE(endless.starts_with("HTTP/1.1 413") || endless.starts_with("HTTP/1.1 503")) << endless;
        auto tooLong = open("too-long", "Content-Length: " + std::to_string(bodyBytes + 1), "");
        EXPECT_TRUE(statusLine(tooLong).starts_with("HTTP/1.1 413"));
        EXPECT_EQ(upload("small", 1000).status, 200);
    }
    EXPECT_TRUE(eventually([&] { return metric("anvilscale_memory_request_bodies_bytes") == 0; }));
    EXPECT_EQ(upload("large", bodyBytes).status, 200);
    auto chunked = open("chunks", "Transfer-Encoding: chunked", "");
    sendChunks(chunked, (bodyBytes >> 16U) - 1);
    chunked.sendBytes("0\r\n\r\n", 5);
    EXPECT_TRUE(statusLine(chunked).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(slow_.executionCount("chunks"), 1);
}

// Guards against a body that can never fit and is refused as if it might be sent again.
TEST_F(HeldBytes, BodyBeyondTheMemoryIsTooLarge)
{
    memoryMb_ = 16;
    startWithSlowEndpoint();
    slow_.release();
    EXPECT_EQ(upload("large", bodyBytes).status, 413);
    EXPECT_EQ(upload("small", 1000).status, 200);
}

// Guards against answers that fill the memory while their callers do not read, and are kept for another attempt.
TEST_F(HeldBytes, AnswersOfAllCallsStayWithinTheMemory)
{
    constexpr std::size_t answerBytes = 3U << 20;
    constexpr std::size_t callers = 100;
    constexpr std::uint64_t limitMb = 64;
    memoryMb_ = limitMb;
    StalledReader slow(answerBytes);
    startWith(slow);
    std::vector<Poco::Net::StreamSocket> sockets;
    sockets.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        sockets.push_back(open(uploadId(i), "Content-Length: 1", "b", "/i/x"));
    }
    std::uint64_t peakKb = 0;
    std::atomic<std::size_t> complete = 0;
    slow.release();
    std::vector<std::thread> readers;
    readers.reserve(callers);
    for (auto &socket : sockets) {
        // All answers are under way before the first is read.
        EXPECT_TRUE(socket.poll(Poco::Timespan(30, 0), Poco::Net::Socket::SELECT_READ));
        peakKb = std::max(peakKb, anonymousKb(*daemons_["entry-1"]));
    }
    for (auto &socket : sockets) {
        readers.emplace_back([&] { complete += readsAnswer(socket, answerBytes) ? 1U : 0U; });
    }
    for (auto &reader : readers) {
        reader.join();
        peakKb = std::max(peakKb, anonymousKb(*daemons_["entry-1"]));
    }
    EXPECT_EQ(complete, callers);
    EXPECT_LE(peakKb, limitMb << 10U);
}

// Guards against heads that never end and fill the memory together, each of them within its own limit.
TEST_F(HeldBytes, HeadsOfAllAnswersStayWithinTheMemory)
{
    constexpr std::size_t callers = 370; // connections that a replica accepts
    constexpr std::size_t listenerQueue = 32; // connections that wait at the endpoint without a retransmission
    constexpr std::size_t lineCount = 600; // just below the limit of a head
    std::atomic<std::size_t> sent = 0;
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (std::size_t i = 0; i < lineCount; ++i) {
        head += "X-Filler: " + std::string(90, 'y') + "\r\n";
    }
    const ScriptedEndpoint endpoint([&](const anvilscale::test::ScriptedRequest & /*request*/) {
        ++sent;
        return head;
    });
    controlStandin(storePort_, R"({"deletes":["servers/p-1","servers/p-2"]})");
    putKey("servers/p-3", record("plain", endpoint.address()));
    start();
    std::vector<Poco::Net::StreamSocket> sockets;
    sockets.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        sockets.push_back(open(uploadId(i), "Content-Length: 1", "b"));
        if (sockets.size() % listenerQueue == 0) {
            ASSERT_TRUE(eventually([&] { return sent == sockets.size(); })) << sent;
        }
    }
    std::uint64_t peakKb = 0;
    EXPECT_TRUE(eventually([&] {
        peakKb = std::max(peakKb, anonymousKb(*daemons_["entry-1"]));
        return std::all_of(sockets.begin(), sockets.end(), [](const auto &socket) {
            return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        });
    }));
    for (auto &socket : sockets) {
        EXPECT_TRUE(statusLine(socket).starts_with("HTTP/1.1 50"));
    }
    EXPECT_EQ(sent, callers);
    EXPECT_LE(peakKb, memoryLimitKb);
    EXPECT_EQ(readinessStatus(), 200);
}

// Guards against a refusal that a caller cannot read, as it is still sending its body when the connection is closed.
TEST_F(HeldBytes, RefusalReachesACallerThatSendsSlowly)
{
    memoryMb_ = 16;
    startWithSlowEndpoint();
    auto socket = open("slow-sender", "Content-Length: " + std::to_string(bodyBytes), "");
    constexpr int parts = 16;
    const std::string part(bodyBytes / parts, 'b');
    for (int i = 0; i < parts; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        ASSERT_NO_THROW(socket.sendBytes(part.data(), static_cast<int>(part.size()))) << i;
    }
    EXPECT_TRUE(statusLine(socket).starts_with("HTTP/1.1 413"));
}

// Guards against a memory limit of the platform that the process does not use, or that an empty option replaces.
TEST_F(HeldBytes, LimitOfTheCommandLineGoesFirst)
{
    constexpr double settingsLimit = 160U << 20;
    startWithSlowEndpoint();
    const auto restartWith = [this](const std::string &option) {
        daemons_.erase("entry-1");
        daemons_["entry-1"] =
            std::make_unique<Process>(std::vector<std::string>{buildFolder() + "/bin/anvilscaled", "--settings",
                                                               fleet_.settingsFile("entry-1"), option},
                                      fleet_.logFile("entry-1"));
        EXPECT_TRUE(eventually([&] { return metric("anvilscale_memory_limit_bytes") > 0; }));
        return metric("anvilscale_memory_limit_bytes");
    };
    EXPECT_GT(restartWith("--memory-mb=400"), settingsLimit);
    const auto limit = restartWith("--memory-mb=");
    EXPECT_LT(limit, settingsLimit);
    EXPECT_GT(limit, settingsLimit / 2);
}
