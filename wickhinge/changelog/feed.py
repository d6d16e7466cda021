"""Serves subscribers from a log: batches, heartbeats and, within a rate, what they missed. For replicas and relays."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from wickhinge.changelog.codec import MAX_BATCH_ENTRIES, MAX_ENTRIES_BYTES
from wickhinge.changelog.context import ProcessContext
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
from wickhinge.changelog.snapshots import split_snapshot

MAX_CACHED_SNAPSHOTS = 2
MESSAGE_OVERHEAD_BYTES = 100  # of a datagram beside entries or payload, as the rate limit counts it


class SubscriberRow(msgspec.Struct, frozen=True):
    """One subscriber, in the answer to an operator.

    Attributes:
        name: The subscriber's process name.
        number: The last entry that it acknowledged.
        lag: How many entries it is behind.
        age_s: Since its last subscription came.
        uninformed_s: The age of its knowledge, as it said itself, where that is over its bound.
        heartbeats_only: It follows another source; "watch" on the wire.
        agrees: Whether its digest is ours at its number; None where that is not known.
    """

    name: str
    number: int
    lag: int
    age_s: float
    uninformed_s: float
    heartbeats_only: bool = msgspec.field(name="watch")
    agrees: bool | None


@dataclass(slots=True)
class Subscriber:
    """A subscriber as its latest subscription describes it."""

    name: str
    epoch: int = 0
    number: int = 0
    digest: bytes = b""
    heartbeats_only: bool = False
    newest_format: int = 0
    uninformed_ms: int = 0
    received_at: float = 0.0
    token: ReceivedToken = field(default_factory=ReceivedToken)

    def update(self, packet: Packet, message: Subscribe, now: float) -> None:
        """Takes a newer subscription."""
        self.epoch, self.number, self.digest = message.epoch, message.number, message.digest
        self.heartbeats_only, self.newest_format = message.heartbeats_only, packet.newest
        self.uninformed_ms, self.received_at = message.uninformed_ms, now
        self.token.record(packet.token, now)


class CatchUpBudget:
    """A token bucket of `rate` bytes a second that saves up `burst` bytes and that one answer may overdraw.

    `common.token_bucket` refuses what it does not cover; here a whole answer is sent once there is any credit, so that
    the largest one never waits for ever.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst, self._level, self._refilled_at = rate, burst, burst, now

    def has_credit(self, now: float) -> bool:
        """Adds the credit of the time since the last call; whether something may be sent."""
        self._level = min(self._level + self._rate * max(now - self._refilled_at, 0.0), self._burst)
        self._refilled_at = now
        return self._level > 0

    def take(self, amount: float) -> None:
        """Spends so many bytes, also where there are fewer."""
        self._level -= amount


@dataclass(frozen=True, slots=True)
class CachedSnapshot:
    """An encoded snapshot in parts, and when it was made."""

    parts: tuple[SnapshotPart, ...]
    created_at: float

    @property
    def epoch(self) -> int:
        """The snapshot's epoch."""
        return self.parts[0].epoch

    @property
    def number(self) -> int:
        """The number of the last entry that the snapshot stands for."""
        return self.parts[0].number


def no_term(_number: int) -> int:
    """The term of an entry where terms are not known."""
    return 0


