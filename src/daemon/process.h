// What both roles share: numbers and times from the settings, and small helpers at the start of a process.
#pragma once

#include "anvilscale/daemon.h"
#include "anvilscale/net.h"
#include "anvilscale/platform.h"
#include "anvilscale/state.h"

#include <Poco/JSON/Object.h>

namespace anvilscale {

Timing timingOf(const settings::Settings &settings);
/// Larger at every later start of a process of this name, as long as its clock does not go back.
std::uint64_t newIncarnation();
EtcdGateway::Init gatewayInit(const settings::Settings &settings);
HttpVmList::Init vmListInit(const settings::Settings &settings);
MessengerInit messengerInit(const settings::Settings &settings, std::uint64_t incarnation);
/// Writes the port under a temporary name and renames it, so that a reader never sees half a number.
tl::expected<void, StartError> writePortFile(const settings::Listen &listen, std::uint16_t port, std::string_view path);
StartError startError(StartErrorKind kind, std::string_view path, const NetError &error);
std::string toText(const Poco::JSON::Object &object);
std::string hexText(std::uint64_t number);
/// A hello that tells this process's name and configuration.
wire::Envelope makeHello(std::string_view name, std::uint64_t incarnation, std::string_view dataCentre,
                         const ConfigStore &config);
void appendMessengerMetrics(class MetricsText &text, const MessengerStats &stats);
void appendHttpMetrics(class MetricsText &text, const HttpServerStats &stats);
void appendKvMetrics(class MetricsText &text, const KvStats &stats);
void appendConfigMetrics(class MetricsText &text, const ConfigStore &config, const ConfigSpread &spread, bool kvDown);

} // namespace anvilscale
