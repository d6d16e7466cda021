"""The actions of a batch: each of their owners has an outbox, and the reply is merged from those that are left."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count


class ActionOrder:
    """Numbers the actions of all owners in the order in which they are requested.

    The numbers are not sent, so the number of an action whose owner has ended changes nothing.
    """

    def __init__(self) -> None:
        self.draw_number = count().__next__
        self._batch_start = 0

    def merge(self, outboxes: Iterable[Outbox]) -> bytes:
        """Return the actions of the outboxes in their order, leave the outboxes empty, and begin the next batch."""
        start, end = self._batch_start, self.draw_number()
        self._batch_start = end + 1
        actions = [b""] * (end - start)
        for outbox in outboxes:
            for number, action in outbox.take():
                actions[number - start] = action
        return b"".join(actions)


class Outbox:
    """The actions that one owner has requested in the current batch.

    The owner is an instance, or the host itself. Nothing else refers to the actions, so an owner that is dropped before
    the reply takes its actions with it.
    """

    __slots__ = ("_draw_number", "_actions")

    def __init__(self, order: ActionOrder) -> None:
        self._draw_number = order.draw_number
        self._actions: list[tuple[int, bytes]] = []

    def append(self, action: bytes) -> None:
        """Add an encoded action, after all actions that any owner has added so far."""
        self._actions.append((self._draw_number(), action))

    def take(self) -> list[tuple[int, bytes]]:
        """Return the actions with their numbers, and leave the outbox empty."""
        actions, self._actions = self._actions, []
        return actions
