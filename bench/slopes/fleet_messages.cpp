// Messages and members of a synthetic data centre with busy engines.
#include "fleet_messages.h"

#include "fleet_records.h"

namespace anvilscale::slopes {

namespace {

constexpr std::uint64_t sidecarIncarnation = 0x1000000;

void addAdapter(wire::Heartbeat &beat, std::size_t adapter, ResidencyState state)
{
    auto *entry = beat.add_adapters();
    entry->set_adapter(adapterName(adapter));
    entry->set_version("v1");
    entry->set_state(static_cast<std::uint32_t>(state));
    entry->set_pins(2);
}

wire::Envelope makeHeartbeat(std::size_t i, std::uint64_t sequence, const ConfigStore &config)
{
    wire::Envelope envelope;
    envelope.set_protocol(wireProtocol);
    wire::Heartbeat &beat = *envelope.mutable_heartbeat();
    beat.mutable_from()->set_name(sidecarName(i));
    beat.mutable_from()->set_incarnation(sidecarIncarnation);
    beat.set_data_centre("hall-east");
    beat.set_base_model("base-70b");
    beat.set_endpoint_kind("engine");
    beat.set_engine_incarnation(1);
    beat.set_sequence(sequence);
    beat.set_slots(slotsPerSidecar);
    beat.set_running(12);
    beat.set_batch_limit(64);
    beat.set_step_fill_permille(700);
    beat.set_queue_delay_us(20'000);
    beat.set_config_revision(config.revision());
    beat.set_config_digest(config.digest());
    beat.set_admitting(true);
    return envelope;
}

} // namespace

std::string sidecarName(std::size_t i)
{
    return "hall-east-sidecar-" + std::to_string(i);
}

Member sidecarMember(std::size_t i)
{
    Member member;
    member.name = sidecarName(i);
    member.incarnation = sidecarIncarnation;
    member.state = MemberState::Live;
    member.role = VmRole::Sidecar;
    member.dataCentre = "hall-east";
    member.region = "ulaanbaatar";
    member.address = "127.0.0.1:4000";
    return member;
}

wire::Envelope makeFullHeartbeat(std::size_t i, const ConfigStore &config)
{
    wire::Envelope envelope = makeHeartbeat(i, 1, config);
    envelope.mutable_heartbeat()->set_full(true);
    for (std::size_t slot = 0; slot < slotsPerSidecar; ++slot) {
        addAdapter(*envelope.mutable_heartbeat(), i * slotsPerSidecar + slot, ResidencyState::Resident);
    }
    return envelope;
}

wire::Envelope makeDeltaHeartbeat(std::size_t i, std::uint64_t sequence, std::size_t changed, const ConfigStore &config)
{
    wire::Envelope envelope = makeHeartbeat(i, sequence, config);
    for (std::size_t slot = 0; slot < changed; ++slot) {
        addAdapter(*envelope.mutable_heartbeat(), i * slotsPerSidecar + slot, ResidencyState::Resident);
    }
    return envelope;
}

wire::Envelope makeBeat(std::uint64_t sequence)
{
    wire::Envelope envelope;
    envelope.set_protocol(wireProtocol);
    wire::Beat &beat = *envelope.mutable_beat();
    beat.set_incarnation_tag(static_cast<std::uint32_t>(sidecarIncarnation));
    beat.set_sequence(sequence);
    beat.set_running(12);
    beat.set_step_fill_permille(700);
    beat.set_queue_delay_us(20'000);
    beat.set_busy_slots(6);
    beat.set_victim_value(0.5F);
    return envelope;
}

wire::Envelope makeHello(const ConfigStore &config)
{
    wire::Envelope envelope;
    envelope.set_protocol(wireProtocol);
    wire::Hello &hello = *envelope.mutable_hello();
    hello.mutable_from()->set_name("hall-east-entry-1");
    hello.mutable_from()->set_incarnation(sidecarIncarnation);
    hello.set_data_centre("hall-east");
    hello.set_config_revision(config.revision());
    hello.set_config_digest(config.digest());
    hello.set_schema_version(2);
    hello.set_config_age_us(3'000'000);
    hello.set_config_age_known(true);
    return envelope;
}

} // namespace anvilscale::slopes
