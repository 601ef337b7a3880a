// Membership from direct heartbeats and the VM list. Heartbeats take precedence over the lagging list, but leaving is
// final for an incarnation.
#include "advance_now.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace anvilscale {
namespace {

// Multiple of the suspect time after which a silent member that is no longer listed is removed.
constexpr int goneAfterSuspectTimes = 4;
// Upper bound of additional heartbeats that a repeatedly suspected member must send before it gets new work.
constexpr std::uint32_t maxExtraHeartbeats = 4;
// Multiple of the suspect time without suspicion after which earlier suspicions are discarded.
constexpr int steadySuspectTimes = 20;
// Incarnations of one name that are remembered as final, latest last: late messages are of the last ones.
constexpr std::size_t maxFinalIncarnations = 16;

} // namespace

struct Membership::Impl
{
    /// An incarnation that is not the greatest: a former one whose messages arrive late, or a later one that started
    /// after its clock was set back.
    struct Contender
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; // of its last heartbeat; 0 if not told
        TimePoint firstHeartbeatAt; // of the last ones without a gap
        TimePoint lastHeartbeatAt;
    };
    struct MemberEntry
    {
        Member member;
        std::optional<TimePoint> lastHeartbeatAt; // time of the last heartbeat of this incarnation
        TimePoint lastListedAt; // time of the last list that contained it
        bool isListed = false;
        bool isListedLeaving = false; // the list marks the VM of this name as leaving
        bool wasListedLive = false; // the list has shown it live since the first heartbeat of this incarnation
        std::uint32_t recentSuspicions = 0;
        std::uint32_t heartbeatsSinceSuspect = 0;
        TimePoint lastSuspectedAt;
        std::deque<std::uint64_t> finalIncarnations; // Leaving or Gone
        std::optional<Contender> contender; // heard since the last heartbeat of the present incarnation
        std::uint32_t schemaVersion = 0; // 0 until reported
    };

    Init init;
    std::function<void(const Member &)> changed;
    std::map<std::string, MemberEntry, std::less<>> entries;
    TimerHandle timer;
    TimePoint nextCheckAt;

    static void addFinal(MemberEntry &entry, std::uint64_t incarnation);
    bool isFinal(const MemberEntry &entry, std::uint64_t incarnation) const;
    bool isSilent(const MemberEntry &entry, Now now) const;
    bool confirmsContender(MemberEntry &entry, const wire::Heartbeat &heartbeat, Now now) const;
    void suspect(MemberEntry &entry, Now now);
    void onListedLeaving(MemberEntry &entry);
    void recordHeartbeat(MemberEntry &entry, bool isRestarted, Now now);
    void startTimer(Now now);
    void checkMembers(Now now);
    void setState(MemberEntry &entry, MemberState state);
    MemberEntry &findOrAddEntry(const std::string &name);
};

Membership::Membership(Init init, std::function<void(const Member &)> changed)
    : impl_(std::make_unique<Impl>())
{
    impl_->init = init;
    impl_->changed = std::move(changed);
}

Membership::~Membership()
{
    if (impl_->init.timers != nullptr) {
        impl_->init.timers->cancel(impl_->timer);
    }
}

void Membership::Impl::setState(MemberEntry &entry, MemberState state)
{
    if (entry.member.state == state) {
        return;
    }
    entry.member.state = state;
    if (state == MemberState::Leaving || state == MemberState::Gone) {
        addFinal(entry, entry.member.incarnation);
    }
    changed(entry.member);
}

void Membership::Impl::addFinal(MemberEntry &entry, std::uint64_t incarnation)
{
    auto &known = entry.finalIncarnations;
    if (incarnation == 0 || std::find(known.begin(), known.end(), incarnation) != known.end()) {
        return;
    }
    known.push_back(incarnation);
    if (known.size() > maxFinalIncarnations) {
        known.pop_front();
    }
}

bool Membership::Impl::isFinal(const MemberEntry &entry, std::uint64_t incarnation) const
{
    const auto &known = entry.finalIncarnations;
    return init.safeguards.leavingFinal && std::find(known.begin(), known.end(), incarnation) != known.end();
}

bool Membership::Impl::isSilent(const MemberEntry &entry, Now now) const
{
    const bool hasLeft = entry.member.state == MemberState::Leaving || entry.member.state == MemberState::Gone;
    return hasLeft || !entry.lastHeartbeatAt || now.mono - *entry.lastHeartbeatAt >= init.timing.suspect;
}

