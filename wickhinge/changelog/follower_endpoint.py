"""Endpoint of a follower: the router's end of the change log on its UDP socket."""

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
    """Object that applies the log's changes at a router.

    Entries and snapshots are passed in the log's order. If a method raises, its change may not have been applied, so
    the follower is uninformed until the next start, as after a change whose kind it does not know.
    """

    def apply_entry(self, entry: Entry) -> None:
        """Apply the next entry."""

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Replace all settings by those of the snapshot, and add its purges to the known ones."""

    def after_tick(self) -> None:
        """Run the consumer's periodic work; called after each tick of the endpoint."""


class FollowerEndpoint(Endpoint):
    """Endpoint of a follower. `config.peers` holds the relays that it may follow."""

    state_machine: Follower

    def __init__(
        self,
        config: EndpointConfig,
        runtime: Runtime,
        consumer: ChangeConsumer,
        settings: FollowSettings | None = None,
    ) -> None:
        """Create an endpoint that passes entries and snapshots to `consumer`."""
        self._consumer = consumer
        self._no_age_limit_until = NEVER  # Cached time before which the age of copies has no limit.
        self._no_age_limit_grace_s = 0.0  # Grace for which `_no_age_limit_until` holds.
        context = runtime.context(config.name)
        follower = Follower(context, list(config.peers), settings or FollowSettings(), runtime.clock())
        super().__init__(config, runtime, follower)

    def after_tick(self) -> None:
        """Call the consumer's `after_tick`."""
        self._consumer.after_tick()

    def close(self) -> Any:
        """Unsubscribe from the relays, then close the socket."""
        if not self.is_closed and self._port is not None:
            self.perform(self.state_machine.unsubscribe())
        return super().close()

    def max_copy_age_s(self, grace_s: float) -> float | None:
        """Return the greatest age in seconds of a copy that may be served now, or None for no limit.

        It is called for each request, so the answer "no limit" is cached until the next packet or tick.
        """
        now = self.clock()
        if grace_s == self._no_age_limit_grace_s and now < self._no_age_limit_until:
            return None
        self._no_age_limit_grace_s = grace_s
        self._no_age_limit_until = self.state_machine.no_age_limit_until(now, grace_s)
        return None if now < self._no_age_limit_until else self.state_machine.max_copy_age_s(now, grace_s)

    def perform(self, effects: Sequence[Effect]) -> None:
        """Perform the effects of a tick or a packet, and drop the cached answer of `max_copy_age_s`."""
        self._no_age_limit_until = NEVER
        super().perform(effects)

    def perform_role_effect(self, effect: Effect) -> None:
        """Pass an entry or a snapshot to the consumer; an exception of the consumer does not stop later effects."""
        self.run_guarded(type(effect).__name__, lambda: self._pass_to_consumer(effect))

    def _pass_to_consumer(self, effect: Effect) -> None:
        if isinstance(effect, Apply):
            self._consumer.apply_entry(effect.entry)
        elif isinstance(effect, Reset):
            self._consumer.load_snapshot(effect.snapshot)

    def record_fault(self, where: str, fault: Exception) -> None:
        """Count and log an exception, after which a change may be missing.

        The follower is uninformed until the next start.
        """
        self.state_machine.unapplied_changes += 1
        super().record_fault(where, fault)
