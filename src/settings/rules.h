// Validation rules of the settings: one entry per field with default, range and meaning.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace anvilscale::settings_rules {

/// Roles whose settings contain a field.
enum class Scope : std::uint8_t {
    All,
    Relayed, ///< entry and sidecar of the relayed path
    Entry,
    Sidecar,
    Direct, ///< entry and sidecar of the direct path
    DirectEntry,
    DirectSidecar,
    Count
};

struct NumberRule
{
    std::string_view path;
    Scope scope;
    double defaultValue;
    double minValue;
    double maxValue;
    std::string_view description;
};

enum class TextFormat : std::uint8_t {
    Any,
    Name, ///< letters, digits, '-', '_', '.'
    IpAddress,
    LoopbackAddress,
    AddressPort,
    Url, ///< http://IP:PORT with an optional path
    LoopbackUrl,
    Role,
    EndpointKind,
    LogLevel,
    NameList ///< names of letters, digits and '_', separated by commas
};

struct TextRule
{
    std::string_view path;
    Scope scope;
    TextFormat format;
    bool required;
    std::string_view defaultValue;
    std::string_view description;
};

struct FlagRule
{
    std::string_view path;
    Scope scope;
    bool defaultValue;
    std::string_view description;
};

std::span<const NumberRule> numbers();
std::span<const TextRule> texts();
std::span<const FlagRule> flags();
bool matches(TextFormat format, std::string_view text);
std::string_view describe(TextFormat format);
std::string_view describe(Scope scope);
/// Returns true if a process of `role` reads settings of this scope.
bool applies(Scope scope, std::string_view role);

} // namespace anvilscale::settings_rules
