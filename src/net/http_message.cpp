// HTTP heads and body framing; shared by server and client. Heads are parsed here and not by POCO, whose parser decodes
// encoded words (RFC 2047) and bounds names, values and the number of fields: the fields that are checked have to be
// those that are passed on.
#include "http_fields.h"

#include "anvilscale/net.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace anvilscale {

namespace {

constexpr std::size_t maxChunkLineBytes = 256;
constexpr std::size_t maxTrailerBytes = 8192;
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view versionHttp10 = "HTTP/1.0";
constexpr std::string_view versionHttp11 = "HTTP/1.1";
constexpr std::string_view statusLineForm = "HTTP/1.# ###"; // up to the reason
constexpr char anyDigit = '#';
constexpr std::size_t statusDigits = 3;
constexpr std::uint64_t minStatus = 100;
constexpr std::uint64_t maxStatus = 599;
constexpr std::uint32_t statusSwitchingProtocols = 101;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isTokenCharacter(char c)
{
    const bool isAlphanumeric = isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isAlphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

// Tabs may stand in a field value.
bool isControlCharacter(char c)
{
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
}

bool hasControlCharacter(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), isControlCharacter);
}

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lowerCase(x) == lowerCase(y); });
}

std::string_view trimSpace(std::string_view text)
{
    constexpr std::string_view space = " \t";
    const auto begin = text.find_first_not_of(space);
    return begin == std::string_view::npos ? std::string_view()
                                           : text.substr(begin, text.find_last_not_of(space) - begin + 1);
}

bool isHeaderLine(std::string_view line)
{
    const auto colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon));
}

// Accepts unambiguous heads only. With a lenient parser, two processes may disagree on where a message ends, so that
// a caller can smuggle in a second request and responses reach the wrong caller.
bool isStrictHead(std::string_view head)
{
    std::size_t at = 0;
    bool isStartLine = true;
    while (at < head.size()) {
        const auto end = head.find('\n', at);
        if (end == std::string_view::npos || end == at || head[end - 1] != '\r') {
            return false;
        }
        const auto line = head.substr(at, end - 1 - at);
        at = end + 1;
        if (hasControlCharacter(line)) {
            return false;
        }
        if (line.empty()) {
            return at == head.size() && !isStartLine;
        }
        if (!isStartLine && !isHeaderLine(line)) {
            return false;
        }
        isStartLine = false;
    }
    return false;
}

/// Reads the fields of a strict head. Values are taken as they are, without the space around them.
HttpHeaders readFields(std::string_view head)
{
    HttpHeaders headers;
    headers.reserve(static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n')));
    auto rest = head.substr(head.find(lineEnd) + lineEnd.size());
    while (!rest.starts_with(lineEnd)) {
        const auto line = rest.substr(0, rest.find(lineEnd));
        const auto colon = line.find(':');
        headers.emplace_back(line.substr(0, colon), trimSpace(line.substr(colon + 1)));
        rest.remove_prefix(line.size() + lineEnd.size());
    }
    return headers;
}

std::size_t countHeader(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(
        headers.begin(), headers.end(), [&](const auto &header) { return equalsIgnoreCase(header.first, name); }));
}

bool isKeptAlive(const HttpHeaders &headers, bool isHttp10)
{
    const auto options = connectionOptions(headers);
    return options.count("close") == 0 && (!isHttp10 || options.count("keep-alive") != 0);
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// Returns the status code of a response head; nullopt if its status line is invalid. Some servers omit the reason, or
/// the space before it too. Codes from 600 on are invalid: clients treat them as a server error, which a broken
/// response is as well.
std::optional<std::uint32_t> parseStatusLine(std::string_view head)
{
    const auto line = head.substr(0, head.find(lineEnd));
    const auto begin = line.substr(0, statusLineForm.size());
    const auto reason = line.substr(begin.size());
    const bool hasForm =
        std::equal(begin.begin(), begin.end(), statusLineForm.begin(), statusLineForm.end(),
                   [](char c, char expected) { return expected == anyDigit ? isDigit(c) : c == expected; });
    if (!hasForm || (!reason.empty() && reason[0] != ' ')) {
        return std::nullopt;
    }
    const auto status = parseNumber(begin.substr(begin.size() - statusDigits), 10).value_or(0);
    const bool isValid = status >= minStatus && status <= maxStatus;
    return isValid ? std::optional(static_cast<std::uint32_t>(status)) : std::nullopt;
}

struct RequestLine
{
    std::string_view method;
    std::string_view target;
    bool isHttp10 = false;
};

/// Returns the parts of a request line; nullopt if it is invalid.
std::optional<RequestLine> readRequestLine(std::string_view line)
{
    const auto methodEnd = line.find(' ');
    const auto targetEnd = line.rfind(' ');
    if (methodEnd == targetEnd) {
        return std::nullopt;
    }
    const auto version = line.substr(targetEnd + 1);
    RequestLine result{line.substr(0, methodEnd), {}, version == versionHttp10};
    if ((!result.isHttp10 && version != versionHttp11) || !isToken(result.method)) {
        return std::nullopt;
    }
    result.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const bool hasSpace = result.target.find_first_of(" \t") != std::string_view::npos;
    return result.target.starts_with('/') && !hasSpace ? std::optional(result) : std::nullopt;
}

/// Returns the body framing that the headers give; nullopt if they give none.
tl::expected<std::optional<HttpBodyReader>, HttpError> readFraming(const HttpHeaders &headers)
{
    const auto lengthCount = countHeader(headers, "Content-Length");
    const auto encodingCount = countHeader(headers, "Transfer-Encoding");
    if (lengthCount > 1 || encodingCount > 1 || (lengthCount != 0 && encodingCount != 0)) {
        return tl::unexpected(HttpError::BadHead);
    }
    if (encodingCount != 0) {
        if (!equalsIgnoreCase(*findHeader(headers, "Transfer-Encoding"), "chunked")) {
            return tl::unexpected(HttpError::UnsupportedEncoding);
        }
        return HttpBodyReader(HttpBodyReader::Framing::Chunked, 0);
    }
    if (lengthCount == 0) {
        return std::nullopt;
    }
    const auto length = parseNumber(*findHeader(headers, "Content-Length"), 10);
    if (!length) {
        return tl::unexpected(HttpError::BadHead);
    }
    return HttpBodyReader(HttpBodyReader::Framing::Length, *length);
}

} // namespace

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (equalsIgnoreCase(header.first, name)) {
            return &header.second;
        }
    }
    return nullptr;
}