/// Incarnations are wall times. One that is not the greatest counts as the present start if it is heard without a gap
/// for the suspect time while the present one is silent: late heartbeats arrive at once, on the end of a pause, or end.
bool Membership::Impl::confirmsContender(MemberEntry &entry, const wire::Heartbeat &heartbeat, Now now) const
{
    const auto incarnation = heartbeat.from().incarnation();
    if (heartbeat.leaving()) {
        addFinal(entry, incarnation);
    }
    if (isFinal(entry, incarnation) || heartbeat.leaving() || !isSilent(entry, now)) {
        return false;
    }
    auto &contender = entry.contender;
    const bool isContinued = contender && contender->incarnation == incarnation
                             && now.mono - contender->lastHeartbeatAt < init.timing.suspect;
    if (!isContinued) {
        contender = Contender{incarnation, heartbeat.sequence(), now.mono, now.mono};
        return false;
    }
    if (heartbeat.sequence() != 0 && heartbeat.sequence() <= contender->sequence) {
        return false;
    }
    contender->sequence = heartbeat.sequence();
    contender->lastHeartbeatAt = now.mono;
    return now.mono - contender->firstHeartbeatAt >= init.timing.suspect;
}

Membership::Impl::MemberEntry &Membership::Impl::findOrAddEntry(const std::string &name)
{
    const auto [it, added] = entries.try_emplace(name);
    if (added) {
        it->second.member.name = name;
    }
    return it->second;
}

/// Starts the shared timer, which checks all members every half of the suspect time.
void Membership::Impl::startTimer(Now now)
{
    if (timer || init.timers == nullptr) {
        return;
    }
    nextCheckAt = now.mono + init.timing.suspect / 2;
    timer = init.timers->subscribe(nextCheckAt, [this, now](TimePoint at) {
        timer = {};
        const Now later = advanceNow(now, at);
        checkMembers(later);
        startTimer(later);
    });
}

/// The list lags and has no incarnations: "leaving" may refer to the previous VM of the same name. It is therefore
/// final only for an incarnation that the list has shown live; any other one gets no new work while it is listed as
/// leaving.
void Membership::Impl::onListedLeaving(MemberEntry &entry)
{
    const bool hasHeartbeat = entry.member.incarnation != 0;
    if (entry.wasListedLive || !hasHeartbeat) {
        setState(entry, MemberState::Leaving);
    } else if (entry.member.state == MemberState::Live) {
        setState(entry, MemberState::Suspect);
    }
}

void Membership::Impl::suspect(MemberEntry &entry, Now now)
{
    const bool wasSteady = now.mono - entry.lastSuspectedAt >= steadySuspectTimes * init.timing.suspect;
    entry.recentSuspicions = wasSteady ? 1 : std::min(entry.recentSuspicions + 1, maxExtraHeartbeats + 1);
    entry.lastSuspectedAt = now.mono;
    entry.heartbeatsSinceSuspect = 0;
    setState(entry, MemberState::Suspect);
}

void Membership::Impl::checkMembers(Now now)
{
    // This process was paused and has not yet read the heartbeats of that time, so the pause is not counted as silence
    // of others.
    const Duration pauseDuration = now.mono - nextCheckAt;
    if (pauseDuration >= init.timing.suspect / 2) {
        for (auto &[name, entry] : entries) {
            entry.lastListedAt += pauseDuration;
            if (entry.lastHeartbeatAt) {
                *entry.lastHeartbeatAt += pauseDuration;
            }
        }
        return;
    }
    std::vector<std::string> removedNames;
    for (auto &[name, entry] : entries) {
        const TimePoint lastSeenAt = entry.lastHeartbeatAt.value_or(entry.lastListedAt);
        const Duration silence = now.mono - lastSeenAt;
        if (entry.member.state == MemberState::Live && silence >= init.timing.suspect) {
            suspect(entry, now);
        }
        const bool isDropped = !entry.isListed && now.mono - entry.lastListedAt >= init.timing.suspect;
        if (isDropped && silence >= goneAfterSuspectTimes * init.timing.suspect) {
            setState(entry, MemberState::Gone);
            removedNames.push_back(name);
        }
    }
    // Without removal the map would grow with every replaced VM.
    for (const auto &name : removedNames) {
        entries.erase(name);
    }
}

void Membership::onVmList(const std::vector<VmInfo> &list, Now now)
{
    std::set<std::string_view> listed;
    for (const auto &vm : list) {
        listed.insert(vm.name);
        auto &entry = impl_->findOrAddEntry(vm.name);
        Member &member = entry.member;
        const bool hasMoved = !member.address.empty() && member.address != vm.address;
        const bool isNew = member.address.empty();
        member.role = vm.role;
        member.dataCentre = vm.dataCentre;
        member.region = vm.region;
        member.address = vm.address;
        entry.isListed = true;
        entry.lastListedAt = now.mono;
        entry.isListedLeaving = vm.state == VmState::Leaving;
        entry.wasListedLive = entry.wasListedLive || (!entry.isListedLeaving && member.incarnation != 0);
        if (entry.isListedLeaving) {
            impl_->onListedLeaving(entry);
        } else if (isNew || hasMoved) {
            impl_->changed(member);
        }
    }
    for (auto &[name, entry] : impl_->entries) {
        if (!listed.contains(name)) {
            entry.isListed = false;
        }
    }
    impl_->startTimer(now);
}

