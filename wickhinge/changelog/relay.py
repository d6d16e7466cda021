"""State machine of a relay: follows a replica and passes committed entries on to routers, in the replicas' order."""

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
    """Follower of one replica that serves its own subscribers from its copy of the log."""

    def __init__(self, context: ProcessContext, replicas: Sequence[str], settings: RelaySettings, now: float) -> None:
        """Create a relay with an empty log.

        Args:
            context: Name, session and randomness of the process.
            replicas: Names of the replicas, in order of preference.
            settings: Intervals, timeouts and limits.
            now: Present time of the process's clock, in seconds.
        """
        self.log = Log(settings.retain, settings.purge_horizon_s)
        self._replicas = frozenset(replicas)
        self._subscription = Subscription(context, replicas, settings.follow, now)
        self._feed = Feed(context, self.log, settings.feed, now)

    @property
    def source(self) -> str:
        """Name of the replica that is followed."""
        return self._subscription.sources.current.name

    def tick(self, now: float) -> list[Effect]:
        """Subscribe, request missing entries and serve subscribers where that is due.

        It has to be called at least every MAX_TICK_INTERVAL_S. Returns Send effects.
        """
        effects = self._subscription.tick(now, 0)
        return effects + self._feed.tick(now, self.confirmed_until(now))

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Process one packet of a replica or a router that `codec` has decoded; return Send effects."""
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
        """Return the time until which every change that a majority of the replicas committed is in this log.

        The time is read from this process's clock. It is None while the replicas' logs differ, and -inf while no such
        time is known.
        """
        return None if self._subscription.is_disputed(now) else self._subscription.confirmed_until()

    def rows(self, now: float) -> list[SubscriberRow]:
        """Return a row for each subscriber, as operators see it."""
        return self._feed.rows(now)

    def _append(self, entry: Entry, now: float) -> None:
        self.log.append(entry, now)
