// Configuration records for the fleets of the process tests.
#pragma once

#include "child_process.h"
#include "config.pb.h"

#include "anvilscale/net.h"
#include "anvilscale/platform.h"
#include "anvilscale/state.h"

#include <gtest/gtest.h>

#include <deque>
#include <mutex>

namespace fleet {

using namespace anvilscale; // NOLINT(google-build-using-namespace): test code

/// Writes configuration records through the real key-value adapter, as the operators' tool does.
class Configurator
{
public:
    explicit Configurator(unsigned keyValuePort)
        : gateway_({{"http://127.0.0.1:" + std::to_string(keyValuePort)}, Seconds(2), 1000.0},
                   [this](KvReply reply) { addReply(std::move(reply)); })
    {
    }
    ~Configurator()
    {
        gateway_.shutdown();
    }
    Configurator(const Configurator &) = delete;
    Configurator &operator=(const Configurator &) = delete;

    /// Returns the revision created by the records, or 0 if they were rejected.
    std::uint64_t apply(const std::vector<std::string> &records)
    {
        std::vector<config::Change> changes;
        for (const auto &record : records) {
            auto change = parseRecord(record);
            EXPECT_TRUE(change) << record << " " << toString(change.error().kind) << " " << change.error().path;
            if (!change) {
                return 0;
            }
            changes.push_back(std::move(*change));
        }
        std::optional<std::uint64_t> revision;
        ConfigWriter::Init init;
        init.author = "test";
        init.schemaVersionOfAll = 2;
        init.store = &store_;
        init.timers = &timers_;
        ConfigWriter writer(
            init, [this](KvRequest request) { gateway_.submit(std::move(request)); },
            [&](const ConfigWriter::Result &result, Now) { revision = result.value_or(0); });
        writer.apply(std::move(changes), "change-" + std::to_string(++changeCount_), std::nullopt, readClocks());
        eventually([&] {
            std::deque<KvReply> replies;
            {
                const std::lock_guard lock(mutex_);
                replies.swap(replies_);
            }
            for (const auto &reply : replies) {
                writer.onReply(reply, readClocks());
            }
            timers_.advance(readClocks().mono);
            return revision.has_value();
        });
        return revision.value_or(0);
    }

private:
    void addReply(KvReply reply)
    {
        const std::lock_guard lock(mutex_);
        replies_.push_back(std::move(reply));
    }

    ConfigStore store_;
    TimerService timers_;
    std::mutex mutex_;
    std::deque<KvReply> replies_;
    std::uint64_t changeCount_ = 0;
    EtcdGateway gateway_;
};

} // namespace fleet
