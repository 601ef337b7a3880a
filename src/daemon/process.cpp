// Settings conversion, port files, error texts and metrics common to the roles.
#include "process.h"

#include "wire.pb.h"

#include "anvilscale/telemetry.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace anvilscale {

Timing readTiming(const settings::Settings &settings)
{
    const auto &configured = settings.timing();
    Timing timing;
    timing.heartbeat = Milliseconds(configured.heartbeat_ms());
    timing.suspect = Milliseconds(configured.suspect_ms());
    timing.lease = Milliseconds(configured.lease_ms());
    timing.leaseMargin = Milliseconds(configured.lease_margin_ms());
    timing.vmList = Milliseconds(configured.vm_list_ms());
    timing.configPoll = Milliseconds(configured.config_poll_ms());
    timing.leave = Milliseconds(configured.leave_ms());
    return timing;
}

std::uint64_t newIncarnation()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(wall).count());
}

EtcdGateway::Init gatewayInit(const settings::Settings &settings)
{
    EtcdGateway::Init init;
    const auto &platform = settings.platform();
    init.endpoints.assign(platform.key_value().begin(), platform.key_value().end());
    init.timeout = Milliseconds(platform.request_timeout_ms());
    init.callBudget = platform.call_budget();
    return init;
}

HttpVmList::Init vmListInit(const settings::Settings &settings)
{
    HttpVmList::Init init;
    init.url = settings.platform().vm_list();
    init.interval = Milliseconds(settings.timing().vm_list_ms());
    init.timeout = Milliseconds(settings.platform().request_timeout_ms());
    return init;
}

MessengerInit messengerInit(const settings::Settings &settings, std::uint64_t incarnation)
{
    MessengerInit init;
    init.address = settings.control().address();
    init.port = static_cast<std::uint16_t>(settings.control().port());
    init.name = settings.name();
    init.incarnation = incarnation;
    init.heartbeat = Milliseconds(settings.timing().heartbeat_ms());
    init.silenceTimeout = Milliseconds(settings.timing().suspect_ms());
    return init;
}

tl::expected<void, StartError> writePortFile(const settings::Listen &listen, std::uint16_t port,
                                             std::string_view settingPath)
{
    const auto &file = listen.port_file();
    if (file.empty()) {
        return {};
    }
    const auto temporary = file + ".new";
    {
        std::ofstream out(temporary, std::ios::trunc);
        out << port << "\n";
        out.flush();
        if (!out) {
            return tl::unexpected(StartError{StartErrorKind::PortFile, std::string(settingPath),
                                             "cannot write the port file " + temporary});
        }
    }
    if (std::rename(temporary.c_str(), file.c_str()) != 0) {
        return tl::unexpected(
            StartError{StartErrorKind::PortFile, std::string(settingPath), "cannot write the port file " + file});
    }
    return {};
}

StartError makeStartError(StartErrorKind kind, std::string_view path, const NetError &error)
{
    return StartError{kind, std::string(path),
                      std::string(toString(error.kind)) + ": " + error.address + ": " + error.detail};
}

void connectMember(Messenger &messenger, const std::string &name, const std::string &address)
{
    const auto parsed = NetAddress::parse(address);
    if (!parsed) {
        logEvent(Event::MemberAddressRejected, {{"member", name}, {"detail", std::string(toString(parsed.error()))}});
        messenger.disconnectFrom(name);
        return;
    }
    messenger.connectTo(name, *parsed);
}

