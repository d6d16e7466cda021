"""A relay: follows the replicas and hands their committed entries down to routers. It never orders anything."""

from __future__ import annotations

from collections.abc import Sequence

from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.effects import Apply, Effect, Reset, Send
from wickhinge.changelog.entries import Entry
from wickhinge.changelog.feed import Feed, SubscriberRow
from wickhinge.changelog.log import Log
from wickhinge.changelog.messages import Packet
from wickhinge.changelog.settings import RelaySettings
from wickhinge.changelog.subscription import Subscription


class Relay:
    """Follows one of `replicas`, in order of preference, and serves its subscribers from its own log."""

    def __init__(self, context: ProcessContext, replicas: Sequence[str], settings: RelaySettings, now: float) -> None:
        self.log = Log(settings.retain, settings.purge_horizon_s)
        self._replicas = frozenset(replicas)
        self._subscription = Subscription(context, replicas, settings.follow, now)
        self._feed = Feed(context, self.log, settings.feed, now)

    @property
    def source(self) -> str:
        """The replica that is followed."""
        return self._subscription.sources.current.name

    def tick(self, now: float) -> list[Effect]:
        """Does what is due; called every MAX_TICK_INTERVAL_S. Effects: Send."""
        effects = self._subscription.tick(now, 0)
        return effects + self._feed.tick(now, self.confirmed_until(now))

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Takes one packet as `codec` decoded it, of a replica or of a router. Effects: Send."""
        if packet.sender not in self._replicas:
            return list(self._feed.receive(packet, now, self.confirmed_until(now)))
        sends: list[Effect] = []
        for effect in self._subscription.receive(packet, now):
            if isinstance(effect, Apply):
                self._append(effect.entry, now)
            elif isinstance(effect, Reset):
                self.log.load(effect.snapshot, now)
            elif isinstance(effect, Send):
                sends.append(effect)
        return sends

    def confirmed_until(self, now: float) -> float | None:
        """The time, by this clock, such that each change that a majority had before it is in this log.

        None while the replicas' logs are seen to differ, -inf where nothing is known.
        """
        return None if self._subscription.is_disputed(now) else self._subscription.confirmed_until()

    def rows(self, now: float) -> list[SubscriberRow]:
        """The subscribers, for an operator."""
        return self._feed.rows(now)

    def _append(self, entry: Entry, now: float) -> None:
        self.log.append(entry, now)
