"""Subscription to the log: a router follows one of several relays with it, and a relay one of several replicas."""

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
    DiscoveryStatus,
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

RESUBSCRIBE_INTERVAL_S = 0.3  # Interval of Subscribe messages to a source that has not answered yet.
# Factors of the subscribe interval: the shortest interval, and the range of the random part that is added to it so that
# subscribers do not send at the same time.
MIN_SUBSCRIBE_INTERVAL_SHARE, SUBSCRIBE_INTERVAL_SPREAD = 0.9, 0.1
# Factors of the fetch timeout: the shortest timeout, and the range of the random part that is added to it so that
# subscribers do not repeat requests at the same time.
MIN_FETCH_TIMEOUT_SHARE, FETCH_TIMEOUT_SPREAD = 0.75, 0.5


class Subscription:
    """Subscription that puts received entries in order, fetches missing ones, and compares the sources' logs.

    Attributes:
        sequencer_type: Class of the sequencer; a subclass with a planted fault overrides it.
        dispute_records_type: Class of the dispute records; a subclass with a planted fault overrides it.
        sequencer: Position at which this process's log ends, and entries that are buffered until earlier ones arrive.
        sources: All sources, with the one that is followed and the secondary one.
        dispute_records: Results of comparing the sources' logs with this process's log.
        highest_epoch: Highest epoch of any message received.
        refused_packets: Number of packets refused because their epoch was below `highest_epoch`.
    """

    sequencer_type: ClassVar[type[Sequencer]] = Sequencer
    dispute_records_type: ClassVar[type[DisputeRecords]] = DisputeRecords

    def __init__(self, context: ProcessContext, sources: Sequence[str], settings: FollowSettings, now: float) -> None:
        """Create a subscription that has received nothing.

        Args:
            context: Name, session, randomness and newest wire format of the process.
            sources: Names of the sources, in order of preference.
            settings: Intervals, timeouts and limits.
            now: Present time of the process's clock, in seconds.
        """
        self._context, self._settings = context, settings
        self.sequencer = self.sequencer_type(settings.max_buffered_entries, settings.max_digests)
        self.sources = Sources(sources, settings, context.random_fraction, now)
        self.dispute_records = self.dispute_records_type(self.sequencer, settings.dispute_valid_s)
        self.discovery: DiscoveryStatus | None = None  # A router's discovery service, which sources show to operators.
        self.highest_epoch = 0
        self.refused_packets = 0
        self._confirmations = Confirmations()
        self._echo_tokens = EchoTokenClock(context.session)
        self._snapshot_assembly: SnapshotAssembly | None = None  # None unless a snapshot is being fetched.
        self._is_contradicted = False  # True from when a majority contradicts this log until a majority agrees with it.
        self._next_subscribe_at = self._last_tick_at = now
        self._next_fetch_at: float | None = None  # Time of the next request; None unless entries are missing.
        self._fetch_timeout_s = settings.fetch_timeout_s

    def tick(self, now: float, uninformed_ms: int) -> list[Effect]:
        """Choose the source, and send subscriptions and requests that are due.

        `uninformed_ms` is reported to the sources: the age of this process's knowledge if it is over its bound, else 0.
        """
        effects: list[Effect] = []
        if now - self._last_tick_at > self._settings.source_timeout_s / 2:
            self.sources.restart_timeouts(now)
        self._last_tick_at = now
        previous = self.sources.current
        if self._resolve_dispute(now) or self.sources.update_current(now):
            effects += self._switch_source(previous, now, uninformed_ms)
        if now >= self._next_subscribe_at:
            has_answered = self.sources.has_current_answered
            interval_s = self._settings.subscribe_interval_s if has_answered else RESUBSCRIBE_INTERVAL_S
            spread = SUBSCRIBE_INTERVAL_SPREAD * self._context.random_fraction()
            self._next_subscribe_at = now + interval_s * (MIN_SUBSCRIBE_INTERVAL_SHARE + spread)
            effects += self._send_subscriptions(now, uninformed_ms)
        return effects + self._request_missing_if_due(now)

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Process a packet; it is ignored unless a source sent it and it echoes a token that was drawn here."""
        source = self.sources.by_name.get(packet.sender)
        sent_after = self._echo_tokens.sent_after(packet.echo, packet.echo_delay_ms)
        message = packet.message
        if source is None or sent_after is None or not isinstance(message, Heartbeat | Batch | SnapshotPart):
            return []
        if message.epoch < self.highest_epoch:
            self.refused_packets += 1
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
        if until is not None and not self._is_untrusted(source, now):
            self._confirmations.add(until, message.head)
        self._update_fetch_timer(now)
        return effects

    def unsubscribe(self) -> list[Effect]:
        """Return the messages that end the subscriptions to the current and the secondary source."""
        return [self._make_send(source, Unsubscribe(), 0) for source in self._subscribed_sources()]

    def confirmed_until(self) -> float:
        """Return the time until which every change that a majority of the replicas committed is applied.

        The time is read from this process's clock; it is -inf while no such time is known.
        """
        if self.sequencer.epoch != self.highest_epoch:
            return self._confirmations.confirmed_until(-1)
        return self._confirmations.confirmed_until(self.sequencer.last_number)

    def is_disputed(self, now: float) -> bool:
        """Return whether sources' logs differ from this process's log, and no majority agrees with this log."""
        return self._is_contradicted or self._current_dispute(now) in (Dispute.UNDECIDED, Dispute.MAJORITY_DIFFERS)

    def _reachable_sources(self, now: float) -> list[str]:
        return self.sources.recently_received(now, 2 * self._settings.source_timeout_s)

    def _current_dispute(self, now: float) -> Dispute:
        return self.dispute_records.find_dispute(self._reachable_sources(now), now)

    def _is_untrusted(self, source: Source, now: float) -> bool:
        differs = self.dispute_records.agrees(source.name, now) is False
        return self._is_contradicted or not source.is_usable(now) or differs

    def _enter_epoch(self, epoch: int) -> None:
        self.highest_epoch = epoch
        self._confirmations.drop_pending()
        self.sources.forget_heads()
        self.dispute_records.clear()
        self._snapshot_assembly = None

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
        is_wanted = self._needs_snapshot() or (
            self._next_fetch_at is not None and part.number > self.sequencer.last_number
        )
        if not is_wanted:
            return []
        if self._snapshot_assembly is None or self._snapshot_assembly.source != source.name:
            self._snapshot_assembly = SnapshotAssembly(source.name)
        snapshot = self._snapshot_assembly.add(part)
        self._restart_fetch_timer(now)
        if snapshot is None:
            return []
        self._snapshot_assembly = None
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
        """Reset the backoff of requests after progress: the next request waits as long as a first one."""
        self._fetch_timeout_s = self._settings.fetch_timeout_s
        if self._next_fetch_at is not None:
            self._next_fetch_at = now + self._draw_gap_wait_s()

    def _update_fetch_timer(self, now: float) -> None:
        if not self._is_missing_entries():
            self._next_fetch_at = None
            self._snapshot_assembly = None
        elif self._next_fetch_at is None:
            self._next_fetch_at = now + self._draw_gap_wait_s()

    def _request_missing_if_due(self, now: float) -> list[Effect]:
        self._update_fetch_timer(now)
        if self._next_fetch_at is None or now < self._next_fetch_at or not self.highest_epoch:
            return []
        return self._request_missing(now)

    def _request_missing(self, now: float) -> list[Effect]:
        """Request missing entries or a snapshot, and schedule a repetition with exponential backoff."""
        spread = FETCH_TIMEOUT_SPREAD * self._context.random_fraction()
        self._next_fetch_at = now + self._fetch_timeout_s * (MIN_FETCH_TIMEOUT_SHARE + spread)
        self._fetch_timeout_s = min(2 * self._fetch_timeout_s, self._settings.max_fetch_timeout_s)
        if self._needs_snapshot() or self._snapshot_assembly is not None:
            assembly = self._snapshot_assembly or SnapshotAssembly(self.sources.current.name)
            request: Message = FetchSnapshot(self.highest_epoch, assembly.snapshot_number, assembly.first_missing_part)
        else:
            request = Fetch(self.sequencer.epoch, self.sequencer.last_number + 1)
        return [self._make_send(self.sources.current, request, self._echo_tokens.draw(now))]

    def _send_subscriptions(self, now: float, uninformed_ms: int) -> list[Effect]:
        """Send Subscribe messages.

        One token serves all sources, as the sender of a packet shows which source echoes it. While the logs of sources
        differ, all sources get the message, so that their digests can be compared.
        """
        token = self._echo_tokens.draw(now)
        sources = self._subscribed_sources()
        if self._is_contradicted or self._current_dispute(now) is not Dispute.NO_DIFFERENCE:
            sources = list(self.sources.by_name.values())
        return [self._make_send(source, self._make_subscribe(source, uninformed_ms), token) for source in sources]

    def _subscribed_sources(self) -> list[Source]:
        """Return the current source and the secondary one."""
        current, secondary = self.sources.current, self.sources.secondary
        return [current] if secondary is None or secondary is current else [current, secondary]

    def _make_subscribe(self, source: Source, uninformed_ms: int) -> Subscribe:
        sequencer = self.sequencer
        heartbeats_only = source is not self.sources.current
        return Subscribe(
            sequencer.epoch, sequencer.last_number, sequencer.digest, heartbeats_only, uninformed_ms, self.discovery
        )

    def _switch_source(self, previous: Source, now: float, uninformed_ms: int) -> list[Effect]:
        """Subscribe to the new current source, and request the next entries from it at once.

        The previous source gets an Unsubscribe message unless it is the secondary source now.
        """
        self.sequencer.drop_buffered()
        self._snapshot_assembly = None
        self._next_fetch_at = None
        self._fetch_timeout_s = self._settings.fetch_timeout_s
        effects = self._send_subscriptions(now, uninformed_ms)
        self._next_subscribe_at = now + RESUBSCRIBE_INTERVAL_S
        if self.highest_epoch:
            effects += self._request_missing(now)
        if previous not in (self.sources.current, self.sources.secondary):
            effects.append(self._make_send(previous, Unsubscribe(), 0))
        return effects

    def _resolve_dispute(self, now: float) -> bool:
        """Act on the result of comparing the sources' logs with this process's log.

        If a majority agrees with this log, the sources that differ are banned. If a majority differs, this log is
        dropped, a source that differs becomes the current one, and the previous source is banned.

        Returns:
            Whether a majority differed, so that the source has been switched.
        """
        reachable = self._reachable_sources(now)
        dispute = self.dispute_records.find_dispute(reachable, now)
        differing = [name for name in reachable if self.dispute_records.agrees(name, now) is False]
        if self._is_contradicted:
            agreeing = sum(self.dispute_records.agrees(name, now) is True for name in reachable)
            self._is_contradicted = 2 * agreeing <= len(reachable)
        if dispute is Dispute.MAJORITY_AGREES:
            for name in differing:
                self.sources.by_name[name].ban(now)
        if dispute is not Dispute.MAJORITY_DIFFERS:
            return False
        previous = self.sources.current
        self.sources.follow(next((name for name in differing if name != previous.name), previous.name), now)
        previous.ban(now)
        self._is_contradicted = True
        self.dispute_records.clear()
        self._confirmations.drop_pending()
        self.sequencer.reset(0, 0, self.sequencer.digest)
        return True

    def _make_send(self, source: Source, message: Message, token: int) -> Send:
        newest_format = self._context.newest_format
        written_format = min(newest_format, source.newest_format)
        return Send(source.name, Packet(self._context.name, written_format, newest_format, token, 0, 0, message))
