"""Sending of a replica's or relay's log to its subscribers.

Subscribers get batches of new entries, heartbeats, and, within a rate limit, the entries and snapshots that they
request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from wickhinge.changelog.codec import MAX_BATCH_ENTRIES, MAX_ENTRIES_BYTES
from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.echo_tokens import ReceivedToken, knowledge_age_ms
from wickhinge.changelog.effects import Send
from wickhinge.changelog.log import Log
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
from wickhinge.changelog.settings import FeedSettings
from wickhinge.changelog.snapshots import split_snapshot

MAX_CACHED_SNAPSHOTS = 2
MESSAGE_OVERHEAD_BYTES = 100  # Size that the rate limit adds to each datagram for headers and other fields.


class SubscriberRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One subscriber in the answer to an operator.

    Attributes:
        name: Process name of the subscriber.
        number: Sequence number of the last entry that the subscriber acknowledged.
        lag: Number of entries that the subscriber is behind this log.
        age_s: Seconds since the latest Subscribe message of the subscriber arrived.
        uninformed_s: Age in seconds of the subscriber's knowledge, as the subscriber reports it if that age is over its
            bound; otherwise 0.
        heartbeats_only: Whether the subscriber follows another source and gets only heartbeats. It is "watch" on the
            wire.
        agrees: Whether the subscriber's digest equals the digest of this log at `number`; None if this log has no
            digest at `number`, or the epochs differ.
        discovery: A router's discovery service; None if the subscriber did not tell it.
    """

    name: str
    number: int
    lag: int
    age_s: float
    uninformed_s: float
    heartbeats_only: bool = msgspec.field(name="watch")
    agrees: bool | None
    discovery: DiscoveryStatus | None = None


@dataclass(slots=True)
class Subscriber:
    """Subscriber as its latest Subscribe message describes it."""

    name: str
    epoch: int = 0
    number: int = 0
    digest: bytes = b""
    heartbeats_only: bool = False
    newest_format: int = 0
    uninformed_ms: int = 0
    received_at: float = 0.0
    discovery: DiscoveryStatus | None = None
    token: ReceivedToken = field(default_factory=ReceivedToken)

    def update(self, packet: Packet, message: Subscribe, now: float) -> None:
        """Record a newer Subscribe message."""
        self.epoch, self.number, self.digest = message.epoch, message.number, message.digest
        self.heartbeats_only, self.newest_format = message.heartbeats_only, packet.newest
        self.uninformed_ms, self.received_at = message.uninformed_ms, now
        self.discovery = message.discovery
        self.token.record(packet.token, now)


class CatchUpBudget:
    """Token bucket for the bytes of answers to requests, which one answer may overdraw.

    `common.token_bucket` refuses an amount above its level. Here a whole answer is sent as soon as there is any
    credit, so that an answer larger than the bucket does not wait forever.
    """

    def __init__(self, bytes_per_s: float, max_credit_bytes: float, now: float) -> None:
        """Create a full bucket that is refilled with `bytes_per_s` up to `max_credit_bytes`."""
        self._bytes_per_s, self._max_credit_bytes, self._credit_bytes, self._refilled_at = (
            bytes_per_s,
            max_credit_bytes,
            max_credit_bytes,
            now,
        )

    def has_credit(self, now: float) -> bool:
        """Add the credit for the time since the last call, and return whether an answer may be sent."""
        self._credit_bytes = min(
            self._credit_bytes + self._bytes_per_s * max(now - self._refilled_at, 0.0), self._max_credit_bytes
        )
        self._refilled_at = now
        return self._credit_bytes > 0

    def spend(self, size_bytes: float) -> None:
        """Subtract the size of a sent message; the credit may become negative."""
        self._credit_bytes -= size_bytes


@dataclass(frozen=True, slots=True)
class CachedSnapshot:
    """Encoded snapshot in parts, with the time at which it was made."""

    parts: tuple[SnapshotPart, ...]
    created_at: float

    @property
    def epoch(self) -> int:
        """Epoch of the snapshot."""
        return self.parts[0].epoch

    @property
    def number(self) -> int:
        """Sequence number of the last entry that the snapshot covers."""
        return self.parts[0].number


def unknown_term(_number: int) -> int:
    """Return 0, which stands for an unknown term."""
    return 0


