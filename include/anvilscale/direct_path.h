// Platform interface of the direct path: the concepts that an adapter satisfies and the types exchanged with it.
#pragma once

#include "anvilscale/direct.h"
#include "anvilscale/net.h"

#include <concepts>

namespace anvilscale {

/// Why a request cannot be parsed as a call.
enum class CallParseError : std::uint8_t {
    NoRequestId,
    BadTimeLeft,
    BadModel,
    Count
};
template<>
struct EnumNames<CallParseError>
{
    static constexpr std::array<std::string_view, enumCount<CallParseError>> table{"no_request_id", "bad_time_left",
                                                                                   "bad_model"};
};

/// Meaning of the response head of an endpoint.
enum class AnswerKind : std::uint8_t {
    Success, ///< response of the endpoint, forwarded to the caller
    OwnFailure, ///< error response of the endpoint after it ran the call
    Refused, ///< the endpoint reports that it has not run the call
    Foreign, ///< response to another request, or not from an endpoint
    Count
};
template<>
struct EnumNames<AnswerKind>
{
    static constexpr std::array<std::string_view, enumCount<AnswerKind>> table{"success", "own_failure", "refused",
                                                                               "foreign"};
};

struct EndpointAnswer
{
    AnswerKind kind = AnswerKind::Foreign;
    EndpointRefusal refusal = EndpointRefusal::None;
    bool namesRequest = false; ///< carries the id of the request
    bool isEventStream = false; ///< an event stream: forwarded as it arrives
    EndpointNotice notice; ///< empty if another endpoint than the addressed one answered
};

/// Result of a call to the store.
enum class StoreStatus : std::uint8_t {
    Ok,
    HistoryGone, ///< the history requested by a watch has been compacted: a full read is needed
    Missing, ///< the record or lease does not exist
    Unavailable, ///< the store has not performed the call
    Count
};

/// Position in the history of the store. Revisions are comparable only within an era: a store restored from a backup
/// reuses them.
struct StorePosition
{
    std::uint64_t era = 0; ///< increases with each restore; 0 if unknown
    std::uint64_t revision = 0;
};

/// A record that was skipped, for the log.
struct RecordRejection
{
    std::string key; ///< the beginning of it, if it is long
    std::string reason;
};

/// One page of the store's records.
struct StorePage
{
    std::vector<StoreRecord> records;
    std::uint64_t revision = 0; ///< revision of the store
    bool hasMore = false; ///< further pages follow `lastKey`
    std::string lastKey;
    std::size_t rejectedRecords = 0; ///< unreadable records, which were skipped
    std::vector<RecordRejection> rejections; ///< the first of them
};

/// One change in the store, parsed and in its encoded form.
struct StoreChange
{
    StoreRecord record;
    std::uint64_t revision = 0; ///< revision of the store at the change
    std::string encoded;
};

/// Changes of the store in revision order.
struct StoreChanges
{
    std::uint64_t revision = 0; ///< revision up to which the changes are complete
    std::vector<StoreChange> items; ///< without records that the system does not use
};

/// A report on crashes with its unique name. Writing the same name again replaces the report.
struct NamedCrashReport
{
    std::string name;
    std::variant<CrashReport, ClearanceReport> report;
};

/// Requests to the store and parsing of its responses.
template<class T>
concept StoreDialect = requires(const std::string &text, Duration span, std::uint64_t number,
                                const HttpResponseHead &head)
{
    /// Era of the store from the head of any response; 0 if unknown.
    {
        T::storeEra(head)
        } -> std::same_as<std::uint64_t>;
    /// Reads the records after a key. `mayBeOld`: accepts data that is some seconds old, which costs the store about a
    /// tenth.
    {
        T::rangeRequest(text, bool{})
        } -> std::same_as<EndpointRequest>;
    {
        T::watchRequest(number, span)
        } -> std::same_as<EndpointRequest>;
    {
        T::readRange(text)
        } -> std::same_as<std::optional<StorePage>>;
    {
        T::readWatch(text)
        } -> std::same_as<std::optional<StorePage>>;
    {
        T::storeStatus(std::uint32_t{})
        } -> std::same_as<StoreStatus>;
};

/// Operations with which one process watches the store for others.
template<class T>
concept SharedStoreDialect = StoreDialect<T> && requires(const std::string &text, std::uint64_t number,
                                                         const std::vector<std::string> &texts)
{
    /// Splits the response to a watch into its changes.
    {
        T::splitWatch(text)
        } -> std::same_as<std::optional<StoreChanges>>;
    /// Joins changes into a response that readWatch parses.
    {
        T::joinWatch(number, texts)
        } -> std::same_as<std::string>;
};

/// Requests that write crash reports. All of them may be repeated if unanswered.
template<class T>
concept CrashReportDialect = requires(const std::string &text, Duration span, std::uint64_t number,
                                      const std::vector<NamedCrashReport> &reports)
{
    {
        T::leaseRequest(span)
        } -> std::same_as<EndpointRequest>;
    /// Returns no value if the body names no lease.
    {
        T::readLease(text)
        } -> std::same_as<std::optional<std::uint64_t>>;
    /// Writes all reports or none. They expire with the lease.
    {
        T::crashReportsRequest(reports, number)
        } -> std::same_as<EndpointRequest>;
    {
        T::storeStatus(std::uint32_t{})
        } -> std::same_as<StoreStatus>;
};

/// Changes of the records of software versions. All of them may be repeated if unanswered.
template<class T>
concept SoftwareVersionDialect = requires(const SoftwareVersionWrite &write, const std::string &body)
{
    /// Revision of the write; empty if the body names none.
    {
        T::readWriteRevision(body)
        } -> std::same_as<std::optional<std::uint64_t>>;
    {
        T::softwareVersionRequest(write)
        } -> std::same_as<EndpointRequest>;
    {
        T::storeStatus(std::uint32_t{})
        } -> std::same_as<StoreStatus>;
};

/// Writes that take a position in the store's history. They may be repeated if unanswered.
template<class T>
concept FencingDialect = requires(std::string_view holder, const std::string &body, const HttpResponseHead &head)
{
    /// `holder`: name of the process, shown to operators.
    {
        T::fencingRequest(holder)
        } -> std::same_as<EndpointRequest>;
    /// Revision of the write; empty if the body names none.
    {
        T::readWriteRevision(body)
        } -> std::same_as<std::optional<std::uint64_t>>;
    {
        T::storeEra(head)
        } -> std::same_as<std::uint64_t>;
    {
        T::storeStatus(std::uint32_t{})
        } -> std::same_as<StoreStatus>;
};

/// Adapter of the direct path to a platform. Stateless, no I/O.
template<class T>
concept DirectDialect =
    SharedStoreDialect<T> && CrashReportDialect<T> && FencingDialect<T> && SoftwareVersionDialect<T> && requires(
        const HttpRequestData &request, const SendCall &send, const HttpResponseHead &head, const EngineOrder &order,
        const std::string &text, std::string_view view, Duration span)
{
    {
        T::readCall(request)
        } -> std::same_as<tl::expected<CallInfo, CallParseError>>;
    {
        T::callRequest(request, send, span)
        } -> std::same_as<EndpointRequest>;
    {
        T::readAnswer(head, view, view)
        } -> std::same_as<EndpointAnswer>;
    {
        T::isReadinessCheck(request)
        } -> std::same_as<bool>;
    {
        T::orderRequest(order, view)
        } -> std::same_as<EndpointRequest>;
    {
        T::readOrderResult(head)
        } -> std::same_as<EngineOrderResult>;
    {
        T::incarnationOf(head)
        } -> std::same_as<std::string>;
    {
        T::reportRequest()
        } -> std::same_as<EndpointRequest>;
    {
        T::readReport(head, text)
        } -> std::same_as<std::optional<EngineStateReport>>;
};

} // namespace anvilscale
