// Validates settings against the rule table, fills in defaults, and prints both.
#include "anvilscale/settings.h"

#include "rules.h"
#include "schema_check.h"

#include <google/protobuf/util/json_util.h>

#include <cmath>
#include <fstream>
#include <sstream>

namespace anvilscale {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Struct;
using google::protobuf::Value;
using settings::Settings;
using settings_rules::Scope;

struct FieldRef
{
    Message *message;
    const FieldDescriptor *field;
};

/// Returns the field at a path and creates missing parent messages.
FieldRef fieldAt(Message &message, std::string_view path)
{
    const auto dot = path.find('.');
    const std::string name(path.substr(0, dot));
    const FieldDescriptor *field = message.GetDescriptor()->FindFieldByCamelcaseName(name);
    if (dot == std::string_view::npos) {
        return {&message, field};
    }
    return fieldAt(*message.GetReflection()->MutableMessage(&message, field), path.substr(dot + 1));
}

void setNumber(Message &message, std::string_view path, double value)
{
    const FieldRef target = fieldAt(message, path);
    const auto *reflection = target.message->GetReflection();
    if (target.field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
        reflection->SetDouble(target.message, target.field, value);
    } else {
        reflection->SetUInt32(target.message, target.field, static_cast<std::uint32_t>(value));
    }
}

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::optional<SettingsError> checkNumbers(const Struct &tree, Settings &into)
{
    for (const auto &rule : settings_rules::numbers()) {
        if (!settings_rules::applies(rule.scope, into.role())) {
            continue;
        }
        const Value *value = findValue(tree, rule.path);
        if (value == nullptr) {
            setNumber(into, rule.path, rule.defaultValue);
            continue;
        }
        const double number = value->number_value();
        if (number < rule.minValue || number > rule.maxValue) {
            return SettingsError{SettingsErrorKind::OutOfRange, std::string(rule.path),
                                 formatNumber(number) + " is not between " + formatNumber(rule.minValue) + " and "
                                     + formatNumber(rule.maxValue)};
        }
    }
    return std::nullopt;
}

std::optional<SettingsError> checkText(const settings_rules::TextRule &rule, const Value &value)
{
    if (value.kind_case() == Value::kListValue) {
        for (const Value &item : value.list_value().values()) {
            if (auto error = checkText(rule, item)) {
                return error;
            }
        }
        return std::nullopt;
    }
    if (!settings_rules::matches(rule.format, value.string_value())) {
        return SettingsError{SettingsErrorKind::OutOfRange, std::string(rule.path),
                             "expected " + std::string(settings_rules::describe(rule.format))};
    }
    return std::nullopt;
}

bool isMissingOrEmpty(const Value *value)
{
    if (value == nullptr) {
        return true;
    }
    if (value->kind_case() == Value::kListValue) {
        return value->list_value().values().empty();
    }
    return value->string_value().empty();
}

std::optional<SettingsError> checkTexts(const Struct &tree, Settings &into)
{
    for (const auto &rule : settings_rules::texts()) {
        if (!settings_rules::applies(rule.scope, into.role())) {
            continue;
        }
        const Value *value = findValue(tree, rule.path);
        if (isMissingOrEmpty(value)) {
            if (rule.required) {
                return SettingsError{SettingsErrorKind::Missing, std::string(rule.path), std::string(rule.description)};
            }
            const FieldRef target = fieldAt(into, rule.path);
            if (!target.field->is_repeated()) {
                target.message->GetReflection()->SetString(target.message, target.field,
                                                           std::string(rule.defaultValue));
            }
            continue;
        }
        if (auto error = checkText(rule, *value)) {
            return error;
        }
    }
    return std::nullopt;
}

void fillInFlags(const Struct &tree, Settings &into)
{
    for (const auto &rule : settings_rules::flags()) {
        if (settings_rules::applies(rule.scope, into.role()) && findValue(tree, rule.path) == nullptr) {
            const FieldRef target = fieldAt(into, rule.path);
            target.message->GetReflection()->SetBool(target.message, target.field, rule.defaultValue);
        }
    }
}

/// Splits `at` ("IP:PORT") into address and port, the only form that the daemon reads.
void splitListen(settings::Listen &listen)
{
    const auto colon = listen.at().rfind(':');
    if (colon == std::string::npos) {
        return;
    }
    auto address = listen.at().substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2); // IPv6
    }
    listen.set_address(address);
    listen.set_port(static_cast<std::uint32_t>(std::stoul(listen.at().substr(colon + 1))));
}

SettingsError contradiction(std::string path, std::string detail)
{
    return {SettingsErrorKind::Contradiction, std::move(path), std::move(detail)};
}

std::optional<SettingsError> checkRoleSections(const Settings &parsed)
{
    const bool direct = settings_rules::applies(Scope::Direct, parsed.role());
    if (parsed.has_sidecar() && parsed.role() != "sidecar") {
        return contradiction("sidecar", "only valid for the role sidecar");
    }
    if (parsed.has_entry() && parsed.role() != "entry") {
        return contradiction("entry", "only valid for the role entry");
    }
    if (parsed.has_direct() && !direct) {
        return contradiction("direct", "only valid for the roles direct-entry and direct-sidecar");
    }
    if (parsed.has_platform() && direct) {
        return contradiction("platform", "the direct path configures its store in direct.store");
    }
    return std::nullopt;
}

