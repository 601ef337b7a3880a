// Blocking access to the configuration in the key-value service, for command-line tools.
#pragma once

#include "command.h"
#include "config.pb.h"

#include "anvilscale/platform.h"
#include "anvilscale/state.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace anvilscale {

/// Current monotonic and wall-clock time.
Now currentTime();
/// Returns a nondeterministic seed. Prevents concurrent operators from generating equal change ids or retrying in
/// lockstep.
std::uint64_t randomSeed();

/// Runs key-value operations one at a time and blocks until each completes or the timeout of the command expires.
class KeyValueSession
{
public:
    explicit KeyValueSession(const CtlOptions &options);

    /// Updates the store to the head and returns its revision.
    tl::expected<std::uint64_t, ConfigError> readHead(ConfigStore &store);
    /// Appends a change, updates the store to the new revision and returns it.
    tl::expected<std::uint64_t, ConfigError> apply(ConfigStore &store, std::vector<config::Change> changes,
                                                   const std::string &changeId, std::optional<std::uint64_t> expected,
                                                   std::uint32_t schemaVersionOfAll);
    /// Writes a snapshot if one is due. Errors are ignored; a later compaction retries.
    void compact(ConfigStore &store);
    /// Reads the entries of [key, rangeEnd).
    tl::expected<std::vector<KvEntry>, ConfigError> range(const std::string &key, const std::string &rangeEnd);

private:
    using Outcome = std::optional<tl::expected<std::uint64_t, ConfigError>>;
    using StartWriter = std::function<void(ConfigWriter &, Now)>;

    tl::expected<std::uint64_t, ConfigError> runWriter(ConfigStore &store, std::uint32_t snapshotEvery,
                                                       std::uint32_t schemaVersionOfAll,
                                                       const StartWriter &startWriter);
    std::optional<KvReply> nextReply(TimePoint deadline);

    const CtlOptions &options_;
    const TimePoint deadline_;
    TimerService timers_;
    std::mutex mutex_; // guards replies_
    std::condition_variable replyAvailable_;
    std::deque<KvReply> replies_;
    EtcdGateway gateway_; // declared last: its threads use the members above
};

} // namespace anvilscale
