"""Faults put into the code, one at a time, that the walk has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from wickhinge.changelog.entries import Entry
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.messages import Batch, Heartbeat, Packet, RequestVote, SnapshotPart
from wickhinge.changelog.ordering import Sequencer
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.replica import Replica


class Plant(msgspec.Struct, frozen=True):
    replica: Callable[..., Replica] = Replica
    relay: Callable[..., Relay] = Relay
    follower: Callable[..., Follower] = Follower
    persist_delay_s: float = 0.0  # Persist is done so much later than the effects after it


class StaleRelay(Relay):
    """Tells an old head as new."""

    def vouched_until(self, now: float) -> float | None:
        return now


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
        subscription.sequencer = kind(subscription._settings.most_held, subscription._settings.digests)
        subscription.verdicts._sequencer = subscription.sequencer
        return follower

    return build


class EpochBlind(Follower):
    """Takes what comes for its own epoch's."""

    def heard(self, packet: Packet, now: float) -> list:
        message, epoch = packet.message, self.epoch
        if epoch and isinstance(message, Heartbeat | SnapshotPart):
            message = msgspec.structs.replace(message, epoch=epoch)
        elif epoch and isinstance(message, Batch):
            entries = tuple(msgspec.structs.replace(entry, epoch=epoch) for entry in message.entries)
            message = msgspec.structs.replace(message, epoch=epoch, entries=entries)
        return super().heard(msgspec.structs.replace(packet, message=message), now)


class DoubleVoter(Replica):
    """Votes for whoever asks, also twice in a term."""

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        if not message.probe and message.term == self.term:
            self.vote = ""
        super()._on_request_vote(sender, message, now)


NONE = Plant()
PLANTS = {
    "stale-relay": Plant(relay=StaleRelay),
    "skipped-gap": Plant(follower=_with_sequencer(GapSkipping)),
    "ignored-epoch": Plant(follower=EpochBlind),
    "double-vote": Plant(replica=DoubleVoter),
    "batch-twice": Plant(follower=_with_sequencer(Repeating)),
    "ack-before-persist": Plant(persist_delay_s=0.4),
}