std::optional<SettingsError> checkTiming(const settings::Timing &timing)
{
    constexpr std::uint32_t minHeartbeatsPerSuspectTime = 3;
    if (timing.suspect_ms() < minHeartbeatsPerSuspectTime * timing.heartbeat_ms()) {
        return contradiction("timing.suspectMs",
                             "less than three heartbeat intervals: one lost message would cause a suspicion");
    }
    if (timing.lease_ms() == 0) {
        return std::nullopt; // the direct path uses no leases
    }
    // Keep-alives are sent at every third of a lease; with a larger margin the holder would stop between two of them.
    if (timing.lease_margin_ms() * 2 > timing.lease_ms()) {
        return contradiction("timing.leaseMarginMs", "more than half of timing.leaseMs");
    }
    return std::nullopt;
}

// Limits the pause to its share of the bound: the other delays of store calls are fractions of the same bound, and they
// fit into it only if the pause does not exceed this share.
std::optional<SettingsError> checkStorePause(const settings::Direct &direct)
{
    constexpr std::uint32_t maxPercent = 45;
    const auto bound = std::min(direct.leave_ms(), direct.config_ms());
    if (std::uint64_t{direct.store_pause_ms()} * 100 > std::uint64_t{bound} * maxPercent) {
        return contradiction("direct.storePauseMs", "more than 45 % of direct.leaveMs or direct.configMs");
    }
    return std::nullopt;
}

std::optional<SettingsError> checkSidecar(const settings::Sidecar &sidecar)
{
    if (sidecar.endpoint_kind() == "engine" && sidecar.base_model().empty()) {
        return SettingsError{SettingsErrorKind::Missing, "sidecar.baseModel", "required for an engine endpoint"};
    }
    if (sidecar.endpoint_kind() == "service" && sidecar.services().empty()) {
        return SettingsError{SettingsErrorKind::Missing, "sidecar.services", "required for a service endpoint"};
    }
    return std::nullopt;
}

std::optional<SettingsError> checkConsistency(const Settings &parsed)
{
    if (auto error = checkTiming(parsed.timing())) {
        return error;
    }
    if (parsed.role() == "direct-entry") {
        return checkStorePause(parsed.direct());
    }
    return parsed.role() == "sidecar" ? checkSidecar(parsed.sidecar()) : std::nullopt;
}

std::string tableRow(std::string_view path, Scope scope, const std::string &defaultValue, const std::string &range,
                     std::string_view description)
{
    return "| `" + std::string(path) + "` | " + std::string(settings_rules::describe(scope)) + " | " + defaultValue
           + " | " + range + " | " + std::string(description) + " |\n";
}

} // namespace

tl::expected<Settings, SettingsError> parseSettings(std::string_view json)
{
    const auto tree = parseTree(json);
    if (!tree) {
        return tl::unexpected(tree.error());
    }
    if (auto error = checkTree(*tree, *Settings::descriptor())) {
        return tl::unexpected(std::move(*error));
    }
    Settings result;
    const auto status = google::protobuf::util::JsonStringToMessage({json.data(), json.size()}, &result);
    if (!status.ok()) {
        return tl::unexpected(SettingsError{SettingsErrorKind::BadJson, "", status.ToString()});
    }
    if (auto error = checkRoleSections(result)) {
        return tl::unexpected(std::move(*error));
    }
    if (auto error = checkTexts(*tree, result)) {
        return tl::unexpected(std::move(*error));
    }
    if (auto error = checkNumbers(*tree, result)) {
        return tl::unexpected(std::move(*error));
    }
    fillInFlags(*tree, result);
    splitListen(*result.mutable_http());
    if (result.role() == "direct-entry") {
        splitListen(*result.mutable_direct()->mutable_ready());
    }
    if (auto error = checkConsistency(result)) {
        return tl::unexpected(std::move(*error));
    }
    return result;
}

tl::expected<std::string, SettingsError> readSettingsText(const std::string &file)
{
    std::ifstream in(file);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return tl::unexpected(SettingsError{SettingsErrorKind::Unreadable, "", file});
    }
    return text.str();
}

tl::expected<Settings, SettingsError> readSettings(const std::string &file)
{
    const auto text = readSettingsText(file);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parseSettings(*text);
}

bool isRole(std::string_view role)
{
    return settings_rules::matches(settings_rules::TextFormat::Role, role);
}

std::string printDefaults(std::string_view role)
{
    Settings defaults;
    defaults.set_role(std::string(role));
    const Struct emptyTree;
    for (const auto &rule : settings_rules::texts()) {
        if (rule.path == "role" || !settings_rules::applies(rule.scope, role)) {
            continue;
        }
        const FieldRef target = fieldAt(defaults, rule.path);
        if (!target.field->is_repeated()) {
            target.message->GetReflection()->SetString(target.message, target.field, std::string(rule.defaultValue));
        }
    }
    checkNumbers(emptyTree, defaults);
    fillInFlags(emptyTree, defaults);
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(defaults, &text, options));
    return text;
}

std::string settingsPage()
{
    std::string page = "| field | role | default | range | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &rule : settings_rules::texts()) {
        const std::string shownDefault =
            rule.defaultValue.empty() ? "empty" : "`" + std::string(rule.defaultValue) + "`";
        const std::string defaultValue = rule.required ? "required" : shownDefault;
        page += tableRow(rule.path, rule.scope, defaultValue, std::string(settings_rules::describe(rule.format)),
                         rule.description);
    }
    for (const auto &rule : settings_rules::numbers()) {
        const std::string range = formatNumber(rule.minValue) + " to " + formatNumber(rule.maxValue);
        page += tableRow(rule.path, rule.scope, formatNumber(rule.defaultValue), range, rule.description);
    }
    for (const auto &rule : settings_rules::flags()) {
        page += tableRow(rule.path, rule.scope, rule.defaultValue ? "true" : "false", "true, false", rule.description);
    }
    return page;
}

} // namespace anvilscale