class Feed:
    """Subscribers of a log, and the messages sent to them.

    The argument `confirmed_until` of the methods is the time, by this process's clock, until which the log holds every
    change that a majority of the replicas committed; None or -inf means that no such time is known.

    Attributes:
        refused_subscriptions: Number of Subscribe messages refused because there were `max_subscribers` already.
    """

    def __init__(
        self,
        context: ProcessContext,
        log: Log,
        settings: FeedSettings,
        now: float,
        term_at: Callable[[int], int] = unknown_term,
    ) -> None:
        """Create a feed without subscribers.

        Args:
            context: Name of the process and newest wire format.
            log: Log whose entries are sent.
            settings: Intervals, rates and limits.
            now: Present time of the process's clock, in seconds.
            term_at: Returns the replicas' term of the entry with a sequence number, which replicas need when they load
                a snapshot. Relays do not know terms and use the default.
        """
        self._name, self._newest_format = context.name, context.newest_format
        self._log, self._settings, self._term_at = log, settings, term_at
        self._subscribers: dict[str, Subscriber] = {}
        self._pending_requests: dict[str, Fetch | FetchSnapshot] = {}  # At most one for each subscriber.
        self._budget = CatchUpBudget(settings.catch_up_bytes_per_s, settings.catch_up_burst_bytes, now)
        self._cached_snapshots: list[CachedSnapshot] = []  # Sorted by age, the newest last.
        self._last_pushed_number = log.last_number  # Sequence number of the last entry sent to all followers.
        self._pushed_epoch = log.epoch
        self._last_batch_at = self._last_heartbeat_at = now
        self.refused_subscriptions = 0

    def receive(self, packet: Packet, now: float, confirmed_until: float | None) -> list[Send]:
        """Process a packet of a subscriber or of a process that subscribes; return the answers."""
        message = packet.message
        if isinstance(message, Subscribe):
            return self._record_subscription(packet, message, now, confirmed_until)
        subscriber = self._subscribers.get(packet.sender)
        if subscriber is None:
            return []
        if isinstance(message, Unsubscribe):
            self._forget(packet.sender)
            return []
        if isinstance(message, Fetch | FetchSnapshot) and message.epoch <= self._log.epoch:
            subscriber.token.record(packet.token, now)
            self._pending_requests[packet.sender] = message
            return self._serve_pending_requests(now, confirmed_until)
        return []

    def tick(self, now: float, confirmed_until: float | None) -> list[Send]:
        """Return new entries, heartbeats that are due, and answers to pending requests."""
        for subscriber in list(self._subscribers.values()):
            if now - subscriber.received_at > self._settings.subscriber_expiry_s:
                self._forget(subscriber.name)
        if not self._log.epoch:
            return []
        sends = self._push_new_entries(now, confirmed_until)
        if now - self._last_heartbeat_at >= self._settings.heartbeat_interval_s:
            sends += self._send_heartbeats(now, confirmed_until)
        return sends + self._serve_pending_requests(now, confirmed_until)

    def rows(self, now: float) -> list[SubscriberRow]:
        """Return a row for each subscriber, as operators see it."""
        return [
            SubscriberRow(
                subscriber.name,
                subscriber.number,
                max(self._log.last_number - subscriber.number, 0),
                now - subscriber.received_at,
                subscriber.uninformed_ms / 1000,
                subscriber.heartbeats_only,
                self._digest_agrees(subscriber),
                subscriber.discovery,
            )
            for subscriber in self._subscribers.values()
        ]

    def _record_subscription(
        self, packet: Packet, message: Subscribe, now: float, confirmed_until: float | None
    ) -> list[Send]:
        if message.epoch > self._log.epoch:
            return []
        subscriber = self._subscribers.get(packet.sender)
        is_new = subscriber is None
        if subscriber is None:
            if len(self._subscribers) >= self._settings.max_subscribers:
                self.refused_subscriptions += 1
                return []
            subscriber = self._subscribers[packet.sender] = Subscriber(packet.sender)
        subscriber.update(packet, message, now)
        if (is_new or message.heartbeats_only) and self._log.epoch:
            return [self._make_send(subscriber, self._make_heartbeat(now, confirmed_until), now)]
        return []

    def _digest_agrees(self, subscriber: Subscriber) -> bool | None:
        digest = self._log.digest_at(subscriber.number) if subscriber.epoch == self._log.epoch else None
        return None if digest is None else digest == subscriber.digest

    def _forget(self, name: str) -> None:
        del self._subscribers[name]
        self._pending_requests.pop(name, None)

    def _make_send(self, subscriber: Subscriber, message: Message, now: float) -> Send:
        written_format = min(self._newest_format, subscriber.newest_format)
        echo, delay_ms = subscriber.token.value, subscriber.token.delay_ms(now)
        packet = Packet(self._name, written_format, self._newest_format, 0, echo, delay_ms, message)
        return Send(subscriber.name, packet)

    def _make_heartbeat(self, now: float, confirmed_until: float | None) -> Heartbeat:
        return Heartbeat(
            self._log.epoch, self._log.last_number, self._log.digest, knowledge_age_ms(confirmed_until, now)
        )

    def _send_to_followers(self, message: Message, now: float) -> list[Send]:
        followers = (subscriber for subscriber in self._subscribers.values() if not subscriber.heartbeats_only)
        return [self._make_send(subscriber, message, now) for subscriber in followers]

    def _push_new_entries(self, now: float, confirmed_until: float | None) -> list[Send]:
        """Send entries that are new since the last push to all followers.

        All followers get the same message objects, so that each message is encoded once.
        """
        if (
            self._pushed_epoch != self._log.epoch
            or not self._log.first_number - 1 <= self._last_pushed_number <= self._log.last_number
        ):
            self._pushed_epoch, self._last_pushed_number = self._log.epoch, self._log.last_number
            return self._send_heartbeats(now, confirmed_until)
        if (
            self._last_pushed_number == self._log.last_number
            or now - self._last_batch_at < self._settings.batch_interval_s
        ):
            return []
        self._last_batch_at = self._last_heartbeat_at = now
        sends = []
        for _ in range(self._settings.max_batches_per_push):
            batch = self._make_batch(self._last_pushed_number + 1, now, confirmed_until)
            if batch is None:
                break
            self._last_pushed_number = batch.entries[-1].number
            sends += self._send_to_followers(batch, now)
        return sends

    def _send_heartbeats(self, now: float, confirmed_until: float | None) -> list[Send]:
        self._last_heartbeat_at = now
        return self._send_to_followers(self._make_heartbeat(now, confirmed_until), now)

    def _make_batch(self, number: int, now: float, confirmed_until: float | None) -> Batch | None:
        entries = self._log.entries_from(number, MAX_ENTRIES_BYTES, MAX_BATCH_ENTRIES)
        if not entries:
            return None
        digest = self._log.digest_at(entries[-1].number)
        assert digest is not None  # The log retains the digest of each entry that it returns.
        return Batch(
            self._log.epoch, number, entries, digest, self._log.last_number, knowledge_age_ms(confirmed_until, now)
        )

    def _serve_pending_requests(self, now: float, confirmed_until: float | None) -> list[Send]:
        """Answer pending requests in order of arrival, each with a few datagrams, while the rate limit allows it."""
        sends = []
        while self._pending_requests and self._budget.has_credit(now):
            name = next(iter(self._pending_requests))
            subscriber, request = self._subscribers[name], self._pending_requests.pop(name)
            for message, size_bytes in self._make_answers(request, now, confirmed_until):
                self._budget.spend(size_bytes + MESSAGE_OVERHEAD_BYTES)
                sends.append(self._make_send(subscriber, message, now))
        return sends

    def _make_answers(
        self, request: Fetch | FetchSnapshot, now: float, confirmed_until: float | None
    ) -> list[tuple[Message, int]]:
        """Return the messages that answer a request, each with the size in bytes that the rate limit counts."""
        if not self._log.epoch:
            return []
        if isinstance(request, FetchSnapshot):
            return self._snapshot_parts(request, now)
        if request.epoch < self._log.epoch or request.number < self._log.first_number:
            return self._snapshot_parts(FetchSnapshot(self._log.epoch, 0, 0), now)
        answers: list[tuple[Message, int]] = []
        number = request.number
        for _ in range(self._settings.max_messages_per_request):
            batch = self._make_batch(number, now, confirmed_until)
            if batch is None:
                break
            answers.append((batch, self._log.max_size_bytes(batch.first, len(batch.entries))))
            number = batch.entries[-1].number + 1
        return answers

    def _snapshot_parts(self, request: FetchSnapshot, now: float) -> list[tuple[Message, int]]:
        snapshot = self._snapshot_for_request(request, now)
        start = request.part if snapshot.number == request.number and request.number else 0
        parts = snapshot.parts[start : start + self._settings.max_messages_per_request]
        return [(part, len(part.payload)) for part in parts]

    def _snapshot_for_request(self, request: FetchSnapshot, now: float) -> CachedSnapshot:
        """Return the snapshot for a request.

        It is the requested snapshot if that is cached, otherwise the newest cached one if it is younger than
        `snapshot_cache_s`, otherwise a new one. A cached snapshot is dropped once the log no longer retains the entry
        after it, as a subscriber could not continue from it.
        """
        self._cached_snapshots = [
            cached
            for cached in self._cached_snapshots
            if cached.epoch == self._log.epoch and cached.number >= self._log.first_number - 1
        ]
        for cached in self._cached_snapshots:
            if request.number and cached.number == request.number:
                return cached
        if self._cached_snapshots and now - self._cached_snapshots[-1].created_at <= self._settings.snapshot_cache_s:
            return self._cached_snapshots[-1]
        snapshot = msgspec.structs.replace(self._log.snapshot(now), term=self._term_at(self._log.last_number))
        self._cached_snapshots.append(CachedSnapshot(split_snapshot(snapshot), now))
        del self._cached_snapshots[:-MAX_CACHED_SNAPSHOTS]
        return self._cached_snapshots[-1]
