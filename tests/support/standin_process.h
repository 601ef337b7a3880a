// Starts a stand-in as a process, on a port given by the system, and speaks JSON with it. Ends the process by its id.
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

/// One HTTP request on a connection of its own. Throws if there is no answer.
inline HttpReply http(unsigned port, const std::string &method, const std::string &path, const std::string &body = {},
                      const std::vector<std::pair<std::string, std::string>> &headers = {})
{
    Poco::Net::HTTPClientSession session("127.0.0.1", static_cast<Poco::UInt16>(port));
    constexpr long patience = 60; // seconds; only a defect waits that long
    session.setTimeout(Poco::Timespan(patience, 0));
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

class StandinProcess
{
public:
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
    Poco::JSON::Object::Ptr control(const std::string &body, const std::string &path = "/standin") const
    {
        return http(port_, "POST", path, body).json();
    }

private:
    void waitForPort()
    {
        constexpr int tries = 6000; // a minute
        for (int i = 0; i < tries && port_ == 0; ++i) {
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
