// Account of held bytes: counters that all threads change, and reservations that wait in order under a lock.
#include "anvilscale/memory_account.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <numeric>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace anvilscale {

namespace {

constexpr std::uint64_t smallShare = 8; // one part in this many is for small reservations alone
constexpr std::uint64_t groupShareNumerator = 3; // of the room of large reservations, for one group
constexpr std::uint64_t groupShareDenominator = 4;
// Memory that is left to a process itself even while it uses less.
constexpr std::uint64_t leastOwnBytes = 24U << 20;
// One part in this many of the memory limit, for copies on the way between buffers and what the allocator keeps.
constexpr std::uint64_t reserveShare = 16;
// A process that needs most of its memory itself still takes some calls: one part in this many of the limit.
constexpr std::uint64_t leastAccountShare = 4;
// What a process needs itself counts as less by one part in this many at each measurement.
constexpr std::uint64_t ownDecay = 16;
constexpr std::uint64_t shortShare = 8; // less than one part in this many left is short

bool hasShare(MemoryAccount::Group group)
{
    return group != 0 && group != MemoryAccount::anonymousGroup;
}

} // namespace

std::uint64_t MemoryAccountStats::totalBytes() const
{
    return std::accumulate(heldBytes.begin(), heldBytes.end(), std::uint64_t{0});
}

struct MemoryHold::State
{
    struct Waiter
    {
        HeldKind kind = HeldKind::CallerInput;
        MemoryAccount::Group group = 0;
        std::uint64_t heldBytes = 0; // by its hold
        std::uint64_t bytes = 0;
        MemoryAccount::Granted granted;
        bool isGranted = false; // its bytes are in the account
    };

    explicit State(MemoryAccountInit parameters)
        : init(parameters)
        , limitBytes(parameters.limitBytes)
    {
    }

    void add(HeldKind kind, std::uint64_t bytes);
    void remove(HeldKind kind, std::uint64_t bytes);
    bool isSmall(std::uint64_t size) const;
    std::uint64_t largeLimit() const;
    std::uint64_t groupLimit() const;
    // The functions below need the lock.
    bool hasRoom(MemoryAccount::Group group, std::uint64_t heldBytes, std::uint64_t bytes) const;
    std::uint64_t groupBytes(MemoryAccount::Group group) const;
    void addToGroup(MemoryAccount::Group group, std::uint64_t bytes);
    void removeFromGroup(MemoryAccount::Group group, std::uint64_t bytes);
    bool isWaiting(bool isSmallOne) const;
    Waiter *nextWaiter(bool isSmallOne);
    void grantWaiting();

    const MemoryAccountInit init;
    std::atomic<std::uint64_t> limitBytes; // initially that of init
    std::array<std::atomic<std::uint64_t>, enumCount<HeldKind>> heldBytes{};
    std::atomic<std::uint64_t> totalBytes = 0; // sum of heldBytes
    std::atomic<std::uint64_t> peakBytes = 0;
    std::atomic<std::size_t> waitingCount = 0; // waiters without a grant
    std::mutex mutex; // guards all below
    std::map<std::uint64_t, Waiter> waiters; // by id, in the order of arrival
    std::unordered_map<MemoryAccount::Group, std::uint64_t> bytesByGroup; // without entries of 0
    std::uint64_t lastWaiter = 0;
    std::uint64_t waits = 0;
    std::uint64_t granted = 0;
    std::uint64_t rejected = 0;
};

void MemoryHold::State::add(HeldKind kind, std::uint64_t bytes)
{
    heldBytes[static_cast<std::size_t>(kind)] += bytes;
    const auto total = totalBytes += bytes;
    auto peak = peakBytes.load();
    while (total > peak && !peakBytes.compare_exchange_weak(peak, total)) {
    }
}

void MemoryHold::State::remove(HeldKind kind, std::uint64_t bytes)
{
    heldBytes[static_cast<std::size_t>(kind)] -= bytes;
    totalBytes -= bytes;
}

bool MemoryHold::State::isSmall(std::uint64_t size) const
{
    return size <= init.smallBytes;
}

std::uint64_t MemoryHold::State::largeLimit() const
{
    const auto limit = limitBytes.load();
    return limit - limit / smallShare;
}

std::uint64_t MemoryHold::State::groupLimit() const
{
    return largeLimit() / groupShareDenominator * groupShareNumerator;
}

bool MemoryHold::State::hasRoom(MemoryAccount::Group group, std::uint64_t heldByHold, std::uint64_t bytes) const
{
    const bool isSmallOne = isSmall(heldByHold + bytes);
    const auto limit = isSmallOne ? limitBytes.load() : largeLimit();
    const auto total = totalBytes.load();
    if (bytes > limit || total > limit - bytes) {
        return false;
    }
    return isSmallOne || !hasShare(group) || groupBytes(group) + bytes <= groupLimit();
}

