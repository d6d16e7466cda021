"""What this package reads and changes of the routing decisions."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol


class Server(Protocol):
    """A server as `routing` has it. Times are those of `routing`, in seconds."""

    id: int
    kind: str
    weight: float
    started: float
    last_answer_at: float  # when it answered last
    has_failed: bool
    consecutive_failures: float  # failures that count against it
    ejected_until: float  # until when it gets no requests
    concurrency_limit: float  # what it is believed to bear
    max_concurrency_limit: float  # what it should bear
    tokens: float  # in slow start: seconds of work that may be sent, where routers share its limit
    pending_attempts: Collection[object]  # our requests in flight
    reported_transfers: float  # others' requests in flight

    def reset(self, now: float) -> None:
        """Take in that it started anew."""


class Endpoints(Protocol):
    """The endpoint list as `routing` has it."""

    edge_caches: list[Server]  # the caches of our zone
    parents: list[Server]
    parent_kind: str | None
    routers: int  # of the location
    reporting_routers: int  # other routers whose tallies count


class SlowStartLimits(Protocol):
    """The limits of one tier's slow start."""

    overload_factor: float  # of a server's weight
    window: float  # seconds of the window


CheckHealth = Callable[[Server], None]