void Membership::onHeartbeat(const wire::Heartbeat &heartbeat, Now now)
{
    auto &entry = impl_->findOrAddEntry(heartbeat.from().name());
    Member &member = entry.member;
    const auto incarnation = heartbeat.from().incarnation();
    // A late heartbeat of an earlier incarnation must not restore its state.
    if (isEarlierStart(incarnation, member.incarnation, member.supersededUntil)) {
        if (!impl_->confirmsContender(entry, heartbeat, now)) {
            return;
        }
        member.supersededUntil = std::max(member.supersededUntil, member.incarnation);
    }
    const bool isRestarted = incarnation != member.incarnation;
    if (impl_->isFinal(entry, incarnation)) {
        return;
    }
    member.incarnation = incarnation;
    entry.contender.reset();
    entry.schemaVersion = heartbeat.schema_version();
    if (member.dataCentre.empty()) {
        member.dataCentre = heartbeat.data_centre();
    }
    entry.wasListedLive = entry.wasListedLive && !isRestarted;
    if (heartbeat.leaving()) {
        entry.lastHeartbeatAt = now.mono;
        impl_->startTimer(now);
        Impl::addFinal(entry, incarnation);
        impl_->setState(entry, MemberState::Leaving);
        return;
    }
    impl_->recordHeartbeat(entry, isRestarted, now);
}

/// Records a heartbeat of the current incarnation, which is neither leaving nor gone.
void Membership::Impl::recordHeartbeat(MemberEntry &entry, bool isRestarted, Now now)
{
    if (entry.lastHeartbeatAt && now.mono - *entry.lastHeartbeatAt >= init.timing.suspect) {
        entry.heartbeatsSinceSuspect = 0; // the gap restarts the count
    }
    entry.lastHeartbeatAt = now.mono;
    startTimer(now);
    if (entry.isListedLeaving) {
        setState(entry, MemberState::Suspect);
        return;
    }
    if (entry.member.state == MemberState::Live) {
        if (isRestarted) {
            changed(entry.member); // same state, new incarnation
        }
        return;
    }
    // Prevents flapping, as each state change moves calls: the member must first send one heartbeat in time for each
    // recent suspicion.
    ++entry.heartbeatsSinceSuspect;
    if (isRestarted || entry.heartbeatsSinceSuspect >= entry.recentSuspicions) {
        setState(entry, MemberState::Live);
    }
}

void Membership::onBeat(std::string_view name, const wire::Beat &beat, Now now)
{
    const auto found = impl_->entries.find(name);
    if (found == impl_->entries.end() || !found->second.lastHeartbeatAt) {
        return;
    }
    const auto &member = found->second.member;
    const bool isSameIncarnation = static_cast<std::uint32_t>(member.incarnation) == beat.incarnation_tag();
    if (isSameIncarnation && member.state != MemberState::Leaving && member.state != MemberState::Gone) {
        found->second.contender.reset();
        impl_->recordHeartbeat(found->second, false, now);
    }
}

void Membership::onDrain(const wire::DrainOrder &order, Now now)
{
    auto &entry = impl_->findOrAddEntry(order.target().name());
    impl_->startTimer(now);
    const auto incarnation = order.target().incarnation();
    Impl::addFinal(entry, incarnation);
    // An order without an incarnation applies to the current one.
    if (incarnation == 0) {
        impl_->setState(entry, MemberState::Leaving);
    } else if (!isEarlierStart(incarnation, entry.member.incarnation, entry.member.supersededUntil)) {
        entry.member.incarnation = incarnation;
        impl_->setState(entry, MemberState::Leaving);
    }
}

void Membership::onUnreachable(const std::string &name, Now now)
{
    const auto found = impl_->entries.find(name);
    if (found == impl_->entries.end()) {
        return;
    }
    // A broken connection does not prove that the process has failed, so it only gets no new work until the next
    // heartbeat.
    if (found->second.member.state == MemberState::Live) {
        impl_->suspect(found->second, now);
    }
    impl_->startTimer(now);
}

const Member *Membership::find(std::string_view name) const
{
    const auto found = impl_->entries.find(name);
    return found == impl_->entries.end() ? nullptr : &found->second.member;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all;
    all.reserve(impl_->entries.size());
    for (const auto &[name, entry] : impl_->entries) {
        all.push_back(entry.member);
    }
    return all;
}

std::uint32_t Membership::schemaVersionOfAll() const
{
    std::uint32_t minVersion = 0;
    for (const auto &[name, entry] : impl_->entries) {
        const bool isAlive = entry.member.state == MemberState::Live || entry.member.state == MemberState::Suspect;
        if (isAlive && entry.schemaVersion != 0) {
            minVersion = minVersion == 0 ? entry.schemaVersion : std::min(minVersion, entry.schemaVersion);
        }
    }
    return minVersion;
}

} // namespace anvilscale