std::set<std::string> connectionOptions(const HttpHeaders &headers)
{
    std::set<std::string> options;
    for (const auto &[name, value] : headers) {
        if (!equalsIgnoreCase(name, "Connection")) {
            continue;
        }
        std::string_view rest = value;
        while (!rest.empty()) {
            const auto item = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), item.size() + 1));
            std::string option(trimSpace(item));
            std::transform(option.begin(), option.end(), option.begin(), lowerCase);
            options.insert(std::move(option));
        }
    }
    return options;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> names{
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
        "trailer",    "upgrade",    "transfer-encoding",  "content-length",      "host",
        "expect"};
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view hopByHop) { return equalsIgnoreCase(name, hopByHop); });
}

std::string fieldValue(std::string_view value)
{
    std::string text(value);
    std::replace_if(text.begin(), text.end(), isControlCharacter, ' ');
    return text;
}

std::string formatFields(const HttpHeaders &headers)
{
    std::string text;
    for (const auto &[name, value] : headers) {
        if (isToken(name) && !isHopByHop(name)) {
            text.append(name).append(": ").append(fieldValue(value)).append(lineEnd);
        }
    }
    return text;
}

std::string formatHead(const Poco::Net::HTTPMessage &message, std::string_view fields)
{
    std::ostringstream stream;
    message.write(stream);
    auto head = stream.str();
    head.insert(head.size() - lineEnd.size(), fields);
    return head;
}

struct SharedBody::Body
{
    std::string text;
    MemoryHold room;
};

SharedBody::SharedBody(std::string text, MemoryHold room)
    : body_(std::make_shared<const Body>(Body{std::move(text), std::move(room)}))
{
}

std::string_view SharedBody::text() const
{
    return body_ ? std::string_view(body_->text) : std::string_view();
}

std::uint32_t statusOf(HttpError reason)
{
    static constexpr std::array<std::uint32_t, enumCount<HttpError>> table{200, 400, 431, 400, 413, 501,
                                                                           417, 408, 408, 503, 503, 413};
    return table[static_cast<std::size_t>(reason)];
}

HttpBodyReader::HttpBodyReader(Framing framing, std::uint64_t length)
    : framing_(framing)
    , step_(framing == Framing::Chunked ? Step::Size : Step::Data)
    , remainingBytes_(length)
{
    if (framing == Framing::Length && length == 0) {
        step_ = Step::Done;
    }
}

std::uint64_t HttpBodyReader::remainingBytes() const
{
    return remainingBytes_;
}

std::size_t HttpBodyReader::read(std::string_view in, std::string &out)
{
    std::size_t consumed = 0;
    while (consumed < in.size() && !isDone() && !isBroken()) {
        const auto rest = in.substr(consumed);
        if (step_ != Step::Data) {
            consumed += readLine(rest);
            continue;
        }
        const auto part = framing_ == Framing::UntilClose ? rest : rest.substr(0, remainingBytes_);
        out.append(part);
        consumed += part.size();
        if (framing_ == Framing::UntilClose) {
            continue;
        }
        remainingBytes_ -= part.size();
        if (remainingBytes_ == 0) {
            step_ = framing_ == Framing::Chunked ? Step::DataEnd : Step::Done;
        }
    }
    return consumed;
}

std::size_t HttpBodyReader::readLine(std::string_view in)
{
    const auto end = in.find('\n');
    const auto part = in.substr(0, end == std::string_view::npos ? in.size() : end + 1);
    line_.append(part);
    if (line_.size() > (step_ == Step::Trailer ? maxTrailerBytes : maxChunkLineBytes)) {
        step_ = Step::Broken;
        return part.size();
    }
    if (end != std::string_view::npos) {
        processLine();
        line_.clear();
    }
    return part.size();
}

