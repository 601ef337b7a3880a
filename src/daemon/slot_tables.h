// Watches all slot tables in the key-value service.
#pragma once

#include "anvilscale/platform.h"
#include "anvilscale/state.h"

#include <functional>
#include <string>

namespace anvilscale {

/// Reports each table to a callback, from one read of the prefix and the watch that follows. Control thread only.
class SlotTables
{
public:
    struct Init
    {
        std::string keyPrefix;
        Duration retry = Seconds(1); ///< mean delay before the next read after a failure or the end of a watch
        TimerService *timers = nullptr;
        std::uint64_t seed = 1;
    };
    SlotTables(Init init, std::function<void(KvRequest)> submit,
               std::function<void(const config::SlotTable &, Now)> onTable);
    void start(Now now);
    void onReply(const KvReply &reply, Now now);

private:
    void read();
    void watch(std::int64_t fromRevision);
    void scheduleRead(Now now);
    void applyEntries(const KvReply &reply, Now now);

    Init init_;
    std::function<void(KvRequest)> submit_;
    std::function<void(const config::SlotTable &, Now)> onTable_;
    Random random_;
    std::string firstKey_;
    std::string endKey_;
    std::uint64_t lastId_ = 0;
    KvHandle readId_;
    KvHandle watchId_;
};

} // namespace anvilscale
