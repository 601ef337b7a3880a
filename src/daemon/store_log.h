// Log lines and metrics of an entry's calls to the platform's store.
#pragma once

#include "crash_reporter.h"

#include "anvilscale/telemetry.h"

namespace anvilscale {

/// Not thread-safe.
class StoreLog
{
public:
    StoreLog();
    /// `sinceLastAnswer`: time since the previous answer. `isRecovery`: calls have failed in between.
    void answered(Duration sinceLastAnswer, bool isRecovery);
    void failed(const StoreFailure &failure);
    void restored(std::uint64_t era);
    void confirmationFailed(StoreFailureKind kind);
    void recordsRejected(std::size_t records);
    void crashReportsWritten(std::size_t reports);
    void crashReportFailed(StoreFailureKind kind, std::uint32_t status, bool isFirst);
    void crashReportDropped();
    void softwareVersionFailed(StoreFailureKind kind, std::uint32_t status, bool isFirst);
    void appendMetrics(MetricsText &text) const;

private:
    HistogramMetric answerInterval_;
    std::uint64_t answers_ = 0;
    Counters<StoreFailureKind> failures_;
    std::uint64_t restores_ = 0;
    Counters<StoreFailureKind> confirmationFailures_;
    std::uint64_t rejectedRecords_ = 0;
    std::uint64_t writtenReports_ = 0;
    std::uint64_t droppedReports_ = 0;
    Counters<StoreFailureKind> reportFailures_;
    Counters<StoreFailureKind> softwareVersionFailures_;
};

} // namespace anvilscale
