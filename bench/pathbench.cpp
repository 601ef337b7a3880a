// Benchmark of the latency that entry and sidecar add to non-streamed calls, against calls made directly to the engine
// stand-in.
//   build/bench/pathbench [--json] [--callers 1,32,256] [--seconds 4] [--build build]
#include "anvilscale/base.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr auto startTimeout = std::chrono::seconds(30);
constexpr auto pollInterval = std::chrono::milliseconds(20);
constexpr unsigned engineBatchLimit = 512; // keeps the stand-in from queueing calls
constexpr unsigned warmUpCalls = 50; // per caller, not measured
constexpr unsigned rounds = 4; // direct and path measurements alternate, so that both see the same machine load

struct Options
{
    bool isJson = false;
    std::vector<unsigned> callers{1, 32, 256};
    double measureSeconds = 4; // per measurement
    std::string buildFolder = "build";
};

class ChildProcess
{
public:
    explicit ChildProcess(std::vector<std::string> command)
    {
        std::vector<char *> arguments;
        arguments.reserve(command.size() + 1);
        for (auto &part : command) {
            arguments.push_back(part.data());
        }
        arguments.push_back(nullptr);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::dup2(STDERR_FILENO, STDOUT_FILENO); // reserves standard output for the results
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    ~ChildProcess()
    {
        if (pid_ < 0) {
            return;
        }
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    void wait()
    {
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

private:
    pid_t pid_ = -1;
};

template<class Condition>
void waitUntil(const std::string &what, Condition condition)
{
    const auto end = Clock::now() + startTimeout;
    while (!condition()) {
        if (Clock::now() > end) {
            throw Poco::TimeoutException(what);
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

/// Caller with a persistent connection that sends the same body repeatedly.
class Caller
{
public:
    Caller(unsigned port, std::string body)
        : session_("127.0.0.1", static_cast<Poco::UInt16>(port))
        , body_(std::move(body))
    {
        session_.setKeepAlive(true);
        session_.setKeepAliveTimeout(Poco::Timespan(3600, 0));
    }
    int call()
    {
        return send("POST", "/v1/completions");
    }
    int send(const std::string &method, const std::string &path)
    {
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(true);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body_.size()));
        session_.sendRequest(request) << body_;
        Poco::Net::HTTPResponse response;
        auto &stream = session_.receiveResponse(response);
        Poco::NullOutputStream sink;
        Poco::StreamCopier::copyStream(stream, sink);
        return response.getStatus();
    }

private:
    Poco::Net::HTTPClientSession session_;
    std::string body_;
};

struct Samples
{
    std::vector<std::int64_t> latenciesUs;
    std::uint64_t failedCalls = 0;
    double seconds = 0;

    void add(const Samples &other)
    {
        latenciesUs.insert(latenciesUs.end(), other.latenciesUs.begin(), other.latenciesUs.end());
        failedCalls += other.failedCalls;
        seconds += other.seconds;
    }
    std::int64_t quantile(double q) const
    {
        auto sorted = latenciesUs;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
    }
};

Samples measureCalls(unsigned port, const std::string &body, unsigned callers, double seconds)
{
    std::vector<Samples> parts(callers);
    std::vector<std::thread> threads;
    std::atomic<unsigned> warmedUp = 0;
    std::atomic<bool> isStopping = false;
    threads.reserve(callers);
    for (unsigned i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            auto &samples = parts[i];
            Caller caller(port, body);
            const auto callOnce = [&] {
                try {
                    return caller.call() == Poco::Net::HTTPResponse::HTTP_OK;
                } catch (const Poco::Exception &) {
                    return false;
                }
            };
            for (unsigned call = 0; call < warmUpCalls; ++call) {
                callOnce();
            }
            ++warmedUp;
            while (warmedUp < callers) { // all callers start measuring together
                std::this_thread::yield();
            }
            while (!isStopping) {
                const auto begin = Clock::now();
                const bool isOk = callOnce();
                const auto elapsed = duration_cast<microseconds>(Clock::now() - begin).count();
                samples.failedCalls += isOk ? 0 : 1;
                if (isOk) {
                    samples.latenciesUs.push_back(elapsed);
                }
            }
        });
    }
    while (warmedUp < callers) {
        std::this_thread::sleep_for(pollInterval);
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    isStopping = true;
    for (auto &thread : threads) {
        thread.join();
    }
    Samples all;
    for (const auto &part : parts) {
        all.add(part);
    }
    all.seconds = seconds;
    return all;
}

/// Processes under test: stand-ins, one sidecar and one entry.
class TestDeployment
{
public:
    explicit TestDeployment(std::string buildFolder)
        : buildFolder_(std::move(buildFolder))
    {
        auto folderPattern = (std::filesystem::temp_directory_path() / "pathbench-XXXXXX").string();
        folder_ = ::mkdtemp(folderPattern.data());
        startStandin("key-value", {});
        startStandin("vm-list", {});
        startStandin("engine", {"--batch-limit", std::to_string(engineBatchLimit), "--base-model", "base"});
        const auto batch = std::to_string(engineBatchLimit);
        startDaemon("sidecar", R"("sidecar":{"endpointKind":"engine","baseModel":"base","endpointChecksFence":true,)"
                               R"("batchLimit":)"
                                   + batch + R"(,"endpoint":"http://127.0.0.1:)" + std::to_string(port("engine"))
                                   + R"(","lock":{"port":)" + std::to_string(freePort()) + "}}");
        startDaemon("entry", R"("entry":{"schedulerCandidate":true})");
        publishVmList();
        applyConfig();
        waitUntil("a first answer", [this] { return Caller(port("entry.http"), body("lounge")).call() == 200; });
    }
    ~TestDeployment()
    {
        children_.clear();
        std::filesystem::remove_all(folder_);
    }
    TestDeployment(const TestDeployment &) = delete;
    TestDeployment &operator=(const TestDeployment &) = delete;

    unsigned port(const std::string &name) const
    {
        std::ifstream in(folder_ / name);
        unsigned number = 0;
        in >> number;
        return number;
    }
    static std::string body(const std::string &model)
    {
        return R"({"model":")" + model + R"(","prompt":"Who may enter the lounge?","max_tokens":8})";
    }

private:
    static unsigned freePort()
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        return socket.address().port();
    }
    void waitForPort(const std::string &name)
    {
        waitUntil(name, [&] { return port(name) != 0; });
    }
    void startStandin(const std::string &kind, const std::vector<std::string> &extraArguments)
    {
        std::vector<std::string> command{buildFolder_ + "/tests/standins", kind, "--port-file",
                                         (folder_ / kind).string()};
        command.insert(command.end(), extraArguments.begin(), extraArguments.end());
        children_.push_back(std::make_unique<ChildProcess>(command));
        waitForPort(kind);
    }
    void startDaemon(const std::string &role, const std::string &roleSettings)
    {
        const auto file = (folder_ / (role + ".json")).string();
        {
            std::ofstream out(file);
            out << R"({"role":")" << role << R"(","name":")" << role << R"(-1","dataCentre":"hall-east","region":"ub",)"
                << R"("control":{"portFile":")" << (folder_ / (role + ".control")).string()
                << R"("},"http":{"portFile":")" << (folder_ / (role + ".http")).string()
                << R"("},"platform":{"keyValue":["http://127.0.0.1:)" << port("key-value")
                << R"("],"vmList":"http://127.0.0.1:)" << port("vm-list") << R"(/vms","callBudget":100},)"
                << R"("log":{"level":"error"},)" << roleSettings << "}\n";
        }
        children_.push_back(std::make_unique<ChildProcess>(
            std::vector<std::string>{buildFolder_ + "/bin/anvilscaled", "--settings", file}));
        waitForPort(role + ".control");
        waitForPort(role + ".http");
    }
    void publishVmList()
    {
        std::ostringstream list;
        const char *separator = "";
        list << R"({"vms":[)";
        for (const std::string role : {"sidecar", "entry"}) {
            list << separator << R"({"name":")" << role << R"(-1","role":")" << role
                 << R"(","state":"live","dataCentre":"hall-east","region":"ub","address":"127.0.0.1:)"
                 << port(role + ".control") << R"("})";
            separator = ",";
        }
        list << "]}";
        Caller(port("vm-list"), list.str()).send("POST", "/standin");
    }
    /// Applies the configuration with anvilctl.
    void applyConfig()
    {
        const auto adapter =
            writeRecord("adapter.json", R"({"schemaVersion":2,"name":"guest","adapter":{"baseModel":"base",)"
                                        R"("versions":[{"name":"v1","weights":"/w/guest"}]}})");
        const auto route = writeRecord("route.json", R"({"schemaVersion":2,"name":"lounge","route":{"adapter":"guest",)"
                                                     R"("version":"v1","deadlineMs":60000}})");
        const auto gateway = "http://127.0.0.1:" + std::to_string(port("key-value"));
        children_.push_back(std::make_unique<ChildProcess>(
            std::vector<std::string>{buildFolder_ + "/bin/anvilctl", "config", "apply", adapter, route, "--key-value",
                                     gateway, "--output", "json"}));
        children_.back()->wait();
    }
    std::string writeRecord(const std::string &name, const std::string &json) const
    {
        auto file = (folder_ / name).string();
        std::ofstream out(file);
        out << json << "\n";
        return file;
    }

    std::string buildFolder_;
    std::filesystem::path folder_;
    std::vector<std::unique_ptr<ChildProcess>> children_;
};

