// Formatting of responses to callers.
#include "http_answer.h"

#include "http_fields.h"
#include "release_buffer.h"

#include <Poco/Net/HTTPResponse.h>

#include <charconv>

namespace anvilscale {

namespace {

constexpr std::string_view eventEndLf = "\n\n";
constexpr std::string_view eventEndCrLf = "\r\n\r\n";
constexpr std::string_view lastChunk = "0\r\n\r\n";

// Returns the end of the last complete event in `data`; 0 if there is none.
std::size_t findLastEventEnd(std::string_view data)
{
    const auto lf = data.rfind(eventEndLf);
    const auto crlf = data.rfind(eventEndCrLf);
    const auto afterLf = lf == std::string_view::npos ? 0 : lf + eventEndLf.size();
    const auto afterCrLf = crlf == std::string_view::npos ? 0 : crlf + eventEndCrLf.size();
    return std::max(afterLf, afterCrLf);
}

} // namespace

HttpAnswer::HttpAnswer(bool keepAlive, bool acceptsChunked, bool isHeadRequest, std::size_t maxHeldBytes)
    : keepAlive_(keepAlive)
    , acceptsChunked_(acceptsChunked)
    , isHeadRequest_(isHeadRequest)
    , maxHeldBytes_(maxHeldBytes)
{
}

void HttpAnswer::reply(const HttpReply &reply)
{
    hasBegun_ = true;
    status_ = reply.status;
    setFields(reply.headers);
    heldBody_ = reply.body;
    keepAlive_ = keepAlive_ && !reply.closesConnection;
    isEventStream_ = false;
    finish();
}

void HttpAnswer::begin(std::uint32_t status, const HttpHeaders &headers)
{
    if (hasBegun_) {
        return;
    }
    hasBegun_ = true;
    status_ = status;
    setFields(headers);
    isEventStream_ = anvilscale::isEventStream(headers);
    if (isEventStream_) {
        startForwarding();
    }
}

void HttpAnswer::send(std::string_view data)
{
    if (!hasBegun_ || end_ != AnswerEnd::Open) {
        return;
    }
    if (!isEventStream_) {
        if (isForwarding_ || heldBody_.size() + data.size() > maxHeldBytes_) {
            startForwarding();
            forward(std::exchange(heldBody_, {}));
            forward(data);
        } else {
            heldBody_.append(data);
        }
        return;
    }
    heldBody_.append(data);
    const auto forwardableBytes = heldBody_.size() > maxHeldBytes_ ? heldBody_.size() : findLastEventEnd(heldBody_);
    forward(std::string_view(heldBody_).substr(0, forwardableBytes));
    heldBody_.erase(0, forwardableBytes);
}

void HttpAnswer::finish()
{
    if (end_ != AnswerEnd::Open) {
        return;
    }
    if (!isForwarding_) {
        isForwarding_ = true;
        writeHead(heldBody_.size());
        if (!isHeadRequest_) {
            output_.append(heldBody_);
        }
        forwardedBytes_ += heldBody_.size();
        close(keepAlive_ ? AnswerEnd::Keep : AnswerEnd::Close);
        return;
    }
    forward(heldBody_);
    if (acceptsChunked_) {
        output_.append(lastChunk);
    }
    close(keepAlive_ && acceptsChunked_ ? AnswerEnd::Keep : AnswerEnd::Close);
}

void HttpAnswer::fail(const HttpReply &reply)
{
    if (end_ != AnswerEnd::Open) {
        return;
    }
    if (!isForwarding_) {
        this->reply(reply);
        return;
    }
    if (!isEventStream_) {
        close(cutEnd());
        return;
    }
    forward("event: error\ndata: " + reply.body + "\n\n");
    if (acceptsChunked_) {
        output_.append(lastChunk);
    }
    close(AnswerEnd::Close);
}

void HttpAnswer::cut(const HttpReply &reply)
{
    if (end_ != AnswerEnd::Open) {
        return;
    }
    if (!isForwarding_) {
        this->reply(reply);
        return;
    }
    close(cutEnd());
}

std::string &HttpAnswer::output()
{
    return output_;
}

AnswerEnd HttpAnswer::end() const
{
    return end_;
}

std::size_t HttpAnswer::heldBytes() const
{
    return heldBody_.size();
}

std::uint64_t HttpAnswer::takeForwardedBytes()
{
    return std::exchange(forwardedBytes_, 0);
}

// As text, fields take no more memory than their bytes.
void HttpAnswer::setFields(const HttpHeaders &headers)
{
    fields_ = formatFields(headers);
}

void HttpAnswer::startForwarding()
{
    if (isForwarding_) {
        return;
    }
    isForwarding_ = true;
    writeHead(std::nullopt);
}

void HttpAnswer::writeHead(std::optional<std::size_t> length)
{
    Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status_));
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    const bool hasNoBody = status_ == 204 || status_ == 304;
    if (length && !hasNoBody) {
        response.setContentLength64(static_cast<Poco::Int64>(*length));
    } else if (!hasNoBody && acceptsChunked_) {
        response.setChunkedTransferEncoding(true);
    }
    const bool isKeptAlive = keepAlive_ && (length.has_value() || acceptsChunked_);
    response.set("Connection", isKeptAlive ? "keep-alive" : "close");
    output_.append(formatHead(response, fields_));
    releaseBuffer(fields_);
}

void HttpAnswer::forward(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    forwardedBytes_ += data.size();
    if (isHeadRequest_) {
        return;
    }
    if (!acceptsChunked_) {
        output_.append(data);
        return;
    }
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto digitsEnd = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16);
    output_.append(digits.data(), digitsEnd.ptr);
    output_.append("\r\n");
    output_.append(data);
    output_.append("\r\n");
}

AnswerEnd HttpAnswer::cutEnd() const
{
    return acceptsChunked_ ? AnswerEnd::Cut : AnswerEnd::Reset;
}

void HttpAnswer::close(AnswerEnd end)
{
    releaseBuffer(heldBody_);
    end_ = end;
}

} // namespace anvilscale
