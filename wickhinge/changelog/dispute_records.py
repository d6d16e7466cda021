"""Comparison of this process's log with the logs of its sources, by the digests at the same sequence number."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wickhinge.changelog.sequencer import Sequencer


class Dispute(Enum):
    """Result of comparing this process's log with the logs of the reachable sources."""

    NO_DIFFERENCE = "no source differs"
    UNDECIDED = "some differ, and no majority agrees or differs"
    MAJORITY_AGREES = "some differ, a majority agrees"
    MAJORITY_DIFFERS = "a majority differs"


@dataclass(frozen=True, slots=True)
class PendingDigest:
    """Digest of a source at a sequence number that this process's log has not reached."""

    number: int
    digest: bytes
    received_at: float


@dataclass(slots=True)
class DisputeRecord:
    """Latest comparison with one source.

    Attributes:
        agrees: Whether the digests were equal; None before the first comparison.
        compared_at: Time of the comparison.
        pending: Digest that can be compared only when this process's log reaches its number.
    """

    agrees: bool | None = None
    compared_at: float = 0.0
    pending: PendingDigest | None = None


class DisputeRecords:
    """Latest comparisons with all sources.

    Each comparison counts for `valid_s` seconds.
    """

    def __init__(self, sequencer: Sequencer, valid_s: float) -> None:
        """Create an empty set of records; `sequencer` holds the digests of this process's log."""
        self._sequencer, self._valid_s = sequencer, valid_s
        self._records: dict[str, DisputeRecord] = {}

    def record_digest(self, source: str, number: int, digest: bytes, now: float) -> None:
        """Compare the digest that a source's log has at `number` with this process's log.

        The source's log has to be of the same epoch. If this process's log ends before `number`, the comparison is
        made by `compare_pending` when the log has reached it.
        """
        record = self._records.setdefault(source, DisputeRecord())
        if number > self._sequencer.last_number:
            if record.pending is None or now - record.pending.received_at > self._valid_s:
                record.pending = PendingDigest(number, digest, now)
            return
        own_digest = self._sequencer.digest_at(number)
        if own_digest is not None:
            record.agrees, record.compared_at = own_digest == digest, now

    def compare_pending(self, now: float) -> None:
        """Compare the pending digests that this process's log has reached; called after entries were applied."""
        for source, record in self._records.items():
            pending = record.pending
            if pending is not None and pending.number <= self._sequencer.last_number:
                record.pending = None
                self.record_digest(source, pending.number, pending.digest, now)

    def clear(self) -> None:
        """Forget all comparisons; called when this process's log is replaced."""
        self._records.clear()

    def agrees(self, source: str, now: float) -> bool | None:
        """Return whether a source's log agrees with this process's log, or None if no valid comparison exists."""
        record = self._records.get(source)
        if record is None or now - record.compared_at > self._valid_s:
            return None
        return record.agrees

    def find_dispute(self, sources: list[str], now: float) -> Dispute:
        """Return the combined result of the comparisons with `sources`, the names of the reachable sources."""
        differing = sum(self.agrees(source, now) is False for source in sources)
        agreeing = sum(self.agrees(source, now) is True for source in sources)
        if not differing:
            return Dispute.NO_DIFFERENCE
        if 2 * agreeing > len(sources):
            return Dispute.MAJORITY_AGREES
        return Dispute.MAJORITY_DIFFERS if 2 * differing > len(sources) else Dispute.UNDECIDED
