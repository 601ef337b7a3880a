// Framing of answers towards callers.
#include "http_answer.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <charconv>
#include <sstream>

namespace anvilscale {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view eventEndCrLf = "\r\n\r\n";
constexpr std::string_view lastChunk = "0\r\n\r\n";

// End of the last whole event in `data`; 0 if there is none.
std::size_t wholeEvents(std::string_view data)
{
    const auto lf = data.rfind(eventEnd);
    const auto crlf = data.rfind(eventEndCrLf);
    const auto afterLf = lf == std::string_view::npos ? 0 : lf + eventEnd.size();
    const auto afterCrLf = crlf == std::string_view::npos ? 0 : crlf + eventEndCrLf.size();
    return std::max(afterLf, afterCrLf);
}

} // namespace

HttpAnswer::HttpAnswer(bool keepAlive, bool chunked, bool bodyless, std::size_t holdBytes)
    : keepAlive_(keepAlive)
    , chunked_(chunked)
    , bodyless_(bodyless)
    , holdBytes_(holdBytes)
{
}

void HttpAnswer::reply(const HttpReply &reply)
{
    begun_ = true;
    status_ = reply.status;
    headers_ = reply.headers;
    held_ = reply.body;
    keepAlive_ = keepAlive_ && !reply.close;
    events_ = false;
    finish();
}

void HttpAnswer::begin(std::uint32_t status, HttpHeaders headers)
{
    if (begun_) {
        return;
    }
    begun_ = true;
    status_ = status;
    headers_ = std::move(headers);
    const auto *type = findHeader(headers_, "Content-Type");
    events_ = type != nullptr && Poco::toLower(*type).starts_with("text/event-stream");
    if (events_) {
        startPassing();
    }
}

void HttpAnswer::send(std::string_view data)
{
    if (!begun_ || end_ != AnswerEnd::Open) {
        return;
    }
    held_.append(data);
    if (!events_) {
        if (passing_ || held_.size() > holdBytes_) {
            startPassing();
            pass(held_);
            held_.clear();
        }
        return;
    }
    const auto whole = held_.size() > holdBytes_ ? held_.size() : wholeEvents(held_);
    pass(std::string_view(held_).substr(0, whole));
    held_.erase(0, whole);
}

void HttpAnswer::finish()
{
    if (end_ != AnswerEnd::Open) {
        return;
    }
    if (!passing_) {
        passing_ = true;
        writeHead(held_.size());
        if (!bodyless_) {
            output_.append(held_);
        }
        passedOn_ += held_.size();
        close(keepAlive_ ? AnswerEnd::Keep : AnswerEnd::Close);
        return;
    }
    pass(held_);
    if (chunked_) {
        output_.append(lastChunk);
    }
    close(keepAlive_ && chunked_ ? AnswerEnd::Keep : AnswerEnd::Close);
}

void HttpAnswer::fail(const HttpReply &reply)
{
    if (end_ != AnswerEnd::Open) {
        return;
    }
    if (!passing_) {
        this->reply(reply);
        return;
    }
    if (!events_) {
        close(AnswerEnd::Cut);
        return;
    }
    pass("event: error\ndata: " + reply.body + "\n\n");
    if (chunked_) {
        output_.append(lastChunk);
    }
    close(AnswerEnd::Close);
}

void HttpAnswer::cut(const HttpReply &reply)
{
    if (end_ != AnswerEnd::Open) {
        return;
    }
    if (!passing_) {
        this->reply(reply);
        return;
    }
    close(AnswerEnd::Cut);
}

std::string &HttpAnswer::output()
{
    return output_;
}

AnswerEnd HttpAnswer::end() const
{
    return end_;
}

std::uint64_t HttpAnswer::takePassedOn()
{
    return std::exchange(passedOn_, 0);
}

void HttpAnswer::startPassing()
{
    if (passing_) {
        return;
    }
    passing_ = true;
    writeHead(std::nullopt);
}

void HttpAnswer::writeHead(std::optional<std::size_t> length)
{
    Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status_));
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : headers_) {
        if (!isHopByHop(name)) {
            response.add(name, value);
        }
    }
    const bool noBody = status_ == 204 || status_ == 304;
    if (length && !noBody) {
        response.setContentLength64(static_cast<Poco::Int64>(*length));
    } else if (!noBody && chunked_) {
        response.setChunkedTransferEncoding(true);
    }
    const bool keep = keepAlive_ && (length.has_value() || chunked_);
    response.set("Connection", keep ? "keep-alive" : "close");
    std::ostringstream stream;
    response.write(stream);
    output_.append(stream.str());
}

void HttpAnswer::pass(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    passedOn_ += data.size();
    if (bodyless_) {
        return;
    }
    if (!chunked_) {
        output_.append(data);
        return;
    }
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16);
    output_.append(digits.data(), written.ptr);
    output_.append("\r\n");
    output_.append(data);
    output_.append("\r\n");
}

void HttpAnswer::close(AnswerEnd end)
{
    held_.clear();
    end_ = end;
}

} // namespace anvilscale
