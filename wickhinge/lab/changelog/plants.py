"""Faults put into the code, one at a time, that the walk has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from wickhinge.changelog.dispute_records import DisputeRecords
from wickhinge.changelog.effects import Effect
from wickhinge.changelog.entries import Entry
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.leadership import Leadership
from wickhinge.changelog.messages import Batch, Heartbeat, Packet, RequestVote
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.sequencer import Sequencer

STALE_S = 1.0


class Plant(msgspec.Struct, frozen=True):
    replica: Callable[..., Replica] = Replica
    relay: Callable[..., Relay] = Relay
    follower: Callable[..., Follower] = Follower
    persist_delay_s: float = 0.0  # Persist is done so much later than the effects after it


class StaleRelay(Relay):
    """Tells its head as new while it hears no replica."""

    def confirmed_until(self, now: float) -> float | None:
        until = super().confirmed_until(now)
        is_stale = until is not None and now - until > STALE_S
        return now if is_stale else until


class GapSkipping(Sequencer):
    """Goes on behind a gap."""

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        ready = [entry for entry in entries if entry.number > self.last]
        for entry in ready:
            self._advance(entry)
        return ready


class Repeating(Sequencer):
    """Applies a batch again that it has had."""

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        entries = tuple(entries)
        had = [entry for entry in entries if entry.number <= self.last]
        return had + super().offer(entries)


def _with_sequencer(kind: type[Sequencer]) -> Callable[..., Follower]:
    def build(*arguments: Any) -> Follower:
        follower = Follower(*arguments)
        subscription = follower._subscription
        subscription.sequencer = kind(subscription._settings.max_buffered_entries, subscription._settings.digests)
        subscription.dispute_records._sequencer = subscription.sequencer
        return follower

    return build


class Agreeing(DisputeRecords):
    """Takes all logs for the same."""

    def record_digest(self, source: str, number: int, digest: bytes, now: float) -> None:
        pass


class EpochBlind(Follower):
    """Takes what comes for its own epoch's. Digests are not compared either, as they would tell."""

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        message, epoch = packet.message, self.epoch
        if epoch and isinstance(message, Heartbeat):
            message = msgspec.structs.replace(message, epoch=epoch)
        elif epoch and isinstance(message, Batch):
            entries = tuple(msgspec.structs.replace(entry, epoch=epoch) for entry in message.entries)
            message = msgspec.structs.replace(message, epoch=epoch, entries=entries)
        self._subscription.dispute_records.__class__ = Agreeing
        return super().receive(msgspec.structs.replace(packet, message=message), now)


class OneAnswer(Leadership):
    """Takes a round that one replica answered for one that a majority did."""

    def record_answer(self, peer: str, round_number: int, now: float) -> tuple[float, int] | None:
        found = [super(OneAnswer, self).record_answer(other, round_number, now) for other in self.match]
        return next((one for one in reversed(found) if one is not None), None)


class Presuming(Replica):
    """Confirms as a leader though it may have been replaced."""

    def _become_leader(self, now: float) -> None:
        super()._become_leader(now)
        self._leadership.__class__ = OneAnswer


class DoubleVoter(Replica):
    """Votes for whoever asks, also twice in a term."""

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        if not message.pre_vote and message.term == self.term:
            self._ballot.vote = ""
        super()._on_request_vote(sender, message, now)


NONE = Plant()
PLANTS = {
    "stale-relay": Plant(relay=StaleRelay),
    "skipped-gap": Plant(follower=_with_sequencer(GapSkipping)),
    "ignored-epoch": Plant(follower=EpochBlind),
    "one-answer": Plant(replica=Presuming),
    "double-vote": Plant(replica=DoubleVoter),
    "batch-twice": Plant(follower=_with_sequencer(Repeating)),
    "ack-before-persist": Plant(persist_delay_s=0.4),
}
