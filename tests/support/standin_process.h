// Starts a stand-in as a child process on a system-assigned port, and sends it HTTP requests.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace anvilscale::testing {

struct HttpReply
{
    int status = 0;
    std::string body;
    Poco::Net::HTTPResponse response;

    Poco::JSON::Object::Ptr json() const
    {
        Poco::JSON::Parser parser;
        return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    }
};

/// Sends one HTTP request on a new connection. Throws a Poco exception if there is no answer.
inline HttpReply http(unsigned port, const std::string &method, const std::string &path, const std::string &body = {},
                      const std::vector<std::pair<std::string, std::string>> &headers = {})
{
    Poco::Net::HTTPClientSession session("127.0.0.1", static_cast<Poco::UInt16>(port));
    constexpr long timeoutSeconds = 60; // well above the duration of any test request
    session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    HttpReply reply;
    std::istream &in = session.receiveResponse(reply.response);
    Poco::StreamCopier::copyToString(in, reply.body);
    reply.status = reply.response.getStatus();
    return reply;
}

/// Child process of a stand-in, terminated on destruction.
class StandinProcess
{
public:
    /// Waits for the port. Throws std::runtime_error if the stand-in does not write one.
    explicit StandinProcess(const std::string &subcommand, std::vector<std::string> arguments = {})
    {
        const char *build = std::getenv("ANVILSCALE_BUILD");
        const std::string program = std::string(build == nullptr ? "build" : build) + "/tests/standins";
        arguments.insert(arguments.begin(), {subcommand, "--port-file", portFile_.path()});
        process_.emplace(Poco::Process::launch(program, arguments));
        waitForPort();
    }
    ~StandinProcess()
    {
        Poco::Process::requestTermination(process_->id());
        process_->wait();
    }
    StandinProcess(const StandinProcess &) = delete;
    StandinProcess &operator=(const StandinProcess &) = delete;

    unsigned port() const
    {
        return port_;
    }
    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_);
    }
    /// Posts a control request and returns the JSON reply.
    Poco::JSON::Object::Ptr control(const std::string &body, const std::string &path = "/standin") const
    {
        return http(port_, "POST", path, body).json();
    }

private:
    void waitForPort()
    {
        constexpr int maxPolls = 6000; // one minute in total
        for (int i = 0; i < maxPolls && port_ == 0; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            std::ifstream in(portFile_.path());
            in >> port_;
        }
        if (port_ == 0) {
            throw std::runtime_error("the stand-in did not start");
        }
    }

    Poco::TemporaryFile portFile_;
    std::optional<Poco::ProcessHandle> process_;
    unsigned port_ = 0;
};

} // namespace anvilscale::testing
