// HTTP without sockets: framing of bodies, strictness of heads, answers that end in every way, and the changes of a
// model call's body.
#include "../src/net/http_answer.h"

#include "anvilscale/net.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

namespace {

using namespace anvilscale;

std::string chunked(const std::vector<std::string> &parts)
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

std::string joined(const std::vector<std::string> &parts)
{
    std::string all;
    for (const auto &part : parts) {
        all += part;
    }
    return all;
}

RC_GTEST_PROP(HttpBody, ChunksAreReadTheSameHoweverTheyArrive,
              (const std::vector<std::string> &parts, const std::vector<std::uint8_t> &cuts))
{
    const auto message = chunked(parts) + "NEXT";
    HttpBodyReader reader(HttpBodyReader::Framing::Chunked, 0);
    std::string body;
    std::size_t at = 0;
    std::size_t cut = 0;
    while (!reader.done() && at < message.size()) {
        const std::size_t step = cuts.empty() ? 1 : 1 + cuts[cut++ % cuts.size()];
        const auto part = std::string_view(message).substr(at, step);
        const auto used = reader.take(part, body);
        at += used;
        RC_ASSERT(!reader.broken());
        RC_ASSERT(used == part.size() || reader.done());
    }
    RC_ASSERT(reader.done());
    RC_ASSERT(body == joined(parts));
    RC_ASSERT(message.substr(at) == "NEXT");
}

RC_GTEST_PROP(HttpBody, AnyBytesAreReadOrRefused, (const std::string &bytes))
{
    HttpBodyReader reader(HttpBodyReader::Framing::Chunked, 0);
    std::string body;
    const auto used = reader.take(bytes, body);
    RC_ASSERT(used <= bytes.size());
    RC_ASSERT(body.size() <= bytes.size());
}

TEST(HttpHead, RequestIsTakenApart)
{
    const auto parsed =
        parseRequestHead("POST /a?b=c HTTP/1.1\r\nHost: e\r\nX-One: 1\r\nContent-Length: 7\r\n\r\n", 10);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->first.method, "POST");
    EXPECT_EQ(parsed->first.target, "/a?b=c");
    EXPECT_EQ(*findHeader(parsed->first.headers, "x-one"), "1");
    EXPECT_FALSE(parsed->second.done());
    EXPECT_TRUE(parsed->first.keepAlive);
}

TEST(HttpHead, LengthOverTheLimitIsRefusedBeforeTheBody)
{
    const auto parsed = parseRequestHead("POST /a HTTP/1.1\r\nHost: e\r\nContent-Length: 11\r\n\r\n", 10);
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error(), HttpProblem::BodyTooLarge);
}

HttpReply failure()
{
    return HttpReply{502, {{"Content-Type", "application/json"}}, R"({"error":{}})", false};
}

TEST(HttpAnswerTest, UnstreamedFailureBeforeTheHoldIsToldByItsStatus)
{
    HttpAnswer answer(true, true, false, 100);
    answer.begin(200, {{"Content-Type", "application/json"}});
    answer.send("half");
    EXPECT_TRUE(answer.output().empty());
    answer.fail(failure());
    EXPECT_TRUE(answer.output().starts_with("HTTP/1.1 502 ")) << answer.output();
    EXPECT_EQ(answer.output().find("half"), std::string::npos);
    EXPECT_EQ(answer.end(), AnswerEnd::Keep);
}

TEST(HttpAnswerTest, UnstreamedFailureAfterTheHoldCutsTheConnection)
{
    HttpAnswer answer(true, true, false, 3);
    answer.begin(200, {{"Content-Type", "application/json"}});
    answer.send("longer than the hold");
    answer.fail(failure());
    EXPECT_EQ(answer.end(), AnswerEnd::Cut);
    EXPECT_EQ(answer.output().find("0\r\n\r\n"), std::string::npos);
}

// A stream breaks in the middle of an event. Were the half passed on, the blank line before the error event would
// close it, and the caller's reader would take half a token's JSON for a whole one.
TEST(HttpAnswerTest, ErrorEventNeverFollowsHalfAnEvent)
{
    HttpAnswer answer(true, true, false, 1000);
    answer.begin(200, {{"Content-Type", "text/event-stream; charset=utf-8"}});
    answer.send("data: one\n\ndata: tw");
    answer.fail(failure());
    EXPECT_NE(answer.output().find("data: one\n\n"), std::string::npos);
    EXPECT_EQ(answer.output().find("data: tw"), std::string::npos);
    EXPECT_NE(answer.output().find("event: error\ndata: {\"error\":{}}\n\n"), std::string::npos);
    EXPECT_TRUE(answer.output().ends_with("0\r\n\r\n"));
    EXPECT_EQ(answer.end(), AnswerEnd::Close);
}

RC_GTEST_PROP(HttpAnswerTest, StreamIsPassedOnWholeHoweverItArrives, (const std::vector<std::string> &parts))
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
    reader.take(std::string_view(answer.output()).substr(head), body);
    RC_ASSERT(reader.done());
    RC_ASSERT(body == joined(parts));
    RC_ASSERT(answer.takePassedOn() == body.size());
}

TEST(ModelCall, OnlyTheModelAndThePriorityChange)
{
    const std::string body =
        "{ \"prompt\" : \"a \\\"model\\\": 1 }\", \"x\":{\"model\":\"in\"}, \"model\"\n: \"route\" ,\"n\":1.50}";
    const auto facts = readModelCall(body, 8);
    ASSERT_TRUE(facts) << toString(facts.error());
    EXPECT_EQ(facts->model, "route");
    EXPECT_EQ(rewriteModelCall(body, "a@v", std::nullopt),
              "{ \"prompt\" : \"a \\\"model\\\": 1 }\", \"x\":{\"model\":\"in\"}, \"model\"\n: \"a@v\" ,\"n\":1.50}");
    EXPECT_TRUE(rewriteModelCall(body, "a@v", 2).starts_with("{\"priority\":2, \"prompt\""));
    EXPECT_EQ(rewriteModelCall(R"({"priority":-5,"model":"r"})", "a@v", 1), R"({"priority":1,"model":"a@v"})");
}

RC_GTEST_PROP(ModelCall, RewrittenBodyIsReadBackAsWritten, (std::uint8_t spaces, bool before))
{
    const std::string gap(spaces % 5, ' ');
    const std::string other = R"("other":[1,{"model":"x"},"}{"])";
    const std::string model = "\"model\"" + gap + ":" + gap + "\"route\"";
    const auto body = "{" + gap + (before ? other + "," + model : model + "," + other) + gap + "}";
    const auto rewritten = readModelCall(rewriteModelCall(body, "adapter@v", 1), 8);
    RC_ASSERT(rewritten.has_value());
    RC_ASSERT(rewritten->model == "adapter@v");
}

} // namespace
