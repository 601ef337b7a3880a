// Formats command results and errors as JSON and text.
#include "command.h"

#include <algorithm>

namespace anvilscale {

namespace {
CtlExit exitForError(ConfigErrorKind kind)
{
    switch (kind) {
    case ConfigErrorKind::Conflict:
    case ConfigErrorKind::NotNext:
        return CtlExit::Conflict;
    case ConfigErrorKind::Unavailable:
        return CtlExit::Unavailable;
    case ConfigErrorKind::OutcomeUnknown:
        return CtlExit::OutcomeUnknown;
    default:
        return CtlExit::Rejected;
    }
}
} // namespace

CtlResult makeFailure(CtlExit exit, const std::string &kind, const std::string &path, const std::string &detail,
                      std::uint64_t revision)
{
    CtlResult result;
    result.exit = exit;
    Poco::JSON::Object::Ptr error = new Poco::JSON::Object;
    error->set("type", kind);
    error->set("path", path);
    error->set("detail", detail);
    if (revision != 0) {
        error->set("revision", revision);
    }
    result.json->set("error", error);
    result.text = kind + (path.empty() ? "" : " at " + path) + (detail.empty() ? "" : ": " + detail);
    if (revision != 0) {
        result.text += " (current revision " + std::to_string(revision) + ")";
    }
    result.text += "\n";
    return result;
}

CtlResult makeFailure(const ConfigError &error)
{
    return makeFailure(exitForError(error.kind), std::string(toString(error.kind)), error.path, error.detail,
                       error.revision);
}

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    constexpr std::size_t columnGap = 2;
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            if (i + 1 < row.size()) {
                text.append(widths[i] - row[i].size() + columnGap, ' ');
            }
        }
        text += "\n";
    }
    return text;
}

} // namespace anvilscale
