// Membership from direct heartbeats and the VM list. Heartbeats take precedence over the lagging list, but leaving is
// final for an incarnation.
#include "later_now.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <set>

namespace anvilscale {
namespace {

// Multiple of the suspect time after which a silent member that is no longer listed is removed.
constexpr int goneAfterSuspects = 4;
// Upper bound of additional heartbeats that a repeatedly suspected member must send before it gets new work.
constexpr std::uint32_t mostExtraHeartbeats = 4;
// Multiple of the suspect time without suspicion after which earlier suspicions are discarded.
constexpr int steadySuspects = 20;

} // namespace

struct Membership::Impl
{
    struct Known
    {
        Member member;
        std::optional<TimePoint> heardAt; // time of the last heartbeat of this incarnation
        TimePoint listedAt; // time of the last list that contained it
        bool listed = false;
        bool listLeaving = false; // the list marks the VM of this name as leaving
        bool listedLive = false; // the list has shown it live since the first heartbeat of this incarnation
        std::uint32_t suspicions = 0; // recent suspicions
        std::uint32_t heardSinceSuspect = 0;
        TimePoint suspectedAt;
        std::uint64_t refusedIncarnation = 0; // this and all earlier incarnations are Leaving or Gone
        std::uint32_t schemaVersion = 0; // 0 until reported
    };

    Init init;
    std::function<void(const Member &)> changed;
    std::map<std::string, Known, std::less<>> known;
    TimerHandle timer;
    TimePoint checkDue;

