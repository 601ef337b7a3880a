// Workspace library: identifies workspaces by the keys of their callers, and limits each workspace to its allowance
// over all entries. No I/O, threads or clocks: time and messages are passed in, messages and decisions are returned.
#pragma once

#include "wire.pb.h"

#include "anvilscale/base.h"

#include <bitset>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilscale {

// ---- keys

/// SHA-256 digest of a caller's key. The keys themselves are not kept, and lookups by digest take a time that says
/// nothing about them.
struct KeyDigest
{
    std::array<std::uint8_t, 32> bytes{};
    auto operator<=>(const KeyDigest &) const = default; // NOLINT(modernize-use-nullptr): not a pointer

    /// 64 hexadecimal digits.
    std::string text() const;
    /// Parses the text form; empty for any other text.
    static std::optional<KeyDigest> read(std::string_view text);
};
KeyDigest digestKey(std::string_view key);

struct KeyDigestHash
{
    std::size_t operator()(const KeyDigest &digest) const noexcept;
};

/// Unit in which the calls of a workspace are counted.
enum class AllowanceUnit : std::uint8_t {
    Calls,
    Tokens,
    Count
};
template<>
struct EnumNames<AllowanceUnit>
{
    static constexpr std::array<std::string_view, enumCount<AllowanceUnit>> table{"calls", "tokens"};
};

/// What a workspace may use, summed over all entries.
struct Allowance
{
    double ratePerSecond = 0; ///< in units of the allowance; 0: unlimited
    double burst = 0; ///< units beyond the rate, saved while less is used
    AllowanceUnit unit = AllowanceUnit::Calls;
    double defaultTokens = 0; ///< tokens counted for a call that does not say its own

    bool isLimited() const
    {
        return ratePerSecond > 0;
    }
    /// Units that a call of so many tokens counts for. `tokens` is empty if the call does not say.
    double cost(std::optional<std::uint64_t> tokens) const;
    bool operator==(const Allowance &) const = default;
};

struct Workspace
{
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> priority; ///< replaces the priority of the route; 0 is the most urgent
    Allowance allowance;
};

/// Workspaces of one configuration, by name and by key.
class WorkspaceTable
{
public:
    WorkspaceTable() = default;
    explicit WorkspaceTable(std::vector<Workspace> workspaces);
    /// Returns nullptr if no workspace has the key. The first workspace of the configuration has a key that several
    /// list.
    const Workspace *findByKey(const KeyDigest &key) const;
    const Workspace *find(const std::string &name) const;

private:
    std::vector<Workspace> workspaces_;
    std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> byKey_; // index into workspaces_
    std::unordered_map<std::string, std::size_t> byName_; // index into workspaces_
};

// ---- allowances
//
// Each entry is entitled to an equal part of a workspace's allowance. Entries pool their parts at a sidecar, which
// gives credit to those of them that have calls. All entries normally select the same sidecar, so that the pool holds
// the whole allowance. Entries that select different ones divide it, and never use more than the whole: the sum of the
// parts is bounded without any agreement about who owns a pool.

/// Number of groups into which workspaces are divided. The pools of a group are at one sidecar.
constexpr std::uint32_t allowanceGroups = 4;
std::uint32_t allowanceGroup(std::string_view workspace);

/// Safeguards of the bound on a workspace's use. Disabled in tests only, to show that each is needed.
enum class AllowanceSafeguard : std::uint8_t {
    PartOfMembers, ///< a pool holds the parts of its members only
    EmptyStart, ///< a new pool starts without the savings of another one
    MemberTimeout, ///< members that are not heard lose their part
    Count
};
template<>
struct EnumNames<AllowanceSafeguard>
{
    static constexpr std::array<std::string_view, enumCount<AllowanceSafeguard>> table{"part_of_members", "empty_start",
                                                                                       "member_timeout"};
};

/// Limits of the protocol between entries and pools. The use of a workspace in any period of length W is at most
/// rate * (W + creditLifetime + memberTimeout) + burst, one call more for each pool, and `initialSavings` for each
/// start of a pool.
struct AllowanceTimes
{
    Duration creditLifetime{}; ///< from the request for credit until unused credit lapses
    Duration memberTimeout{}; ///< a pool counts an entry as its member for so long after a message
    Duration keepAlive{}; ///< interval of an entry's messages to the pools that it uses
    Duration answerTimeout{}; ///< time after which an entry takes a silent pool for lost
    double initialSavings = 0; ///< units of each workspace that a new pool may grant at once
    std::bitset<enumCount<AllowanceSafeguard>> disabled; ///< safeguards disabled by tests