struct ResultRow
{
    unsigned callers = 0;
    Samples direct;
    Samples path;
};

std::vector<ResultRow> runAll(const Options &options)
{
    const TestDeployment deployment(options.buildFolder);
    std::vector<ResultRow> rows;
    for (const auto callers : options.callers) {
        ResultRow row;
        row.callers = callers;
        for (unsigned round = 0; round < rounds; ++round) {
            const auto seconds = options.measureSeconds / rounds;
            row.direct.add(measureCalls(deployment.port("engine"), TestDeployment::body("guest@v1"), callers, seconds));
            row.path.add(measureCalls(deployment.port("entry.http"), TestDeployment::body("lounge"), callers, seconds));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

double ratio(std::int64_t path, std::int64_t direct)
{
    return direct == 0 ? 0 : static_cast<double>(path) / static_cast<double>(direct);
}

Poco::JSON::Object toJson(const ResultRow &row)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("callers", row.callers);
    for (const auto &[name, q] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
        const std::string quantile = name;
        const auto direct = row.direct.quantile(q);
        const auto path = row.path.quantile(q);
        object.set(quantile + "DirectUs", direct);
        object.set(quantile + "PathUs", path);
        object.set(quantile + "AddedUs", path - direct);
        object.set(quantile + "Ratio", ratio(path, direct));
    }
    object.set("directCallsPerSecond", static_cast<double>(row.direct.latenciesUs.size()) / row.direct.seconds);
    object.set("pathCallsPerSecond", static_cast<double>(row.path.latenciesUs.size()) / row.path.seconds);
    object.set("directFailed", row.direct.failedCalls);
    object.set("pathFailed", row.path.failedCalls);
    return object;
}

void printTable(const std::vector<ResultRow> &rows)
{
    std::cout
        << "| callers | direct p50 us | path p50 us | added p50 us | ratio | direct p99 us | path p99 us | added p99 "
           "us |"
           " ratio | direct calls/s | path calls/s | failed |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &row : rows) {
        std::cout << "| " << row.callers;
        for (const double q : {0.5, 0.99}) {
            const auto direct = row.direct.quantile(q);
            const auto path = row.path.quantile(q);
            std::cout << " | " << direct << " | " << path << " | " << path - direct << " | " << ratio(path, direct);
        }
        std::cout << " | " << static_cast<double>(row.direct.latenciesUs.size()) / row.direct.seconds << " | "
                  << static_cast<double>(row.path.latenciesUs.size()) / row.path.seconds << " | "
                  << row.direct.failedCalls + row.path.failedCalls << " |\n";
    }
}

Options readOptions(const std::vector<std::string> &arguments)
{
    Options options;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const auto value = i + 1 < arguments.size() ? arguments[i + 1] : std::string();
        if (arguments[i] == "--json") {
            options.isJson = true;
        } else if (arguments[i] == "--seconds") {
            options.measureSeconds = std::stod(value);
            ++i;
        } else if (arguments[i] == "--build") {
            options.buildFolder = value;
            ++i;
        } else if (arguments[i] == "--callers") {
            options.callers.clear();
            std::istringstream list(value);
            std::string number;
            while (std::getline(list, number, ',')) {
                options.callers.push_back(static_cast<unsigned>(std::stoul(number)));
            }
            ++i;
        } else {
            throw Poco::InvalidArgumentException(arguments[i]);
        }
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto options = readOptions({argv + 1, argv + argc});
        const auto rows = runAll(options);
        if (!options.isJson) {
            printTable(rows);
            return 0;
        }
        Poco::JSON::Array list;
        for (const auto &row : rows) {
            list.add(toJson(row));
        }
        list.stringify(std::cout, 2);
        std::cout << "\n";
        return 0;
    } catch (const std::exception &error) {
        const auto *detail = dynamic_cast<const Poco::Exception *>(&error);
        std::cerr << "pathbench: " << (detail == nullptr ? error.what() : detail->displayText()) << "\n";
        return 1;
    }
}