std::uint64_t MemoryHold::State::groupBytes(MemoryAccount::Group group) const
{
    const auto found = bytesByGroup.find(group);
    return found == bytesByGroup.end() ? 0 : found->second;
}

void MemoryHold::State::addToGroup(MemoryAccount::Group group, std::uint64_t bytes)
{
    if (group != 0 && bytes != 0) {
        bytesByGroup[group] += bytes;
    }
}

void MemoryHold::State::removeFromGroup(MemoryAccount::Group group, std::uint64_t bytes)
{
    const auto found = bytesByGroup.find(group);
    if (found == bytesByGroup.end()) {
        return;
    }
    found->second -= bytes;
    if (found->second == 0) {
        bytesByGroup.erase(found);
    }
}

bool MemoryHold::State::isWaiting(bool isSmallOne) const
{
    return std::any_of(waiters.begin(), waiters.end(), [&](const auto &item) {
        return !item.second.isGranted && isSmall(item.second.heldBytes + item.second.bytes) == isSmallOne;
    });
}

MemoryHold::State::Waiter *MemoryHold::State::nextWaiter(bool isSmallOne)
{
    Waiter *next = nullptr;
    for (auto &[id, waiter] : waiters) {
        if (waiter.isGranted || isSmall(waiter.heldBytes + waiter.bytes) != isSmallOne) {
            continue;
        }
        const bool isOverShare =
            !isSmallOne && hasShare(waiter.group) && groupBytes(waiter.group) + waiter.bytes > groupLimit();
        if (isOverShare) {
            continue;
        }
        if (next == nullptr || (!isSmallOne && groupBytes(waiter.group) < groupBytes(next->group))) {
            next = &waiter;
        }
    }
    return next;
}

void MemoryHold::State::grantWaiting()
{
    for (const bool isSmallOne : {true, false}) {
        while (auto *waiter = nextWaiter(isSmallOne)) {
            if (!hasRoom(waiter->group, waiter->heldBytes, waiter->bytes)) {
                break;
            }
            add(waiter->kind, waiter->bytes);
            addToGroup(waiter->group, waiter->bytes);
            waiter->isGranted = true;
            --waitingCount;
            ++granted;
            waiter->granted();
        }
    }
}

MemoryHold::MemoryHold(std::shared_ptr<State> state, HeldKind kind, std::uint64_t group)
    : state_(std::move(state))
    , kind_(kind)
    , group_(group)
{
}

MemoryHold::MemoryHold(MemoryHold &&other) noexcept
    : state_(std::move(other.state_))
    , kind_(other.kind_)
    , group_(other.group_)
    , bytes_(std::exchange(other.bytes_, 0))
{
}

