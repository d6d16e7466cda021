"""Incorrect versions of the state machines; the oracle must detect each of these faults."""

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

MIN_STALE_AGE_S = 1.0


class PlantedFault(msgspec.Struct, frozen=True):
    """The state machines that a walk runs, one of which may be incorrect.

    Attributes:
        replica: Class of the replicas, or a function that creates one.
        relay: Class of the relays, or a function that creates one.
        follower: Class of the followers, or a function that creates one.
        persist_delay_s: Seconds by which writes to stable storage are delayed after the effects that follow them.
    """

    replica: Callable[..., Replica] = Replica
    relay: Callable[..., Relay] = Relay
    follower: Callable[..., Follower] = Follower
    persist_delay_s: float = 0.0


class StaleRelay(Relay):
    """A relay that reports its log as complete until now although it receives nothing from a replica."""

    def confirmed_until(self, now: float) -> float | None:
        """Return the present time if the correct time is more than MIN_STALE_AGE_S ago."""
        until = super().confirmed_until(now)
        is_stale = until is not None and now - until > MIN_STALE_AGE_S
        return now if is_stale else until


class GapSkippingSequencer(Sequencer):
    """A sequencer that skips missing entries."""

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        """Return all entries that are later than the last one, also after a gap."""
        ready = [entry for entry in entries if entry.number > self.last_number]
        for entry in ready:
            self._advance(entry)
        return ready


class RepeatingSequencer(Sequencer):
    """A sequencer that applies entries of a repeated batch a second time."""

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        """Return the entries that were applied before, followed by the next entries in order."""
        entries = tuple(entries)
        repeated = [entry for entry in entries if entry.number <= self.last_number]
        return repeated + super().offer(entries)


class GapSkippingSubscription(Subscription):
    """A subscription that skips missing entries."""

    sequencer_type = GapSkippingSequencer


class RepeatingSubscription(Subscription):
    """A subscription that applies entries of a repeated batch a second time."""

    sequencer_type = RepeatingSequencer


class GapSkippingFollower(Follower):
    """A follower that skips missing entries."""

    subscription_type = GapSkippingSubscription


class RepeatingFollower(Follower):
    """A follower that applies entries of a repeated batch a second time."""

    subscription_type = RepeatingSubscription


class AgreeingDisputeRecords(DisputeRecords):
    """Dispute records that consider all logs equal."""

    def record_digest(self, source: str, number: int, digest: bytes, now: float) -> None:
        """Ignore the digest of a log."""


class AgreeingSubscription(Subscription):
    """A subscription that considers all logs equal."""

    dispute_records_type = AgreeingDisputeRecords


class EpochBlindFollower(Follower):
    """A follower that accepts messages of any epoch as messages of its own epoch.

    It does not compare digests of logs, because a comparison would detect the fault.
    """

    subscription_type = AgreeingSubscription

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Process a packet as if its epoch were the follower's own."""
        message, epoch = packet.message, self.epoch
        if epoch and isinstance(message, Heartbeat):
            message = msgspec.structs.replace(message, epoch=epoch)
        elif epoch and isinstance(message, Batch):
            entries = tuple(msgspec.structs.replace(entry, epoch=epoch) for entry in message.entries)
            message = msgspec.structs.replace(message, epoch=epoch, entries=entries)
        return super().receive(msgspec.structs.replace(packet, message=message), now)


class OneAnswerLeadership(Leadership):
    """A leader's records that treat an answer of one replica as the answers of a majority."""

    def record_answer(self, _peer: str, round_number: int, now: float) -> tuple[float, int] | None:
        """Record the answer as if all peers had given it."""
        confirmed = [
            super(OneAnswerLeadership, self).record_answer(other, round_number, now) for other in self.match_numbers
        ]
        return next((pair for pair in reversed(confirmed) if pair is not None), None)


class OneAnswerReplica(Replica):
    """A replica that, as a leader, confirms entries although another leader may have replaced it."""

    leadership_type = OneAnswerLeadership


class DoubleVotingReplica(Replica):
    """A replica that votes for each candidate, also a second time in a term."""

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
    "double-vote": PlantedFault(replica=DoubleVotingReplica),
    "batch-twice": PlantedFault(follower=RepeatingFollower),
    "ack-before-persist": PlantedFault(persist_delay_s=0.4),
}
