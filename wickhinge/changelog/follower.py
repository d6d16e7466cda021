"""State machine of a follower: a router that applies each log entry once, in order.

The follower also tracks the time until which it has applied every change that a majority of the replicas committed.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.effects import Apply, Effect, Reset
from wickhinge.changelog.entries import Unknown, is_understood
from wickhinge.changelog.messages import UNKNOWN_AGE_MS, DiscoveryStatus, Packet
from wickhinge.changelog.settings import MAX_CLOCK_DRIFT, FollowSettings
from wickhinge.changelog.subscription import Subscription

MIN_COPY_AGE_S = 0.001  # Smallest limit for the age of a copy; 0 would mean no limit.
NEVER = float("-inf")  # A time before every reading of the clock.


class Follower:
    """Follower of one relay, which compares its log with the heartbeats of a second relay.

    The follower is informed while it has applied every change that a majority of the replicas committed more than
    `bound_s` of the settings ago; otherwise it is uninformed. It is also uninformed after a change that could not be
    applied, and while relays' logs differ from its own without a majority that agrees with it.

    Attributes:
        subscription_type: Class of the subscription; a subclass with a planted fault overrides it.
        skipped_entries: Number of applied entries whose kind this version does not know.
        unapplied_changes: Number of changes that had to be applied and were not, because their kind is unknown or
            applying them failed. While it is above 0, the follower is uninformed; only a restart resets it.
    """

    subscription_type: ClassVar[type[Subscription]] = Subscription

    def __init__(self, context: ProcessContext, sources: Sequence[str], settings: FollowSettings, now: float) -> None:
        """Create a follower that has applied nothing.

        Args:
            context: Name, session and randomness of the process.
            sources: Names of the relays, in order of preference.
            settings: Intervals, timeouts and limits.
            now: Present time of the process's clock, in seconds.
        """
        self._settings = settings
        self._subscription = self.subscription_type(context, sources, settings, now)
        self._informed_until = NEVER
        self.skipped_entries = 0
        self.unapplied_changes = 0

    @property
    def epoch(self) -> int:
        """Epoch of the log; 0 before the first snapshot."""
        return self._subscription.sequencer.epoch

    @property
    def number(self) -> int:
        """Sequence number of the last applied entry."""
        return self._subscription.sequencer.last_number

    @property
    def source(self) -> str:
        """Name of the relay that is followed."""
        return self._subscription.sources.current.name

    def tick(self, now: float) -> list[Effect]:
        """Subscribe and request missing entries where that is due.

        It has to be called at least every MAX_TICK_INTERVAL_S. Returns Send effects.
        """
        effects = self._subscription.tick(now, self._uninformed_age_ms(now))
        self._update_informed_until(now)
        return effects

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Process one packet that `codec` has decoded; return Send, Apply and Reset effects."""
        effects = self._subscription.receive(packet, now)
        for effect in effects:
            if isinstance(effect, Apply):
                self._count_unknown_change(effect)
            elif isinstance(effect, Reset):
                self.unapplied_changes += effect.snapshot.incomplete
        self._update_informed_until(now)
        return effects

    def report_discovery(self, status: DiscoveryStatus) -> None:
        """Tell the relays from now on which address of the discovery service the router uses."""
        self._subscription.discovery = status

    def unsubscribe(self) -> list[Effect]:
        """Return the Send effects that end the subscriptions; called when the follower is closed."""
        return self._subscription.unsubscribe()

    def informed_until(self, now: float) -> float:
        """Return the time until which every change that a majority of the replicas committed is applied here.

        The time is read from this process's clock; it is -inf while no such time is known.
        """
        self._update_informed_until(now)
        return self._informed_until

    def is_uninformed(self, now: float) -> bool:
        """Return whether changes older than `bound_s` of the settings may be missing here."""
        self._update_informed_until(now)
        if self.unapplied_changes or self._subscription.is_disputed(now):
            return True
        return now - self._informed_until > self._settings.bound_s * (1 - MAX_CLOCK_DRIFT)

    def max_copy_age_s(self, now: float, grace_s: float) -> float | None:
        """Return the greatest age in seconds of a copy that may be served, or None for no limit.

        A purge takes effect on every copy within its grace, `grace_s`. A copy younger than the returned age was made
        less than `grace_s` ago, so no purge whose grace is over applies to it. The limit also applies to an informed
        follower whose knowledge is older than `grace_s` allows, which can happen where `bound_s` of the settings is
        longer than `grace_s`.
        """
        max_safe_age_s = grace_s * (1 - MAX_CLOCK_DRIFT)
        unconfirmed_s = now - self._informed_until + self._settings.ingest_s
        if not self.is_uninformed(now) and unconfirmed_s <= max_safe_age_s:
            return None
        return max(max_safe_age_s - MIN_COPY_AGE_S, MIN_COPY_AGE_S)

    def no_age_limit_until(self, now: float, grace_s: float) -> float:
        """Return the time until which `max_copy_age_s` stays None even if no packet is received.

        The time is -inf if `max_copy_age_s` is not None now.
        """
        if self.max_copy_age_s(now, grace_s) is not None:
            return NEVER
        bound_s = self._settings.bound_s * (1 - MAX_CLOCK_DRIFT)
        max_safe_age_s = grace_s * (1 - MAX_CLOCK_DRIFT) - self._settings.ingest_s
        return self._informed_until + min(bound_s, max_safe_age_s)

    def _update_informed_until(self, now: float) -> None:
        if not self.unapplied_changes and not self._subscription.is_disputed(now):
            self._informed_until = max(self._informed_until, self._subscription.confirmed_until())

    def _count_unknown_change(self, effect: Apply) -> None:
        change = effect.entry.change
        if isinstance(change, Unknown):
            self.skipped_entries += 1
            self.unapplied_changes += not is_understood(change)

    def _uninformed_age_ms(self, now: float) -> int:
        if not self.is_uninformed(now):
            return 0
        if self._informed_until == NEVER:
            return UNKNOWN_AGE_MS
        return max(int((now - self._informed_until) * 1000), 1)
