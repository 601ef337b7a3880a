// Settings library: reads and validates a daemon's JSON settings. Fields are defined in schema/settings.proto, defaults
// and ranges in src/settings/rules.cpp (also the source of docs/settings.md).
#pragma once

#include "settings.pb.h"

#include "anvilscale/base.h"

#include <string>
#include <string_view>

namespace anvilscale {

enum class SettingsErrorKind : std::uint8_t {
    Unreadable, ///< the file cannot be read
    BadJson,
    UnknownField,
    WrongType,
    OutOfRange,
    Missing,
    Contradiction, ///< two fields contradict each other
    Count
};
template<>
struct EnumNames<SettingsErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<SettingsErrorKind>> table{
        "unreadable", "bad_json", "unknown_field", "wrong_type", "out_of_range", "missing", "contradiction"};
};

struct SettingsError
{
    SettingsErrorKind kind = SettingsErrorKind::BadJson;
    std::string path; ///< path of the field, e.g. "entry.bodyLimitBytes"
    std::string detail; ///< human-readable description
};

/// Parses and validates settings and fills in all defaults, so that the daemon needs none of its own. Returns the first
/// error found.
tl::expected<settings::Settings, SettingsError> parseSettings(std::string_view json);
tl::expected<settings::Settings, SettingsError> readSettings(const std::string &file);
/// Returns the text of a settings file, which need not be valid.
tl::expected<std::string, SettingsError> readSettingsText(const std::string &file);
bool isRole(std::string_view role);
/// Returns the default settings of a role as JSON.
std::string printDefaults(std::string_view role);
/// Returns the reference table of all fields (default, range, meaning) in Markdown.
std::string settingsPage();

} // namespace anvilscale
