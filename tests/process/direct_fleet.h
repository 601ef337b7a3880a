// Test fixture of the direct path with real processes: entries, a sidecar, and stand-ins of the store and the
// endpoints.
#pragma once

#include "fleet.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <fstream>
#include <regex>

namespace fleet {

constexpr auto sidecarAddress = "127.0.0.2"; // the sidecar uses the entry's control port on another address

/// One entry, a sidecar with an engine, and two plain endpoints.
class Direct : public testing::Test
{
protected:
    Direct()
    {
        storePort_ = fleet_.startStandin("site-store", {});
        enginePort_ =
            fleet_.startStandin("site-replica", {"--id", "e-1", "--slots", "2", "--address", sidecarAddress}, "engine");
        plainPorts_[0] = fleet_.startStandin("site-replica", {"--id", "p-1"}, "plain-1");
        plainPorts_[1] = fleet_.startStandin("site-replica", {"--id", "p-2"}, "plain-2");
        putKey("op/config", config(1, "/n/"));
        putKey("servers/e-1", record("engines", std::string(sidecarAddress) + ":" + std::to_string(enginePort_)));
        putKey("servers/p-1", record("plain", "127.0.0.1:" + std::to_string(plainPorts_[0])));
        putKey("servers/p-2", record("plain", "127.0.0.1:" + std::to_string(plainPorts_[1])));
    }

