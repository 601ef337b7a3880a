// Random number generator (xoshiro256**, seeded with splitmix64) and stable hashes.
#include "anvilscale/base.h"

#include <bit>
#include <cmath>

namespace anvilscale {

namespace {

std::uint64_t splitMix(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

std::uint64_t mix(std::uint64_t z)
{
    return splitMix(z);
}

constexpr std::uint64_t fnv1aOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv1aPrime = 0x100000001b3ULL;

std::uint64_t fnv1a(std::uint64_t state, std::string_view bytes)
{
    for (const char c : bytes) {
        state = (state ^ static_cast<unsigned char>(c)) * fnv1aPrime;
    }
    return state;
}

} // namespace

Random::Random(std::uint64_t seed)
{
    for (auto &word : state_) {
        word = splitMix(seed);
    }
}

std::uint64_t Random::next()
{
    const std::uint64_t result = std::rotl(state_[1] * 5, 7) * 9;
    const std::uint64_t t = state_[1] << 17;
    state_[2] ^= state_[0];
    state_[3] ^= state_[1];
    state_[1] ^= state_[2];
    state_[0] ^= state_[3];
    state_[2] ^= t;
    state_[3] = std::rotl(state_[3], 45);
    return result;
}

std::uint64_t Random::uniformBelow(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double Random::uniform()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

double Random::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

Duration Random::jitter(Duration span)
{
    const auto half = static_cast<std::uint64_t>(span.count() / 2);
    return Duration(static_cast<Duration::rep>(half + uniformBelow(half)));
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return mix(fnv1a(fnv1aOffset ^ seed, bytes));
}

void Digest::add(std::string_view bytes)
{
    state_ = fnv1a(state_, bytes);
}

std::uint64_t Digest::value() const
{
    return mix(state_);
}

std::uint64_t AdapterVersion::hash() const
{
    return hash64(version, hash64(adapter));
}

std::string AdapterVersion::text() const
{
    return adapter + "@" + version;
}

} // namespace anvilscale
