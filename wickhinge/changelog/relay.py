"""A relay: follows the replicas and hands their committed entries down to routers. It never orders anything."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wickhinge.changelog.effects import Apply, Effect, Reset, Send
from wickhinge.changelog.entries import Entry
from wickhinge.changelog.feed import Feed, SubscriberRow
from wickhinge.changelog.log import Log
from wickhinge.changelog.messages import NEWEST_FORMAT, Packet
from wickhinge.changelog.settings import RelaySettings
from wickhinge.changelog.subscription import Subscription


class Relay:
    """`replicas` in order of preference; `chance` and `session` as for a Follower."""

    def __init__(
        self,
        name: str,
        replicas: Sequence[str],
        settings: RelaySettings,
        random_fraction: Callable[[], float],
        session: int,
        now: float,
        newest_format: int = NEWEST_FORMAT,
    ) -> None:
        self.log = Log(settings.retain, settings.purge_horizon_s)
        self._replicas = frozenset(replicas)
        self._subscription = Subscription(name, replicas, settings.follow, random_fraction, session, now, newest_format)
        self._feed = Feed(name, self.log, settings.feed, newest_format, now)

    @property
    def source(self) -> str:
        """The replica that is followed."""
        return self._subscription.sources.current.name

    def tick(self, now: float) -> list[Effect]:
        """To be called every TICK_S. Effects: Send."""
        effects = self._subscription.tick(now, 0)
        return effects + self._feed.tick(now, self.confirmed_until(now))

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """One packet as `codec` read it, of a replica or of a router. Effects: Send."""
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

    def _append(self, entry: Entry, now: float) -> None:
        self.log.append(entry, now)

    def confirmed_until(self, now: float) -> float | None:
        """All changes that were at the replicas' majority before this time, by this clock, are in this log. None while
        the replicas' logs are seen to differ.
        """
        return None if self._subscription.disputed(now) else self._subscription.known_until()

    def rows(self, now: float) -> list[SubscriberRow]:
        return self._feed.rows(now)
