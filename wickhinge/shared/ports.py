"""What this package reads and changes of the routing decisions."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol


class Server(Protocol):
    """A server as `routing` has it. Times are those of `routing`, in seconds."""

    mark: int  # its id
    kind: str
    weight: float
    started: float
    heard: float  # when it answered last
    lost: bool
    strikes: float  # failures that count against it
    shunned: float  # until when it gets no requests
    fit: float  # what it is believed to bear
    best: float  # what it should bear
    credit: float  # in slow start: seconds of work that may be sent, where routers share its limit
    pending: Collection[object]  # our requests in flight
    told: float  # others' requests in flight

    def begin(self, now: float) -> None:
        """Take in that it started anew."""


class Endpoints(Protocol):
    """The endpoint list as `routing` has it."""

    mine: list[Server]  # the caches of our zone
    parents: list[Server]
    parent_kind: str | None
    routers: int  # of the location
    told: int  # other routers whose tallies count


class SlowStartLimits(Protocol):
    """The limits of one tier's slow start."""

    multiple: float  # of a server's weight
    span: float  # seconds of the window


CheckHealth = Callable[[Server], None]
