// Check of a model call's JSON body by POCO's parser, and the change of single values in place.
#include "anvilscale/net.h"

#include <Poco/JSON/Handler.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/Parser.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <set>

namespace anvilscale {

namespace {

constexpr std::size_t prefixBytes = 1024; // of the prompt, for the prefix hash
constexpr std::uint32_t bytesPerToken = 4; // a rough average, only used for estimates

struct MemberName
{
    std::string_view name;
    std::string_view quoted;
};
constexpr std::array rewrittenMembers{MemberName{"model", "\"model\""}, MemberName{"priority", "\"priority\""}};

bool isUtf8(std::string_view text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const auto lead = static_cast<unsigned char>(text[at]);
        if (lead < 0x80) {
            ++at;
            continue;
        }
        const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
        const bool whole = at + length <= text.size();
        const auto *bytes = reinterpret_cast<const unsigned char *>(text.data()) + at;
        if (!whole || lead < 0xc2 || !Poco::UTF8Encoding::isLegal(bytes, static_cast<int>(length))) {
            return false;
        }
        at += length;
    }
    return true;
}

/// Notes the few top-level values that matter; no tree of the body is built.
class FactsHandler : public Poco::JSON::Handler
{
public:
    ModelCallFacts facts;
    BodyProblem problem = BodyProblem::None;
    bool object = false;
    bool repeated = false; // a top-level member stands twice

    void reset() override
    {
    }
    void startObject() override
    {
        object = object || depth_ == 0;
        wrongIf(isKnownScalar());
        ++depth_;
    }
    void endObject() override
    {
        --depth_;
    }
    void startArray() override
    {
        wrongIf(isKnownScalar());
        ++depth_;
    }
    void endArray() override
    {
        --depth_;
    }
    void key(const std::string &name) override
    {
        if (depth_ == 1) {
            key_ = name;
            repeated = repeated || !names_.insert(name).second;
        }
    }
    void null() override
    {
        wrongIf(depth_ == 1 && key_ == "model");
    }
    void value(int number) override
    {
        onNumber(number);
    }
    void value(unsigned number) override
    {
        onNumber(number);
    }
    void value(Poco::Int64 number) override
    {
        onNumber(number);
    }
    void value(Poco::UInt64 number) override
    {
        onNumber(static_cast<std::int64_t>(std::min<std::uint64_t>(number, INT64_MAX)));
    }
    void value(const std::string &text) override
    {
        const bool top = depth_ == 1;
        if (top && key_ == "model") {
            facts.model = text;
            return;
        }
        wrongIf(isKnownScalar());
        if (key_ == "prompt" || key_ == "messages") {
            promptBytes_ += text.size();
            opening_.append(text, 0, prefixBytes - std::min(prefixBytes, opening_.size()));
        }
    }
    void value(double) override
    {
        wrongIf(isKnownScalar());
    }
    void value(bool flag) override
    {
        if (depth_ == 1 && key_ == "stream") {
            facts.stream = flag;
            return;
        }
        wrongIf(isKnownScalar());
    }

    const std::set<std::string> &names() const
    {
        return names_;
    }
    void finish()
    {
        facts.promptTokens = static_cast<std::uint32_t>(promptBytes_ / bytesPerToken);
        facts.prefixHash = opening_.empty() ? 0 : hash64(opening_);
    }

private:
    bool isKnownScalar() const
    {
        return depth_ == 1 && (key_ == "model" || key_ == "stream" || key_ == "max_tokens");
    }
    void wrongIf(bool wrong)
    {
        if (wrong) {
            problem = BodyProblem::WrongType;
        }
    }
    void onNumber(std::int64_t number)
    {
        if (depth_ != 1) {
            return;
        }
        wrongIf(key_ == "model" || key_ == "stream" || (key_ == "max_tokens" && number < 0));
        if (key_ == "max_tokens" && number >= 0) {
            facts.maxTokens = static_cast<std::uint32_t>(std::min<std::int64_t>(number, UINT32_MAX));
        }
    }

    int depth_ = 0;
    std::string key_; // of the top level
    std::set<std::string> names_; // of top-level members seen
    std::string opening_;
    std::size_t promptBytes_ = 0;
};

/// Depth by brackets outside strings. The parser recurses for each level: a deep body is refused before it is parsed.
bool isTooDeep(std::string_view body, std::uint32_t limit)
{
    std::uint32_t depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < body.size(); ++i) {
        const char c = body[i];
        if (quoted) {
            i += c == '\\' ? 1 : 0;
            quoted = c != '"';
            continue;
        }
        quoted = c == '"';
        if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth != 0) {
            --depth;
        }
        if (depth > limit) {
            return true;
        }
    }
    return false;
}

