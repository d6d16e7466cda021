"""Whether other sources' logs agree with the own one, by digests at the same number."""

from __future__ import annotations

from enum import Enum

from wickhinge.changelog.sequencer import Sequencer


class Dispute(Enum):
    """What the sources that are heard say of the own log."""

    NONE = "no source differs"
    OPEN = "some differ, and no majority agrees or differs"
    UPHELD = "some differ, a majority agrees"
    REFUTED = "a majority differs"


class Verdict:
    __slots__ = ("agrees", "at", "waiting")

    def __init__(self) -> None:
        self.agrees: bool | None = None
        self.at = 0.0
        self.waiting: tuple[int, bytes, float] | None = None  # number and digest that the own log has yet to reach


class DisputeRecords:
    """One verdict a source: the latest comparison, which counts for `valid_s`."""

    def __init__(self, sequencer: Sequencer, valid_s: float) -> None:
        self._sequencer, self._valid_s = sequencer, valid_s
        self._of: dict[str, Verdict] = {}

    def record_digest(self, source: str, number: int, digest: bytes, now: float) -> None:
        """A source's log has `digest` at `number`, of our epoch."""
        verdict = self._of.setdefault(source, Verdict())
        if number > self._sequencer.last:
            if verdict.waiting is None or now - verdict.waiting[2] > self._valid_s:
                verdict.waiting = number, digest, now
            return
        own = self._sequencer.digest_at(number)
        if own is not None:
            verdict.agrees, verdict.at = own == digest, now

    def advanced(self, now: float) -> None:
        """The own log went on: compares what waited for that."""
        for source, verdict in self._of.items():
            if verdict.waiting is not None and verdict.waiting[0] <= self._sequencer.last:
                number, digest, _ = verdict.waiting
                verdict.waiting = None
                self.record_digest(source, number, digest, now)

    def clear(self) -> None:
        self._of.clear()

    def of(self, source: str, now: float) -> bool | None:
        """True: agrees, False: differs, None: not known."""
        verdict = self._of.get(source)
        return verdict.agrees if verdict is not None and now - verdict.at <= self._valid_s else None

    def dispute(self, heard: list[str], now: float) -> Dispute:
        """`heard`: the sources that can be heard."""
        differing = sum(self.of(source, now) is False for source in heard)
        agreeing = sum(self.of(source, now) is True for source in heard)
        if not differing:
            return Dispute.NONE
        if 2 * agreeing > len(heard):
            return Dispute.UPHELD
        return Dispute.REFUTED if 2 * differing > len(heard) else Dispute.OPEN
