// Parses and validates configuration records. Errors of protobuf's JSON parser, including unknown fields, are mapped to
// typed errors with the field's path.
#include "record.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cmath>

namespace anvilscale {
namespace {

constexpr std::size_t maxNameLength = 256;
constexpr std::size_t maxWeightsLength = 2048;
constexpr std::size_t maxRecordBytes = 64U << 10;
constexpr std::size_t maxVersions = 256;
constexpr std::uint32_t maxDeadlineMs = 24U * 3600 * 1000;
constexpr std::uint32_t maxSlots = 4096;
constexpr std::uint32_t maxWindowS = 24U * 3600;
constexpr std::uint32_t maxSkewMs = 10U * 60 * 1000;
constexpr std::uint32_t maxMarginMs = 10U * maxSkewMs;

ConfigError makeError(ConfigErrorKind kind, std::string path, std::string detail)
{
    return ConfigError{kind, std::move(path), std::move(detail), 0};
}

/// Maps protobuf messages of the form "(path.of.parent) field: Cannot find field." or "(path): invalid value ...".
ConfigError fromParserMessage(std::string_view message)
{
    std::string path;
    std::string_view rest = message;
    if (rest.starts_with('(')) {
        const auto close = rest.find(')');
        path = std::string(rest.substr(1, close - 1));
        rest.remove_prefix(std::min(rest.size(), close + 1));
    }
    constexpr std::string_view unknownFieldText = ": Cannot find field";
    if (const auto at = rest.find(unknownFieldText); at != std::string_view::npos) {
        std::string_view field = rest.substr(0, at);
        field.remove_prefix(std::min(field.size(), field.find_first_not_of(' ')));
        path += (path.empty() ? "" : ".") + std::string(field);
        return makeError(ConfigErrorKind::UnknownField, path, std::string(message));
    }
    const bool isOutOfRange = rest.find("invalid value") != std::string_view::npos;
    return makeError(isOutOfRange ? ConfigErrorKind::OutOfRange : ConfigErrorKind::BadJson, path, std::string(message));
}

template<class Record>
tl::expected<Record, ConfigError> readJson(std::string_view json)
{
    Record record;
    const auto status = google::protobuf::util::JsonStringToMessage(std::string(json), &record);
    if (!status.ok()) {
        return tl::unexpected(fromParserMessage(std::string_view(status.message().data(), status.message().size())));
    }
    return record;
}

/// Returns the schema version of a record; its other fields are not checked.
tl::expected<std::uint32_t, ConfigError> schemaVersionOf(std::string_view json)
{
    const auto tree = readJson<google::protobuf::Struct>(json);
    if (!tree) {
        return tl::unexpected(tree.error());
    }
    for (const char *name : {"schemaVersion", "schema_version"}) {
        const auto field = tree->fields().find(name);
        if (field != tree->fields().end()) {
            return static_cast<std::uint32_t>(field->second.number_value());
        }
    }
    return tl::unexpected(
        makeError(ConfigErrorKind::MissingField, "schemaVersion", "every record must have a schema version"));
}

bool isPlainText(std::string_view text, std::size_t maxLength)
{
    return text.size() <= maxLength
           && std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

/// Records the first error of a record.
class RecordValidator
{
public:
    explicit RecordValidator(std::string record)
        : record_(std::move(record))
    {
    }
    void fail(ConfigErrorKind kind, const std::string &field, std::string detail)
    {
        if (!error_) {
            error_ = makeError(kind, record_ + "." + field, std::move(detail));
        }
    }
    void checkName(const std::string &field, std::string_view value)
    {
        if (value.empty()) {
            fail(ConfigErrorKind::MissingField, field, "must not be empty");
        } else if (!isPlainText(value, maxNameLength) || value.find('@') != std::string_view::npos) {
            fail(ConfigErrorKind::OutOfRange, field,
                 "must have at most 256 characters, no control characters and no '@'");
        }
    }
    void checkText(const std::string &field, std::string_view value)
    {
        if (!isPlainText(value, maxWeightsLength)) {
            fail(ConfigErrorKind::OutOfRange, field, "must have at most 2048 characters and no control characters");
        }
    }
    void checkMax(const std::string &field, std::uint64_t value, std::uint64_t limit)
    {
        if (value > limit) {
            fail(ConfigErrorKind::OutOfRange, field, "must be at most " + std::to_string(limit));
        }
    }
    void checkNumber(const std::string &field, double value)
    {
        if (!std::isfinite(value) || value < 0) {
            fail(ConfigErrorKind::OutOfRange, field, "must be a finite, non-negative number");
        }
    }
    std::optional<CallClass> parseCallClass(const std::string &field, const std::string &value)
    {
        if (value.empty()) {
            return std::nullopt;
        }
        const auto parsed = fromString<CallClass>(value);
        if (!parsed) {
            fail(ConfigErrorKind::OutOfRange, field, "must be urgent, normal or bulk");
        }
        return parsed;
    }
    tl::expected<RecordForm, ConfigError> result(RecordForm form)
    {
        if (error_) {
            return tl::unexpected(*error_);
        }
        return form;
    }

private:
    std::string record_;
    std::optional<ConfigError> error_;
};

void checkVersions(RecordValidator &check, const RecordForm &form)
{
    check.checkName("baseModel", form.baseModel);
    if (form.versions.empty()) {
        check.fail(ConfigErrorKind::MissingField, "versions", "at least one version is required");
    }
    check.checkMax("versions", form.versions.size(), maxVersions);
    std::vector<std::string_view> names;
    for (std::size_t i = 0; i < form.versions.size(); ++i) {
        const std::string field = "versions[" + std::to_string(i) + "]";
        check.checkName(field + ".name", form.versions[i].name);
        check.checkText(field + ".weights", form.versions[i].weights);
        names.push_back(form.versions[i].name);
    }
    std::sort(names.begin(), names.end());
    if (std::adjacent_find(names.begin(), names.end()) != names.end()) {
        check.fail(ConfigErrorKind::OutOfRange, "versions", "duplicate version name");
    }
}

void checkRoute(RecordValidator &check, const RecordForm &form)
{
    check.checkName("adapter", form.adapter);
    check.checkName("version", form.version);
    if (!form.nextVersion.empty()) {
        check.checkName("nextVersion", form.nextVersion);
    }
    check.checkMax("deadlineMs", form.deadlineMs, maxDeadlineMs);
}

tl::expected<RecordForm, ConfigError> validateRecord(RecordValidator &check, RecordForm form)
{
    check.checkName("name", form.name);
    check.checkMax("deadlineMs", form.deadlineMs, maxDeadlineMs);
    if (form.kind == RecordKind::Adapter) {
        checkVersions(check, form);
    } else if (form.kind == RecordKind::Route) {
        checkRoute(check, form);
    } else if (form.kind == RecordKind::Service) {
        form.service.callClass = form.callClass.value_or(CallClass::Normal);
        form.service.deadline = Milliseconds(form.deadlineMs);
        if (const auto validated = checkService("service/" + form.name, form.service); !validated) {
            return tl::unexpected(validated.error());
        }
    } else if (form.name != "default") {
        check.fail(ConfigErrorKind::OutOfRange, "name", "the one policy record is named \"default\"");
    }
    return check.result(std::move(form));
}

tl::expected<RecordForm, ConfigError> fromV1(const config::RecordV1 &record)
{
    RecordForm form;
    form.schemaVersion = 1;
    form.name = record.name();
    const auto kind = fromString<RecordKind>(record.kind());
    if (!kind || *kind == RecordKind::Policy) {
        return tl::unexpected(makeError(ConfigErrorKind::OutOfRange, "kind", "must be adapter, route or service"));
    }
    form.kind = *kind;
    RecordValidator check(record.kind() + "/" + record.name());
    const bool isAdapter = form.kind == RecordKind::Adapter;
    const bool isRoute = form.kind == RecordKind::Route;
    if (!isAdapter && (!record.base_model().empty() || record.versions_size() != 0 || !record.weights().empty())) {
        check.fail(ConfigErrorKind::UnknownField, "versions", "only an adapter has base model, versions and weights");
    }
    if (!isRoute && (!record.adapter().empty() || !record.version().empty())) {
        check.fail(ConfigErrorKind::UnknownField, "adapter", "only a route has an adapter and a version");
    }
    if (form.kind != RecordKind::Service && record.repeatable()) {
        check.fail(ConfigErrorKind::UnknownField, "repeatable", "only a service may be repeatable");
    }
    if (isAdapter && (record.deadline_ms() != 0 || !record.priority().empty())) {
        check.fail(ConfigErrorKind::UnknownField, "deadlineMs", "an adapter has no deadline and no priority");
    }
    form.baseModel = record.base_model();
    for (const auto &version : record.versions()) {
        form.versions.push_back({version, record.weights()});
    }
    form.adapter = record.adapter();
    form.version = record.version();
    form.deadlineMs = record.deadline_ms();
    form.callClass = check.parseCallClass("priority", record.priority());
    form.service.idempotent = record.repeatable();
    return validateRecord(check, std::move(form));
}

void readService(RecordValidator &check, const config::ServiceV2 &service, RecordForm &form)
{
    form.deadlineMs = service.deadline_ms();
    form.callClass = check.parseCallClass("callClass", service.call_class());
    form.service.idempotent = service.idempotent();
    if (service.slots() != 0) {
        form.service.slots = service.slots();
    }
    check.checkMax("slots", service.slots(), maxSlots);
    check.checkMax("windowS", service.window_s(), maxWindowS);
    check.checkMax("skewMs", service.skew_ms(), maxSkewMs);
    check.checkMax("marginMs", service.margin_ms(), maxMarginMs);
    if (service.window_s() != 0) {
        form.service.window = Seconds(service.window_s());
    }
    if (service.skew_ms() != 0) {
        form.service.skew = Milliseconds(service.skew_ms());
    }
    if (service.margin_ms() != 0) {
        form.service.margin = Milliseconds(service.margin_ms());
    }
}

/// Zero means "not set" and keeps the default, except for fields in which zero is a valid value.
void readPolicy(RecordValidator &check, const config::PolicyV2 &policy, RecordForm &form)
{
    Policy &result = form.policy;
    const auto setIfGiven = [&check](const char *field, double value, double &into) {
        check.checkNumber(field, value);
        if (value != 0) {
            into = value;
        }
    };
    setIfGiven("stallWeight", policy.stall_weight(), result.stallWeight);
    setIfGiven("batchWeight", policy.batch_weight(), result.batchWeight);
    setIfGiven("loadRate", policy.load_rate(), result.loadRate);
    setIfGiven("retryBudget", policy.retry_budget(), result.retryBudget);
    setIfGiven("hedgeQuantile", policy.hedge_quantile(), result.hedgeQuantile);
    if (policy.hedge_quantile() > 1) {
        check.fail(ConfigErrorKind::OutOfRange, "hedgeQuantile", "must be between 0 and 1");
    }
    if (policy.parallel_loads() != 0) {
        result.parallelLoads = policy.parallel_loads();
    }
    result.reservedSlots = policy.reserved_slots();
    if (policy.class_weights_size() != 0
        && policy.class_weights_size() != static_cast<int>(result.classWeights.size())) {
        check.fail(ConfigErrorKind::OutOfRange, "classWeights", "must have one weight per call class");
    } else {
        for (int i = 0; i < policy.class_weights_size(); ++i) {
            setIfGiven("classWeights", policy.class_weights(i), result.classWeights[static_cast<std::size_t>(i)]);
        }
    }
    if (policy.cancel_delay_ms() != 0) {
        result.cancelDelay = Milliseconds(policy.cancel_delay_ms());
    }
    if (policy.queue_limit() != 0) {
        result.queueLimit = policy.queue_limit();
    }
    if (policy.default_deadline_ms() != 0) {
        result.defaultDeadline = Milliseconds(policy.default_deadline_ms());
    }
}

tl::expected<RecordForm, ConfigError> fromV2(const config::RecordV2 &record)
{
    RecordForm form;
    form.schemaVersion = 2;
    form.name = record.name();
    switch (record.body_case()) {
    case config::RecordV2::kAdapter: {
        form.kind = RecordKind::Adapter;
        form.baseModel = record.adapter().base_model();
        for (const auto &version : record.adapter().versions()) {
            form.versions.push_back({version.name(), version.weights()});
        }
        break;
    }
    case config::RecordV2::kRoute:
        form.kind = RecordKind::Route;
        form.adapter = record.route().adapter();
        form.version = record.route().version();
        form.nextVersion = record.route().next_version();
        form.deadlineMs = record.route().deadline_ms();
        break;
    case config::RecordV2::kService:
        form.kind = RecordKind::Service;
        break;
    case config::RecordV2::kPolicy:
        form.kind = RecordKind::Policy;
        break;
    case config::RecordV2::BODY_NOT_SET:
        return tl::unexpected(makeError(ConfigErrorKind::MissingField, record.name(),
                                        "must have a body: adapter, route, service or policy"));
    }
    RecordValidator check(std::string(toString(form.kind)) + "/" + form.name);
    if (form.kind == RecordKind::Route) {
        form.callClass = check.parseCallClass("callClass", record.route().call_class());
    } else if (form.kind == RecordKind::Service) {
        readService(check, record.service(), form);
    } else if (form.kind == RecordKind::Policy) {
        readPolicy(check, record.policy(), form);
    }
    return validateRecord(check, std::move(form));
}

} // namespace

tl::expected<void, ConfigError> checkService(const std::string &path, const ServiceView &service)
{
    if (service.idempotent) {
        return {};
    }
    // The previous owner accepts stamps up to one skew ahead of its clock, which may be one skew ahead of the new
    // owner's clock. With a smaller margin the new owner could run such a key again.
    if (service.margin < 2 * service.skew) {
        return tl::unexpected(
            makeError(ConfigErrorKind::OutOfRange, path + ".marginMs", "must be at least twice skewMs"));
    }
    // With a window no longer than margin plus twice the skew, every key would be refused after a takeover.
    if (service.window <= service.margin + 2 * service.skew) {
        return tl::unexpected(
            makeError(ConfigErrorKind::OutOfRange, path + ".windowS", "must exceed marginMs and twice skewMs"));
    }
    if (service.window <= service.deadline) {
        return tl::unexpected(
            makeError(ConfigErrorKind::OutOfRange, path + ".windowS", "must exceed the service's deadline"));
    }
    return {};
}

tl::expected<RecordForm, ConfigError> readRecord(std::string_view json)
{
    if (json.size() > maxRecordBytes) {
        return tl::unexpected(makeError(ConfigErrorKind::TooLarge, "", "a record has at most 64 KB"));
    }
    auto v2Record = readJson<config::RecordV2>(json);
    if (v2Record && v2Record->schema_version() == 2) {
        return fromV2(*v2Record);
    }
    const auto version = schemaVersionOf(json);
    if (!version) {
        return tl::unexpected(version.error());
    }
    if (*version == 2) {
        return tl::unexpected(v2Record.error());
    }
    if (*version != 1) {
        return tl::unexpected(makeError(ConfigErrorKind::UnknownSchemaVersion, "schemaVersion",
                                        "this build reads versions 1 and 2, not " + std::to_string(*version)));
    }
    const auto v1Record = readJson<config::RecordV1>(json);
    if (!v1Record) {
        return tl::unexpected(v1Record.error());
    }
    return fromV1(*v1Record);
}

tl::expected<config::Change, ConfigError> parseRecord(std::string_view json)
{
    const auto form = readRecord(json);
    if (!form) {
        return tl::unexpected(form.error());
    }
    config::Change change;
    change.set_kind(std::string(toString(form->kind)));
    change.set_name(form->name);
    // The canonical text loses only whitespace and field order: the parser has rejected unknown fields.
    change.set_json(hasCanonicalText(form->kind) ? writeRecord(*form) : std::string(json));
    return change;
}

} // namespace anvilscale
