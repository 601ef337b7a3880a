// StoreLog: log lines and metrics.
#include "store_log.h"

namespace anvilscale {

namespace {

const std::vector<double> intervalBucketBounds{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 30};

} // namespace

StoreLog::StoreLog()
    : answerInterval_("anvilscale_store_unheard_seconds", "time between two answers of the store", intervalBucketBounds)
{
}

void StoreLog::answered(Duration sinceLastAnswer, bool isRecovery)
{
    ++answers_;
    answerInterval_.record(std::chrono::duration<double>(sinceLastAnswer).count());
    if (isRecovery) {
        logEvent(Event::KeyValueBack, {{"unheardMs", toMilliseconds(sinceLastAnswer)}});
    }
}

void StoreLog::failed(const StoreFailure &failure)
{
    failures_.add(failure.kind);
    logEvent(failure.isFirst ? Event::KeyValueDown : Event::StoreCallFailed,
             {{"call", failure.isWatch ? "watch" : "read"},
              {"failure", std::string(toString(failure.kind))},
              {"status", std::uint64_t{failure.status}},
              {"tookMs", toMilliseconds(failure.elapsed)},
              {"unheardMs", toMilliseconds(failure.sinceLastAnswer)}});
}

void StoreLog::restored(std::uint64_t era)
{
    ++restores_;
    logEvent(Event::StoreRestored, {{"era", era}});
}

void StoreLog::confirmationFailed(StoreFailureKind kind)
{
    confirmationFailures_.add(kind);
    logEvent(Event::StoreCallFailed, {{"call", "confirmation"}, {"failure", std::string(toString(kind))}});
}

void StoreLog::recordsRejected(std::size_t records)
{
    rejectedRecords_ += records;
}

void StoreLog::crashReportsWritten(std::size_t reports)
{
    writtenReports_ += reports;
}

void StoreLog::crashReportFailed(StoreFailureKind kind, std::uint32_t status, bool isFirst)
{
    reportFailures_.add(kind);
    if (isFirst) {
        logEvent(Event::CrashReportFailed,
                 {{"failure", std::string(toString(kind))}, {"status", std::uint64_t{status}}});
    }
}

void StoreLog::crashReportDropped()
{
    ++droppedReports_;
}

void StoreLog::softwareVersionFailed(StoreFailureKind kind, std::uint32_t status, bool isFirst)
{
    softwareVersionFailures_.add(kind);
    if (isFirst) {
        logEvent(Event::SoftwareVersionFailed,
                 {{"failure", std::string(toString(kind))}, {"status", std::uint64_t{status}}});
    }
}

void StoreLog::appendMetrics(MetricsText &text) const
{
    text.add(answerInterval_);
    text.counter("anvilscale_store_answers_total", "answered calls to the store", answers_);
    text.counters("anvilscale_store_failures_total", "failed calls to the store", "failure", failures_);
    text.counter("anvilscale_store_restores_total", "times that the store came back from an older copy", restores_);
    text.counters("anvilscale_store_confirmation_failures_total", "failed reads of the store for resumed calls",
                  "failure", confirmationFailures_);
    text.counter("anvilscale_store_records_rejected_total", "records of the store that could not be read, by reading",
                 rejectedRecords_);
    text.counter("anvilscale_crash_reports_total", "crash reports that the store has taken", writtenReports_);
    text.counter("anvilscale_crash_reports_dropped_total", "crash reports given up while the store was away",
                 droppedReports_);
    text.counters("anvilscale_crash_report_failures_total", "failed calls that write crash reports", "failure",
                  reportFailures_);
    text.counters("anvilscale_software_version_failures_total", "failed calls that write records of software versions",
                  "failure", softwareVersionFailures_);
}

} // namespace anvilscale
