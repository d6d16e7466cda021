"""The time until which a log is complete, as confirmed by a majority of the replicas or by a source of entries."""

from __future__ import annotations

MAX_PENDING_CONFIRMATIONS = 64
NEVER = float("-inf")


class Confirmations:
    """Confirmations that wait until the log has reached their number, and the latest time that is confirmed.

    A confirmation (until, number) says that all entries that a majority of the replicas had before the time `until`
    have numbers up to `number`. Times are by the clock of this process, in seconds.
    """

    def __init__(self) -> None:
        # Pairs (until, number), in which both values rise from pair to pair.
        self._pending: list[tuple[float, int]] = []
        self._confirmed_until = NEVER

    def add(self, until: float, number: int) -> None:
        """Record a confirmation, unless an earlier one implies it."""
        if until <= self._confirmed_until:
            return
        if any(other_until >= until and other_number <= number for other_until, other_number in self._pending):
            return
        rest = [pair for pair in self._pending if pair[0] > until or pair[1] < number]
        self._pending = sorted([*rest, (until, number)])[:MAX_PENDING_CONFIRMATIONS]

    def confirmed_until(self, last_number: int) -> float:
        """Return the latest time until which a log that ends with `last_number` is complete, -inf for none.

        The result never decreases from one call to the next.
        """
        while self._pending and self._pending[0][1] <= last_number:
            self._confirmed_until = max(self._confirmed_until, self._pending.pop(0)[0])
        return self._confirmed_until

    def drop_pending(self) -> None:
        """Drop the confirmations whose number is not reached; called when a new epoch gives numbers a new meaning."""
        self._pending.clear()
