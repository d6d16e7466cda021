"""Serves subscribers from a log: batches, heartbeats and, within a rate, what they missed. For replicas and relays."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from wickhinge.changelog.codec import MAX_BATCH_ENTRIES, MAX_ENTRIES_BYTES
from wickhinge.changelog.echo_tokens import ReceivedToken, age_ms
from wickhinge.changelog.effects import Send
from wickhinge.changelog.log import Log
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
from wickhinge.changelog.settings import FeedSettings
from wickhinge.changelog.snapshots import cut

MAX_CACHED_SNAPSHOTS = 2
MESSAGE_OVERHEAD = 100  # bytes of a datagram beside entries or payload, as the rate counts it


class SubscriberRow(msgspec.Struct, frozen=True):
    """One subscriber for a `show` command. `age_s`: since it was last heard; `uninformed_s`: as it said itself;
    `agrees`: whether its digest is ours at its number, None where that is not known.
    """

    name: str
    number: int
    lag: int
    age_s: float
    uninformed_s: float
    heartbeats_only: bool = msgspec.field(name="watch")  # the name on the wire
    agrees: bool | None


class Subscriber:
    __slots__ = (
        "name",
        "epoch",
        "number",
        "digest",
        "heartbeats_only",
        "newest",
        "token",
        "received_at",
        "uninformed_ms",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.token = ReceivedToken()


class TokenBucket:
    """`rate` a second, at most `burst` saved up; one taking may overdraw it."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst, self._level, self._at = rate, burst, burst, now

    def open(self, now: float) -> bool:
        self._level = min(self._level + self._rate * max(now - self._at, 0.0), self._burst)
        self._at = now
        return self._level > 0

    def take(self, amount: float) -> None:
        self._level -= amount


class CachedSnapshot(msgspec.Struct):
    parts: tuple[SnapshotPart, ...]
    cut_at: float


