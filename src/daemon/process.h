// Helpers shared by the roles: settings conversion, start errors, status texts and common metrics.
#pragma once

#include "anvilscale/daemon.h"
#include "anvilscale/net.h"
#include "anvilscale/platform.h"
#include "anvilscale/state.h"

#include <Poco/JSON/Object.h>

namespace anvilscale {

Timing readTiming(const settings::Settings &settings);
/// Returns an incarnation in microseconds of wall time. Increases with each start of a process as long as the clock
/// does not go back.
std::uint64_t newIncarnation();
EtcdGateway::Init gatewayInit(const settings::Settings &settings);
HttpVmList::Init vmListInit(const settings::Settings &settings);
MessengerInit messengerInit(const settings::Settings &settings, std::uint64_t incarnation);
/// Writes the port to the configured file, if there is one. The file is replaced atomically, so that readers never see
/// a partial number. `settingPath`: used in errors.
tl::expected<void, StartError> writePortFile(const settings::Listen &listen, std::uint16_t port,
                                             std::string_view settingPath);
StartError makeStartError(StartErrorKind kind, std::string_view path, const NetError &error);
/// Connects to the control address of a member under its name. An address of another form is logged, and messages to
/// the member fail as not sent.
void connectMember(Messenger &messenger, const std::string &name, const std::string &address);
std::string toJsonText(const Poco::JSON::Object &object);
std::string hexText(std::uint64_t number);
/// Returns a Hello with the name, incarnation and configuration of this process.
wire::Envelope makeHello(std::string_view name, std::uint64_t incarnation, std::string_view dataCentre,
                         const ConfigStore &config);
void appendMessengerMetrics(class MetricsText &text, const MessengerStats &stats);
void appendHttpMetrics(class MetricsText &text, const HttpServerStats &stats);
void appendMemoryMetrics(class MetricsText &text, const MemoryAccountStats &stats);
void appendKvMetrics(class MetricsText &text, const KvStats &stats);
void appendConfigMetrics(class MetricsText &text, const ConfigStore &config, const ConfigDistributor &distributor,
                         bool isKvDown);

} // namespace anvilscale
