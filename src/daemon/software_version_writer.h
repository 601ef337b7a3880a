// Writes records of software versions to the platform's store, from which all entries read them.
#pragma once

#include "store_caller.h"

#include <deque>

namespace anvilscale {

/// Retries records until the store has accepted them. A removal that the store refuses is dropped: the record may have
/// changed, and the entry decides again. Use from the loop's thread only.
template<SoftwareVersionDialect Dialect, class Loop = EventLoop, StoreClient Client = HttpClient>
class SoftwareVersionWriter
{
public:
    using FailureHandler = std::function<void(StoreFailureKind, std::uint32_t status, bool isFirst)>;

    SoftwareVersionWriter(Loop &loop, const StoreCallerInit &init, FailureHandler failed)
        : caller_(loop, init, callerHandlers(std::move(failed)))
    {
    }

    void write(SoftwareVersionWrite write)
    {
        const auto isSame = [&](const SoftwareVersionWrite &other) {
            return other.service == write.service && other.softwareVersion == write.softwareVersion;
        };
        if (std::any_of(pending_.begin(), pending_.end(), isSame) || pending_.size() >= maxPending) {
            return; // the entry repeats it
        }
        pending_.push_back(std::move(write));
        if (!isBusy_) {
            isBusy_ = true;
            caller_.schedule(Duration(0));
        }
    }

private:
    static constexpr std::size_t maxPending = 64;

    StoreCallerHandlers callerHandlers(FailureHandler failed)
    {
        StoreCallerHandlers handlers;
        handlers.due = [this] { writeNext(); };
        handlers.refused = [this](StoreStatus) {
            if (!pending_.empty() && pending_.front().kind == SoftwareVersionWrite::Kind::Remove) {
                pending_.pop_front();
            }
        };
        handlers.failed = std::move(failed);
        return handlers;
    }

    void writeNext()
    {
        isBusy_ = !pending_.empty();
        if (!isBusy_) {
            return;
        }
        caller_.call(Dialect::softwareVersionRequest(pending_.front()),
                     [this](const HttpResponseHead & /*head*/, const std::string &body) {
                         if (!Dialect::readWriteRevision(body)) {
                             caller_.fail(StoreFailureKind::Unreadable); // a cut answer acknowledges nothing
                             return;
                         }
                         pending_.pop_front();
                         caller_.succeeded();
                         writeNext();
                     });
    }

    std::deque<SoftwareVersionWrite> pending_; // the first one is being written while isBusy_
    bool isBusy_ = false; // a call is in progress or scheduled
    StoreCaller<Dialect, Loop, Client> caller_;
};

} // namespace anvilscale
