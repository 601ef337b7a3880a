// Account of the bytes that a process holds for others, by kind, with a limit and reservations.
#pragma once

#include "anvilscale/base.h"

#include <functional>
#include <memory>
#include <optional>

namespace anvilscale {

/// What held bytes are.
enum class HeldKind : std::uint8_t {
    CallerInput, ///< heads and pipelined requests that are not parsed yet, and heads with very many fields
    RequestBodies, ///< from the reservation of their room until no attempt can need them
    HeldAnswers, ///< received, and not forwarded while another attempt may follow
    CallerOutput, ///< not written to callers yet
    Count
};
template<>
struct EnumNames<HeldKind>
{
    static constexpr std::array<std::string_view, enumCount<HeldKind>> table{"caller_input", "request_bodies",
                                                                             "held_answers", "caller_output"};
};

struct MemoryAccountInit
{
    std::uint64_t limitBytes = UINT64_MAX; ///< of all kinds together
    /// A reservation up to this size counts as small.
    std::uint64_t smallBytes = 64U << 10;
    std::size_t maxWaiting = 256; ///< reservations that may wait
};

struct MemoryAccountStats
{
    std::array<std::uint64_t, enumCount<HeldKind>> heldBytes{}; ///< by kind
    std::uint64_t limitBytes = 0;
    std::uint64_t peakBytes = 0; ///< most that was held at once
    std::uint64_t waits = 0; ///< reservations that had to wait
    std::uint64_t granted = 0; ///< waiting reservations that got their room
    std::uint64_t rejected = 0; ///< reservations that could not wait either
    std::size_t waiting = 0;

    std::uint64_t totalBytes() const;
};

class MemoryAccount;

/// Bytes in an account, which get them back when this is destroyed. Movable between threads; not thread-safe.
class MemoryHold
{
public:
    MemoryHold() = default;
    ~MemoryHold();
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;
    MemoryHold(MemoryHold &&other) noexcept;
    MemoryHold &operator=(MemoryHold &&other) noexcept;

    /// Changes the size whatever the limit says, for bytes that are there already. No effect without an account.
    void resize(std::uint64_t bytes);
    std::uint64_t bytes() const;

private:
    friend class MemoryAccount;
    struct State;
    MemoryHold(std::shared_ptr<State> state, HeldKind kind, std::uint64_t group);

    std::shared_ptr<State> state_;
    HeldKind kind_ = HeldKind::CallerInput;
    std::uint64_t group_ = 0;
    std::uint64_t bytes_ = 0; // included in the account
};

/// Bounds what a process holds for others. Rule: a small reservation may use all of the limit; a large one leaves an
/// eighth of it to small ones, and all large ones of one group leave a quarter of the rest to other groups. Small
/// reservations that wait go first; of the large ones those whose group holds least go first, then those that came
/// first. Thread-safe.
class MemoryAccount
{
public:
    /// Identifies those who share a part of the room, e.g. callers with the same key; 0: no group.
    using Group = std::uint64_t;
    /// Those without a key: in turn with the other groups, but without a bound on their part.
    static constexpr Group anonymousGroup = UINT64_MAX;
    using Granted = std::function<void()>;

    /// A reservation that waits for room; destroying it ends the wait.
    class Wait
    {
    public:
        Wait() = default;
        ~Wait();
        Wait(const Wait &) = delete;
        Wait &operator=(const Wait &) = delete;
        Wait(Wait &&other) noexcept;
        Wait &operator=(Wait &&other) noexcept;

        explicit operator bool() const;

    private:
        friend class MemoryAccount;
        std::shared_ptr<MemoryHold::State> state_;
        std::uint64_t id_ = 0;
    };

    explicit MemoryAccount(MemoryAccountInit init);
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /// Returns an empty hold.
    MemoryHold makeHold(HeldKind kind, Group group = 0) const;
    /// Largest size to which a reservation can ever grow.
    std::uint64_t largestHold() const;
    /// Grows the hold by `bytes` if there is room and none of its rank waits. Returns whether it has.
    bool tryGrow(MemoryHold &hold, std::uint64_t bytes);
    /// Waits to grow the hold by `bytes`. `granted` is called once there is room, which takeGrant() then adds; it is
    /// called under the account's lock on any thread and may only post a task. Returns an empty wait if too many wait.
    Wait waitToGrow(const MemoryHold &hold, std::uint64_t bytes, Granted granted);
    /// Adds the granted room to the hold and ends the wait. Returns false if it has not been granted.
    bool takeGrant(MemoryHold &hold, Wait &wait);
    /// True if little room is left for further bytes.
    bool isShort() const;
    /// Changes the limit. What is held already stays.
    void setLimit(std::uint64_t bytes);
    MemoryAccountStats stats() const;

private:
    std::shared_ptr<MemoryHold::State> state_;
};

/// Divides the memory of a process between what it needs itself, a reserve, and an account. Not thread-safe.
class ProcessMemory
{
public:
    /// `limitBytes`: memory limit of the process.
    explicit ProcessMemory(std::uint64_t limitBytes);
    const std::shared_ptr<MemoryAccount> &account() const;
    /// Adapts the account's limit. `usedBytes`: memory that the process uses in all. Called every few seconds.
    void update(std::uint64_t usedBytes);
    /// Part of the memory that is left to the process itself, in bytes.
    std::uint64_t ownBytes() const;

private:
    std::uint64_t accountLimit() const;

    std::uint64_t limitBytes_;
    std::uint64_t ownBytes_;
    std::shared_ptr<MemoryAccount> account_;
};

/// Returns the memory that this process has of its own, without the pages of its program and libraries, in bytes;
/// nullopt if it cannot be read.
std::optional<std::uint64_t> readAnonymousBytes();

} // namespace anvilscale