    void suspect(Known &entry, Now now);
    void onListedLeaving(Known &entry);
    void heard(Known &entry, bool restarted, Now now);
    void arm(Now now);
    void check(Now now);
    void move(Known &entry, MemberState state);
    Known &entryOf(const std::string &name);
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

void Membership::Impl::move(Known &entry, MemberState state)
{
    if (entry.member.state == state) {
        return;
    }
    entry.member.state = state;
    if (state == MemberState::Leaving || state == MemberState::Gone) {
        entry.refusedIncarnation = std::max(entry.refusedIncarnation, entry.member.incarnation);
    }
    changed(entry.member);
}

Membership::Impl::Known &Membership::Impl::entryOf(const std::string &name)
{
    const auto [it, added] = known.try_emplace(name);
    if (added) {
        it->second.member.name = name;
    }
    return it->second;
}

/// Starts the shared timer, which checks all members at half the suspect time.
void Membership::Impl::arm(Now now)
{
    if (timer || init.timers == nullptr) {
        return;
    }
    checkDue = now.mono + init.timing.suspect / 2;
    timer = init.timers->subscribe(checkDue, [this, now](TimePoint at) {
        timer = {};
        const Now later = laterNow(now, at);
        check(later);
        arm(later);
    });
}

/// The list lags and has no incarnations: "leaving" may refer to the previous VM of the same name. It is therefore
/// final only for an incarnation that the list has shown live; any other one gets no new work while it is listed as
/// leaving.
void Membership::Impl::onListedLeaving(Known &entry)
{
    const bool heard = entry.member.incarnation != 0;
    if (entry.listedLive || !heard) {
        move(entry, MemberState::Leaving);
    } else if (entry.member.state == MemberState::Live) {
        move(entry, MemberState::Suspect);
    }
}

void Membership::Impl::suspect(Known &entry, Now now)
{
    const bool steady = now.mono - entry.suspectedAt >= steadySuspects * init.timing.suspect;
    entry.suspicions = steady ? 1 : std::min(entry.suspicions + 1, mostExtraHeartbeats + 1);
    entry.suspectedAt = now.mono;
    entry.heardSinceSuspect = 0;
    move(entry, MemberState::Suspect);
}

void Membership::Impl::check(Now now)
{
    // This process was paused and has not yet read the heartbeats of that time, so the pause is not counted as silence
    // of others.
    const Duration late = now.mono - checkDue;
    if (late >= init.timing.suspect / 2) {
        for (auto &[name, entry] : known) {
            entry.listedAt += late;
            if (entry.heardAt) {
                *entry.heardAt += late;
            }
        }
        return;
    }
    std::vector<std::string> forgotten;
    for (auto &[name, entry] : known) {
        const TimePoint heard = entry.heardAt.value_or(entry.listedAt);
        const Duration silent = now.mono - heard;
        if (entry.member.state == MemberState::Live && silent >= init.timing.suspect) {
            suspect(entry, now);
        }
        const bool dropped = !entry.listed && now.mono - entry.listedAt >= init.timing.suspect;
        if (dropped && silent >= goneAfterSuspects * init.timing.suspect) {
            move(entry, MemberState::Gone);
            forgotten.push_back(name);
        }
    }
    // Without removal the map would grow with every replaced VM.
    for (const auto &name : forgotten) {
        known.erase(name);
    }
}

void Membership::onVmList(const std::vector<VmInfo> &list, Now now)
{
    std::set<std::string_view> listed;
    for (const auto &vm : list) {
        listed.insert(vm.name);
        auto &entry = impl_->entryOf(vm.name);
        Member &member = entry.member;
        const bool moved = !member.address.empty() && member.address != vm.address;
        const bool isNew = member.address.empty();
        member.role = vm.role;
        member.dataCentre = vm.dataCentre;
        member.region = vm.region;
        member.address = vm.address;
        entry.listed = true;
        entry.listedAt = now.mono;
        entry.listLeaving = vm.state == VmState::Leaving;
        entry.listedLive = entry.listedLive || (!entry.listLeaving && member.incarnation != 0);
        if (entry.listLeaving) {
            impl_->onListedLeaving(entry);
        } else if (isNew || moved) {
            impl_->changed(member);
        }
    }
    for (auto &[name, entry] : impl_->known) {
        if (!listed.contains(name)) {
            entry.listed = false;
        }
    }
    impl_->arm(now);
}

void Membership::onHeartbeat(const wire::Heartbeat &heartbeat, Now now)
{
    auto &entry = impl_->entryOf(heartbeat.from().name());
    Member &member = entry.member;
    const auto incarnation = heartbeat.from().incarnation();
    // A late heartbeat of an earlier incarnation must not restore its state.
    if (incarnation < member.incarnation) {
        return;
    }
    const bool restarted = incarnation > member.incarnation;
    if (incarnation <= entry.refusedIncarnation && impl_->init.safeguards.leavingFinal) {
        return;
    }
    member.incarnation = incarnation;
    entry.schemaVersion = heartbeat.schema_version();
    if (member.dataCentre.empty()) {
        member.dataCentre = heartbeat.data_centre();
    }
    entry.listedLive = entry.listedLive && !restarted;
    if (heartbeat.leaving()) {
        entry.heardAt = now.mono;
        impl_->arm(now);
        entry.refusedIncarnation = incarnation;
        impl_->move(entry, MemberState::Leaving);
        return;
    }
    impl_->heard(entry, restarted, now);
}

/// Records a heartbeat of the current incarnation, which is neither leaving nor gone.
void Membership::Impl::heard(Known &entry, bool restarted, Now now)
{
    if (entry.heardAt && now.mono - *entry.heardAt >= init.timing.suspect) {
        entry.heardSinceSuspect = 0; // the gap restarts the count
    }
    entry.heardAt = now.mono;
    arm(now);
    if (entry.listLeaving) {
        move(entry, MemberState::Suspect);
        return;
    }
    if (entry.member.state == MemberState::Live) {
        if (restarted) {
            changed(entry.member); // same state, new incarnation
        }
        return;
    }
    // Prevents flapping: each state change moves calls, so a suspected member must send several heartbeats in time
    // first.
    ++entry.heardSinceSuspect;
    if (restarted || entry.heardSinceSuspect >= entry.suspicions) {
        move(entry, MemberState::Live);
    }
}

void Membership::onBeat(std::string_view name, const wire::Beat &beat, Now now)
{
    const auto found = impl_->known.find(name);
    if (found == impl_->known.end() || !found->second.heardAt) {
        return;
    }
    const auto &member = found->second.member;
    const bool sameStart = static_cast<std::uint32_t>(member.incarnation) == beat.incarnation_tag();
    if (sameStart && member.state != MemberState::Leaving && member.state != MemberState::Gone) {
        impl_->heard(found->second, false, now);
    }
}

void Membership::onDrain(const wire::DrainOrder &order, Now now)
{
    auto &entry = impl_->entryOf(order.target().name());
    impl_->arm(now);
    const auto incarnation = order.target().incarnation();
    entry.refusedIncarnation = std::max(entry.refusedIncarnation, incarnation);
    // An order without an incarnation applies to the current one.
    if (incarnation == 0 || incarnation >= entry.member.incarnation) {
        entry.member.incarnation = std::max(entry.member.incarnation, incarnation);
        impl_->move(entry, MemberState::Leaving);
    }
}

void Membership::onUnreachable(const std::string &name, Now now)
{
    const auto found = impl_->known.find(name);
    if (found == impl_->known.end()) {
        return;
    }
    // A broken connection does not prove that the process has failed, so it only gets no new work until the next
    // heartbeat.
    if (found->second.member.state == MemberState::Live) {
        impl_->suspect(found->second, now);
    }
    impl_->arm(now);
}

const Member *Membership::find(std::string_view name) const
{
    const auto found = impl_->known.find(name);
    return found == impl_->known.end() ? nullptr : &found->second.member;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all;
    all.reserve(impl_->known.size());
    for (const auto &[name, entry] : impl_->known) {
        all.push_back(entry.member);
    }
    return all;
}

std::uint32_t Membership::schemaVersionOfAll() const
{
    std::uint32_t lowest = 0;
    for (const auto &[name, entry] : impl_->known) {
        const bool alive = entry.member.state == MemberState::Live || entry.member.state == MemberState::Suspect;
        if (alive && entry.schemaVersion != 0) {
            lowest = lowest == 0 ? entry.schemaVersion : std::min(lowest, entry.schemaVersion);
        }
    }
    return lowest;
}

} // namespace anvilscale
