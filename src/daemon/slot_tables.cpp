// Reads and watches the slot tables.
#include "slot_tables.h"

#include "config.pb.h"

namespace anvilscale {

SlotTables::SlotTables(Init init, std::function<void(KvRequest)> submit,
                       std::function<void(const config::SlotTable &, Now)> table)
    : init_(std::move(init))
    , submit_(std::move(submit))
    , table_(std::move(table))
    , random_(init_.seed)
    , first_(init_.keyPrefix + "slots/")
    , end_(init_.keyPrefix + "slots0") // the next character after the slash: the end of the prefix
{
}

void SlotTables::start(Now /*now*/)
{
    read();
}

void SlotTables::read()
{
    reading_ = KvHandle{++last_};
    watching_ = KvHandle{};
    KvRequest request;
    request.id = reading_;
    request.op = KvOp::Range;
    request.key = first_;
    request.rangeEnd = end_;
    submit_(std::move(request));
}

void SlotTables::watch(std::int64_t from)
{
    watching_ = KvHandle{++last_};
    KvRequest request;
    request.id = watching_;
    request.op = KvOp::Watch;
    request.key = first_;
    request.rangeEnd = end_;
    request.startRevision = from;
    submit_(std::move(request));
}

void SlotTables::again(Now now)
{
    reading_ = KvHandle{};
    watching_ = KvHandle{};
    init_.timers->subscribe(now.mono + random_.jitter(init_.retry * 2), [this](TimePoint) { read(); });
}

void SlotTables::take(const KvReply &reply, Now now)
{
    for (const auto &entry : reply.entries) {
        config::SlotTable table;
        if (!entry.deleted && table.ParseFromString(entry.value)) {
            table_(table, now);
        }
    }
}

void SlotTables::onReply(const KvReply &reply, Now now)
{
    if (reply.id == reading_) {
        reading_ = KvHandle{};
        if (reply.status != KvStatus::Ok) {
            again(now);
            return;
        }
        take(reply, now);
        watch(reply.storeRevision + 1);
        return;
    }
    if (reply.id != watching_) {
        return;
    }
    if (reply.status != KvStatus::Ok) {
        again(now);
        return;
    }
    take(reply, now);
}

} // namespace anvilscale
