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
    double initial;
    double least;
    double most;
    std::string_view meaning;
};

enum class TextForm : std::uint8_t {
    Any,
    Name, ///< letters, digits, '-', '_', '.'
    IpNumber,
    LoopbackNumber,
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
    TextForm form;
    bool required;
    std::string_view initial;
    std::string_view meaning;
};

struct FlagRule
{
    std::string_view path;
    Scope scope;
    bool initial;
    std::string_view meaning;
};

std::span<const NumberRule> numbers();
std::span<const TextRule> texts();
std::span<const FlagRule> flags();
bool matches(TextForm form, std::string_view text);
std::string_view describe(TextForm form);
std::string_view describe(Scope scope);
/// Returns true if a process of `role` reads settings of this scope.
bool applies(Scope scope, std::string_view role);

} // namespace anvilscale::settings_rules