class Feed:
    """`until`, an argument of its methods: the log is complete until then, by this clock; None or -inf: never.

    `term_at(number)`: for snapshots that replicas load; relays know no terms.
    """

    def __init__(
        self,
        name: str,
        log: Log,
        settings: FeedSettings,
        newest_format: int,
        now: float,
        term_at: Callable[[int], int] = lambda number: 0,
    ) -> None:
        self._name, self._log, self._settings, self._newest = name, log, settings, newest_format
        self._term_at = term_at
        self._subscribers: dict[str, Subscriber] = {}
        self._pending_requests: dict[str, Fetch | FetchSnapshot] = {}  # one for each subscriber, served in turn
        self._bucket = TokenBucket(settings.catch_up_bytes_per_s, settings.catch_up_burst_bytes, now)
        self._snapshots: list[CachedSnapshot] = []  # the youngest last
        self._pushed = log.last  # entries up to here went to the subscribers
        self._epoch = log.epoch
        self._batch_at = self._heartbeat_at = now
        self.refused = 0  # subscriptions beyond the table's bound

    def receive(self, packet: Packet, now: float, until: float | None) -> list[Send]:
        message = packet.message
        if isinstance(message, Subscribe):
            return self._subscribe(packet, message, now, until)
        subscriber = self._subscribers.get(packet.sender)
        if subscriber is None:
            return []
        if isinstance(message, Unsubscribe):
            self._forget(packet.sender)
            return []
        if isinstance(message, Fetch | FetchSnapshot) and message.epoch <= self._log.epoch:
            subscriber.token.hold(packet.token, now)
            self._pending_requests[packet.sender] = message
            return self._serve(now, until)
        return []

    def tick(self, now: float, until: float | None) -> list[Send]:
        for subscriber in list(self._subscribers.values()):
            if now - subscriber.received_at > self._settings.subscriber_expiry_s:
                self._forget(subscriber.name)
        if not self._log.epoch:
            return []
        sends = self._push(now, until)
        if now - self._heartbeat_at >= self._settings.heartbeat_interval_s:
            sends += self._send_heartbeats(now, until)
        return sends + self._serve(now, until)

    def rows(self, now: float) -> list[SubscriberRow]:
        return [
            SubscriberRow(
                subscriber.name,
                subscriber.number,
                max(self._log.last - subscriber.number, 0),
                now - subscriber.received_at,
                subscriber.uninformed_ms / 1000,
                subscriber.heartbeats_only,
                self._agrees(subscriber),
            )
            for subscriber in self._subscribers.values()
        ]

    def _subscribe(self, packet: Packet, message: Subscribe, now: float, until: float | None) -> list[Send]:
        if message.epoch > self._log.epoch:
            return []
        subscriber = self._subscribers.get(packet.sender)
        is_new = subscriber is None
        if subscriber is None:
            if len(self._subscribers) >= self._settings.max_subscribers:
                self.refused += 1
                return []
            subscriber = self._subscribers[packet.sender] = Subscriber(packet.sender)
        subscriber.epoch, subscriber.number, subscriber.digest = message.epoch, message.number, message.digest
        subscriber.heartbeats_only, subscriber.newest = message.heartbeats_only, packet.newest
        subscriber.uninformed_ms, subscriber.received_at = message.uninformed_ms, now
        subscriber.token.hold(packet.token, now)
        if (is_new or message.heartbeats_only) and self._log.epoch:
            return [self._send(subscriber, self._heartbeat(now, until), now)]
        return []

    def _agrees(self, subscriber: Subscriber) -> bool | None:
        digest = self._log.digest_at(subscriber.number) if subscriber.epoch == self._log.epoch else None
        return None if digest is None else digest == subscriber.digest

    def _forget(self, name: str) -> None:
        del self._subscribers[name]
        self._pending_requests.pop(name, None)

    def _send(self, subscriber: Subscriber, message: Message, now: float) -> Send:
        newest = min(self._newest, subscriber.newest)
        token = subscriber.token
        return Send(
            subscriber.name, Packet(self._name, newest, self._newest, 0, token.token, token.echo_delay_ms(now), message)
        )

    def _heartbeat(self, now: float, until: float | None) -> Heartbeat:
        return Heartbeat(self._log.epoch, self._log.last, self._log.digest, age_ms(until, now))

    def _to_followers(self, message: Message, now: float) -> list[Send]:
        followers = (subscriber for subscriber in self._subscribers.values() if not subscriber.heartbeats_only)
        return [self._send(subscriber, message, now) for subscriber in followers]

    def _push(self, now: float, until: float | None) -> list[Send]:
        """What is new, to all followers: the same messages, so that each is encoded once."""
        if self._epoch != self._log.epoch or not self._log.first - 1 <= self._pushed <= self._log.last:
            self._epoch, self._pushed = self._log.epoch, self._log.last
            return self._send_heartbeats(now, until)
        if self._pushed == self._log.last or now - self._batch_at < self._settings.batch_interval_s:
            return []
        self._batch_at = self._heartbeat_at = now
        sends = []
        for _ in range(self._settings.max_batches_per_push):
            batch = self._batch(self._pushed + 1, now, until)
            if batch is None:
                break
            self._pushed = batch.entries[-1].number
            sends += self._to_followers(batch, now)
        return sends

    def _send_heartbeats(self, now: float, until: float | None) -> list[Send]:
        self._heartbeat_at = now
        return self._to_followers(self._heartbeat(now, until), now)

    def _batch(self, number: int, now: float, until: float | None) -> Batch | None:
        entries = self._log.entries_from(number, MAX_ENTRIES_BYTES, MAX_BATCH_ENTRIES)
        if not entries:
            return None
        digest = self._log.digest_at(entries[-1].number)
        return Batch(self._log.epoch, number, entries, digest, self._log.last, age_ms(until, now))

    def _serve(self, now: float, until: float | None) -> list[Send]:
        """Requests in the order in which they came, each a few datagrams, while the rate allows."""
        sends = []
        while self._pending_requests and self._bucket.open(now):
            name = next(iter(self._pending_requests))
            subscriber, request = self._subscribers[name], self._pending_requests.pop(name)
            for message, size in self._answers(request, now, until):
                self._bucket.take(size + MESSAGE_OVERHEAD)
                sends.append(self._send(subscriber, message, now))
        return sends

    def _answers(self, request: Fetch | FetchSnapshot, now: float, until: float | None) -> list[tuple[Message, int]]:
        if not self._log.epoch:
            return []
        if isinstance(request, FetchSnapshot):
            return self._parts(request, now)
        if request.epoch < self._log.epoch or request.number < self._log.first:
            return self._parts(FetchSnapshot(self._log.epoch, 0, 0), now)
        answers, number = [], request.number
        for _ in range(self._settings.max_messages_per_request):
            batch = self._batch(number, now, until)
            if batch is None:
                break
            answers.append((batch, self._log.size_of(batch.first, len(batch.entries))))
            number = batch.entries[-1].number + 1
        return answers

    def _parts(self, request: FetchSnapshot, now: float) -> list[tuple[Message, int]]:
        kept = self._kept(request, now)
        start = request.part if kept.parts[0].number == request.number and request.number else 0
        parts = kept.parts[start : start + self._settings.max_messages_per_request]
        return [(part, len(part.payload)) for part in parts]

    def _kept(self, request: FetchSnapshot, now: float) -> CachedSnapshot:
        """The snapshot asked for while it is kept, else the youngest, else a new one. One whose next entry is no longer
        retained is of no use.
        """
        self._snapshots = [
            kept
            for kept in self._snapshots
            if kept.parts[0].epoch == self._log.epoch and kept.parts[0].number >= self._log.first - 1
        ]
        for kept in self._snapshots:
            if request.number and kept.parts[0].number == request.number:
                return kept
        if self._snapshots and now - self._snapshots[-1].cut_at <= self._settings.snapshot_cache_s:
            return self._snapshots[-1]
        snapshot = msgspec.structs.replace(self._log.snapshot(now), term=self._term_at(self._log.last))
        self._snapshots.append(CachedSnapshot(cut(snapshot), now))
        del self._snapshots[:-MAX_CACHED_SNAPSHOTS]
        return self._snapshots[-1]