void HttpBodyReader::processLine()
{
    if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
        step_ = Step::Broken;
        return;
    }
    line_.resize(line_.size() - 2);
    if (hasControlCharacter(line_)) {
        step_ = Step::Broken;
        return;
    }
    if (step_ == Step::DataEnd) {
        step_ = line_.empty() ? Step::Size : Step::Broken;
        return;
    }
    if (step_ == Step::Trailer) {
        processTrailer();
        return;
    }
    const auto size = parseNumber(std::string_view(line_).substr(0, line_.find(';')), 16);
    if (!size) {
        step_ = Step::Broken;
        return;
    }
    remainingBytes_ = *size;
    step_ = remainingBytes_ == 0 ? Step::Trailer : Step::Data;
}

void HttpBodyReader::processTrailer()
{
    trailerBytes_ += line_.size();
    if (line_.empty()) {
        step_ = Step::Done;
    } else if (trailerBytes_ > maxTrailerBytes || !isHeaderLine(line_)) {
        step_ = Step::Broken;
    }
}

bool HttpBodyReader::isDone() const
{
    return step_ == Step::Done;
}

bool HttpBodyReader::isBroken() const
{
    return step_ == Step::Broken;
}

HttpBodyReader::Framing HttpBodyReader::framing() const
{
    return framing_;
}

std::size_t headLength(std::string_view buffer)
{
    const auto end = buffer.find(headEnd);
    return end == std::string_view::npos ? 0 : end + headEnd.size();
}

tl::expected<std::pair<HttpRequestData, HttpBodyReader>, HttpError> parseRequestHead(std::string_view head,
                                                                                     std::uint64_t maxBodyBytes)
{
    if (!isStrictHead(head)) {
        return tl::unexpected(HttpError::BadHead);
    }
    const auto line = readRequestLine(head.substr(0, head.find(lineEnd)));
    if (!line) {
        return tl::unexpected(HttpError::BadHead);
    }
    HttpRequestData data;
    data.method = line->method;
    data.target = line->target;
    data.headers = readFields(head);
    data.keepAlive = isKeptAlive(data.headers, line->isHttp10);
    data.acceptsChunked = !line->isHttp10;
    if (!line->isHttp10 && countHeader(data.headers, "Host") != 1) {
        return tl::unexpected(HttpError::BadHead);
    }
    const auto framing = readFraming(data.headers);
    if (!framing) {
        return tl::unexpected(framing.error());
    }
    const auto *length = findHeader(data.headers, "Content-Length");
    if (length != nullptr && parseNumber(*length, 10).value_or(0) > maxBodyBytes) {
        return tl::unexpected(HttpError::BodyTooLarge);
    }
    const auto *expect = findHeader(data.headers, "Expect");
    if (expect != nullptr && !equalsIgnoreCase(*expect, "100-continue")) {
        return tl::unexpected(HttpError::ExpectationFailed);
    }
    return std::pair(std::move(data), framing->value_or(HttpBodyReader()));
}

tl::expected<HttpResponseHead, HttpError> parseResponseHead(std::string_view head, bool isHeadRequest)
{
    const auto status = parseStatusLine(head);
    // No request offers an upgrade, and what follows one is not HTTP.
    if (!status || *status == statusSwitchingProtocols || !isStrictHead(head)) {
        return tl::unexpected(HttpError::BadHead);
    }
    HttpResponseHead result;
    result.status = *status;
    result.headers = readFields(head);
    const bool isHttp10 = head.starts_with(versionHttp10);
    result.keepAlive = isKeptAlive(result.headers, isHttp10);
    if (isHttp10 && countHeader(result.headers, "Transfer-Encoding") != 0) {
        return tl::unexpected(HttpError::UnsupportedEncoding); // HTTP/1.0 has none: the framing is faulty
    }
    const bool hasNoBody = isHeadRequest || result.status == 204 || result.status == 304 || result.status / 100 == 1;
    if (hasNoBody) {
        return result;
    }
    const auto framing = readFraming(result.headers);
    if (!framing) {
        return tl::unexpected(framing.error());
    }
    result.body = framing->value_or(HttpBodyReader(HttpBodyReader::Framing::UntilClose, 0));
    if (result.body.framing() == HttpBodyReader::Framing::UntilClose) {
        result.keepAlive = false;
    }
    return result;
}

std::string formatRequestHead(std::string_view method, std::string_view target, std::string_view host,
                              const HttpHeaders &headers, std::size_t bodyBytes, bool keepAlive)
{
    Poco::Net::HTTPRequest request(std::string(method), std::string(target), Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(fieldValue(host));
    if (bodyBytes != 0 || method == "POST" || method == "PUT" || method == "PATCH") {
        request.setContentLength64(static_cast<Poco::Int64>(bodyBytes));
    }
    request.setKeepAlive(keepAlive);
    return formatHead(request, formatFields(headers));
}

} // namespace anvilscale
