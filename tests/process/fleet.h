// Test fleet of real processes: stand-ins, entries and sidecars on loopback ports.
#pragma once

#include "child_process.h"
#include "configurator.h"
#include "http_client.h"
#include "port_allocator.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace fleet {

/// An item of the list of VMs.
struct Vm
{
    std::string role;
    std::string state = "live";
    unsigned port = 0;
};

/// Starts processes and terminates them on destruction. Keeps its folder with logs and settings if the test failed.
class Fleet
{
public:
    Fleet()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "anvilscale-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        keyValuePort = startStandin("key-value", {});
        vmListPort = startStandin("vm-list", {});
        configurator_ = std::make_unique<Configurator>(keyValuePort);
    }
    ~Fleet()
    {
        processes_.clear();
        if (!testing::Test::HasFailure()) {
            std::filesystem::remove_all(folder_);
        }
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts a stand-in and returns its port. It is named `name`, or after its kind if empty.
    unsigned startStandin(const std::string &kind, const std::vector<std::string> &options, std::string name = {})
    {
        name = name.empty() ? kind : name;
        const auto file = folder_ / (name + ".port");
        std::filesystem::remove(file);
        std::vector<std::string> command{buildFolder() + "/tests/standins", kind, "--port-file", file.string()};
        command.insert(command.end(), options.begin(), options.end());
        processes_[name] = std::make_unique<Process>(command, logFile(name));
        return waitForPort(file);
    }
    /// Starts an engine stand-in "NAME-engine" with its sidecar "NAME". `more` are further fields of the sidecar
    /// settings.
    void startEngine(const std::string &name, std::vector<std::string> options = {}, const std::string &more = {})
    {
        options.insert(options.begin(), {"--base-model", "base"});
        const auto port = startStandin("engine", options, name + "-engine");
        endpointPorts_[name] = port;
        startSidecar(name,
                     R"("endpointKind":"engine","baseModel":"base","endpointChecksFence":true,"orderTimeoutMs":2000,)"
                         + more);
    }
    /// Starts a service stand-in "NAME-service" with its sidecar "NAME".
    void startService(const std::string &name, const std::string &service, const std::vector<std::string> &options = {})
    {
        endpointPorts_[name] = startStandin("service", options, name + "-service");
        startSidecar(name, R"("endpointKind":"service","services":[")" + service + R"("],)");
    }
    void startSidecar(const std::string &name, const std::string &sidecarFields)
    {
        sidecarFields_[name] = sidecarFields;
        if (lockPorts_.count(name) == 0) {
            lockPorts_[name] = freePort();
        }
        startDaemon(name, "sidecar",
                    R"("sidecar":{)" + sidecarFields + R"("endpoint":"http://127.0.0.1:)"
                        + std::to_string(endpointPorts_[name]) + R"(","lock":{"address":"127.0.0.1","port":)"
                        + std::to_string(lockPorts_[name]) + R"(}})");
    }
    void restartSidecar(const std::string &name)
    {
        startSidecar(name, sidecarFields_[name]);
    }
    void startEntry(const std::string &name, const std::string &entryFields = R"("schedulerCandidate":true)")
    {
        startDaemon(name, "entry", R"("entry":{)" + entryFields + "}");
    }
    /// Sets the timing fields, as JSON, of all daemons started afterwards.
    void setTiming(const std::string &fields)
    {
        timing_ = fields;
    }
    /// Publishes the current list of VMs.
    void publishVmList()
    {
        std::ostringstream out;
        out << R"({"vms":[)";
        bool first = true;
        for (const auto &[name, vm] : vms) {
            out << (first ? "" : ",") << R"({"name":")" << name << R"(","role":")" << vm.role << R"(","state":")"
                << vm.state << R"(","dataCentre":"hall-east","region":"ub","address":"127.0.0.1:)" << vm.port
                << R"("})";
            first = false;
        }
        out << "]}";
        EXPECT_EQ(request(vmListPort, "POST", "/standin", out.str()).status, 200);
    }
    std::uint64_t configure(const std::vector<std::string> &records)
    {
        return configurator_->apply(records);
    }
    /// Configures `count` adapters "adapter-N" with version "v1", each with a route "route-N". Returns the revision, 0
    /// on failure.
    std::uint64_t configureRoutes(unsigned count)
    {
        std::vector<std::string> records;
        for (unsigned i = 0; i < count; ++i) {
            std::ostringstream adapter;
            adapter << R"({"schemaVersion":2,"name":"adapter-)" << i
                    << R"(","adapter":{"baseModel":"base","versions":[{"name":"v1","weights":"/w/)" << i << R"("}]}})";
            records.push_back(adapter.str());
            std::ostringstream route;
            route << R"({"schemaVersion":2,"name":"route-)" << i << R"(","route":{"adapter":"adapter-)" << i
                  << R"(","version":"v1","deadlineMs":60000}})";
            records.push_back(route.str());
        }
        return configure(records);
    }
    /// Repeats the call until the entry answers with status 200. Returns false after the default bound of eventually().
    bool waitForAnswer(const std::string &entry, const std::string &path, const std::string &body)
    {
        return eventually([&] {
            lastAnswer = request(httpPort(entry), "POST", path, body);
            return lastAnswer.status == 200;
        });
    }
    Process &process(const std::string &name)
    {
        return *processes_.at(name);
    }
    void removeProcess(const std::string &name)
    {
        processes_.erase(name);
    }
    unsigned httpPort(const std::string &name)
    {
        return httpPorts_.at(name);
    }
    unsigned endpointPort(const std::string &name)
    {
        return endpointPorts_.at(name);
    }
    std::string folder() const
    {
        return folder_.string();
    }
    std::string logFile(const std::string &name) const
    {
        return (folder_ / (name + ".log")).string();
    }
    std::string settingsFile(const std::string &name) const
    {
        return (folder_ / (name + ".json")).string();
    }
    /// Returns the value of a daemon's metric, named with its labels, or -1 if it is missing.
    double metric(const std::string &name, const std::string &metricName)
    {
        std::istringstream lines(request(httpPort(name), "GET", "/metrics").body);
        std::string line;
        while (std::getline(lines, line)) {
            if (line.starts_with(metricName + " ")) {
                return std::stod(line.substr(metricName.size() + 1));
            }
        }
        return -1;
    }

    unsigned keyValuePort = 0;
    unsigned vmListPort = 0;
    std::map<std::string, Vm> vms;
    Answer lastAnswer; ///< last answer to waitForAnswer()

