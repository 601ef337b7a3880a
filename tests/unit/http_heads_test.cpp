// Heads as they are read and passed on: a field means what its bytes say, and reaches the next process unchanged.
#include "../src/net/http_answer.h"

#include "anvilscale/net.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

constexpr std::uint64_t maxBodyBytes = 1000;
constexpr std::size_t manyFields = 4000;
// Encoded words (RFC 2047) of "close", "chunked" and a line end with a second request.
const std::string encodedClose = "=?utf-8?q?close?=";
const std::string encodedChunked = "=?utf-8?b?Y2h1bmtlZA==?=";
const std::string encodedRequest = "=?utf-8?q?a=0D=0A=0D=0AGET_/hidden_HTTP/1.1=0D=0AHost:_h?=";

std::string requestWith(const std::string &fields)
{
    return "GET /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string responseWith(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
}

std::vector<std::pair<std::string, std::string>> soundFields()
{
    return {{"X-Plain", "a value, with \"quotes\"; and=more"},
            {"X-Request", encodedRequest},
            {"X-Null", "=?utf-8?q?a=00b?="},
            {"X-Eight-Bit", "=?iso-8859-1?q?caf=E9?="},
            {"X-Word", "=?utf-8?q?word?="},
            {"X-Base64", "=?utf-8?b?aGVsbG8=?="},
            {"X-Two-Words", "=?utf-8?q?a?= =?utf-8?q?b?="},
            {"X-Half-Word", "before =?utf-8?q?half"},
            {"X-Quoted", "\"=?utf-8?q?in_quotes?=\""},
            {"X-Unknown", "=?none?z?text?="},
            {"X-Empty", ""},
            {"X-Tab", "a\tb"},
            {"X-Utf8", "gr\xc3\xbc\xc3\x9f"},
            {"X-Colon", "a: b: c"},
            {"X-Long", std::string(20'000, 'v')},
            {std::string(300, 'n'), "long name"},
            {"x-lower", "kept"},
            {"X-Same", "1"},
            {"X-Between", "2"},
            {"X-Same", "3"}};
}

std::string textOf(const HttpHeaders &fields)
{
    std::string text;
    for (const auto &[name, value] : fields) {
        text += name;
        text += ": " + value + "\r\n";
    }
    return text;
}

std::string fieldsOfManyShort()
{
    std::string text;
    for (std::size_t i = 0; i < manyFields; ++i) {
        text += "a:\r\n";
    }
    return text;
}

// Guards against a second request that is hidden in a field, and against fields that are changed or refused on the way
// from a caller to an endpoint.
TEST(HttpHeads, FieldsOfARequestPassUnchanged)
{
    for (const auto &field : soundFields()) {
        const auto text = textOf({field});
        const auto parsed = parseRequestHead(requestWith(text), maxBodyBytes);
        ASSERT_TRUE(parsed) << field.first;
        const auto sent = formatRequestHead("GET", "/a", "h", parsed->first.headers, 0, true);
        EXPECT_NE(sent.find("\r\n" + text), std::string::npos) << sent;
        EXPECT_EQ(headLength(sent), sent.size()) << sent;
    }
    const auto parsed = parseRequestHead(requestWith(textOf(soundFields())), maxBodyBytes);
    ASSERT_TRUE(parsed);
    const auto sent = formatRequestHead("GET", "/a", "h", parsed->first.headers, 0, true);
    EXPECT_NE(sent.find("\r\n" + textOf(soundFields())), std::string::npos) << "in their order";
}

// Guards against a second answer that is hidden in a field, and against fields that are changed or refused on the way
// from an endpoint to its caller.
TEST(HttpHeads, FieldsOfAResponsePassUnchanged)
{
    const auto parsed = parseResponseHead(responseWith(textOf(soundFields())), false);
    ASSERT_TRUE(parsed);
    HttpAnswer answer(true, true, false, 100);
    answer.begin(parsed->status, parsed->headers);
    answer.finish();
    EXPECT_NE(answer.output().find("\r\n" + textOf(soundFields())), std::string::npos) << answer.output();
    EXPECT_EQ(headLength(answer.output()), answer.output().size());
}

// Guards against a field that is checked and passed on as one text, and read as another where it frames the message or
// concerns the connection.
TEST(HttpHeads, EncodedWordsFrameNothing)
{
    for (const std::string length : {"=?utf-8?q?5?=", "=?utf-8?b?NQ==?=", "5 =?utf-8?q?x?="}) {
        const auto field = "Content-Length: " + length + "\r\n";
        EXPECT_EQ(parseRequestHead(requestWith(field), maxBodyBytes).error(), HttpError::BadHead) << field;
        EXPECT_EQ(parseResponseHead(responseWith(field), false).error(), HttpError::BadHead) << field;
    }
    const auto encoding = "Transfer-Encoding: " + encodedChunked + "\r\n";
    EXPECT_EQ(parseRequestHead(requestWith(encoding), maxBodyBytes).error(), HttpError::UnsupportedEncoding);
    EXPECT_EQ(parseResponseHead(responseWith(encoding), false).error(), HttpError::UnsupportedEncoding);
    EXPECT_EQ(parseRequestHead(requestWith("Expect: =?utf-8?q?100-continue?=\r\n"), maxBodyBytes).error(),
              HttpError::ExpectationFailed);
    const auto connection = "Connection: " + encodedClose + "\r\n";
    EXPECT_TRUE(parseRequestHead(requestWith(connection), maxBodyBytes)->first.keepAlive);
    EXPECT_TRUE(parseResponseHead(responseWith(connection + "Content-Length: 0\r\n"), false)->keepAlive);
    const auto hidden = parseRequestHead(requestWith("X-A: =?utf-8?q?a=0D=0AContent-Length:_5?=\r\n"), maxBodyBytes);
    ASSERT_TRUE(hidden);
    EXPECT_TRUE(hidden->second.isDone()) << "no body";
}

TEST(HttpHeads, OptionsOfAConnectionAreRead)
{
    const auto keeps = [](const std::string &version, const std::string &fields) {
        const auto request = parseRequestHead("GET /a HTTP/1." + version + "\r\nHost: h\r\n" + fields + "\r\n", 0);
        const auto response =
            parseResponseHead("HTTP/1." + version + " 200 OK\r\nContent-Length: 0\r\n" + fields + "\r\n", false);
        EXPECT_EQ(request->first.keepAlive, response->keepAlive) << version << fields;
        return request->first.keepAlive;
    };
    EXPECT_TRUE(keeps("1", ""));
    EXPECT_TRUE(keeps("1", "Connection: X-Other\r\n"));
    EXPECT_FALSE(keeps("1", "Connection: close\r\n"));
    EXPECT_FALSE(keeps("1", "connection: X-Other , Close\r\n"));
    EXPECT_FALSE(keeps("1", "Connection: keep-alive\r\nConnection: close\r\n"));
    EXPECT_FALSE(keeps("0", ""));
    EXPECT_TRUE(keeps("0", "Connection: Keep-Alive\r\n"));
}

TEST(HttpHeads, RequestLinesAreStrict)
{
    const auto isAccepted = [](const std::string &line) {
        return parseRequestHead(line + "\r\nHost: h\r\n\r\n", maxBodyBytes).has_value();
    };
    EXPECT_TRUE(isAccepted("GET /a HTTP/1.1"));
    EXPECT_TRUE(isAccepted("GET /a HTTP/1.0"));
    EXPECT_TRUE(isAccepted("X-OWN-METHOD-OF-A-CALLER-THAT-IS-LONG /a HTTP/1.1"));
    for (const std::string line :
         {"GET", "GET ", "GET /a", "GET  HTTP/1.1", "GET /a HTTP/1.1 ", " GET /a HTTP/1.1", "GET  /a HTTP/1.1",
          "GET /a b HTTP/1.1", "GET /a\tb HTTP/1.1", "GET /a HTTP/2.0", "GET /a http/1.1", "G(T /a HTTP/1.1",
          "GET a HTTP/1.1", "GET http://h/a HTTP/1.1", " /a HTTP/1.1"}) {
        EXPECT_FALSE(isAccepted(line)) << line;
    }
}

// Guards against proper requests that are denied by a bound of the parser though they keep the configured one.
TEST(HttpHeads, OnlyTheSizeOfAHeadIsBounded)
{
    const auto target = "/" + std::string(30'000, 't');
    const auto request = parseRequestHead(
        std::string(40, 'M') + " " + target + " HTTP/1.1\r\nHost: h\r\n" + fieldsOfManyShort() + "\r\n", maxBodyBytes);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->first.target, target);
    EXPECT_EQ(request->first.headers.size(), manyFields + 1);
    const auto response =
        parseResponseHead("HTTP/1.1 200 " + std::string(1000, 'r') + "\r\n" + fieldsOfManyShort() + "\r\n", false);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->headers.size(), manyFields);
    HttpAnswer answer(true, true, false, 100);
    answer.begin(response->status, response->headers);
    answer.finish();
    EXPECT_EQ(parseResponseHead(answer.output(), false)->headers.size(), manyFields + 2);
}

// Guards against a value from a store record, a configuration or a peer that begins another message.
TEST(HttpHeads, ValuesWithLineEndsStayInTheirField)
{
    const std::string value("a\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\0b\x7f", 37);
    const auto request = formatRequestHead("GET", "/a", value, {{"X-A", value}, {"X-B:\r\nX-C", "1"}}, 0, true);
    EXPECT_EQ(headLength(request), request.size()) << request;
    const auto parsed = parseRequestHead(request, maxBodyBytes);
    ASSERT_TRUE(parsed) << request;
    EXPECT_EQ(*findHeader(parsed->first.headers, "X-A"), "a    GET /hidden HTTP/1.1  Host: h b");
    EXPECT_EQ(parsed->first.headers.size(), 3U) << "with Host and Connection; a name that is no token is left out";
    HttpAnswer answer(true, true, false, 100);
    answer.reply(HttpReply{200, {{"X-A", value}}, "", false});
    EXPECT_EQ(headLength(answer.output()), answer.output().size()) << answer.output();
}

} // namespace
} // namespace anvilscale
