// One configuration record in the internal form that both schema versions map to.
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
    std::string weights; ///< version 1 of the schema: "{version}" stands for the version's name
};

/// Only the fields of `kind` are used.
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
    std::uint32_t deadlineMs = 0; ///< 0: the policy's default
    std::optional<CallClass> callClass; ///< as written; Normal if not
    ServiceView service;
    Policy policy;
};

/// Reads and checks a record of any schema version that this build knows.
tl::expected<RecordForm, ConfigError> readRecord(std::string_view json);
/// The one text that an adapter or route is written as; readRecord of it gives the same form.
std::string writeRecord(const RecordForm &form);
/// Whether writeRecord can give back all of a record of this kind.
constexpr bool hasCanonicalText(RecordKind kind)
{
    return kind == RecordKind::Adapter || kind == RecordKind::Route;
}
/// Margins that the proof of at-most-once needs (docs/design/at-most-once.md).
tl::expected<void, ConfigError> checkService(const std::string &path, const ServiceView &service);

} // namespace anvilscale