private:
    unsigned waitForPort(const std::filesystem::path &file)
    {
        unsigned port = 0;
        EXPECT_TRUE(eventually([&] {
            std::ifstream in(file);
            return static_cast<bool>(in >> port);
        })) << file;
        return port;
    }
    void startDaemon(const std::string &name, const std::string &role, const std::string &roleFields)
    {
        const auto control = folder_ / (name + ".control");
        const auto http = folder_ / (name + ".http");
        std::filesystem::remove(control);
        std::filesystem::remove(http);
        {
            std::ofstream out(settingsFile(name));
            out << R"({"role":")" << role << R"(","name":")" << name
                << R"(","dataCentre":"hall-east","region":"ub","control":{"portFile":")" << control.string()
                << R"("},"http":{"portFile":")" << http.string() << R"("},"platform":{"keyValue":["http://127.0.0.1:)"
                << keyValuePort << R"("],"vmList":"http://127.0.0.1:)" << vmListPort
                << R"(/vms","callBudget":200},"timing":{)" << timing_ << "}," << roleFields << "}\n";
        }
        processes_.erase(name);
        processes_[name] = std::make_unique<Process>(
            std::vector<std::string>{buildFolder() + "/bin/anvilscaled", "--settings", settingsFile(name)},
            logFile(name));
        vms[name] = Vm{role, "live", waitForPort(control)};
        httpPorts_[name] = waitForPort(http);
    }

    std::filesystem::path folder_;
    std::map<std::string, std::unique_ptr<Process>> processes_;
    std::map<std::string, unsigned> endpointPorts_;
    std::map<std::string, unsigned> lockPorts_;
    std::map<std::string, unsigned> httpPorts_;
    std::map<std::string, std::string> sidecarFields_;
    std::string timing_ = R"("heartbeatMs":100,"suspectMs":1000,"vmListMs":200,"configPollMs":500)";
    std::unique_ptr<Configurator> configurator_;
};

inline std::string completion(const std::string &route, const std::string &prompt, unsigned tokens, bool stream)
{
    return R"({"model":")" + route + R"(","prompt":")" + prompt + R"(","max_tokens":)" + std::to_string(tokens)
           + R"(,"stream":)" + (stream ? "true" : "false") + "}";
}

} // namespace fleet
