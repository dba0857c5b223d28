/** @file random_func.h  Seeded pseudo-random generator, so that randomised decisions are reproducible. */
#pragma once

#include <cstdint>

namespace Chestnuthook
{

/** Returns the next number of the SplitMix64 sequence; @p state is the whole state of the generator. */
inline std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/** Returns a number that is uniformly distributed over [0, 1). */
inline double nextUniform(std::uint64_t &state)
{
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << 53);
    return static_cast<double>(nextRandom(state) >> 11) * Scale;
}

} // namespace Chestnuthook
