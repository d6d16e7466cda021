"""Hashing that is the same at every router and in every process."""

from __future__ import annotations

MASK = 2**64 - 1


def mix(word: int, h: int = 0) -> int:
    """The same at every router and in every process: routers that share nothing must agree on the hash."""
    h = (h ^ word) + 0x9E3779B97F4A7C15 & MASK
    h = (h ^ h >> 30) * 0xBF58476D1CE4E5B9 & MASK
    h = (h ^ h >> 27) * 0x94D049BB133111EB & MASK
    return h ^ h >> 31
