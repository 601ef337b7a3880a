// Internal form of a configuration record, common to both schema versions.
#pragma once

#include "config.pb.h"

#include "anvilscale/state.h"

namespace anvilscale {

enum class RecordKind : std::uint8_t {
    Adapter,
    Route,
    Service,
    Policy,
    Count
};
template<>
struct EnumNames<RecordKind>
{
    static constexpr std::array<std::string_view, enumCount<RecordKind>> table{"adapter", "route", "service", "policy"};
};

struct VersionForm
{
    std::string name;
    std::string weights; ///< in schema version 1, "{version}" stands for the version's name
};

/// Parsed record; only the fields of its `kind` are used.
struct RecordForm
{
    std::uint32_t schemaVersion = newestSchemaVersion;
    RecordKind kind = RecordKind::Adapter;
    std::string name;
    std::string baseModel;
    std::vector<VersionForm> versions;
    std::string adapter;
    std::string version;
    std::string nextVersion;
    std::uint32_t deadlineMs = 0; ///< 0 for the policy's default
    std::optional<CallClass> callClass; ///< nullopt if not written, which means Normal
    ServiceView service;
    Policy policy;
};

/// Parses and validates a record of any supported schema version.
tl::expected<RecordForm, ConfigError> readRecord(std::string_view json);
/// Returns the canonical text of an adapter or route. readRecord() of it returns the same form.
std::string writeRecord(const RecordForm &form);
/// Returns true if writeRecord() reproduces all fields of records of this kind.
constexpr bool hasCanonicalText(RecordKind kind)
{
    return kind == RecordKind::Adapter || kind == RecordKind::Route;
}
/// Checks the margins required by the at-most-once guarantee (docs/design/at-most-once.md).
tl::expected<void, ConfigError> checkService(const std::string &path, const ServiceView &service);

} // namespace anvilscale
