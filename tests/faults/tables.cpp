// Steps of each protocol.
#include "tables.h"

namespace anvilscale::faults {

namespace {

constexpr std::array callPlain{Step::CallRequest, Step::CallToEndpoint, Step::EndpointAnswer, Step::CallFrame,
                               Step::CallEnd};
constexpr std::array callStream{Step::CallRequest, Step::EndpointFirstByte, Step::CallFrame, Step::CallEnd};
constexpr std::array nonIdempotent{Step::CallRequest,    Step::CallToEndpoint, Step::EndpointFirstByte,
                                   Step::EndpointAnswer, Step::CallFrame,      Step::CallEnd};
constexpr std::array load{Step::Heartbeat, Step::LoadGrant, Step::LoadOrder, Step::LoadResult};
constexpr std::array evict{Step::LoadGrant, Step::UnloadOrder, Step::LoadOrder, Step::ListOrder};
constexpr std::array versionSwitch{Step::HeadWrite, Step::ConfigPush, Step::CallRequest, Step::CallToEndpoint};
constexpr std::array leaseTakeOver{Step::LeaseKeepAlive, Step::LeaseGrant, Step::LeaseKeyWrite, Step::LoadGrant};
constexpr std::array slotHandOver{Step::HandoverPart, Step::HandoverAck, Step::SlotTableRead, Step::SlotTableWrite};
constexpr std::array configurationChange{Step::HeadRead, Step::HeadWrite, Step::ConfigPush, Step::ConfigFetch};
constexpr std::array drain{Step::DrainOrder, Step::Heartbeat, Step::CallRequest, Step::CallEnd};
constexpr std::array engineRestart{Step::ListOrder, Step::FenceOrder, Step::CallToEndpoint, Step::LoadOrder};

} // namespace

std::span<const Step> stepsOf(Protocol protocol)
{
    switch (protocol) {
    case Protocol::CallPlain:
        return callPlain;
    case Protocol::CallStream:
        return callStream;
    case Protocol::NonIdempotentCall:
        return nonIdempotent;
    case Protocol::Load:
        return load;
    case Protocol::Evict:
        return evict;
    case Protocol::VersionSwitch:
        return versionSwitch;
    case Protocol::LeaseTakeOver:
        return leaseTakeOver;
    case Protocol::SlotHandOver:
        return slotHandOver;
    case Protocol::ConfigurationChange:
        return configurationChange;
    case Protocol::Drain:
        return drain;
    case Protocol::EngineRestart:
        return engineRestart;
    case Protocol::Count:
        break;
    }
    return {};
}

} // namespace anvilscale::faults
