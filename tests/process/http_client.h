// HTTP requests of the tests, and parsers of answers.
#pragma once

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <map>
#include <sstream>
#include <string>

namespace fleet {

struct Answer
{
    int status = 0; ///< 0 if the answer is incomplete or missing
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Sends one request on a new connection. If the connection breaks, the status is 0 and the body holds what was read.
inline Answer requestAt(const std::string &address, unsigned port, const std::string &method, const std::string &path,
                        const std::string &body = {}, const std::map<std::string, std::string> &headers = {},
                        int timeoutS = 60)
{
    Answer answer;
    try {
        Poco::Net::HTTPClientSession session(address, static_cast<Poco::UInt16>(port));
        session.setTimeout(Poco::Timespan(timeoutS, 0));
        Poco::Net::HTTPRequest message(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : headers) {
            message.set(name, value);
        }
        if (!body.empty() || method == "POST") {
            message.setContentLength(static_cast<std::streamsize>(body.size()));
            message.setContentType("application/json");
        }
        session.sendRequest(message) << body;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(stream, answer.body);
        for (const auto &[name, value] : response) {
            answer.headers[name] = value;
        }
        const auto length = response.getContentLength64();
        const bool isComplete = length < 0 || static_cast<std::size_t>(length) == answer.body.size();
        answer.status = isComplete && session.networkException() == nullptr ? response.getStatus() : 0;
    } catch (const Poco::Exception &) {
        answer.status = 0;
    }
    return answer;
}

/// Sends one request to a port of 127.0.0.1.
inline Answer request(unsigned port, const std::string &method, const std::string &path, const std::string &body = {},
                      const std::map<std::string, std::string> &headers = {}, int timeoutS = 60)
{
    return requestAt("127.0.0.1", port, method, path, body, headers, timeoutS);
}

inline Poco::JSON::Object::Ptr parse(const std::string &json)
{
    return Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
}

/// Returns a field of the error object of an answer, or an empty text if there is none.
inline std::string errorField(const std::string &json, const std::string &field)
{
    try {
        return parse(json)->getObject("error")->getValue<std::string>(field);
    } catch (const std::exception &) {
        return {};
    }
}

/// Text of all events of a streamed completion.
struct StreamText
{
    std::string text;
    std::string error; ///< data of an error event, empty if none
    bool isDone = false; ///< ended with [DONE]
};
inline StreamText readStream(const std::string &body)
{
    StreamText result;
    std::istringstream lines(body);
    std::string line;
    bool isError = false;
    while (std::getline(lines, line)) {
        if (line == "event: error") {
            isError = true;
        } else if (line == "data: [DONE]") {
            result.isDone = true;
        } else if (line.starts_with("data: ") && isError) {
            result.error = line.substr(6);
        } else if (line.starts_with("data: ")) {
            const auto choice = parse(line.substr(6))->getArray("choices")->getObject(0);
            result.text += choice->getValue<std::string>("text");
        }
    }
    return result;
}

} // namespace fleet
