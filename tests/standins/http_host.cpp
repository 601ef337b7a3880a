// HTTP server and helpers shared by all stand-ins.
#include "http_host.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace standins {

namespace {
constexpr int maxConnections = 2048;
constexpr int keepAliveSeconds = 300;

class CallHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallHandler(const Handler &handler)
        : handler_(handler)
    {
    }
    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        try {
            handler_(request, response);
        } catch (const Poco::Net::NetException &) {
            closeConnection(request);
        } catch (const Poco::Exception &error) {
            if (!response.sent()) {
                sendText(response, HTTPServerResponse::HTTP_BAD_REQUEST, "text/plain", error.displayText());
            }
        }
    }

private:
    const Handler &handler_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(Handler handler)
        : handler_(std::move(handler))
    {
    }
    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new CallHandler(handler_);
    }

private:
    Handler handler_;
};

Poco::Net::StreamSocket &socketOf(HTTPServerRequest &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

// Renames a complete file into place, so that a waiting reader never sees a partial number.
void writePortFile(const std::string &file, unsigned port)
{
    const std::string partialFile = file + ".part";
    {
        std::ofstream out(partialFile);
        out << port << "\n";
    }
    std::rename(partialFile.c_str(), file.c_str());
}

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}
} // namespace

HttpHost::HttpHost(Handler handler, const std::string &address, unsigned port)
    : pool_(2, maxConnections)
    , socket_(Poco::Net::SocketAddress(address, static_cast<Poco::UInt16>(port)), maxConnections)
{
    auto params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    params->setMaxThreads(maxConnections);
    params->setMaxQueued(maxConnections);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    params->setTimeout(Poco::Timespan(keepAliveSeconds, 0));
    server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(std::move(handler)), pool_, socket_, params);
    server_->start();
}

HttpHost::~HttpHost()
{
    server_->stopAll(true);
}

unsigned HttpHost::port() const
{
    return socket_.address().port();
}

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int serveUntilStopped(const Handler &handler, const cxxopts::ParseResult &options)
{
    const HttpHost host(handler, options["address"].as<std::string>(), options["port"].as<unsigned>());
    const auto file = options["port-file"].as<std::string>();
    if (file.empty()) {
        std::cout << host.port() << std::endl;
    } else {
        writePortFile(file, host.port());
    }
    const sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
    std::cout.flush();
    // Exits without waiting for handlers, which may block for long; a stand-in has no state to save.
    std::_Exit(0);
}

std::string readBody(HTTPServerRequest &request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

JsonObject::Ptr readJson(HTTPServerRequest &request)
{
    const std::string body = readBody(request);
    if (body.empty()) {
        return new JsonObject;
    }
    try {
        Poco::JSON::Parser parser;
        return parser.parse(body).extract<JsonObject::Ptr>();
    } catch (const Poco::Exception &) {
        return new JsonObject;
    }
}

std::string toJsonText(const JsonObject &object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

void sendJson(HTTPServerResponse &response, int status, const JsonObject &body)
{
    sendText(response, status, "application/json", toJsonText(body));
}

void sendText(HTTPServerResponse &response, int status, const std::string &type, const std::string &body)
{
    response.setStatusAndReason(static_cast<HTTPServerResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
}

bool isClientDisconnected(HTTPServerRequest &request)
{
    try {
        auto &socket = socketOf(request);
        if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        char byte = 0;
        return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

void closeConnection(HTTPServerRequest &request)
{
    try {
        socketOf(request).shutdown();
    } catch (const Poco::Exception &) {
        return; // already closed
    }
}

} // namespace standins
