// Writes crash reports of an entry to the platform's store, from which all entries read them.
#pragma once

#include "store_caller.h"

#include <deque>

namespace anvilscale {

struct CrashReporterInit
{
    NetAddress address; ///< of the store
    std::string name; ///< unique name of this process, different from all earlier processes
    StoreTimes times;
    std::uint64_t seed = 1;
};

/// Handlers of a CrashReporter, called from the loop's thread.
struct CrashReporterHandlers
{
    std::function<void(std::size_t reports)> written; ///< number of reports written by one call
    /// A call failed and is retried. `isFirst`: the call before it succeeded.
    std::function<void(StoreFailureKind, std::uint32_t status, bool isFirst)> failed;
    /// A report was dropped because the queue is full while the store is unavailable.
    std::function<void()> dropped;
};

/// Retries reports until the store has accepted them: entries that start later, or did not observe the crash, depend on
/// the store. Reports expire with a lease, so a terminated process leaves none behind.
/// Use from the loop's thread only.
template<CrashReportDialect Dialect, class Loop = EventLoop, StoreClient Client = HttpClient>
class CrashReporter
{
public:
    CrashReporter(Loop &loop, const CrashReporterInit &init, CrashReporterHandlers handlers)
        : loop_(loop)
        , name_(init.name)
        , handlers_(std::move(handlers))
        , caller_(loop, {init.address, init.times, init.seed}, callerHandlers())
    {
    }
    CrashReporter(const CrashReporter &) = delete;
    CrashReporter &operator=(const CrashReporter &) = delete;

    void report(CrashReport report)
    {
        enqueue(std::move(report));
    }
    void report(ClearanceReport report)
    {
        enqueue(std::move(report));
    }
    /// Writes all unexpired reports again. Called when the store has lost its last writes and leases.
    void rewriteReports()
    {
        lease_ = 0;
        const auto now = loop_.now();
        while (!writtenReports_.empty() && now - writtenReports_.front().writtenAt >= crashReportLifetime) {
            writtenReports_.pop_front();
        }
        if (writtenReports_.empty()) {
            return;
        }
        std::deque<NamedCrashReport> reports;
        for (auto &written : std::exchange(writtenReports_, {})) {
            reports.push_back(std::move(written.report));
        }
        // A name that was reused belongs to the newer report.
        std::erase_if(reports, [this](const NamedCrashReport &earlier) {
            return std::any_of(pending_.begin(), pending_.end(),
                               [&](const auto &pending) { return pending.name == earlier.name; });
        });
        pending_.insert(pending_.begin(), std::make_move_iterator(reports.begin()),
                        std::make_move_iterator(reports.end()));
        if (!isBusy_) {
            isBusy_ = true;
            caller_.scheduleWithJitter();
        }
    }

private:
    struct WrittenReport
    {
        NamedCrashReport report;
        TimePoint writtenAt;
    };

    // The calls interrupted by one crash fail within milliseconds: their reports share one write.
    static constexpr Duration batchDelay = Milliseconds(50);
    // Names are reused in rotation, which bounds the number of reports in the store.
    static constexpr std::uint64_t maxNames = 64;
    static constexpr std::size_t maxReportsPerCall = 32; // limit of the store

    StoreCallerHandlers callerHandlers()
    {
        StoreCallerHandlers handlers;
        handlers.due = [this] { writeNext(); };
        handlers.refused = [this](StoreStatus status) {
            if (status == StoreStatus::Missing) {
                lease_ = 0; // expired, or lost by the store
            }
        };
        handlers.failed = handlers_.failed;
        return handlers;
    }

    void enqueue(std::variant<CrashReport, ClearanceReport> report)
    {
        pending_.push_back({name_ + "-" + std::to_string(nextNumber_++ % maxNames), std::move(report)});
        if (pending_.size() > maxNames) {
            pending_.pop_front();
            handlers_.dropped();
        }
        if (!isBusy_) {
            isBusy_ = true;
            caller_.schedule(batchDelay);
        }
    }

    void writeNext()
    {
        if (pending_.empty()) {
            isBusy_ = false;
            return;
        }
        if (lease_ == 0 || loop_.now() >= leaseUsableUntil_) {
            requestLease();
        } else {
            writeReports();
        }
    }

    void requestLease()
    {
        // Used for new reports for half of its duration, so that the last one is valid for the other half.
        const auto leaseDuration = crashReportLifetime;
        caller_.call(Dialect::leaseRequest(leaseDuration),
                     [this, usableUntil = loop_.now() + leaseDuration / 2](const HttpResponseHead & /*head*/,
                                                                           const std::string &body) {
                         const auto lease = Dialect::readLease(body);
                         if (!lease) {
                             caller_.fail(StoreFailureKind::Unreadable);
                             return;
                         }
                         lease_ = *lease;
                         leaseUsableUntil_ = usableUntil;
                         writeNext();
                     });
    }

    void writeReports()
    {
        const auto count = std::min(pending_.size(), maxReportsPerCall);
        inFlight_.assign(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count));
        caller_.call(Dialect::crashReportsRequest(inFlight_, lease_),
                     [this](const HttpResponseHead & /*head*/, const std::string & /*body*/) {
                         handlers_.written(inFlight_.size());
                         caller_.succeeded();
                         markWritten();
                         writeNext();
                     });
    }

    /// Reports may have been added or dropped during the write.
    void markWritten()
    {
        for (auto &namedReport : inFlight_) {
            if (!pending_.empty() && pending_.front().name == namedReport.name) {
                pending_.pop_front();
            }
            std::erase_if(writtenReports_,
                          [&](const WrittenReport &earlier) { return earlier.report.name == namedReport.name; });
            writtenReports_.push_back({std::move(namedReport), loop_.now()});
        }
    }

    Loop &loop_;
    std::string name_;
    CrashReporterHandlers handlers_;
    std::deque<NamedCrashReport> pending_; // oldest first; invariant: at most maxNames, unique names
    std::vector<NamedCrashReport> inFlight_; // written by the current call
    std::deque<WrittenReport> writtenReports_; // oldest first; invariant: unique names
    std::uint64_t nextNumber_ = 0; // number of the next report
    bool isBusy_ = false; // a call is in progress or scheduled
    std::uint64_t lease_ = 0; // 0 if none
    TimePoint leaseUsableUntil_{}; // end of its use for new reports
    StoreCaller<Dialect, Loop, Client> caller_;
};

} // namespace anvilscale
