// Tests of HTTP parsing and formatting without sockets: body framing, heads, responses and model call bodies.
#include "../src/net/http_answer.h"

#include "anvilscale/net.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

namespace {

using namespace anvilscale;

std::string encodeChunked(const std::vector<std::string> &parts)
{
    std::ostringstream out;
    for (const auto &part : parts) {
        if (!part.empty()) {
            out << std::hex << part.size() << ";x=y\r\n" << part << "\r\n";
        }
    }
    out << "0\r\nTrailer: t\r\n\r\n";
    return out.str();
}

std::string join(const std::vector<std::string> &parts)
{
    std::string all;
    for (const auto &part : parts) {
        all += part;
    }
    return all;
}

RC_GTEST_PROP(HttpBody, ChunkedBodyIsIndependentOfReadSizes,
              (const std::vector<std::string> &parts, const std::vector<std::uint8_t> &readSizes))
{
    const auto message = encodeChunked(parts) + "NEXT";
    HttpBodyReader reader(HttpBodyReader::Framing::Chunked, 0);
    std::string body;
    std::size_t position = 0;
    std::size_t nextCut = 0;
    while (!reader.isDone() && position < message.size()) {
        const std::size_t readSize = readSizes.empty() ? 1 : 1 + readSizes[nextCut++ % readSizes.size()];
        const auto part = std::string_view(message).substr(position, readSize);
        const auto consumed = reader.read(part, body);
        position += consumed;
        RC_ASSERT(!reader.isBroken());
        RC_ASSERT(consumed == part.size() || reader.isDone());
    }
    RC_ASSERT(reader.isDone());
    RC_ASSERT(body == join(parts));
    RC_ASSERT(message.substr(position) == "NEXT");
}

RC_GTEST_PROP(HttpBody, ArbitraryBytesAreReadOrRejected, (const std::string &bytes))
{
    HttpBodyReader reader(HttpBodyReader::Framing::Chunked, 0);
    std::string body;
    const auto consumed = reader.read(bytes, body);
    RC_ASSERT(consumed <= bytes.size());
    RC_ASSERT(body.size() <= bytes.size());
}

TEST(HttpHead, RequestIsParsed)
{
    const auto parsed =
        parseRequestHead("POST /a?b=c HTTP/1.1\r\nHost: e\r\nX-One: 1\r\nContent-Length: 7\r\n\r\n", 10);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->first.method, "POST");
    EXPECT_EQ(parsed->first.target, "/a?b=c");
    EXPECT_EQ(*findHeader(parsed->first.headers, "x-one"), "1");
    EXPECT_FALSE(parsed->second.isDone());
    EXPECT_TRUE(parsed->first.keepAlive);
}

TEST(HttpHead, ExcessiveLengthIsRejectedBeforeBody)
{
    const auto parsed = parseRequestHead("POST /a HTTP/1.1\r\nHost: e\r\nContent-Length: 11\r\n\r\n", 10);
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error(), HttpError::BodyTooLarge);
}

HttpReply makeErrorReply()
{
    return HttpReply{502, {{"Content-Type", "application/json"}}, R"({"error":{}})", false};
}

TEST(HttpAnswerTest, FailureOfBufferedResponseSetsItsStatus)
{
    HttpAnswer answer(true, true, false, 100);
    answer.begin(200, {{"Content-Type", "application/json"}});
    answer.send("half");
    EXPECT_TRUE(answer.output().empty());
    answer.fail(makeErrorReply());
    EXPECT_TRUE(answer.output().starts_with("HTTP/1.1 502 ")) << answer.output();
    EXPECT_EQ(answer.output().find("half"), std::string::npos);
    EXPECT_EQ(answer.end(), AnswerEnd::Keep);
}

TEST(HttpAnswerTest, FailureBeyondBufferCutsConnection)
{
    HttpAnswer answer(true, true, false, 3);
    answer.begin(200, {{"Content-Type", "application/json"}});
    answer.send("longer than the hold");
    answer.fail(makeErrorReply());
    EXPECT_EQ(answer.end(), AnswerEnd::Cut);
    EXPECT_EQ(answer.output().find("0\r\n\r\n"), std::string::npos);
}

// Guards against an error event that terminates a partial event, whose truncated JSON the caller would accept as
// complete.
TEST(HttpAnswerTest, ErrorEventNeverFollowsPartialEvent)
{
    HttpAnswer answer(true, true, false, 1000);
    answer.begin(200, {{"Content-Type", "text/event-stream; charset=utf-8"}});
    answer.send("data: one\n\ndata: tw");
    answer.fail(makeErrorReply());
    EXPECT_NE(answer.output().find("data: one\n\n"), std::string::npos);
    EXPECT_EQ(answer.output().find("data: tw"), std::string::npos);
    EXPECT_NE(answer.output().find("event: error\ndata: {\"error\":{}}\n\n"), std::string::npos);
    EXPECT_TRUE(answer.output().ends_with("0\r\n\r\n"));
    EXPECT_EQ(answer.end(), AnswerEnd::Close);
}

RC_GTEST_PROP(HttpAnswerTest, StreamIsForwardedCompletely, (const std::vector<std::string> &parts))
{
    HttpAnswer answer(true, true, false, 16);
    answer.begin(200, {{"Content-Type", "text/event-stream"}});
    for (const auto &part : parts) {
        answer.send(part);
    }
    answer.finish();
    const auto head = headLength(answer.output());
    HttpBodyReader reader(HttpBodyReader::Framing::Chunked, 0);
    std::string body;
    reader.read(std::string_view(answer.output()).substr(head), body);
    RC_ASSERT(reader.isDone());
    RC_ASSERT(body == join(parts));
    RC_ASSERT(answer.takeForwardedBytes() == body.size());
}

TEST(ModelCall, OnlyModelAndPriorityChange)
{
    const std::string body =
        "{ \"prompt\" : \"a \\\"model\\\": 1 }\", \"x\":{\"model\":\"in\"}, \"model\"\n: \"route\" ,\"n\":1.50}";
    const auto info = readModelCall(body, 8);
    ASSERT_TRUE(info) << toString(info.error());
    EXPECT_EQ(info->model, "route");
    EXPECT_EQ(rewriteModelCall(body, "a@v", std::nullopt),
              "{ \"prompt\" : \"a \\\"model\\\": 1 }\", \"x\":{\"model\":\"in\"}, \"model\"\n: \"a@v\" ,\"n\":1.50}");
    EXPECT_TRUE(rewriteModelCall(body, "a@v", 2).starts_with("{\"priority\":2, \"prompt\""));
    EXPECT_EQ(rewriteModelCall(R"({"priority":-5,"model":"r"})", "a@v", 1), R"({"priority":1,"model":"a@v"})");
}

RC_GTEST_PROP(ModelCall, RewrittenBodyParsesAsWritten, (std::uint8_t spaces, bool isModelLast))
{
    const std::string space(spaces % 5, ' ');
    const std::string other = R"("other":[1,{"model":"x"},"}{"])";
    const std::string model = "\"model\"" + space + ":" + space + "\"route\"";
    const auto body = "{" + space + (isModelLast ? other + "," + model : model + "," + other) + space + "}";
    const auto rewritten = readModelCall(rewriteModelCall(body, "adapter@v", 1), 8);
    RC_ASSERT(rewritten.has_value());
    RC_ASSERT(rewritten->model == "adapter@v");
}

} // namespace
