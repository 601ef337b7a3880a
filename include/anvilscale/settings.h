// Settings library: reads a daemon's JSON settings and checks them whole before anything starts. The fields are
// those of schema/settings.proto; defaults and ranges stand in one table (src/settings/rules.cpp), from which
// docs/settings.md is made as well.
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
    Contradiction, ///< two fields that do not go together
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
    std::string path; ///< of the field, e.g. "entry.bodyLimitBytes"
    std::string detail; ///< for people
};

/// Checks the text and fills in defaults. The result is complete: no part of the daemon knows a default of its own.
tl::expected<settings::Settings, SettingsError> parseSettings(std::string_view json);
tl::expected<settings::Settings, SettingsError> readSettings(const std::string &file);
bool isRole(std::string_view role);
/// Settings of a role with every default, as JSON.
std::string printDefaults(std::string_view role);
/// The table of all fields, with default, range and meaning, in Markdown.
std::string settingsPage();

} // namespace anvilscale
