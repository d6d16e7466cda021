"""Follows one of several sources of the log: what routers do with relays, and relays with replicas."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from wickhinge.changelog.confirmations import Confirmations
from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.dispute_records import Dispute, DisputeRecords
from wickhinge.changelog.echo_tokens import EchoTokenClock, complete_until
from wickhinge.changelog.effects import Apply, Effect, Reset, Send
from wickhinge.changelog.messages import (
    Batch,
    Fetch,
    FetchSnapshot,
    Heartbeat,
    Message,
    Packet,
    SnapshotPart,
    Subscribe,
    Unsubscribe,
)
from wickhinge.changelog.sequencer import Sequencer
from wickhinge.changelog.settings import FollowSettings
from wickhinge.changelog.snapshots import SnapshotAssembly
from wickhinge.changelog.sources import Source, Sources

RESUBSCRIBE_INTERVAL_S = 0.3  # between subscriptions to a source that has not answered yet
MIN_SUBSCRIBE_INTERVAL_SHARE, SUBSCRIBE_INTERVAL_SPREAD = 0.9, 0.1  # of the interval, so that subscribers spread
MIN_FETCH_TIMEOUT_SHARE, FETCH_TIMEOUT_SPREAD = 0.75, 0.5  # of the timeout, likewise


class Subscription:
    """Subscribes to the sources, puts their entries in order, fetches what is missing, and compares their logs.

    `sources` are names in order of preference.

    Attributes:
        sequencer: Where the own log ends.
        sources: The sources, the one that is followed and the secondary one.
        dispute_records: How the sources' logs compare with the own one.
        highest_epoch: The highest that came; lower ones are refused.
        refused_epochs: Packets that were refused for that.
    """

    sequencer_type: ClassVar[type[Sequencer]] = Sequencer
    dispute_records_type: ClassVar[type[DisputeRecords]] = DisputeRecords

    def __init__(self, context: ProcessContext, sources: Sequence[str], settings: FollowSettings, now: float) -> None:
        self._context, self._settings = context, settings
        self.sequencer = self.sequencer_type(settings.max_buffered_entries, settings.max_digests)
        self.sources = Sources(sources, settings, context.random_fraction, now)
        self.dispute_records = self.dispute_records_type(self.sequencer, settings.dispute_valid_s)
        self.highest_epoch = 0
        self.refused_epochs = 0
        self._confirmations = Confirmations()
        self._echo = EchoTokenClock(context.session)
        self._assembly: SnapshotAssembly | None = None  # while a snapshot is wanted
        self._is_refuted = False  # a majority contradicted the own log, and none has agreed since
        self._subscribe_at = self._ticked_at = now
        self._fetch_at: float | None = None  # while something is missing
        self._fetch_timeout_s = settings.fetch_timeout_s

    def tick(self, now: float, uninformed_ms: int) -> list[Effect]:
        """Does what is due. `uninformed_ms` is told to the sources: the age of the knowledge where over its bound."""
        effects: list[Effect] = []
        if now - self._ticked_at > self._settings.source_timeout_s / 2:
            self.sources.restart_timeouts(now)
        self._ticked_at = now
        previous = self.sources.current
        if self._resolve_dispute(now) or self.sources.choose(now):
            effects += self._switch_source(previous, now, uninformed_ms)
        if now >= self._subscribe_at:
            is_confirmed = self.sources.is_confirmed
            interval_s = self._settings.subscribe_interval_s if is_confirmed else RESUBSCRIBE_INTERVAL_S
            spread = SUBSCRIBE_INTERVAL_SPREAD * self._context.random_fraction()
            self._subscribe_at = now + interval_s * (MIN_SUBSCRIBE_INTERVAL_SHARE + spread)
            effects += self._subscribe(now, uninformed_ms)
        return effects + self._fetch_if_due(now)

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Takes a packet; one that is not of a source, or echoes none of our tokens, is ignored."""
        source = self.sources.by_name.get(packet.sender)
        sent_after = self._echo.sent_after(packet.echo, packet.echo_delay_ms)
        message = packet.message
        if source is None or sent_after is None or not isinstance(message, Heartbeat | Batch | SnapshotPart):
            return []
        if message.epoch < self.highest_epoch:
            self.refused_epochs += 1
            return []
        if message.epoch > self.highest_epoch:
            self._enter_epoch(message.epoch)
        source.record_packet(min(sent_after, now), packet.newest, self._settings.source_timeout_s)
        if isinstance(message, SnapshotPart):
            return self._receive_snapshot_part(source, message, now)
        until = complete_until(min(sent_after, now), message.age_ms)
        source.record_progress(message.head, until)
        effects: list[Effect] = []
        if message.epoch == self.sequencer.epoch:
            effects = self._compare_and_apply(source, message, now)
        if until is not None and not self._distrusts(source, now):
            self._confirmations.add(until, message.head)
        self._update_fetch_timer(now)
        return effects

    def unsubscribe(self) -> list[Effect]:
        """Tells the sources that nothing is wanted any more."""
        return [self._send(source, Unsubscribe(), 0) for source in self._subscribed_sources()]

    def confirmed_until(self) -> float:
        """The time, by this clock, such that each change that a majority had before it is applied; -inf: none."""
        if self.sequencer.epoch != self.highest_epoch:
            return self._confirmations.confirmed_until(-1)
        return self._confirmations.confirmed_until(self.sequencer.last_number)

    def is_disputed(self, now: float) -> bool:
        """Whether another source's log differs from ours, and no majority of the reachable ones agrees with ours."""
        return self._is_refuted or self._dispute(now) in (Dispute.OPEN, Dispute.REFUTED)

    def _reachable_sources(self, now: float) -> list[str]:
        return self.sources.recently_received(now, 2 * self._settings.source_timeout_s)

    def _dispute(self, now: float) -> Dispute:
        return self.dispute_records.dispute(self._reachable_sources(now), now)

    def _distrusts(self, source: Source, now: float) -> bool:
        differs = self.dispute_records.agrees(source.name, now) is False
        return self._is_refuted or not source.is_usable(now) or differs

    def _enter_epoch(self, epoch: int) -> None:
        self.highest_epoch = epoch
        self._confirmations.drop_pending()
        self.sources.forget_heads()
        self.dispute_records.clear()
        self._assembly = None

    def _compare_and_apply(self, source: Source, message: Heartbeat | Batch, now: float) -> list[Effect]:
        effects: list[Effect] = []
        number = message.head
        if isinstance(message, Batch):
            number = message.entries[-1].number
            if source is self.sources.current:
                effects = [Apply(entry) for entry in self.sequencer.offer(message.entries)]
        self.dispute_records.record_digest(source.name, number, message.digest, now)
        if effects:
            self.dispute_records.compare_pending(now)
            self._restart_fetch_timer(now)
        return effects

    def _receive_snapshot_part(self, source: Source, part: SnapshotPart, now: float) -> list[Effect]:
        if source is not self.sources.current:
            return []
        is_wanted = self._needs_snapshot() or (self._fetch_at is not None and part.number > self.sequencer.last_number)
        if not is_wanted:
            return []
        if self._assembly is None or self._assembly.source != source.name:
            self._assembly = SnapshotAssembly(source.name)
        snapshot = self._assembly.add(part)
        self._restart_fetch_timer(now)
        if snapshot is None:
            return []
        self._assembly = None
        self.sequencer.reset(snapshot.epoch, snapshot.number, snapshot.digest)
        self.dispute_records.clear()
        return [Reset(snapshot)]

    def _needs_snapshot(self) -> bool:
        return self.sequencer.epoch != self.highest_epoch

    def _is_missing_entries(self) -> bool:
        is_behind = self.sources.current.head > self.sequencer.last_number
        return self._needs_snapshot() or is_behind or self.sequencer.has_buffered

    def _draw_gap_wait_s(self) -> float:
        return self._settings.gap_wait_s * (1 + self._context.random_fraction())

    def _restart_fetch_timer(self, now: float) -> None:
        """Something came: the next request waits as long as the first one."""
        self._fetch_timeout_s = self._settings.fetch_timeout_s
        if self._fetch_at is not None:
            self._fetch_at = now + self._draw_gap_wait_s()

    def _update_fetch_timer(self, now: float) -> None:
        if not self._is_missing_entries():
            self._fetch_at = None
            self._assembly = None
        elif self._fetch_at is None:
            self._fetch_at = now + self._draw_gap_wait_s()

    def _fetch_if_due(self, now: float) -> list[Effect]:
        self._update_fetch_timer(now)
        if self._fetch_at is None or now < self._fetch_at or not self.highest_epoch:
            return []
        return self._fetch(now)

    def _fetch(self, now: float) -> list[Effect]:
        """Requests what is missing, and again with exponential backoff until something comes."""
        spread = FETCH_TIMEOUT_SPREAD * self._context.random_fraction()
        self._fetch_at = now + self._fetch_timeout_s * (MIN_FETCH_TIMEOUT_SHARE + spread)
        self._fetch_timeout_s = min(2 * self._fetch_timeout_s, self._settings.max_fetch_timeout_s)
        if self._needs_snapshot() or self._assembly is not None:
            assembly = self._assembly or SnapshotAssembly(self.sources.current.name)
            request: Message = FetchSnapshot(self.highest_epoch, assembly.snapshot_number, assembly.first_missing_part)
        else:
            request = Fetch(self.sequencer.epoch, self.sequencer.last_number + 1)
        return [self._send(self.sources.current, request, self._echo.draw(now))]

    def _subscribe(self, now: float, uninformed_ms: int) -> list[Effect]:
        """Subscribes with one token for all: the sender of a packet says who echoes it."""
        token = self._echo.draw(now)
        sources = self._subscribed_sources()
        if self._is_refuted or self._dispute(now) is not Dispute.NONE:
            sources = list(self.sources.by_name.values())
        return [self._send(source, self._subscription(source, uninformed_ms), token) for source in sources]

    def _subscribed_sources(self) -> list[Source]:
        """The source that is followed, and the secondary one."""
        current, secondary = self.sources.current, self.sources.secondary
        return [current] if secondary is None or secondary is current else [current, secondary]

    def _subscription(self, source: Source, uninformed_ms: int) -> Subscribe:
        log_end = self.sequencer
        heartbeats_only = source is not self.sources.current
        return Subscribe(log_end.epoch, log_end.last_number, log_end.digest, heartbeats_only, uninformed_ms)

    def _switch_source(self, previous: Source, now: float, uninformed_ms: int) -> list[Effect]:
        """Subscribes to the new source and asks it for what comes next, at once.

        The previous one, where it is not the secondary now, is notified.
        """
        self.sequencer.drop_buffered()
        self._assembly = None
        self._fetch_at = None
        self._fetch_timeout_s = self._settings.fetch_timeout_s
        effects = self._subscribe(now, uninformed_ms)
        self._subscribe_at = now + RESUBSCRIBE_INTERVAL_S
        if self.highest_epoch:
            effects += self._fetch(now)
        if previous not in (self.sources.current, self.sources.secondary):
            effects.append(self._send(previous, Unsubscribe(), 0))
        return effects

    def _resolve_dispute(self, now: float) -> bool:
        """Acts on what the sources say of the own log.

        Returns whether another source is followed from now on, as a majority contradicted the own log.
        """
        reachable = self._reachable_sources(now)
        dispute = self.dispute_records.dispute(reachable, now)
        differing = [name for name in reachable if self.dispute_records.agrees(name, now) is False]
        if self._is_refuted:
            agreeing = sum(self.dispute_records.agrees(name, now) is True for name in reachable)
            self._is_refuted = 2 * agreeing <= len(reachable)
        if dispute is Dispute.UPHELD:
            for name in differing:
                self.sources.by_name[name].ban(now)
        if dispute is not Dispute.REFUTED:
            return False
        previous = self.sources.current
        self.sources.follow(next((name for name in differing if name != previous.name), previous.name), now)
        previous.ban(now)
        self._is_refuted = True
        self.dispute_records.clear()
        self._confirmations.drop_pending()
        self.sequencer.reset(0, 0, self.sequencer.digest)
        return True

    def _send(self, source: Source, message: Message, token: int) -> Send:
        newest_format = self._context.newest_format
        written_format = min(newest_format, source.newest_format)
        return Send(source.name, Packet(self._context.name, written_format, newest_format, token, 0, 0, message))
