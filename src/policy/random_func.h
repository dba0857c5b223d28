/** @file random_func.h  A small seeded generator, so that decisions with chance in them can be repeated. */
#pragma once

#include <cstdint>

namespace Chestnuthook
{

/** The next number of the SplitMix64 sequence; @p state is its whole state. */
inline std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/** Evenly spread over [0, 1). */
inline double nextUniform(std::uint64_t &state)
{
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << 53);
    return static_cast<double>(nextRandom(state) >> 11) * Scale;
}

} // namespace Chestnuthook
