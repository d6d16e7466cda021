"""Whether other sources' logs agree with the own one, by digests at the same number."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wickhinge.changelog.sequencer import Sequencer


class Dispute(Enum):
    """What the sources that can be compared say of the own log."""

    NONE = "no source differs"
    OPEN = "some differ, and no majority agrees or differs"
    UPHELD = "some differ, a majority agrees"
    REFUTED = "a majority differs"


@dataclass(frozen=True, slots=True)
class PendingDigest:
    """A source's digest at a number that the own log has yet to reach."""

    number: int
    digest: bytes
    received_at: float


@dataclass(slots=True)
class DisputeRecord:
    """The latest comparison with one source: None where there was none."""

    agrees: bool | None = None
    compared_at: float = 0.0
    pending: PendingDigest | None = None


class DisputeRecords:
    """One record a source. A comparison counts for `valid_s` seconds."""

    def __init__(self, sequencer: Sequencer, valid_s: float) -> None:
        self._sequencer, self._valid_s = sequencer, valid_s
        self._records: dict[str, DisputeRecord] = {}

    def record_digest(self, source: str, number: int, digest: bytes, now: float) -> None:
        """Compares the digest that a source's log has at `number`, of our epoch, now or once our log goes so far."""
        record = self._records.setdefault(source, DisputeRecord())
        if number > self._sequencer.last_number:
            if record.pending is None or now - record.pending.received_at > self._valid_s:
                record.pending = PendingDigest(number, digest, now)
            return
        own_digest = self._sequencer.digest_at(number)
        if own_digest is not None:
            record.agrees, record.compared_at = own_digest == digest, now

    def compare_pending(self, now: float) -> None:
        """Compares what the own log has reached; called after it went on."""
        for source, record in self._records.items():
            pending = record.pending
            if pending is not None and pending.number <= self._sequencer.last_number:
                record.pending = None
                self.record_digest(source, pending.number, pending.digest, now)

    def clear(self) -> None:
        """Forgets all comparisons; called where the own log begins anew."""
        self._records.clear()

    def agrees(self, source: str, now: float) -> bool | None:
        """Whether a source's log agrees with ours; None where that is not known."""
        record = self._records.get(source)
        if record is None or now - record.compared_at > self._valid_s:
            return None
        return record.agrees

    def dispute(self, sources: list[str], now: float) -> Dispute:
        """What `sources`, those from which packets come, say of the own log."""
        differing = sum(self.agrees(source, now) is False for source in sources)
        agreeing = sum(self.agrees(source, now) is True for source in sources)
        if not differing:
            return Dispute.NONE
        if 2 * agreeing > len(sources):
            return Dispute.UPHELD
        return Dispute.REFUTED if 2 * differing > len(sources) else Dispute.OPEN