std::string toJsonText(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::string hexText(std::uint64_t number)
{
    std::array<char, 17> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return {text.data(), static_cast<std::size_t>(length)};
}

wire::Envelope makeHello(std::string_view name, std::uint64_t incarnation, std::string_view dataCentre,
                         const ConfigStore &config)
{
    wire::Envelope message;
    auto &hello = *message.mutable_hello();
    hello.mutable_from()->set_name(std::string(name));
    hello.mutable_from()->set_incarnation(incarnation);
    hello.set_data_centre(std::string(dataCentre));
    hello.set_config_revision(config.revision());
    hello.set_config_digest(config.digest());
    hello.set_schema_version(newestSchemaVersion);
    return message;
}

void appendMessengerMetrics(MetricsText &text, const MessengerStats &stats)
{
    text.counters("anvilscale_messages_dropped_total", "messages dropped by reason", "reason", stats.dropped);
    text.counter("anvilscale_messages_sent_total", "messages sent to other processes", stats.sent);
    text.counter("anvilscale_messages_sent_bytes_total", "bytes of messages sent", stats.sentBytes);
    text.counter("anvilscale_messages_received_total", "messages received from other processes", stats.received);
    text.counter("anvilscale_messages_received_bytes_total", "bytes of messages received", stats.receivedBytes);
    text.counter("anvilscale_messages_listener_pauses_total",
                 "pauses of the control port, by few free descriptors or many unfinished handshakes",
                 stats.listenerPauses);
}

void appendHttpMetrics(MetricsText &text, const HttpServerStats &stats)
{
    text.counters("anvilscale_http_problems_total", "requests that could not be read, by problem", "problem",
                  stats.errors);
    text.counter("anvilscale_http_connections_total", "connections accepted", stats.connections);
    text.counter("anvilscale_http_requests_total", "requests read", stats.requests);
    text.counter("anvilscale_http_slow_readers_cut_total", "callers cut because they took nothing",
                 stats.slowReadersCut);
    text.counter("anvilscale_http_accepts_without_descriptor_total",
                 "connections that came when no descriptor was free for them", stats.acceptsWithoutDescriptor);
    text.gauge("anvilscale_http_connections_open", "open connections", stats.openConnections);
}

void appendMemoryMetrics(MetricsText &text, const MemoryAccountStats &stats)
{
    for (std::size_t i = 0; i < enumCount<HeldKind>; ++i) {
        const auto kind = std::string(toString(static_cast<HeldKind>(i)));
        text.gauge("anvilscale_memory_" + kind + "_bytes", "bytes held for callers: " + kind,
                   static_cast<double>(stats.heldBytes[i]));
    }
    text.gauge("anvilscale_memory_limit_bytes", "most that is held for callers before bodies wait",
               static_cast<double>(stats.limitBytes));
    text.gauge("anvilscale_memory_peak_bytes", "most that was held for callers at once",
               static_cast<double>(stats.peakBytes));
    text.gauge("anvilscale_memory_waiting", "bodies that wait for memory", static_cast<double>(stats.waiting));
    text.counter("anvilscale_memory_waits_total", "bodies that waited for memory", stats.waits);
    text.counter("anvilscale_memory_granted_total", "bodies that got memory after a wait", stats.granted);
    text.counter("anvilscale_memory_rejected_total", "bodies refused as too many others waited", stats.rejected);
}

void appendKvMetrics(MetricsText &text, const KvStats &stats)
{
    Counters<KvStatus> byStatus;
    for (const auto &replies : stats.replies) {
        for (std::size_t i = 0; i < enumCount<KvStatus>; ++i) {
            byStatus.add(static_cast<KvStatus>(i), replies.of(static_cast<KvStatus>(i)));
        }
    }
    text.counters("anvilscale_kv_calls_total", "calls made on the key-value service", "op", stats.calls);
    text.counters("anvilscale_kv_replies_total", "answers of the key-value service", "status", byStatus);
    text.counter("anvilscale_kv_over_budget_total", "requests turned away by the call budget", stats.overBudget);
}

void appendConfigMetrics(MetricsText &text, const ConfigStore &config, const ConfigDistributor &distributor,
                         bool isKvDown)
{
    text.gauge("anvilscale_config_revision", "revision of the configuration in force",
               static_cast<double>(config.revision()));
    text.gauge("anvilscale_config_stale", "1 if the configuration could not be confirmed for too long",
               distributor.isStale() ? 1 : 0);
    text.gauge("anvilscale_kv_down", "1 if the last request to the key-value service was not answered",
               isKvDown ? 1 : 0);
}

} // namespace anvilscale
