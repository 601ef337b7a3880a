// SlotTables: reads the prefix, then watches it.
#include "slot_tables.h"

#include "config.pb.h"

namespace anvilscale {

SlotTables::SlotTables(Init init, std::function<void(KvRequest)> submit,
                       std::function<void(const config::SlotTable &, Now)> onTable)
    : init_(std::move(init))
    , submit_(std::move(submit))
    , onTable_(std::move(onTable))
    , random_(init_.seed)
    , firstKey_(init_.keyPrefix + "slots/")
    , endKey_(init_.keyPrefix + "slots0") // '0' follows '/': the end of the prefix range
{
}

void SlotTables::start(Now /*now*/)
{
    read();
}

void SlotTables::read()
{
    readId_ = KvHandle{++lastId_};
    watchId_ = KvHandle{};
    KvRequest request;
    request.id = readId_;
    request.op = KvOp::Range;
    request.key = firstKey_;
    request.rangeEnd = endKey_;
    submit_(std::move(request));
}

void SlotTables::watch(std::int64_t fromRevision)
{
    watchId_ = KvHandle{++lastId_};
    KvRequest request;
    request.id = watchId_;
    request.op = KvOp::Watch;
    request.key = firstKey_;
    request.rangeEnd = endKey_;
    request.startRevision = fromRevision;
    submit_(std::move(request));
}

void SlotTables::scheduleRead(Now now)
{
    readId_ = KvHandle{};
    watchId_ = KvHandle{};
    init_.timers->subscribe(now.mono + random_.jitter(init_.retry * 2), [this](TimePoint) { read(); });
}

void SlotTables::applyEntries(const KvReply &reply, Now now)
{
    for (const auto &entry : reply.entries) {
        config::SlotTable table;
        if (!entry.isDeleted && table.ParseFromString(entry.value)) {
            onTable_(table, now);
        }
    }
}

void SlotTables::onReply(const KvReply &reply, Now now)
{
    if (reply.id == readId_) {
        readId_ = KvHandle{};
        if (reply.status != KvStatus::Ok) {
            scheduleRead(now);
            return;
        }
        applyEntries(reply, now);
        watch(reply.storeRevision + 1);
        return;
    }
    if (reply.id != watchId_) {
        return;
    }
    if (reply.status != KvStatus::Ok) {
        scheduleRead(now);
        return;
    }
    applyEntries(reply, now);
}

} // namespace anvilscale