    void start()
    {
        startSidecar();
        startEntry();
        EXPECT_TRUE(eventually([&] { return readinessStatus() == 200; }));
    }
    void startEntry()
    {
        startEntry("entry-1", "127.0.0.1", {httpPort_, readyPort_, metricsPort_});
    }
    struct EntryPorts
    {
        unsigned http = freePort();
        unsigned ready = freePort();
        unsigned metrics = freePort();
    };
    /// Entries connect to the sidecar at their own control port, so several entries need different control addresses.
    void startEntry(const std::string &name, const std::string &controlAddress, const EntryPorts &ports)
    {
        std::ostringstream out;
        out << R"({"role":"direct-entry","name":")" << name << R"(","dataCentre":"dc","control":{"address":")"
            << controlAddress << R"(","port":)" << controlPort_ << R"(},"http":{"at":"127.0.0.1:)" << ports.http
            << R"("},"direct":{"store":)"
            << R"("http://127.0.0.1:)" << storePort_ << R"(","ready":{"at":"127.0.0.1:)" << ports.ready
            << R"("},"storePauseMs":50,"graceMs":)" << graceMs_ << R"(,"metricsPort":)" << ports.metrics
            << R"(,"memoryMb":)" << memoryMb_ << R"(},"log":{"file":"-"}})";
        startDaemon(name, out.str());
    }
    void startSidecar()
    {
        startSidecar("side-1", sidecarAddress, enginePort_);
    }
    /// `environment`: further variables of the process.
    void startSidecar(const std::string &name, const std::string &address, unsigned enginePort,
                      const std::map<std::string, std::string> &environment = {})
    {
        std::ostringstream out;
        out << R"({"role":"direct-sidecar","name":")" << name << R"(","dataCentre":"dc","control":{"address":")"
            << address << R"(","port":)" << controlPort_ << R"(},"direct":{"endpoint":"http://)" << address << ":"
            << enginePort << R"(","store":"http://127.0.0.1:)" << storePort_ << R"("},"log":{"file":"-"}})";
        startDaemon(name, out.str(), environment);
    }
    void startDaemon(const std::string &name, const std::string &settings,
                     const std::map<std::string, std::string> &environment = {})
    {
        std::ofstream(fleet_.settingsFile(name)) << settings;
        daemons_.erase(name);
        daemons_[name] = std::make_unique<Process>(
            std::vector<std::string>{buildFolder() + "/bin/anvilscaled", "--settings", fleet_.settingsFile(name)},
            fleet_.logFile(name), environment, maxDescriptors_);
    }
    std::string readLog(const std::string &name) const
    {
        std::ifstream in(fleet_.logFile(name));
        return {std::istreambuf_iterator<char>(in), {}};
    }

    /// The entry has logged the store's notification that the endpoint is leaving.
    bool hasLoggedLeaving(const std::string &id) const
    {
        const std::regex line(R"("endpoint_changed"[^\n]*"endpoint":")" + id + R"("[^\n]*"leaving":true)");
        return std::regex_search(readLog("entry-1"), line);
    }

    /// `workspaces`: text of a further member of the configuration, beginning with a comma.
    static std::string config(unsigned version, const std::string &plainPrefix, const std::string &workspaces = {},
                              const std::string &limits = "{}")
    {
        const auto route = [](const std::string &prefix, const std::string &type, const std::string &service) {
            return R"({"name":")" + prefix + R"(","hostname":"h.example","prefix":")" + prefix + R"(","type":")" + type
                   + R"(","timeout_ms":6000,"target_latency_ms":1000,"max_attempts":2,"service":")" + service + R"("})";
        };
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("/s/", "streaming", "engines")
               + "," + route("/i/", "idempotent", "plain") + "," + route(plainPrefix, "non_idempotent", "plain") + "]"
               + workspaces
               + R"(,"services":[{"name":"engines","engine":{"adapter_slots":2,"weights_mb":1000,"models":)"
               + R"([{"name":"base","weights_mb":800,"adapter_mb":50}]}},{"name":"plain"}],"limits":)" + limits + "}";
    }
    static std::string record(const std::string &service, const std::string &address,
                              const std::string &state = "ready")
    {
        return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":"dc","version":"v1","slots":4,)"
               + R"("state":")" + state + R"(","cold_left_ms":0,"sequence":1,"models":[]})";
    }
    void putKey(const std::string &key, const std::string &value) const
    {
        Poco::JSON::Object item;
        item.set("key", key);
        item.set("value", value);
        Poco::JSON::Array puts;
        puts.add(item);
        Poco::JSON::Object body;
        body.set("puts", puts);
        std::ostringstream text;
        body.stringify(text);
        controlStandin(storePort_, text.str());
    }
    /// Puts a stand-in of the test in the place of both plain endpoints.
    void setPlainEndpoints(const std::string &address) const
    {
        for (const std::string id : {"p-1", "p-2"}) {
            putKey("servers/" + id, record("plain", address));
        }
    }
    static void controlStandin(unsigned port, const std::string &body, const std::string &address = "127.0.0.1")
    {
        EXPECT_EQ(requestAt(address, port, "POST", "/standin", body).status, 200);
    }
    /// Returns how often the endpoint has executed the request.
    static int executionCount(unsigned port, const std::string &id, const std::string &address = "127.0.0.1")
    {
        const auto list = parse(requestAt(address, port, "GET", "/standin").body)->getArray("ran");
        int count = 0;
        for (std::size_t i = 0; i < list->size(); ++i) {
            count += list->getElement<std::string>(static_cast<unsigned>(i)) == id ? 1 : 0;
        }
        return count;
    }
    int plainExecutionCount(const std::string &id) const
    {
        return executionCount(plainPorts_[0], id) + executionCount(plainPorts_[1], id);
    }
    Answer call(const std::string &path, const std::string &id, const std::string &adapter = {}) const
    {
        std::map<std::string, std::string> headers{
            {"Host", "h.example"}, {"X-Anvilscale-Request-Id", id}, {"X-Anvilscale-Deadline-Ms", "5000"}};
        if (!adapter.empty()) {
            headers["X-Anvilscale-Model"] = "base/" + adapter;
            headers["X-Anvilscale-Token-Usage"] = "100,20";
        }
        return request(httpPort_, "POST", path, "body " + id, headers);
    }
    Answer callWithKey(const std::string &path, const std::string &id, const std::string &key) const
    {
        return request(httpPort_, "POST", path, "body " + id,
                       {{"Host", "h.example"},
                        {"X-Anvilscale-Request-Id", id},
                        {"X-Anvilscale-Deadline-Ms", "5000"},
                        {"X-Anvilscale-Tenant", "forged"},
                        {"Authorization", "Bearer " + key}});
    }
    /// Returns all bytes of the answer up to the end of the connection.
    std::string rawCall(const std::string &path, const std::string &id, const std::string &adapter,
                        const std::string &protocol = "HTTP/1.1") const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(httpPort_)));
        const auto text = "POST " + path + " " + protocol + "\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
                          + "\r\nX-Anvilscale-Model: base/" + adapter
                          + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        std::string bytes;
        std::array<char, 4096> buffer{};
        while (true) {
            const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (got <= 0) {
                return bytes;
            }
            bytes.append(buffer.data(), static_cast<std::size_t>(got));
        }
    }
    int readinessStatus() const
    {
        return request(readyPort_, "GET", "/api/readyz").status;
    }

    Fleet fleet_;
    unsigned storePort_ = 0;
    unsigned enginePort_ = 0;
    std::array<unsigned, 2> plainPorts_{};
    unsigned controlPort_ = freePort();
    unsigned httpPort_ = freePort();
    unsigned readyPort_ = freePort();
    unsigned metricsPort_ = freePort();
    std::map<std::string, std::unique_ptr<Process>> daemons_;
    int probeCount_ = 0;
    int memoryMb_ = 160; // of entries that are started from now on
    int graceMs_ = 8000; // of entries that are started from now on
    rlim_t maxDescriptors_ = 0; // of daemons that are started from now on; 0: as of the test
};

} // namespace fleet
