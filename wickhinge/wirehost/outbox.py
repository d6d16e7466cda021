"""The actions of a batch: each owner of actions has an outbox, and the reply is merged from those that are left."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import chain


class Outbox:
    """The actions that one owner has requested in the current batch.

    The owner is an instance, or the host itself. Nothing else refers to the actions, so an owner that is dropped before
    the reply takes its actions with it.
    """

    def __init__(self, positions: Iterator[int]) -> None:
        """Create an empty outbox.

        Args:
            positions: Increasing numbers, shared by all outboxes of the host, which give the order of the actions of
                different owners. They are not sent, so a number that no action uses changes nothing.
        """
        self._positions = positions
        self._actions: list[tuple[int, bytes]] = []

    def append(self, action: bytes) -> None:
        """Add an encoded action, after all actions that any owner has added so far."""
        self._actions.append((next(self._positions), action))

    def take(self) -> list[tuple[int, bytes]]:
        """Return the actions with their positions, and leave the outbox empty."""
        actions, self._actions = self._actions, []
        return actions


def merge(outboxes: Iterable[Outbox]) -> bytes:
    """Return the actions of all outboxes in the order in which they were added, and leave the outboxes empty."""
    actions = sorted(chain.from_iterable(outbox.take() for outbox in outboxes))
    return b"".join(action for _, action in actions)
