// Protocols, steps and faults of the fault matrix.
#pragma once

#include "anvilscale/base.h"

#include <span>

namespace anvilscale::faults {

/// Scenario that a cell simulates.
enum class Protocol : std::uint8_t {
    CallPlain,
    CallStream,
    NonIdempotentCall,
    Load,
    Evict,
    VersionSwitch,
    LeaseTakeOver,
    SlotHandOver,
    ConfigurationChange,
    Drain,
    EngineRestart,
    Count
};

/// Points of a protocol at which faults can be injected.
enum class Step : std::uint8_t {
    CallRequest,
    CallFrame,
    CallEnd,
    Heartbeat,
    LoadGrant,
    LoadResult,
    ConfigPush,
    ConfigFetch,
    DrainOrder,
    HandoverPart,
    HandoverAck,
    CallToEndpoint,
    EndpointFirstByte,
    EndpointAnswer,
    LoadOrder,
    UnloadOrder,
    FenceOrder,
    ListOrder,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseKeyWrite,
    SlotTableRead,
    SlotTableWrite,
    HeadRead,
    HeadWrite,
    Other, ///< no faults are injected here
    Count
};

enum class Fault : std::uint8_t {
    MessageLost,
    MessageDoubled,
    MessageDelayed,
    MessageReordered,
    ReplyLost,
    ProcessKilled,
    ProcessPaused,
    KeyValueDown,
    KeyValueSlow,
    EngineRestarted,
    LoadFailed,
    EndpointLeaving,
    RacingOperator,
    DataCentresParted,
    Count
};

/// Steps at which the matrix injects faults into the protocol, in order.
std::span<const Step> stepsOf(Protocol protocol);

/// A fault at the given pass of a step. Passes count from 1.
struct Injection
{
    Step step = Step::Other;
    std::uint32_t pass = 1;
    Fault fault = Fault::MessageLost;
};

} // namespace anvilscale::faults

namespace anvilscale {

template<>
struct EnumNames<faults::Protocol>
{
    static constexpr std::array<std::string_view, enumCount<faults::Protocol>> table{
        "call_plain",      "call_stream",    "non_idempotent_call",  "load",  "evict",         "version_switch",
        "lease_take_over", "slot_hand_over", "configuration_change", "drain", "engine_restart"};
};
template<>
struct EnumNames<faults::Step>
{
    static constexpr std::array<std::string_view, enumCount<faults::Step>> table{"call_request",
                                                                                 "call_frame",
                                                                                 "call_end",
                                                                                 "heartbeat",
                                                                                 "load_grant",
                                                                                 "load_result",
                                                                                 "config_push",
                                                                                 "config_fetch",
                                                                                 "drain_order",
                                                                                 "handover_part",
                                                                                 "handover_ack",
                                                                                 "call_to_endpoint",
                                                                                 "endpoint_first_byte",
                                                                                 "endpoint_answer",
                                                                                 "load_order",
                                                                                 "unload_order",
                                                                                 "fence_order",
                                                                                 "list_order",
                                                                                 "lease_grant",
                                                                                 "lease_keep_alive",
                                                                                 "lease_key_write",
                                                                                 "slot_table_read",
                                                                                 "slot_table_write",
                                                                                 "head_read",
                                                                                 "head_write",
                                                                                 "other"};
};
template<>
struct EnumNames<faults::Fault>
{
    static constexpr std::array<std::string_view, enumCount<faults::Fault>> table{
        "message_lost",   "message_doubled",  "message_delayed", "message_reordered",  "reply_lost",
        "process_killed", "process_paused",   "key_value_down",  "key_value_slow",     "engine_restarted",
        "load_failed",    "endpoint_leaving", "racing_operator", "data_centres_parted"};
};

} // namespace anvilscale
