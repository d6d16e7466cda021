"""A replica on its socket, with its storage and the proposals that wait for their outcome."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from wickhinge.changelog.context import Runtime
from wickhinge.changelog.effects import Accepted, Committed, Effect, Persist, PersistSnapshot
from wickhinge.changelog.endpoint import Endpoint, EndpointConfig
from wickhinge.changelog.entries import Change
from wickhinge.changelog.errors import OverloadedError, StorageFailedError
from wickhinge.changelog.proposals import MAX_WAITING_PROPOSALS, Proposal, ProposalOutcome, Proposals
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.settings import ReplicaSettings
from wickhinge.changelog.stored import Storage


def ignore_failure(fault: StorageFailedError) -> None:
    """For an endpoint whose owner does not need to know."""


class ReplicaEndpoint(Endpoint):
    """A replica. `config.peers` are all replicas, this one too; `config.subscribers` the relays.

    `on_storage_failure` is called once, after the endpoint has closed itself, as what it promised may not last.
    """

    state_machine: Replica

    def __init__(
        self,
        config: EndpointConfig,
        runtime: Runtime,
        storage: Storage,
        settings: ReplicaSettings | None = None,
        on_storage_failure: Callable[[StorageFailedError], None] = ignore_failure,
    ) -> None:
        self._storage, self._on_storage_failure = storage, on_storage_failure
        self._proposals = Proposals()
        context = runtime.context(config.name)
        replica = Replica(context, list(config.peers), settings or ReplicaSettings(), storage.stored, runtime.clock())
        super().__init__(config, runtime, replica)

    def propose(self, change: Change, within_s: float, on_resolved: Callable[[ProposalOutcome], None]) -> int:
        """Proposes a change; returns the number that it has if it is committed.

        `on_resolved` is called once, later or before this returns, and after `within_s` at the latest.

        Raises:
            NotLeaderError: Another replica leads, or none is known.
            OverloadedError: Too many proposals wait.
            InvalidChangeError: No log may hold the change.
        """
        if len(self._proposals) >= MAX_WAITING_PROPOSALS:
            raise OverloadedError
        now = self.clock()
        effects = self.state_machine.propose(change, now)
        number = next(effect.number for effect in effects if isinstance(effect, Accepted))
        self._proposals.add(number, Proposal(change, now + within_s, on_resolved))
        self.perform(effects)
        return number

    def after_tick(self) -> None:
        """Ends the proposals whose time is over."""
        self._proposals.tick(self.clock())

    def perform(self, effects: Sequence[Effect]) -> None:
        """Does the effects in their order; nothing that follows a failed Persist is done."""
        if self.is_closed:
            return
        try:
            super().perform(effects)
        except StorageFailedError as fault:
            self.log("changelog_storage_failed", why=str(fault))
            self.close()
            self._on_storage_failure(fault)

    def perform_role_effect(self, effect: Effect) -> None:
        """Persists, and tells the proposers what was committed."""
        if isinstance(effect, Committed):
            self._proposals.resolve(effect.entries)
        elif isinstance(effect, Persist | PersistSnapshot):
            self._persist(effect)

    def _persist(self, effect: Persist | PersistSnapshot) -> None:
        """Raises StorageFailedError, whatever the cause: nothing may be sent that relies on what was not stored."""
        try:
            if isinstance(effect, Persist):
                self._storage.persist(effect)
            else:
                self._storage.persist_snapshot(effect)
        except Exception as fault:
            raise StorageFailedError(repr(fault)) from fault

    def close(self) -> Any:
        """Closes the storage, then the socket as any endpoint does."""
        self._storage.close()
        return super().close()
