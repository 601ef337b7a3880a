// Table of all settings with default, range and meaning, and the checks of text formats.
#include "rules.h"

#include "anvilscale/telemetry.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>

namespace anvilscale::settings_rules {

namespace {

constexpr std::array numberTable{
    NumberRule{"control.port", Scope::All, 0, 0, 65535, "port for our own processes; 0: given by the system"},
    NumberRule{"http.port", Scope::All, 0, 0, 65535, "port for callers, health and metrics; 0: given by the system"},
    NumberRule{"platform.requestTimeoutMs", Scope::Relayed, 2000, 10, 60000,
               "time after which a request to the platform counts as unanswered"},
    NumberRule{"platform.callBudget", Scope::Relayed, 10, 0.1, 1000,
               "calls a second that this process may make on the key-value service"},
    NumberRule{"entry.headerLimitBytes", Scope::Entry, 16384, 1024, 1048576, "largest header of a call"},
    NumberRule{"entry.bodyLimitBytes", Scope::Entry, 4194304, 1024, 268435456, "largest body of a call"},
    NumberRule{"entry.connectionLimit", Scope::Entry, 4096, 1, 100000, "open connections of callers"},
    NumberRule{"entry.headerTimeoutMs", Scope::Entry, 10000, 100, 600000, "time for a caller to send the header"},
    NumberRule{"entry.bodyTimeoutMs", Scope::Entry, 30000, 100, 600000, "time for a caller to send the body"},
    NumberRule{"entry.writeTimeoutMs", Scope::Entry, 20000, 100, 600000,
               "a caller that takes nothing for this long is cut"},
    NumberRule{"entry.streamBufferBytes", Scope::Entry, 262144, 4096, 67108864,
               "bytes of one answer that may wait for a slow caller"},
    NumberRule{"entry.trafficThreads", Scope::Entry, 2, 1, 64, "threads that read from and write to callers"},
    NumberRule{"entry.jsonDepthLimit", Scope::Entry, 32, 2, 1000, "deepest nesting of a call's JSON"},
    NumberRule{"sidecar.slots", Scope::Sidecar, 4, 1, 1024, "adapter slots of the engine"},
    NumberRule{"sidecar.batchLimit", Scope::Sidecar, 16, 1, 4096, "calls given to the endpoint at a time"},
    NumberRule{"sidecar.lock.port", Scope::Sidecar, 0, 0, 65535,
               "loopback port that only one sidecar of a VM can hold; 0: no lock, for tests only"},
    NumberRule{"sidecar.orderTimeoutMs", Scope::Sidecar, 60000, 100, 3600000,
               "longest time an order may take effect after it was sent"},
    NumberRule{"sidecar.answerMemoryBytes", Scope::Sidecar, 8388608, 0, 1073741824,
               "memory for finished answers that a repeat may get"},
    NumberRule{"sidecar.seenKeyLimit", Scope::Sidecar, 100000, 1, 10000000,
               "idempotency keys remembered; more are refused, none is forgotten early"},
    NumberRule{"direct.ready.port", Scope::DirectEntry, 0, 0, 65535, "port where the balancer asks for readiness"},
    NumberRule{"direct.storePauseMs", Scope::DirectEntry, 0, 0, 60000,
               "least time between two answers of a watch: changes in between arrive together; 0: 45 % of the bound"},
    NumberRule{"direct.leaveMs", Scope::Direct, 2000, 100, 60000,
               "time within which a leaving endpoint must get no new calls"},
    NumberRule{"direct.configMs", Scope::Direct, 2000, 100, 60000,
               "time within which a configuration must be in force"},
    NumberRule{"direct.graceMs", Scope::DirectEntry, 8000, 100, 600000,
               "time from SIGTERM until the platform ends the process"},
    NumberRule{"direct.retryRatio", Scope::DirectEntry, 0.2, 0, 10,
               "calls that all entries may send once more, as a share of a service's calls"},
    NumberRule{"direct.retrySlack", Scope::DirectEntry, 0, 0, 100000,
               "calls beyond that share that all entries may send once more in any span of some seconds"},
    NumberRule{"direct.allowanceWindowSeconds", Scope::Direct, 8, 1, 600,
               "period over which the use of a workspace is compared with its allowance"},
    NumberRule{"direct.allowanceOverage", Scope::Direct, 0.1, 0, 1,
               "share by which a workspace's use in such a period may exceed its allowance"},
    NumberRule{"direct.allowanceSlack", Scope::Direct, 0, 0, 1e9,
               "units by which it may exceed its allowance beyond that; used where a restarted sidecar cannot know"},
    NumberRule{"direct.listenedEngines", Scope::DirectEntry, 160, 1, 10000,
               "engines of a service that an entry is connected to, besides a few that all entries share"},
    NumberRule{"direct.farEngines", Scope::DirectEntry, 32, 0, 10000,
               "part of these connections that is kept for engines of other data centres"},
    NumberRule{"direct.memoryMb", Scope::DirectEntry, 160, 1, 1048576,
               "memory limit of the process; --memory-mb goes first"},
    NumberRule{"direct.metricsPort", Scope::DirectEntry, 0, 0, 65535, "port of the metrics; 0: none"},
    NumberRule{"timing.heartbeatMs", Scope::All, 500, 20, 60000, "interval of heartbeats between processes"},
    NumberRule{"timing.suspectMs", Scope::All, 2500, 60, 600000, "silence after which a process gets no new work"},
    NumberRule{"timing.leaseMs", Scope::Relayed, 10000, 200, 600000, "time of a lease in the key-value service"},
    NumberRule{"timing.leaseMarginMs", Scope::Relayed, 2000, 20, 300000,
               "a holder stops acting this long before its lease ends"},
    NumberRule{"timing.vmListMs", Scope::Relayed, 2000, 50, 600000, "interval of reading the list of VMs"},
    NumberRule{"timing.configPollMs", Scope::Relayed, 5000, 50, 600000,
               "interval of reading the configuration's head where no watch tells"},
    NumberRule{"timing.leaveMs", Scope::All, 3000, 100, 600000, "time after which a leaving endpoint gets no new work"},
};

constexpr std::array textTable{
    TextRule{"role", Scope::All, TextFormat::Role, true, "", "which process this is"},
    TextRule{"name", Scope::All, TextFormat::Name, true, "", "name of the VM, unique in the deployment"},
    TextRule{"dataCentre", Scope::All, TextFormat::Name, true, "", "the data centre it stands in"},
    TextRule{"region", Scope::All, TextFormat::Name, false, "default", "the region of the data centre"},
    TextRule{"control.address", Scope::All, TextFormat::IpAddress, false, "127.0.0.1", "IP number to listen on"},
    TextRule{"control.portFile", Scope::All, TextFormat::Any, false, "", "file that the port is written to"},
    TextRule{"http.address", Scope::All, TextFormat::IpAddress, false, "127.0.0.1", "IP number to listen on"},
    TextRule{"http.at", Scope::All, TextFormat::AddressPort, false, "",
             "IP:PORT in place of http.address and http.port"},
    TextRule{"http.portFile", Scope::All, TextFormat::Any, false, "", "file that the port is written to"},
    TextRule{"platform.keyValue", Scope::Relayed, TextFormat::Url, true, "", "gateways of the key-value service"},
    TextRule{"platform.prefix", Scope::Relayed, TextFormat::Any, false, "/anvilscale/", "prefix of all keys"},
    TextRule{"platform.vmList", Scope::Relayed, TextFormat::Url, true, "", "where the list of VMs is read"},
    TextRule{"sidecar.endpoint", Scope::Sidecar, TextFormat::LoopbackUrl, true, "", "the endpoint beside it"},
    TextRule{"sidecar.endpointKind", Scope::Sidecar, TextFormat::EndpointKind, true, "", "engine or service"},
    TextRule{"sidecar.baseModel", Scope::Sidecar, TextFormat::Any, false, "", "base model of an engine"},
    TextRule{"sidecar.services", Scope::Sidecar, TextFormat::Name, false, "", "plain services that the endpoint gives"},
    TextRule{"sidecar.lock.address", Scope::Sidecar, TextFormat::LoopbackAddress, false, "127.0.0.1",
             "loopback number of the lock"},
    TextRule{"direct.store", Scope::DirectEntry, TextFormat::Url, true, "", "the platform's store"},
    TextRule{"direct.store", Scope::DirectSidecar, TextFormat::Url, true, "",
             "the platform's store: this sidecar takes its fencing number there, and watches it for entries"},
    TextRule{"direct.ready.address", Scope::DirectEntry, TextFormat::IpAddress, false, "127.0.0.1",
             "IP number to listen on"},
    TextRule{"direct.ready.at", Scope::DirectEntry, TextFormat::AddressPort, false, "",
             "IP:PORT in place of direct.ready.address and direct.ready.port"},
    TextRule{"direct.endpoint", Scope::DirectSidecar, TextFormat::Url, true, "", "the engine on the same VM"},
    TextRule{"direct.without", Scope::Direct, TextFormat::NameList, false, "",
             "mechanisms that are switched off, to measure what they are worth"},
    TextRule{"log.level", Scope::All, TextFormat::LogLevel, false, "info", "least level that is written"},
    TextRule{"log.file", Scope::All, TextFormat::Any, false, "", "log file; empty: standard error; -: standard output"},
};

constexpr std::array flagTable{
    FlagRule{"entry.schedulerCandidate", Scope::Entry, true, "may hold the load scheduler's lease"},
    FlagRule{"sidecar.endpointChecksFence", Scope::Sidecar, false,
             "the endpoint refuses orders with an old fencing number"},
};

bool isIpAddress(std::string_view text)
{
    in_addr v4{};
    in6_addr v6{};
    const std::string terminated(text);
    return inet_pton(AF_INET, terminated.c_str(), &v4) == 1 || inet_pton(AF_INET6, terminated.c_str(), &v6) == 1;
}

bool isLoopbackAddress(std::string_view address)
{
    return isIpAddress(address) && (address.starts_with("127.") || address == "::1");
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && port >= 1 && port <= 65535;
}

/// Returns the IP address in "http://ADDRESS:PORT/...", or an empty view if the URL is not valid.
std::string_view ipAddressOf(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme)) {
        return {};
    }
    const std::string_view host = url.substr(scheme.size(), url.find('/', scheme.size()) - scheme.size());
    const auto colon = host.rfind(':');
    if (colon == std::string_view::npos || !isPort(host.substr(colon + 1))) {
        return {};
    }
    std::string_view address = host.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    return isIpAddress(address) ? address : std::string_view{};
}

