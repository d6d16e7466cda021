"""Follows one of several sources of the log: what routers do with relays, and relays with replicas."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wickhinge.changelog.confirmations import Confirmations
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


class Subscription:
    """Parameters as for a Follower."""

    def __init__(
        self,
        name: str,
        sources: Sequence[str],
        settings: FollowSettings,
        random_fraction: Callable[[], float],
        session: int,
        now: float,
        newest_format: int,
    ) -> None:
        self._name, self._settings, self._random_fraction, self._newest = name, settings, random_fraction, newest_format
        self.sequencer = Sequencer(settings.max_buffered_entries, settings.digests)
        self.sources = Sources(sources, settings, random_fraction, now)
        self.confirmations = Confirmations()
        self.dispute_records = DisputeRecords(self.sequencer, settings.dispute_valid_s)
        self.highest_epoch = 0  # seen; lower ones are refused
        self.refused_epochs = 0
        self._echo = EchoTokenClock(session)
        self._assembly: SnapshotAssembly | None = None  # while a snapshot is wanted
        self._unproven = False  # the own log was found wrong, and no majority has agreed since
        self._subscribe_at = self._ticked_at = now
        self._fetch_at: float | None = None  # while something is missing
        self._fetch_wait_s = settings.fetch_timeout_s

    def tick(self, now: float, uninformed_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        if now - self._ticked_at > self._settings.source_timeout_s / 2:
            self.sources.restart_timeouts(now)
        self._ticked_at = now
        former = self.sources.current
        if self._resolve_dispute(now) or self.sources.choose(now):
            effects += self._switched(former, now, uninformed_ms)
        if now >= self._subscribe_at:
            wait_s = self._settings.subscribe_interval_s if self.sources.is_confirmed else RESUBSCRIBE_INTERVAL_S
            self._subscribe_at = now + wait_s * (0.9 + 0.1 * self._random_fraction())
            effects += self._subscribe(now, uninformed_ms)
        return effects + self._fetch(now)

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        source = self.sources.by_name.get(packet.sender)
        sent_after = self._echo.sent_after(packet.echo, packet.echo_delay_ms)
        message = packet.message
        if source is None or sent_after is None or not isinstance(message, Heartbeat | Batch | SnapshotPart):
            return []
        if message.epoch < self.highest_epoch:
            self.refused_epochs += 1
            return []
        if message.epoch > self.highest_epoch:
            self._higher_epoch(message.epoch)
        source.record_packet(min(sent_after, now), packet.newest, self._settings.source_timeout_s)
        if isinstance(message, SnapshotPart):
            return self._snapshot_part(source, message, now)
        until = complete_until(min(sent_after, now), message.age_ms)
        source.record_progress(message.head, until)
        effects: list[Effect] = []
        if message.epoch == self.sequencer.epoch:
            effects = self._compare_and_apply(source, message, now)
        if until is not None and not self._distrusts(source, now):
            self.confirmations.add(until, message.head)
        self._notice_gap(now)
        return effects

    def leave(self) -> list[Effect]:
        return [self._send(source, Unsubscribe(), 0) for source in self._followed()]

    def known_until(self) -> float:
        """All changes that were at the replicas' majority before this time, by this clock, are applied. -inf: none."""
        if self.sequencer.epoch != self.highest_epoch:
            return self.confirmations.reached(-1)
        return self.confirmations.reached(self.sequencer.last)

    def disputed(self, now: float) -> bool:
        """Whether another source's log differs from ours, and no majority of those heard agrees with ours."""
        return self._unproven or self._dispute(now) in (Dispute.OPEN, Dispute.REFUTED)

    def _dispute(self, now: float) -> Dispute:
        return self.dispute_records.dispute(
            self.sources.recently_received(now, 2 * self._settings.source_timeout_s), now
        )

    def _distrusts(self, source: Source, now: float) -> bool:
        return self._unproven or now < source.banned_until or self.dispute_records.of(source.name, now) is False

    def _higher_epoch(self, epoch: int) -> None:
        self.highest_epoch = epoch
        self.confirmations.forget_pending()
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
            self.dispute_records.advanced(now)
            self._progressed(now)
        return effects

    def _snapshot_part(self, source: Source, part: SnapshotPart, now: float) -> list[Effect]:
        if source is not self.sources.current:
            return []
        wanted = self._wants_snapshot() or (self._fetch_at is not None and part.number > self.sequencer.last)
        if not wanted:
            return []
        if self._assembly is None or self._assembly.source != source.name:
            self._assembly = SnapshotAssembly(source.name)
        snapshot = self._assembly.add(part)
        self._progressed(now)
        if snapshot is None:
            return []
        self._assembly = None
        self.sequencer.reset(snapshot.epoch, snapshot.number, snapshot.digest)
        self.dispute_records.clear()
        return [Reset(snapshot)]

    def _wants_snapshot(self) -> bool:
        return self.sequencer.epoch != self.highest_epoch

    def _progressed(self, now: float) -> None:
        self._fetch_wait_s = self._settings.fetch_timeout_s
        if self._fetch_at is not None:
            self._fetch_at = now + self._draw_gap_wait_s()

    def _draw_gap_wait_s(self) -> float:
        return self._settings.gap_wait_s * (1 + self._random_fraction())

    def _missing(self) -> bool:
        behind = self.sources.current.head > self.sequencer.last
        return self._wants_snapshot() or behind or self.sequencer.holds

    def _notice_gap(self, now: float) -> None:
        if not self._missing():
            self._fetch_at = None
            self._assembly = None
        elif self._fetch_at is None:
            self._fetch_at = now + self._draw_gap_wait_s()

    def _fetch(self, now: float) -> list[Effect]:
        self._notice_gap(now)
        if self._fetch_at is None or now < self._fetch_at or not self.highest_epoch:
            return []
        return self._request(now)

    def _request(self, now: float) -> list[Effect]:
        self._fetch_at = now + self._fetch_wait_s * (0.75 + 0.5 * self._random_fraction())
        self._fetch_wait_s = min(2 * self._fetch_wait_s, self._settings.max_fetch_timeout_s)
        if self._wants_snapshot() or self._assembly is not None:
            assembly = self._assembly or SnapshotAssembly(self.sources.current.name)
            request: Message = FetchSnapshot(self.highest_epoch, assembly.number, assembly.missing)
        else:
            request = Fetch(self.sequencer.epoch, self.sequencer.last + 1)
        return [self._send(self.sources.current, request, self._echo.draw(now))]

    def _subscribe(self, now: float, uninformed_ms: int) -> list[Effect]:
        """One token goes to all: who echoes it is told by the packet's sender."""
        token = self._echo.draw(now)
        sources = self._followed()
        if self._unproven or self._dispute(now) is not Dispute.NONE:
            sources = list(self.sources.by_name.values())
        return [self._send(source, self._subscription(source, uninformed_ms), token) for source in sources]

    def _followed(self) -> list[Source]:
        """The source that is followed, and the second one."""
        current, secondary = self.sources.current, self.sources.secondary
        return [current] if secondary is None or secondary is current else [current, secondary]

    def _subscription(self, source: Source, uninformed_ms: int) -> Subscribe:
        where = self.sequencer
        return Subscribe(where.epoch, where.last, where.digest, source is not self.sources.current, uninformed_ms)

    def _switched(self, former: Source, now: float, uninformed_ms: int) -> list[Effect]:
        """The new source is subscribed to, and asked for what comes next, at once; the old one, where it is not the
        second one now, is told.
        """
        self.sequencer.drop_buffered()
        self._assembly = None
        self._fetch_at = None
        self._fetch_wait_s = self._settings.fetch_timeout_s
        effects = self._subscribe(now, uninformed_ms)
        self._subscribe_at = now + RESUBSCRIBE_INTERVAL_S
        if self.highest_epoch:
            effects += self._request(now)
        if former not in (self.sources.current, self.sources.secondary):
            effects.append(self._send(former, Unsubscribe(), 0))
        return effects

    def _resolve_dispute(self, now: float) -> bool:
        """Whether another source is followed from now on, as our own log was found wrong."""
        heard = self.sources.recently_received(now, 2 * self._settings.source_timeout_s)
        dispute = self.dispute_records.dispute(heard, now)
        if self._unproven:
            agreeing = sum(self.dispute_records.of(name, now) is True for name in heard)
            self._unproven = 2 * agreeing <= len(heard)
        if dispute is Dispute.UPHELD:
            for name in heard:
                if self.dispute_records.of(name, now) is False:
                    self.sources.by_name[name].ban(now)
        if dispute is not Dispute.REFUTED:
            return False
        differing = [name for name in heard if self.dispute_records.of(name, now) is False]
        former = self.sources.current.name
        self.sources.follow(next((name for name in differing if name != former), former), now)
        self.sources.by_name[former].ban(now)
        self._unproven = True
        self.dispute_records.clear()
        self.confirmations.forget_pending()
        self.sequencer.reset(0, 0, self.sequencer.digest)
        return True

    def _send(self, source: Source, message: Message, token: int) -> Send:
        written = min(self._newest, source.newest_format)
        return Send(source.name, Packet(self._name, written, self._newest, token, 0, 0, message))
