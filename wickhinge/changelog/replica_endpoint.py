"""A replica with its socket, its storage, and the proposals that wait for their outcome."""

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


def ignore_storage_failure(fault: StorageFailedError) -> None:
    """Do nothing; the default for endpoints whose owner need not know about a storage failure."""


class ReplicaEndpoint(Endpoint):
    """The endpoint of a replica.

    `config.peers` are all replicas, including this one, and `config.subscribers` are the relays.

    `on_storage_failure` is called once when the storage has failed, after the endpoint has closed itself: it may not
    send anything that relies on an effect which may be lost.
    """

    state_machine: Replica

    def __init__(
        self,
        config: EndpointConfig,
        runtime: Runtime,
        storage: Storage,
        settings: ReplicaSettings | None = None,
        on_storage_failure: Callable[[StorageFailedError], None] = ignore_storage_failure,
    ) -> None:
        self._storage, self._on_storage_failure = storage, on_storage_failure
        self._proposals = Proposals()
        context = runtime.context(config.name)
        replica = Replica(
            context, list(config.peers), settings or ReplicaSettings(), storage.stored_state, runtime.clock()
        )
        super().__init__(config, runtime, replica)

    def propose(self, change: Change, timeout_s: float, on_resolved: Callable[[ProposalOutcome], None]) -> int:
        """Propose a change.

        `on_resolved` is called once with the outcome: after `timeout_s` at the latest, and possibly before this method
        returns.

        Returns:
            The number that the change has if it is committed.

        Raises:
            NotLeaderError: Another replica is the leader, or no leader is known.
            OverloadedError: Too many proposals wait, or too many settings are in force.
            InvalidChangeError: A field of the change is out of its bounds.
        """
        if len(self._proposals) >= MAX_WAITING_PROPOSALS:
            raise OverloadedError
        now = self.clock()
        effects = self.state_machine.propose(change, now)
        number = next(effect.number for effect in effects if isinstance(effect, Accepted))
        self._proposals.add(number, Proposal(change, now + timeout_s, on_resolved))
        self.perform(effects)
        return number

    def after_tick(self) -> None:
        """End the proposals whose deadline has passed."""
        self._proposals.tick(self.clock())

    def perform(self, effects: Sequence[Effect]) -> None:
        """Perform the effects in their order, up to the first that the storage fails to persist."""
        if self.is_closed:
            return
        try:
            super().perform(effects)
        except StorageFailedError as fault:
            self.log("changelog_storage_failed", why=str(fault))
            self.close()
            self._on_storage_failure(fault)

    def perform_role_effect(self, effect: Effect) -> None:
        """Perform an effect that is not a Send: persist state, or tell the proposers which entries are committed."""
        if isinstance(effect, Committed):
            self._proposals.resolve(effect.entries)
        elif isinstance(effect, Persist | PersistSnapshot):
            self._persist(effect)

    def _persist(self, effect: Persist | PersistSnapshot) -> None:
        """Persist an effect.

        Raises:
            StorageFailedError: The storage raised any exception. Nothing may be sent that relies on the effect.
        """
        try:
            if isinstance(effect, Persist):
                self._storage.persist(effect)
            else:
                self._storage.persist_snapshot(effect)
        except Exception as fault:
            raise StorageFailedError(repr(fault)) from fault

    def close(self) -> Any:
        """Close the storage, then the socket; return what Endpoint.close returns."""
        self._storage.close()
        return super().close()
