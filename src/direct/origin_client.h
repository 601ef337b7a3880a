// Origins of streams at an entry: reports of its own streams to sidecars, and lookups of streams that it resumes.
#pragma once

#include "endpoint_table.h"

#include <deque>

namespace anvilscale {

/// End of a lookup.
struct OriginResult
{
    CallHandle call;
    std::optional<StreamOrigin> origin; // empty if no sidecar knows it
    bool isAnswered = false; // by all sidecars that were asked, of which there was one at least
};

class OriginClient
{
public:
    /// Records where a stream began, and reports it until `validUntil`. `key`: its request id or content key.
    void add(const std::string &key, const StreamOrigin &origin, TimePoint validUntil);
    /// Origin of a stream that began at this entry; nullptr if unknown.
    const StreamOrigin *find(const std::string &requestId, TimePoint now) const;
    /// Starts a lookup. Its result may be available at once. Of a content key, all that is known must agree.
    void lookUp(CallHandle call, const std::string &key, const EndpointTable &endpoints, TimePoint now);
    void onAnswer(const std::string &address, const wire::OriginAnswer &answer, TimePoint now);
    /// The connection to the sidecar was lost, or is a new one: the sidecar may have restarted.
    void onSidecarLost(const std::string &address, TimePoint now);
    /// Ends the wait for answers that are overdue. Called at nextCheckAt().
    void checkAnswers(const EndpointTable &endpoints, TimePoint now);
    std::optional<TimePoint> nextCheckAt() const;
    /// Reports that are due: of new streams, and of all to a sidecar that does not have them.
    std::vector<ReportOrigins> takeReports(const EndpointTable &endpoints, TimePoint now);
    std::vector<AskOrigin> takeAsks();
    std::vector<OriginResult> takeResults();
    std::uint64_t timeouts() const;

private:
    struct OwnStream
    {
        StreamOrigin origin;
        TimePoint validUntil;
        std::set<std::string> reportedTo; // addresses
    };
    struct Lookup
    {
        CallHandle call;
        std::string key;
        std::optional<StreamOrigin> known; // of a content key, ambiguous if answers differ
        std::deque<std::string> candidates; // addresses of sidecars to ask next
        std::set<std::string> unanswered; // addresses of sidecars that were asked
        std::size_t asked = 0;
        bool hasTimedOut = false;
        bool isExtended = false; // answerBy was set again after a pause of this process
        TimePoint answerBy{}; // while no sidecar has been asked: when they are selected again
    };

    static void selectCandidates(Lookup &lookup, const EndpointTable &endpoints, TimePoint now);
    static void addKnown(Lookup &lookup, const StreamOrigin &origin);
    void askNext(std::uint64_t number, Lookup &lookup, TimePoint now);
    void finish(std::uint64_t number, std::optional<StreamOrigin> origin);
    /// Asks further sidecars, or ends the lookup if there are none.
    void proceed(std::uint64_t number, TimePoint now);
    void selectHolders(const EndpointTable &endpoints, TimePoint now);
    void removeExpired(TimePoint now);

    std::unordered_map<std::string, OwnStream> streams_; // by request id and content key
    std::vector<std::string> unreported_; // keys of new streams
    std::array<std::vector<std::string>, allowanceGroups> holders_; // selected sidecars, by group
    bool hasHoldersChanged_ = false; // since all streams were last compared with them
    TimePoint nextSelectionAt_{};
    TimePoint nextSweepAt_{};
    std::map<std::uint64_t, Lookup> lookups_; // by number
    std::vector<AskOrigin> asks_;
    std::vector<OriginResult> results_;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t timeouts_ = 0;
};

} // namespace anvilscale