bool isName(std::string_view text)
{
    constexpr std::size_t maxNameLength = 128;
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace

std::span<const NumberRule> numbers()
{
    return numberTable;
}

std::span<const TextRule> texts()
{
    return textTable;
}

std::span<const FlagRule> flags()
{
    return flagTable;
}

bool matches(TextFormat format, std::string_view text)
{
    switch (format) {
    case TextFormat::Any:
        return true;
    case TextFormat::Name:
        return isName(text);
    case TextFormat::IpAddress:
        return isIpAddress(text);
    case TextFormat::LoopbackAddress:
        return isLoopbackAddress(text);
    case TextFormat::Url:
        return !ipAddressOf(text).empty();
    case TextFormat::AddressPort:
        return text.find('/') == std::string_view::npos && !ipAddressOf("http://" + std::string(text)).empty();
    case TextFormat::LoopbackUrl:
        return isLoopbackAddress(ipAddressOf(text));
    case TextFormat::NameList:
        return std::all_of(text.begin(), text.end(),
                           [](unsigned char c) { return std::isalnum(c) != 0 || c == '_' || c == ','; });
    case TextFormat::Role:
        return text == "entry" || text == "sidecar" || text == "direct-entry" || text == "direct-sidecar";
    case TextFormat::EndpointKind:
        return text == "engine" || text == "service";
    case TextFormat::LogLevel:
        return fromString<LogLevel>(text).has_value();
    }
    return false;
}

std::string_view describe(TextFormat format)
{
    switch (format) {
    case TextFormat::Any:
        return "text";
    case TextFormat::Name:
        return "letters, digits, - _ .";
    case TextFormat::IpAddress:
        return "IP number";
    case TextFormat::LoopbackAddress:
        return "loopback IP number";
    case TextFormat::Url:
        return "http://IP:PORT[/path]";
    case TextFormat::AddressPort:
        return "IP:PORT";
    case TextFormat::LoopbackUrl:
        return "http://LOOPBACK-IP:PORT";
    case TextFormat::NameList:
        return "names, separated by commas";
    case TextFormat::Role:
        return "entry, sidecar, direct-entry, direct-sidecar";
    case TextFormat::EndpointKind:
        return "engine, service";
    case TextFormat::LogLevel:
        return "debug, info, warn, error";
    }
    return "";
}

std::string_view describe(Scope scope)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(Scope::Count)> table{
        "all", "relayed", "entry", "sidecar", "direct", "direct-entry", "direct-sidecar"};
    return table[static_cast<std::size_t>(scope)];
}

bool applies(Scope scope, std::string_view role)
{
    const bool direct = role == describe(Scope::DirectEntry) || role == describe(Scope::DirectSidecar);
    switch (scope) {
    case Scope::All:
        return true;
    case Scope::Relayed:
        return !direct;
    case Scope::Direct:
        return direct;
    default:
        return role == describe(scope);
    }
}

} // namespace anvilscale::settings_rules
