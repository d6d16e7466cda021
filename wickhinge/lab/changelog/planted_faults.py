"""Faults put into the code, one at a time, that the walk has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterable

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
from wickhinge.changelog.subscription import Subscription

STALE_AFTER_S = 1.0


class PlantedFault(msgspec.Struct, frozen=True):
    """What the walk runs in place of the product's state machines.

    Attributes:
        replica: Makes a replica.
        relay: Makes a relay.
        follower: Makes a follower.
        persist_delay_s: A Persist is done so much later than the effects after it.
    """

    replica: Callable[..., Replica] = Replica
    relay: Callable[..., Relay] = Relay
    follower: Callable[..., Follower] = Follower
    persist_delay_s: float = 0.0


class StaleRelay(Relay):
    """Reports its log as complete until now while it receives nothing from a replica."""

    def confirmed_until(self, now: float) -> float | None:
        """The present time where the relay's knowledge is old."""
        until = super().confirmed_until(now)
        is_stale = until is not None and now - until > STALE_AFTER_S
        return now if is_stale else until


class GapSkippingSequencer(Sequencer):
    """Goes on behind a gap."""

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        """All entries that are later than the last one."""
        ready = [entry for entry in entries if entry.number > self.last_number]
        for entry in ready:
            self._advance(entry)
        return ready


class RepeatingSequencer(Sequencer):
    """Applies a batch again that it has had."""

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        """What is next in order, after the entries that were applied before."""
        entries = tuple(entries)
        repeated = [entry for entry in entries if entry.number <= self.last_number]
        return repeated + super().offer(entries)


class GapSkippingSubscription(Subscription):
    """A subscription that goes on behind a gap."""

    sequencer_type = GapSkippingSequencer


class RepeatingSubscription(Subscription):
    """A subscription that applies a batch again."""

    sequencer_type = RepeatingSequencer


class GapSkippingFollower(Follower):
    """A follower that goes on behind a gap."""

    subscription_type = GapSkippingSubscription


class RepeatingFollower(Follower):
    """A follower that applies a batch again."""

    subscription_type = RepeatingSubscription


class AgreeingDisputeRecords(DisputeRecords):
    """Takes all logs for the same."""

    def record_digest(self, source: str, number: int, digest: bytes, now: float) -> None:
        """Compares nothing."""


class AgreeingSubscription(Subscription):
    """A subscription that takes all logs for the same."""

    dispute_records_type = AgreeingDisputeRecords


class EpochBlindFollower(Follower):
    """Takes what comes for its own epoch's. Digests are not compared either, as they would show it."""

    subscription_type = AgreeingSubscription

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Takes the packet as if its epoch were our own."""
        message, epoch = packet.message, self.epoch
        if epoch and isinstance(message, Heartbeat):
            message = msgspec.structs.replace(message, epoch=epoch)
        elif epoch and isinstance(message, Batch):
            entries = tuple(msgspec.structs.replace(entry, epoch=epoch) for entry in message.entries)
            message = msgspec.structs.replace(message, epoch=epoch, entries=entries)
        return super().receive(msgspec.structs.replace(packet, message=message), now)


class OneAnswerLeadership(Leadership):
    """Takes a round that one replica answered for one that a majority did."""

    def record_answer(self, _peer: str, round_number: int, now: float) -> tuple[float, int] | None:
        """Records the answer as all peers'."""
        confirmed = [
            super(OneAnswerLeadership, self).record_answer(other, round_number, now) for other in self.match_numbers
        ]
        return next((pair for pair in reversed(confirmed) if pair is not None), None)


class OneAnswerReplica(Replica):
    """Confirms as a leader though it may have been replaced."""

    leadership_type = OneAnswerLeadership


class DoubleVoter(Replica):
    """Votes for whoever asks, also twice in a term."""

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        if not message.pre_vote and message.term == self.term:
            self._ballot.vote = ""
        super()._on_request_vote(sender, message, now)


NO_FAULT = PlantedFault()
PLANTED_FAULTS = {
    "stale-relay": PlantedFault(relay=StaleRelay),
    "skipped-gap": PlantedFault(follower=GapSkippingFollower),
    "ignored-epoch": PlantedFault(follower=EpochBlindFollower),
    "one-answer": PlantedFault(replica=OneAnswerReplica),
    "double-vote": PlantedFault(replica=DoubleVoter),
    "batch-twice": PlantedFault(follower=RepeatingFollower),
    "ack-before-persist": PlantedFault(persist_delay_s=0.4),
}
