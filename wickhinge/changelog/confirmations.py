"""Until when a log is complete: confirmations that came, and those of them that the log has reached."""

from __future__ import annotations

MAX_PENDING_CONFIRMATIONS = 64
NEVER = float("-inf")


class Confirmations:
    """Pairs (until, number), each of which confirms that what a majority had before `until` has numbers up to `number`.

    Times are by the process's own clock, in seconds.
    """

    def __init__(self) -> None:
        self._pending: list[tuple[float, int]] = []  # both rise
        self._confirmed_until = NEVER

    def add(self, until: float, number: int) -> None:
        """Takes a confirmation, unless one that is pending or reached says as much."""
        if until <= self._confirmed_until:
            return
        if any(other_until >= until and other_number <= number for other_until, other_number in self._pending):
            return
        rest = [pair for pair in self._pending if pair[0] > until or pair[1] < number]
        self._pending = sorted([*rest, (until, number)])[:MAX_PENDING_CONFIRMATIONS]

    def confirmed_until(self, last: int) -> float:
        """The latest time until which a log that ends with `last` is complete, -inf for none; it never goes back."""
        while self._pending and self._pending[0][1] <= last:
            self._confirmed_until = max(self._confirmed_until, self._pending.pop(0)[0])
        return self._confirmed_until

    def drop_pending(self) -> None:
        """Drops what is pending; called where numbers get another meaning, with a new epoch."""
        self._pending.clear()