MemoryHold &MemoryHold::operator=(MemoryHold &&other) noexcept
{
    if (this != &other) {
        resize(0);
        state_ = std::move(other.state_);
        kind_ = other.kind_;
        group_ = other.group_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

MemoryHold::~MemoryHold()
{
    resize(0);
}

void MemoryHold::resize(std::uint64_t bytes)
{
    if (!state_ || bytes == bytes_) {
        return;
    }
    const auto before = std::exchange(bytes_, bytes);
    const bool isLess = bytes < before;
    if (isLess) {
        state_->remove(kind_, before - bytes);
    } else {
        state_->add(kind_, bytes - before);
    }
    if (group_ == 0 && (!isLess || state_->waitingCount == 0)) {
        return;
    }
    const std::lock_guard lock(state_->mutex);
    if (isLess) {
        state_->removeFromGroup(group_, before - bytes);
        state_->grantWaiting();
    } else {
        state_->addToGroup(group_, bytes - before);
    }
}

std::uint64_t MemoryHold::bytes() const
{
    return bytes_;
}

MemoryAccount::Wait::Wait(Wait &&other) noexcept
    : state_(std::move(other.state_))
    , id_(std::exchange(other.id_, 0))
{
}

MemoryAccount::Wait &MemoryAccount::Wait::operator=(Wait &&other) noexcept
{
    std::swap(state_, other.state_);
    std::swap(id_, other.id_);
    return *this;
}

MemoryAccount::Wait::~Wait()
{
    if (id_ == 0) {
        return;
    }
    const std::lock_guard lock(state_->mutex);
    const auto found = state_->waiters.find(id_);
    const auto &waiter = found->second;
    if (waiter.isGranted) {
        state_->remove(waiter.kind, waiter.bytes);
        state_->removeFromGroup(waiter.group, waiter.bytes);
    } else {
        --state_->waitingCount;
    }
    state_->waiters.erase(found);
    state_->grantWaiting();
}

MemoryAccount::Wait::operator bool() const
{
    return id_ != 0;
}

MemoryAccount::MemoryAccount(MemoryAccountInit init)
    : state_(std::make_shared<MemoryHold::State>(init))
{
}

MemoryAccount::~MemoryAccount() = default;

MemoryHold MemoryAccount::makeHold(HeldKind kind, Group group) const
{
    return {state_, kind, group};
}

std::uint64_t MemoryAccount::largestHold() const
{
    return state_->groupLimit();
}

bool MemoryAccount::tryGrow(MemoryHold &hold, std::uint64_t bytes)
{
    const std::lock_guard lock(state_->mutex);
    const bool isSmallOne = state_->isSmall(hold.bytes_ + bytes);
    const bool mustWait = state_->waitingCount != 0 && state_->isWaiting(isSmallOne);
    if (mustWait || !state_->hasRoom(hold.group_, hold.bytes_, bytes)) {
        return false;
    }
    state_->add(hold.kind_, bytes);
    state_->addToGroup(hold.group_, bytes);
    hold.bytes_ += bytes;
    return true;
}

MemoryAccount::Wait MemoryAccount::waitToGrow(const MemoryHold &hold, std::uint64_t bytes, Granted granted)
{
    Wait wait;
    const std::lock_guard lock(state_->mutex);
    if (state_->waitingCount >= state_->init.maxWaiting) {
        ++state_->rejected;
        return wait;
    }
    ++state_->waits;
    ++state_->waitingCount;
    wait.state_ = state_;
    wait.id_ = ++state_->lastWaiter;
    state_->waiters[wait.id_] = {hold.kind_, hold.group_, hold.bytes_, bytes, std::move(granted), false};
    // Room may have come free since the attempt to grow at once.
    state_->grantWaiting();
    return wait;
}

bool MemoryAccount::takeGrant(MemoryHold &hold, Wait &wait)
{
    const std::lock_guard lock(state_->mutex);
    const auto found = state_->waiters.find(wait.id_);
    if (found == state_->waiters.end() || !found->second.isGranted) {
        return false;
    }
    hold.bytes_ += found->second.bytes;
    state_->waiters.erase(found);
    wait.id_ = 0;
    return true;
}

bool MemoryAccount::isShort() const
{
    const auto limit = state_->limitBytes.load();
    return state_->waitingCount != 0 || state_->totalBytes > limit - limit / shortShare;
}

MemoryAccountStats MemoryAccount::stats() const
{
    MemoryAccountStats result;
    const std::lock_guard lock(state_->mutex);
    for (std::size_t i = 0; i < enumCount<HeldKind>; ++i) {
        result.heldBytes[i] = state_->heldBytes[i];
    }
    result.limitBytes = state_->limitBytes;
    result.peakBytes = state_->peakBytes;
    result.waits = state_->waits;
    result.granted = state_->granted;
    result.rejected = state_->rejected;
    result.waiting = state_->waitingCount;
    return result;
}

void MemoryAccount::setLimit(std::uint64_t bytes)
{
    const std::lock_guard lock(state_->mutex);
    state_->limitBytes = bytes;
    state_->grantWaiting();
}

ProcessMemory::ProcessMemory(std::uint64_t limitBytes)
    : limitBytes_(limitBytes)
    , ownBytes_(leastOwnBytes)
{
    MemoryAccountInit init;
    init.limitBytes = accountLimit();
    account_ = std::make_shared<MemoryAccount>(init);
}

const std::shared_ptr<MemoryAccount> &ProcessMemory::account() const
{
    return account_;
}

void ProcessMemory::update(std::uint64_t usedBytes)
{
    // Reserved room is not used before its bytes have arrived, so that a single reading may be too low.
    const auto heldBytes = account_->stats().totalBytes();
    const auto measured = usedBytes - std::min(usedBytes, heldBytes);
    ownBytes_ = std::max({measured, leastOwnBytes, ownBytes_ - ownBytes_ / ownDecay});
    account_->setLimit(accountLimit());
}

std::uint64_t ProcessMemory::ownBytes() const
{
    return ownBytes_;
}

std::uint64_t ProcessMemory::accountLimit() const
{
    const auto takenBytes = ownBytes_ + limitBytes_ / reserveShare;
    return std::max(limitBytes_ / leastAccountShare, limitBytes_ - std::min(limitBytes_, takenBytes));
}

std::optional<std::uint64_t> readAnonymousBytes()
{
    constexpr std::string_view field = "RssAnon:";
    constexpr unsigned bytesPerKilobyte = 1024;
    std::ifstream status("/proc/self/status");
    std::string word;
    std::uint64_t kilobytes = 0;
    while (status >> word) {
        if (word == field && status >> kilobytes) {
            return kilobytes * bytesPerKilobyte;
        }
    }
    return std::nullopt;
}

} // namespace anvilscale
