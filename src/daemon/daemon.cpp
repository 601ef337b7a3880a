// Daemon: common interface of the roles and the process lifecycle.
#include "direct_entry.h"
#include "direct_sidecar.h"
#include "entry_daemon.h"
#include "sidecar_daemon.h"
#include "site_dialect.h"

#include <condition_variable>
#include <mutex>
#include <variant>

namespace anvilscale {

struct Daemon::Impl
{
    using Entry = std::unique_ptr<EntryDaemon>;
    using Sidecar = std::unique_ptr<SidecarDaemon>;
    using DirectEntryRole = std::unique_ptr<DirectEntry<site::SiteDialect>>;
    using DirectSidecarRole = std::unique_ptr<DirectSidecar<site::SiteDialect>>;
    std::variant<Entry, Sidecar, DirectEntryRole, DirectSidecarRole> role;
    std::mutex mutex;
    std::condition_variable changed;
    bool isDraining = false; // guarded by mutex
    bool isDone = false; // guarded by mutex

    void setDone()
    {
        const std::lock_guard lock(mutex);
        isDone = true;
        changed.notify_all();
    }
};

Daemon::Daemon(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

Daemon::~Daemon() = default;

tl::expected<std::unique_ptr<Daemon>, StartError> Daemon::create(const settings::Settings &settings)
{
    auto impl = std::make_unique<Impl>();
    const auto setRole = [&impl](auto created) -> std::optional<StartError> {
        if (!created) {
            return created.error();
        }
        impl->role = std::move(*created);
        return std::nullopt;
    };
    std::optional<StartError> error;
    if (settings.role() == "entry") {
        error = setRole(EntryDaemon::create(settings));
    } else if (settings.role() == "sidecar") {
        error = setRole(SidecarDaemon::create(settings));
    } else if (settings.role() == "direct-entry") {
        error = setRole(DirectEntry<site::SiteDialect>::create(settings));
    } else {
        error = setRole(DirectSidecar<site::SiteDialect>::create(settings));
    }
    if (error) {
        return tl::unexpected(std::move(*error));
    }
    return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

void Daemon::start()
{
    std::visit([](auto &role) { role->start(); }, impl_->role);
    if (auto *sidecar = std::get_if<Impl::Sidecar>(&impl_->role)) {
        (*sidecar)->setDrainedHandler([impl = impl_.get()] { impl->setDone(); });
    }
}

void Daemon::drain()
{
    {
        const std::lock_guard lock(impl_->mutex);
        if (std::exchange(impl_->isDraining, true)) {
            return;
        }
    }
    std::visit([this](auto &role) { role->drain([impl = impl_.get()] { impl->setDone(); }); }, impl_->role);
}

void Daemon::reload(const settings::Settings &settings)
{
    // Held meanwhile, as the shutdown that follows isDone ends the parts that a reload uses.
    const std::lock_guard lock(impl_->mutex);
    if (impl_->isDone) {
        return;
    }
    std::visit(
        [&settings](auto &role) {
            if constexpr (requires { role->reload(settings); }) {
                role->reload(settings);
            }
        },
        impl_->role);
}

void Daemon::wait()
{
    {
        std::unique_lock lock(impl_->mutex);
        impl_->changed.wait(lock, [this] { return impl_->isDone; });
    }
    std::visit([](auto &role) { role->shutdown(); }, impl_->role);
}

std::uint16_t Daemon::controlPort() const
{
    return std::visit([](const auto &role) { return role->controlPort(); }, impl_->role);
}

std::uint16_t Daemon::httpPort() const
{
    return std::visit([](const auto &role) { return role->httpPort(); }, impl_->role);
}

} // namespace anvilscale
