// Validation of a model call's JSON body with POCO's parser, and replacement of single values in place.
#include "anvilscale/net.h"

#include <Poco/JSON/Handler.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/Parser.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <set>

namespace anvilscale {

namespace {

constexpr std::size_t maxPrefixBytes = 1024; // of the prompt, covered by the prefix hash
constexpr std::uint32_t bytesPerToken = 4; // approximate average, for estimates only

struct MemberName
{
    std::string_view name;
    std::string_view quotedName;
};
constexpr std::array rewrittenMembers{MemberName{"model", "\"model\""}, MemberName{"priority", "\"priority\""}};

bool isUtf8(std::string_view text)
{
    std::size_t position = 0;
    while (position < text.size()) {
        const auto lead = static_cast<unsigned char>(text[position]);
        if (lead < 0x80) {
            ++position;
            continue;
        }
        const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
        const bool isComplete = position + length <= text.size();
        const auto *bytes = reinterpret_cast<const unsigned char *>(text.data()) + position;
        if (!isComplete || lead < 0xc2 || !Poco::UTF8Encoding::isLegal(bytes, static_cast<int>(length))) {
            return false;
        }
        position += length;
    }
    return true;
}

/// Extracts the required top-level values without building a document tree.
class ModelCallHandler : public Poco::JSON::Handler
{
public:
    ModelCallInfo info;
    BodyError error = BodyError::None;
    bool isObject = false;
    bool hasRepeatedMember = false; // a top-level member occurs twice

    void reset() override
    {
    }
    void startObject() override
    {
        isObject = isObject || depth_ == 0;
        setWrongTypeIf(isKnownScalar());
        ++depth_;
    }
    void endObject() override
    {
        --depth_;
    }
    void startArray() override
    {
        setWrongTypeIf(isKnownScalar());
        ++depth_;
    }
    void endArray() override
    {
        --depth_;
    }
    void key(const std::string &name) override
    {
        if (depth_ == 1) {
            topLevelKey_ = name;
            hasRepeatedMember = hasRepeatedMember || !memberNames_.insert(name).second;
        }
    }
    void null() override
    {
        setWrongTypeIf(depth_ == 1 && topLevelKey_ == "model");
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
        const bool isTopLevel = depth_ == 1;
        if (isTopLevel && topLevelKey_ == "model") {
            info.model = text;
            return;
        }
        setWrongTypeIf(isKnownScalar());
        if (topLevelKey_ == "prompt" || topLevelKey_ == "messages") {
            promptBytes_ += text.size();
            promptPrefix_.append(text, 0, maxPrefixBytes - std::min(maxPrefixBytes, promptPrefix_.size()));
        }
    }
    void value(double) override
    {
        setWrongTypeIf(isKnownScalar());
    }
    void value(bool isSet) override
    {
        if (depth_ == 1 && topLevelKey_ == "stream") {
            info.stream = isSet;
            return;
        }
        setWrongTypeIf(isKnownScalar());
    }

    const std::set<std::string> &memberNames() const
    {
        return memberNames_;
    }
    void finish()
    {
        info.promptTokens = static_cast<std::uint32_t>(promptBytes_ / bytesPerToken);
        info.prefixHash = promptPrefix_.empty() ? 0 : hash64(promptPrefix_);
    }

private:
    bool isKnownScalar() const
    {
        return depth_ == 1 && (topLevelKey_ == "model" || topLevelKey_ == "stream" || topLevelKey_ == "max_tokens");
    }
    void setWrongTypeIf(bool isWrong)
    {
        if (isWrong) {
            error = BodyError::WrongType;
        }
    }
    void onNumber(std::int64_t number)
    {
        if (depth_ != 1) {
            return;
        }
        setWrongTypeIf(topLevelKey_ == "model" || topLevelKey_ == "stream"
                       || (topLevelKey_ == "max_tokens" && number < 0));
        if (topLevelKey_ == "max_tokens" && number >= 0) {
            info.maxTokens = static_cast<std::uint32_t>(std::min<std::int64_t>(number, UINT32_MAX));
        }
    }