    bool has(AllowanceSafeguard safeguard) const
    {
        return !disabled.test(static_cast<std::size_t>(safeguard));
    }
};

/// Derives the limits from the tolerance of the deployment: use may exceed the allowance by `overage` (a share) and by
/// `slack` units in a period of length `window`.
AllowanceTimes allowanceTimes(Duration window, double overage, double slack = 0);

/// Token bucket that may hold a part of an allowance.
class AllowanceBucket
{
public:
    /// Starts empty at `now`. `savings` can be taken once, when the bucket has too little.
    explicit AllowanceBucket(TimePoint now, double savings = 0);
    /// Adds what has accrued since the last call. `part` is the share of the allowance that the bucket holds.
    void refill(const Allowance &allowance, double part, TimePoint now);
    /// Takes `cost` if there is enough. A cost beyond the bucket's size is taken from a full bucket, which then owes
    /// the rest.
    bool take(double cost);
    void giveBack(double amount);
    /// Negative while it owes.
    double balance() const;
    double ratePerSecond() const;
    /// Time until `cost` can be taken, if nobody else takes any.
    Duration timeUntil(double cost) const;

private:
    double balance_ = 0;
    double savings_ = 0; // left of those of the start
    double size_ = 0; // invariant: balance_ <= size_
    double ratePerSecond_ = 0;
    TimePoint refilledAt_;
};

/// Pools of one sidecar.
class AllowancePools
{
public:
    explicit AllowancePools(AllowanceTimes times);
    /// Answers an entry's request for credit.
    wire::AllowanceAnswer answer(const wire::AllowanceAsk &ask, TimePoint now);

private:
    struct Member
    {
        std::bitset<allowanceGroups> groups; // pooled here
        TimePoint heardAt;
    };
    struct Pool
    {
        Pool(TimePoint now, double savings)
            : bucket(now, savings)
        {
        }
        AllowanceBucket bucket;
        Allowance allowance;
        std::uint64_t configVersion = 0; // of the allowance; the highest one heard
        TimePoint promisedUntil{}; // the last refused caller was told to return then
        TimePoint askedAt{}; // of the last message that needed it
    };

    void recordMember(const wire::AllowanceAsk &ask, TimePoint now);
    void startEmpty(std::uint32_t group, TimePoint now);
    std::uint32_t countMembers(std::uint32_t group, TimePoint now) const;
    std::uint32_t countNamedEntries(TimePoint now) const;
    double partOf(std::uint32_t group, TimePoint now) const;
    Pool &refillPool(const wire::AllowanceNeed &need, std::uint64_t configVersion, TimePoint now);
    void dropIdlePools(TimePoint now);
    wire::AllowanceGrant grant(const wire::AllowanceNeed &need, Pool &pool, TimePoint now) const;
    static Duration promise(double cost, Pool &pool, TimePoint now);

    AllowanceTimes times_;
    std::map<std::string, Member> members_; // entries heard lately, by name
    std::array<TimePoint, allowanceGroups> memberSince_{}; // when the group got its first member
    std::map<std::string, Pool> pools_; // by workspace
    std::uint32_t reportedEntries_ = 0; // largest number that an entry has reported lately
    TimePoint reportedUntil_{};
};

/// Decision on a call that was kept until its credit was known.
struct AllowanceDecision
{
    CallHandle call;
    RefusalReason refusal = RefusalReason::None; ///< None: the call may run
    Duration retryAfter{};
    TimePoint creditUntil{}; ///< when the credit of a granted call lapses
};

/// Message to the sidecar at an address.
struct AllowanceRequest
{
    std::string address;
    wire::AllowanceAsk ask;
};

enum class ChargeResult : std::uint8_t {
    Granted,
    Pending, ///< a decision follows
    Refused,
    Count
};

struct Charge
{
    ChargeResult result = ChargeResult::Granted;
    RefusalReason refusal = RefusalReason::None;
    Duration retryAfter{};
    TimePoint creditUntil{}; ///< when the credit of a granted call lapses
};

struct AllowanceStats
{
    std::uint64_t asks = 0; ///< messages to pools
    std::uint64_t waits = 0; ///< calls that waited for credit
    std::uint64_t lostPools = 0; ///< pools that did not answer
    std::uint64_t ownPart = 0; ///< calls charged to this entry's own part, without a pool
};

/// Credit of one entry for the calls of all workspaces.
class AllowanceAccounts
{
public:
    AllowanceAccounts(std::string entryName, AllowanceTimes times);

