// Shared by all stand-ins: an HTTP server on a loopback port, JSON helpers, and shutdown on SIGTERM.
// Stand-ins replace the platform and the endpoints in tests and in the demo.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

namespace cxxopts {
class ParseResult;
}

namespace standins {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Handler = std::function<void(HTTPServerRequest &, HTTPServerResponse &)>;
using JsonObject = Poco::JSON::Object;

/// HTTP server that calls `handler` until destroyed, with one thread for each open connection.
class HttpHost
{
public:
    HttpHost(Handler handler, const std::string &address, unsigned port);
    ~HttpHost();
    HttpHost(const HttpHost &) = delete;
    HttpHost &operator=(const HttpHost &) = delete;
    /// Port that the server listens on, also if it was assigned by the system.
    unsigned port() const;

private:
    Poco::ThreadPool pool_;
    Poco::Net::ServerSocket socket_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

/// Writes the port to the port file and serves until SIGTERM or SIGINT, then exits the process. Both signals must be
/// blocked in all threads.
int serveUntilStopped(const Handler &handler, const cxxopts::ParseResult &options);
/// Blocks SIGTERM and SIGINT in the calling thread and ignores SIGPIPE. Must run before any thread is started.
void blockStopSignals();

/// Reads the body as a JSON object. Returns an empty object for an empty or malformed body.
JsonObject::Ptr readJson(HTTPServerRequest &request);
std::string readBody(HTTPServerRequest &request);
void sendJson(HTTPServerResponse &response, int status, const JsonObject &body);
void sendText(HTTPServerResponse &response, int status, const std::string &type, const std::string &body);
std::string toJsonText(const JsonObject &object);

/// The client has closed its connection.
bool isClientDisconnected(HTTPServerRequest &request);
/// Closes the connection without an answer.
void closeConnection(HTTPServerRequest &request);

/// Returns the field `name` of the object, or `otherwise` if it is missing. Throws a Poco exception on a wrong type.
template<class T>
T fieldOr(const JsonObject &object, const std::string &name, T defaultValue)
{
    return object.has(name) ? object.get(name).convert<T>() : defaultValue;
}

} // namespace standins