class Feed:
    """The subscribers of a log, and what is sent to them.

    `confirmed_until`, an argument of its methods: the log is complete until then, by this clock; None or -inf: never.
    `term_at(number)` gives the term of an entry, for snapshots that replicas load; relays know no terms.

    Attributes:
        refused: Subscriptions that were refused because there are `max_subscribers`.
    """

    def __init__(
        self,
        context: ProcessContext,
        log: Log,
        settings: FeedSettings,
        now: float,
        term_at: Callable[[int], int] = no_term,
    ) -> None:
        self._name, self._newest_format = context.name, context.newest_format
        self._log, self._settings, self._term_at = log, settings, term_at
        self._subscribers: dict[str, Subscriber] = {}
        self._pending_requests: dict[str, Fetch | FetchSnapshot] = {}  # one for each subscriber, served in turn
        self._budget = CatchUpBudget(settings.catch_up_bytes_per_s, settings.catch_up_burst_bytes, now)
        self._snapshots: list[CachedSnapshot] = []  # the youngest last
        self._pushed = log.last_number  # entries up to here went to the subscribers
        self._epoch = log.epoch
        self._batch_at = self._heartbeat_at = now
        self.refused = 0

    def receive(self, packet: Packet, now: float, confirmed_until: float | None) -> list[Send]:
        """Takes a packet of a subscriber, or of a process that becomes one."""
        message = packet.message
        if isinstance(message, Subscribe):
            return self._subscribe(packet, message, now, confirmed_until)
        subscriber = self._subscribers.get(packet.sender)
        if subscriber is None:
            return []
        if isinstance(message, Unsubscribe):
            self._forget(packet.sender)
            return []
        if isinstance(message, Fetch | FetchSnapshot) and message.epoch <= self._log.epoch:
            subscriber.token.record(packet.token, now)
            self._pending_requests[packet.sender] = message
            return self._serve(now, confirmed_until)
        return []

    def tick(self, now: float, confirmed_until: float | None) -> list[Send]:
        """Sends what is new, heartbeats where they are due, and answers to pending requests."""
        for subscriber in list(self._subscribers.values()):
            if now - subscriber.received_at > self._settings.subscriber_expiry_s:
                self._forget(subscriber.name)
        if not self._log.epoch:
            return []
        sends = self._push(now, confirmed_until)
        if now - self._heartbeat_at >= self._settings.heartbeat_interval_s:
            sends += self._send_heartbeats(now, confirmed_until)
        return sends + self._serve(now, confirmed_until)

    def rows(self, now: float) -> list[SubscriberRow]:
        """The subscribers, for an operator."""
        return [
            SubscriberRow(
                subscriber.name,
                subscriber.number,
                max(self._log.last_number - subscriber.number, 0),
                now - subscriber.received_at,
                subscriber.uninformed_ms / 1000,
                subscriber.heartbeats_only,
                self._agrees(subscriber),
            )
            for subscriber in self._subscribers.values()
        ]

    def _subscribe(self, packet: Packet, message: Subscribe, now: float, confirmed_until: float | None) -> list[Send]:
        if message.epoch > self._log.epoch:
            return []
        subscriber = self._subscribers.get(packet.sender)
        is_new = subscriber is None
        if subscriber is None:
            if len(self._subscribers) >= self._settings.max_subscribers:
                self.refused += 1
                return []
            subscriber = self._subscribers[packet.sender] = Subscriber(packet.sender)
        subscriber.update(packet, message, now)
        if (is_new or message.heartbeats_only) and self._log.epoch:
            return [self._send(subscriber, self._heartbeat(now, confirmed_until), now)]
        return []

    def _agrees(self, subscriber: Subscriber) -> bool | None:
        digest = self._log.digest_at(subscriber.number) if subscriber.epoch == self._log.epoch else None
        return None if digest is None else digest == subscriber.digest

    def _forget(self, name: str) -> None:
        del self._subscribers[name]
        self._pending_requests.pop(name, None)

    def _send(self, subscriber: Subscriber, message: Message, now: float) -> Send:
        written_format = min(self._newest_format, subscriber.newest_format)
        echo, delay_ms = subscriber.token.value, subscriber.token.delay_ms(now)
        packet = Packet(self._name, written_format, self._newest_format, 0, echo, delay_ms, message)
        return Send(subscriber.name, packet)

    def _heartbeat(self, now: float, confirmed_until: float | None) -> Heartbeat:
        return Heartbeat(self._log.epoch, self._log.last_number, self._log.digest, age_ms(confirmed_until, now))

    def _send_to_followers(self, message: Message, now: float) -> list[Send]:
        followers = (subscriber for subscriber in self._subscribers.values() if not subscriber.heartbeats_only)
        return [self._send(subscriber, message, now) for subscriber in followers]

    def _push(self, now: float, confirmed_until: float | None) -> list[Send]:
        """Sends what is new to all followers: the same messages, so that each is encoded once."""
        if self._epoch != self._log.epoch or not self._log.first_number - 1 <= self._pushed <= self._log.last_number:
            self._epoch, self._pushed = self._log.epoch, self._log.last_number
            return self._send_heartbeats(now, confirmed_until)
        if self._pushed == self._log.last_number or now - self._batch_at < self._settings.batch_interval_s:
            return []
        self._batch_at = self._heartbeat_at = now
        sends = []
        for _ in range(self._settings.max_batches_per_push):
            batch = self._batch(self._pushed + 1, now, confirmed_until)
            if batch is None:
                break
            self._pushed = batch.entries[-1].number
            sends += self._send_to_followers(batch, now)
        return sends

    def _send_heartbeats(self, now: float, confirmed_until: float | None) -> list[Send]:
        self._heartbeat_at = now
        return self._send_to_followers(self._heartbeat(now, confirmed_until), now)

    def _batch(self, number: int, now: float, confirmed_until: float | None) -> Batch | None:
        entries = self._log.entries_from(number, MAX_ENTRIES_BYTES, MAX_BATCH_ENTRIES)
        if not entries:
            return None
        digest = self._log.digest_at(entries[-1].number)
        assert digest is not None  # the log retains these entries
        return Batch(self._log.epoch, number, entries, digest, self._log.last_number, age_ms(confirmed_until, now))

    def _serve(self, now: float, confirmed_until: float | None) -> list[Send]:
        """Answers requests in the order in which they came, each with a few datagrams, while the rate allows."""
        sends = []
        while self._pending_requests and self._budget.has_credit(now):
            name = next(iter(self._pending_requests))
            subscriber, request = self._subscribers[name], self._pending_requests.pop(name)
            for message, size_bytes in self._answers(request, now, confirmed_until):
                self._budget.take(size_bytes + MESSAGE_OVERHEAD_BYTES)
                sends.append(self._send(subscriber, message, now))
        return sends

    def _answers(
        self, request: Fetch | FetchSnapshot, now: float, confirmed_until: float | None
    ) -> list[tuple[Message, int]]:
        """The messages that answer a request, each with its size in bytes as the rate limit counts it."""
        if not self._log.epoch:
            return []
        if isinstance(request, FetchSnapshot):
            return self._snapshot_parts(request, now)
        if request.epoch < self._log.epoch or request.number < self._log.first_number:
            return self._snapshot_parts(FetchSnapshot(self._log.epoch, 0, 0), now)
        answers: list[tuple[Message, int]] = []
        number = request.number
        for _ in range(self._settings.max_messages_per_request):
            batch = self._batch(number, now, confirmed_until)
            if batch is None:
                break
            answers.append((batch, self._log.max_size_bytes(batch.first, len(batch.entries))))
            number = batch.entries[-1].number + 1
        return answers

    def _snapshot_parts(self, request: FetchSnapshot, now: float) -> list[tuple[Message, int]]:
        snapshot = self._cached_snapshot(request, now)
        start = request.part if snapshot.number == request.number and request.number else 0
        parts = snapshot.parts[start : start + self._settings.max_messages_per_request]
        return [(part, len(part.payload)) for part in parts]

    def _cached_snapshot(self, request: FetchSnapshot, now: float) -> CachedSnapshot:
        """The requested snapshot while it is cached, else the youngest one, else a new one.

        One whose next entry is no longer retained is of no use.
        """
        self._snapshots = [
            cached
            for cached in self._snapshots
            if cached.epoch == self._log.epoch and cached.number >= self._log.first_number - 1
        ]
        for cached in self._snapshots:
            if request.number and cached.number == request.number:
                return cached
        if self._snapshots and now - self._snapshots[-1].created_at <= self._settings.snapshot_cache_s:
            return self._snapshots[-1]
        snapshot = msgspec.structs.replace(self._log.snapshot(now), term=self._term_at(self._log.last_number))
        self._snapshots.append(CachedSnapshot(split_snapshot(snapshot), now))
        del self._snapshots[:-MAX_CACHED_SNAPSHOTS]
        return self._snapshots[-1]
