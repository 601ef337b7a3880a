// Keeps an entry's view of all slot tables: one read of the prefix, then a watch.
#pragma once

#include "anvilscale/platform.h"
#include "anvilscale/state.h"

#include <functional>
#include <string>

namespace anvilscale {

/// The control thread only.
class SlotTables
{
public:
    struct Init
    {
        std::string keyPrefix;
        Duration retry = Seconds(1); ///< after a failed read or a watch that ended; jittered
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
    };
    SlotTables(Init init, std::function<void(KvRequest)> submit,
               std::function<void(const config::SlotTable &, Now)> table);
    void start(Now now);
    void onReply(const KvReply &reply, Now now);

private:
    void read();
    void watch(std::int64_t from);
    void again(Now now);
    void take(const KvReply &reply, Now now);

    Init init_;
    std::function<void(KvRequest)> submit_;
    std::function<void(const config::SlotTable &, Now)> table_;
    Random random_;
    std::string first_;
    std::string end_;
    std::uint64_t last_ = 0;
    KvHandle reading_;
    KvHandle watching_;
};

} // namespace anvilscale