    int depth_ = 0;
    std::string topLevelKey_; // name of the current top-level member
    std::set<std::string> memberNames_; // of the top-level members read so far
    std::string promptPrefix_;
    std::size_t promptBytes_ = 0;
};

/// Counts brackets outside strings. A deep body is rejected before it is parsed, as the parser recurses once per
/// level.
bool isTooDeep(std::string_view body, std::uint32_t maxDepth)
{
    std::uint32_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < body.size(); ++i) {
        const char c = body[i];
        if (isInString) {
            i += c == '\\' ? 1 : 0;
            isInString = c != '"';
            continue;
        }
        isInString = c == '"';
        if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth != 0) {
            --depth;
        }
        if (depth > maxDepth) {
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

std::size_t skipSpace(std::string_view body, std::size_t position)
{
    while (position < body.size() && std::string_view(" \t\r\n").find(body[position]) != std::string_view::npos) {
        ++position;
    }
    return position;
}

std::size_t skipString(std::string_view body, std::size_t position)
{
    for (++position; position < body.size() && body[position] != '"'; ++position) {
        position += body[position] == '\\' ? 1 : 0;
    }
    return std::min(position + 1, body.size());
}

std::size_t skipValue(std::string_view body, std::size_t position)
{
    std::size_t depth = 0;
    while (position < body.size()) {
        const char c = body[position];
        if (depth == 0 && (c == ',' || c == '}' || c == ']')) {
            return position;
        }
        if (c == '"') {
            position = skipString(body, position);
            continue;
        }
        depth += c == '{' || c == '[' ? 1 : 0;
        depth -= c == '}' || c == ']' ? 1 : 0;
        ++position;
    }
    return position;
}

/// Finds the value of a top-level member. `body` must be a valid JSON object.
std::optional<Span> findMember(std::string_view body, std::string_view quotedName)
{
    std::size_t position = skipSpace(body, 0) + 1;
    while (true) {
        position = skipSpace(body, position);
        if (position >= body.size() || body[position] != '"') {
            return std::nullopt;
        }
        const auto keyBegin = position;
        position = skipString(body, position);
        const bool isMatch = body.substr(keyBegin, position - keyBegin) == quotedName;
        const auto valueBegin = skipSpace(body, skipSpace(body, position) + 1);
        position = skipValue(body, valueBegin);
        if (isMatch) {
            const auto last = body.find_last_not_of(" \t\r\n", position - 1);
            return Span{valueBegin, last + 1};
        }
        position = skipSpace(body, position);
        if (position >= body.size() || body[position] != ',') {
            return std::nullopt;
        }
        ++position;
    }
}

std::string quoteString(std::string_view text)
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

tl::expected<ModelCallInfo, BodyError> readModelCall(std::string_view body, std::uint32_t maxDepth)
{
    if (!isUtf8(body)) {
        return tl::unexpected(BodyError::NotUtf8);
    }
    if (isTooDeep(body, maxDepth)) {
        return tl::unexpected(BodyError::TooDeep);
    }
    Poco::SharedPtr<ModelCallHandler> handler(new ModelCallHandler);
    try {
        Poco::JSON::Parser parser(handler);
        parser.setDepth(maxDepth + 1);
        parser.parse(std::string(body));
    } catch (const Poco::Exception &) {
        return tl::unexpected(BodyError::NotJson);
    }
    handler->finish();
    if (!handler->isObject) {
        return tl::unexpected(BodyError::NotObject);
    }
    if (handler->error != BodyError::None) {
        return tl::unexpected(handler->error);
    }
    // With two "model" members the entry and the engine could each use a different one, and the wrong adapter would
    // answer. rewriteModelCall() cannot find a name that is written with escapes and would add a second member.
    const bool hasHiddenMember = std::any_of(rewrittenMembers.begin(), rewrittenMembers.end(), [&](const auto &member) {
        return handler->memberNames().count(std::string(member.name)) != 0 && !findMember(body, member.quotedName);
    });
    if (handler->hasRepeatedMember || hasHiddenMember) {
        return tl::unexpected(BodyError::MemberTwice);
    }
    if (handler->info.model.empty()) {
        return tl::unexpected(BodyError::ModelMissing);
    }
    return handler->info;
}

std::string rewriteModelCall(std::string_view body, std::string_view model, std::optional<int> priority)
{
    std::string result(body);
    setMember(result, "\"model\"", quoteString(model));
    if (priority) {
        setMember(result, "\"priority\"", std::to_string(*priority));
    }
    return result;
}

} // namespace anvilscale