struct Span
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

std::size_t skipSpace(std::string_view body, std::size_t at)
{
    while (at < body.size() && std::string_view(" \t\r\n").find(body[at]) != std::string_view::npos) {
        ++at;
    }
    return at;
}

std::size_t skipString(std::string_view body, std::size_t at)
{
    for (++at; at < body.size() && body[at] != '"'; ++at) {
        at += body[at] == '\\' ? 1 : 0;
    }
    return std::min(at + 1, body.size());
}

std::size_t skipValue(std::string_view body, std::size_t at)
{
    std::size_t depth = 0;
    while (at < body.size()) {
        const char c = body[at];
        if (depth == 0 && (c == ',' || c == '}' || c == ']')) {
            return at;
        }
        if (c == '"') {
            at = skipString(body, at);
            continue;
        }
        depth += c == '{' || c == '[' ? 1 : 0;
        depth -= c == '}' || c == ']' ? 1 : 0;
        ++at;
    }
    return at;
}

/// Where the value of a top-level member stands. The body is known to be a valid object.
std::optional<Span> findMember(std::string_view body, std::string_view quotedName)
{
    std::size_t at = skipSpace(body, 0) + 1;
    while (true) {
        at = skipSpace(body, at);
        if (at >= body.size() || body[at] != '"') {
            return std::nullopt;
        }
        const auto keyBegin = at;
        at = skipString(body, at);
        const bool found = body.substr(keyBegin, at - keyBegin) == quotedName;
        const auto valueBegin = skipSpace(body, skipSpace(body, at) + 1);
        at = skipValue(body, valueBegin);
        if (found) {
            const auto last = body.find_last_not_of(" \t\r\n", at - 1);
            return Span{valueBegin, last + 1};
        }
        at = skipSpace(body, at);
        if (at >= body.size() || body[at] != ',') {
            return std::nullopt;
        }
        ++at;
    }
}

std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result.push_back('\\');
        }
        result.push_back(c);
    }
    result.push_back('"');
    return result;
}

void setMember(std::string &body, const std::string &quotedName, const std::string &value)
{
    if (const auto span = findMember(body, quotedName)) {
        body.replace(span->begin, span->end - span->begin, value);
        return;
    }
    body.insert(body.find('{') + 1, quotedName + ":" + value + ",");
}

} // namespace

tl::expected<ModelCallFacts, BodyProblem> readModelCall(std::string_view body, std::uint32_t depthLimit)
{
    if (!isUtf8(body)) {
        return tl::unexpected(BodyProblem::NotUtf8);
    }
    if (isTooDeep(body, depthLimit)) {
        return tl::unexpected(BodyProblem::TooDeep);
    }
    Poco::SharedPtr<FactsHandler> handler(new FactsHandler);
    try {
        Poco::JSON::Parser parser(handler);
        parser.setDepth(depthLimit + 1);
        parser.parse(std::string(body));
    } catch (const Poco::Exception &) {
        return tl::unexpected(BodyProblem::NotJson);
    }
    handler->finish();
    if (!handler->object) {
        return tl::unexpected(BodyProblem::NotObject);
    }
    if (handler->problem != BodyProblem::None) {
        return tl::unexpected(handler->problem);
    }
    // Of two "model" members the entry could take one and the engine the other: the wrong adapter would answer.
    // A name written with escapes is known to the parser but not to rewriteModelCall, which would add a second.
    const bool hidden = std::any_of(rewrittenMembers.begin(), rewrittenMembers.end(), [&](const auto &member) {
        return handler->names().count(std::string(member.name)) != 0 && !findMember(body, member.quoted);
    });
    if (handler->repeated || hidden) {
        return tl::unexpected(BodyProblem::MemberTwice);
    }
    if (handler->facts.model.empty()) {
        return tl::unexpected(BodyProblem::ModelMissing);
    }
    return handler->facts;
}

std::string rewriteModelCall(std::string_view body, std::string_view model, std::optional<int> priority)
{
    std::string result(body);
    setMember(result, "\"model\"", quoted(model));
    if (priority) {
        setMember(result, "\"priority\"", std::to_string(*priority));
    }
    return result;
}

} // namespace anvilscale