    /// `standalone`: no sidecar will ever hold a pool, and this entry uses the whole allowance.
    void applyConfig(std::uint64_t configVersion, bool standalone);
    /// Selects the sidecar that holds the pools of a group; empty if none is reachable.
    void setPoolAddress(std::uint32_t group, const std::string &address, TimePoint now);
    /// False if neither a pool nor the number of entries is known: a charged call would wait in vain.
    bool canDecide(const std::string &workspace, TimePoint now) const;
    const std::string &poolAddress(std::uint32_t group) const;
    /// Charges a call to its workspace.
    Charge charge(const Workspace &workspace, CallHandle call, double cost, TimePoint now);
    /// The caller of a pending call is gone.
    void cancel(const std::string &workspace, CallHandle call);
    /// A charged call was not run. Its credit can be used again until it lapses.
    void refund(const std::string &workspace, double cost, TimePoint creditUntil, TimePoint now);
    void onAnswer(const std::string &address, const wire::AllowanceAnswer &answer, TimePoint now);
    /// The connection to the sidecar was lost. Requests to it are repeated at the next one.
    void onPoolLost(const std::string &address);
    /// Called about every 50 ms.
    void tick(TimePoint now);

    std::vector<AllowanceDecision> takeDecisions();
    std::vector<AllowanceRequest> takeRequests(TimePoint now);
    /// Sidecars that have not answered in time since the last call.
    std::vector<std::string> takeSilentPools();
    const AllowanceStats &stats() const;

private:
    struct Portion
    {
        double amount = 0;
        TimePoint expiresAt;
    };
    struct PendingCall
    {
        CallHandle call;
        double cost = 0;
        TimePoint since;
        bool isAsked = false; // part of the request under way
    };
    struct Account
    {
        Allowance allowance;
        std::uint32_t group = 0;
        std::deque<Portion> portions; // by time of expiry
        std::deque<PendingCall> pending; // in order of arrival
        double returned = 0; // lapsed credit that the pool has not been told of
        double useRate = 0; // units a second, decayed
        double callCost = 0; // mean cost of a call, decayed
        TimePoint usedAt{};
        TimePoint refusedUntil{}; // the pool cannot grant refusedCost until then
        double refusedCost = 0;
        TimePoint retryAt{}; // told to the refused callers
        std::uint64_t askNumber = 0; // of the request under way; 0 if none
        std::optional<AllowanceBucket> ownPart; // exists while the group has no pool
    };
    struct Pool
    {
        std::string address; // empty if there is none
        TimePoint sentAt{}; // of the last message
    };
    struct SentAsk
    {
        std::string address;
        TimePoint sentAt;
        TimePoint silentAt; // the pool is lost if it has not answered by then
    };

    Account &accountOf(const Workspace &workspace);
    std::optional<TimePoint> spend(Account &account, double cost, TimePoint now);
    static void dropLapsed(Account &account, TimePoint now);
    static void returnAll(Account &account);
    static void addPortion(Account &account, double amount, TimePoint expiresAt);
    Charge chargeOwnPart(Account &account, double cost, TimePoint now);
    void settle(Account &account, const wire::AllowanceGrant &grant, TimePoint expiresAt, TimePoint now);
    void refusePendingSince(Account &account, TimePoint latest);
    void settleWithoutPool(std::uint32_t group, TimePoint now);
    void recordUse(Account &account, double cost, TimePoint now) const;
    static bool isIdle(const Account &account, TimePoint now);
    double desiredReserve(const Account &account, TimePoint now) const;
    void dropPool(const std::string &address);
    void leavePool(std::uint32_t group);
    void addNeeds(wire::AllowanceAsk &ask, std::uint32_t group, TimePoint now);
    bool needsCredit(std::uint32_t group) const;

    std::string entryName_;
    AllowanceTimes times_;
    std::uint64_t configVersion_ = 0;
    bool isStandalone_ = false;
    std::array<Pool, allowanceGroups> pools_;
    std::map<std::string, Account> accounts_; // by workspace
    std::map<std::uint64_t, SentAsk> sentAsks_; // messages without an answer, by number
    std::uint64_t lastAsk_ = 0;
    std::uint32_t knownEntries_ = 0; // largest number that a pool has reported lately; 0 if none has
    TimePoint knownUntil_{};
    TimePoint tickedAt_{};
    std::vector<AllowanceDecision> decisions_;
    std::vector<std::string> silentPools_;
    AllowanceStats stats_;
};

} // namespace anvilscale
