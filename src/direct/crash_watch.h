// Tells crashes of endpoints from broken calls, and answers that an endpoint survives from those that it does not.
#pragma once

#include "endpoint_table.h"
#include "part_quarantine.h"

namespace anvilscale {

/// The process of an endpoint that a call was sent to.
struct CalledProcess
{
    std::string endpointId;
    std::uint64_t startTimeMs = 0; // 0 if unknown
    std::uint64_t generation = 0; // of its EndpointEntry
};

/// A process that has ended with calls in progress.
struct EndedProcess
{
    CalledProcess process;
    std::vector<SuspectPrompt> prompts; // of these calls, never empty
};

/// An answer that its endpoint has survived.
struct SurvivedAnswer
{
    std::vector<PartFingerprint> parts;
    std::uint64_t lastCrash = 0; // see PartQuarantine, when the call was sent
};

/// Waits for what the sidecar of an engine reports after a call has broken off or an answer has begun: a process that
/// garbles or cuts answers and goes on has not crashed, and the break of a crash may arrive late.
class CrashWatch
{
public:
    void onBroken(const CalledProcess &process, SuspectPrompt prompt, TimePoint now);
    void onAnswerBegan(CallHandle call, const CalledProcess &process, SurvivedAnswer answer, TimePoint now);
    /// The endpoint has answered with an error: it may not have read the prompt.
    void onFailed(CallHandle call);
    void check(EndpointTable &endpoints, TimePoint now);
    std::vector<EndedProcess> takeEnded();
    std::vector<SurvivedAnswer> takeSurvived();
    /// Number of processes that broke calls off and went on.
    std::uint64_t brokenOnly() const;

private:
    struct BrokenProcess
    {
        EndedProcess calls;
        TimePoint brokenAt;
    };
    struct BegunAnswer
    {
        CallHandle call;
        CalledProcess process;
        SurvivedAnswer answer;
        TimePoint begunAt;
    };

    static constexpr std::size_t maxPrompts = 32; // of one process
    static constexpr std::size_t maxAnswers = 1024;

    std::map<std::uint64_t, BrokenProcess> broken_; // by generation
    std::vector<BegunAnswer> begun_;
    std::vector<EndedProcess> ended_;
    std::vector<SurvivedAnswer> survived_;
    std::uint64_t brokenOnly_ = 0;
};

} // namespace anvilscale
