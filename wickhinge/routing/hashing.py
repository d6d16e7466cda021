"""A hash function with the same result at every router and in every process."""

from __future__ import annotations

UINT64_MAX = 2**64 - 1


def mix(word: int, state: int = 0) -> int:
    """Return the 64-bit hash of an integer, continued from `state`.

    Routers that exchange nothing choose the same servers for an object, so all of them must compute the same hash.
    """
    state = (state ^ word) + 0x9E3779B97F4A7C15 & UINT64_MAX
    state = (state ^ state >> 30) * 0xBF58476D1CE4E5B9 & UINT64_MAX
    state = (state ^ state >> 27) * 0x94D049BB133111EB & UINT64_MAX
    return state ^ state >> 31
