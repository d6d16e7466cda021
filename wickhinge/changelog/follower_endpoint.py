"""A router's side of the change log on its socket."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from wickhinge.changelog.context import Runtime
from wickhinge.changelog.effects import Apply, Effect, Reset
from wickhinge.changelog.endpoint import Endpoint, EndpointConfig
from wickhinge.changelog.entries import Entry
from wickhinge.changelog.follower import NEVER, Follower
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.settings import FollowSettings


class ChangeConsumer(Protocol):
    """What applies the log's changes at a router.

    Entries and snapshots come in the log's order. Where a method raises, what it should have done may be missing: the
    follower is uninformed until the next start, as with a change that it does not understand.
    """

    def apply_entry(self, entry: Entry) -> None:
        """Applies the next entry."""

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the settings by the snapshot's and adds its purges."""

    def after_tick(self) -> None:
        """Called after each tick of the endpoint."""


class FollowerEndpoint(Endpoint):
    """A router's side. `config.peers` are its relays."""

    state_machine: Follower

    def __init__(
        self,
        config: EndpointConfig,
        runtime: Runtime,
        consumer: ChangeConsumer,
        settings: FollowSettings | None = None,
    ) -> None:
        self._consumer = consumer
        self._no_age_limit_until = NEVER  # no limit before this time, for this grace
        self._no_age_limit_grace_s = 0.0
        context = runtime.context(config.name)
        follower = Follower(context, list(config.peers), settings or FollowSettings(), runtime.clock())
        super().__init__(config, runtime, follower)

    def after_tick(self) -> None:
        """Tells the consumer of the tick."""
        self._consumer.after_tick()

    def close(self) -> Any:
        """Unsubscribes, then closes as any endpoint does."""
        if not self.is_closed and self._port is not None:
            self.perform(self.state_machine.unsubscribe())
        return super().close()

    def max_copy_age_s(self, grace_s: float) -> float | None:
        """The greatest age in seconds of a copy that may be served now; None: no limit.

        Called for each request, so the answer "no limit" is cached until the next packet or tick.
        """
        now = self.clock()
        if grace_s == self._no_age_limit_grace_s and now < self._no_age_limit_until:
            return None
        self._no_age_limit_grace_s = grace_s
        self._no_age_limit_until = self.state_machine.no_age_limit_until(now, grace_s)
        return None if now < self._no_age_limit_until else self.state_machine.max_copy_age_s(now, grace_s)

    def perform(self, effects: Sequence[Effect]) -> None:
        """Does the effects; called after each tick and each packet, so the cached answer ends here."""
        self._no_age_limit_until = NEVER
        super().perform(effects)

    def perform_role_effect(self, effect: Effect) -> None:
        """Applies an entry or loads a snapshot; later ones are applied whatever the consumer raises."""
        self.guard(type(effect).__name__, lambda: self._deliver(effect))

    def _deliver(self, effect: Effect) -> None:
        if isinstance(effect, Apply):
            self._consumer.apply_entry(effect.entry)
        elif isinstance(effect, Reset):
            self._consumer.load_snapshot(effect.snapshot)

    def record_fault(self, where: str, fault: Exception) -> None:
        """Counts and logs a defect. What should have been applied may be missing: uninformed until the next start."""
        self.state_machine.unapplied_changes += 1
        super().record_fault(where, fault)
