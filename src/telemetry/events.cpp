// The table of log events. Numbers are grouped: 1xx process, 2xx configuration, 3xx membership and leases,
// 4xx endpoint and loads, 5xx calls, 6xx platform, 9xx faults of our own.
#include "anvilscale/telemetry.h"

namespace anvilscale {

const std::array<EventInfo, enumCount<Event>> eventTable{{
    {100, LogLevel::Info, "process_started", "the process is up"},
    {101, LogLevel::Info, "process_stopped", "the process ends"},
    {102, LogLevel::Error, "settings_rejected", "the settings are not valid; nothing was started"},
    {103, LogLevel::Error, "listen_failed", "an address could not be listened on; nothing was started"},
    {110, LogLevel::Info, "drain_started", "no new work is taken; calls in progress go on"},
    {111, LogLevel::Info, "drain_finished", "all calls in progress have ended"},
    {200, LogLevel::Info, "config_moved", "a higher revision of the configuration is in force"},
    {201, LogLevel::Error, "config_rejected", "a delta or snapshot could not be applied"},
    {202, LogLevel::Warn, "config_stale", "the configuration could not be confirmed for longer than allowed"},
    {203, LogLevel::Info, "config_fresh", "the configuration is confirmed again"},
    {300, LogLevel::Info, "member_changed", "a process appeared or changed its state"},
    {301, LogLevel::Warn, "peer_lost", "a process can no longer be reached"},
    {310, LogLevel::Info, "scheduler_taken", "this entry orders the loads now"},
    {311, LogLevel::Warn, "scheduler_lost", "this entry no longer orders the loads"},
    {320, LogLevel::Info, "slots_changed", "the at-most-once slots of this sidecar changed"},
    {400, LogLevel::Error, "endpoint_lost", "the endpoint cannot be reached"},
    {401, LogLevel::Info, "endpoint_back", "the endpoint is reached again"},
    {402, LogLevel::Warn, "endpoint_restarted", "the endpoint has a new incarnation; its adapters are gone"},
    {410, LogLevel::Info, "load_done", "an adapter version was loaded"},
    {411, LogLevel::Warn, "load_failed", "an adapter version could not be loaded"},
    {412, LogLevel::Info, "evict_done", "an adapter version was unloaded"},
    {413, LogLevel::Error, "version_quarantined", "an adapter version keeps failing to load; its calls are refused"},
    {420, LogLevel::Info, "engine_order", "an order was sent to the engine, and how it took it"},
    {421, LogLevel::Info, "endpoint_removed", "an endpoint is gone from the store and gets no more calls"},
    {422, LogLevel::Info, "version_named", "the operator has named a new version of an adapter"},
    {500, LogLevel::Warn, "call_failed", "a call ended in an error after it was started"},
    {501, LogLevel::Debug, "call_refused", "a call was refused as not run"},
    {502, LogLevel::Warn, "answer_broken", "the end frame did not agree with the frames"},
    {503, LogLevel::Warn, "slow_reader_cut", "a caller took nothing for too long and was cut"},
    {504, LogLevel::Debug, "frame_dropped", "a frame matched no open attempt"},
    {505, LogLevel::Info, "call_ended", "a call has ended well, and what decided its way"},
    {506, LogLevel::Warn, "call_ended_badly", "a call has ended without a success, and what decided its way"},
    {600, LogLevel::Error, "key_value_down", "the key-value service does not answer"},
    {601, LogLevel::Info, "key_value_back", "the key-value service answers again"},
    {610, LogLevel::Warn, "vm_list_down", "the list of VMs could not be read"},
    {611, LogLevel::Error, "store_record_rejected", "records of the store could not be read and were passed over"},
    {900, LogLevel::Error, "unexpected_error", "an error that no rule covers; please report it"},
}};

} // namespace anvilscale
