"""Until when all changes are known: vouches that came, and those of them that the own log has reached."""

from __future__ import annotations

MAX_PENDING_CONFIRMATIONS = 64
NEVER = float("-inf")


class Confirmations:
    """A vouch (until, number) says: all that was stored at the replicas' majority before `until` has numbers up to
    `number`.
    """

    def __init__(self) -> None:
        self._pending: list[tuple[float, int]] = []  # both rise
        self._reached = NEVER

    def add(self, until: float, number: int) -> None:
        if until <= self._reached:
            return
        if any(earlier >= until and other <= number for earlier, other in self._pending):
            return
        kept = [pair for pair in self._pending if pair[0] > until or pair[1] < number]
        self._pending = sorted([*kept, (until, number)])[:MAX_PENDING_CONFIRMATIONS]

    def reached(self, last: int) -> float:
        """The latest time until which a log that ends with `last` is complete; it never goes back."""
        while self._pending and self._pending[0][1] <= last:
            self._reached = max(self._reached, self._pending.pop(0)[0])
        return self._reached

    def forget_pending(self) -> None:
        """To be called where numbers get another meaning, with a new epoch."""
        self._pending.clear()
