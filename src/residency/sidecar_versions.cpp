// The configuration as this sidecar sees it.
#include "sidecar.h"

namespace anvilscale {

std::uint64_t SidecarDecisions::Impl::revision() const
{
    return init_.config != nullptr ? init_.config->revision() : 0;
}

void SidecarDecisions::Impl::onConfigChanged(Now /*now*/)
{
    heartbeatAtOnce_ = true;
}

} // namespace anvilscale
